// Package rating is a client of the HTTP service that rates the quality of models' answers.
package rating

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
)

const (
	// maxReplyBytes limits the size of a reply, which contains a single number.
	maxReplyBytes = 4096
	// idleTimeout is the time after which idle connections are closed. It is short so
	// that they aren't reused after a firewall or NAT on the path dropped their state.
	idleTimeout = 5 * time.Second
	// maxIdleConnections limits the idle connections that are kept for reuse.
	maxIdleConnections = 64
)

// Client sends answers to one rating service and returns their ratings.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client of the service at address, a URL of the form http://IP:PORT.
func New(address string) *Client {
	return &Client{
		address: address,
		http: &http.Client{
			Transport:     &http.Transport{IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: maxIdleConnections},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// request is the JSON body of a request to the rating service. Prompt is the whole body
// of the request that the model answered.
type request struct {
	Service document.Service `json:"service"`
	Model   document.Model   `json:"model"`
	Prompt  string           `json:"prompt"`
	Answer  string           `json:"answer"`
}

// Rate returns the rating, from 0 to 1, of a model's answer to the request with the given body.
func (c *Client) Rate(ctx context.Context, service document.Service, model document.Model, body, answer []byte) (rating float64, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "rate answer")
		}
	}()
	text, err := json.Marshal(request{Service: service, Model: model, Prompt: string(body), Answer: string(answer)})
	if err != nil {
		return 0, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.address+"/v1/ratings", bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return 0, errors.Newf("rating service returned status %d", res.StatusCode)
	}
	var reply struct {
		Rating *float64 `json:"rating"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return 0, err
	}
	if reply.Rating == nil || *reply.Rating < 0 || *reply.Rating > 1 {
		return 0, errors.New("reply of the rating service has no rating from 0 to 1")
	}
	return *reply.Rating, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
