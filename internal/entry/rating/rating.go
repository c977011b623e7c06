// Package rating is the client of the service that rates answers.
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
	// replyLimit bounds the reply in bytes; a rating is one number.
	replyLimit = 4096
	// idleTimeout drops kept connections before something between the two ends forgets them.
	idleTimeout = 5 * time.Second
)

// Client asks one rating service.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client of the service at http://IP:PORT.
func New(address string) *Client {
	return &Client{
		address: address,
		http: &http.Client{
			Transport:     &http.Transport{IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 64},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

type request struct {
	Service document.Service `json:"service"`
	Model   document.Model   `json:"model"`
	Prompt  string           `json:"prompt"`
	Answer  string           `json:"answer"`
}

// Rate returns the rating from 0 to 1 of a model's answer to a request body.
func (c *Client) Rate(ctx context.Context, service document.Service, model document.Model, body, answer []byte) (rating float64, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "rating")
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
		return 0, errors.Newf("status %d", res.StatusCode)
	}
	var reply struct {
		Rating *float64 `json:"rating"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, replyLimit)).Decode(&reply); err != nil {
		return 0, err
	}
	if reply.Rating == nil || *reply.Rating < 0 || *reply.Rating > 1 {
		return 0, errors.New("reply has no rating from 0 to 1")
	}
	return *reply.Rating, nil
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
