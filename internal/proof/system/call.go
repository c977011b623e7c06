package system

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is what a caller sends. Method is POST and Token Hill by default.
type Request struct {
	Method, Path, Body, Token string
	// Header holds further headers, name and value in turn.
	Header []string
	// Timeout is after what time the caller gives up; 10 s by default.
	Timeout time.Duration
}

// BookingRequest is a call that may not be repeated.
func BookingRequest(key, body string) Request {
	return Request{Path: "/v1/services/" + PlainService + "/bookings", Body: body, Header: []string{"Idempotency-Key", key}}
}

// Response is what a caller gets. Err is set if it got no complete answer; Outcome
// is that of the error body, empty for an answer of an upstream.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Outcome string
	Err     error
}

// Succeeded tells whether the answer is a complete one with a status of success.
func (a Response) Succeeded() bool { return a.Err == nil && a.Status/100 == 2 }

// Send sends a call to an entry over a fresh connection.
func (s *System) Send(e *Entry, c Request) (a Response) {
	defer func() {
		if a.Err != nil {
			a.Err = errors.Wrap(a.Err, e.Name)
		}
	}()
	if c.Method == "" {
		c.Method = http.MethodPost
	}
	if c.Token == "" {
		c.Token = HillToken
	}
	if c.Timeout == 0 {
		c.Timeout = 10 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+e.Address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return Response{Err: err}
	}
	r.GetBody = nil // with it, net/http itself sends a call with an Idempotency-Key again
	r.Header.Set("Authorization", "Bearer "+c.Token)
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(c.Header); i += 2 {
		r.Header.Set(c.Header[i], c.Header[i+1])
	}
	t := &http.Transport{DisableKeepAlives: true}
	response, err := t.RoundTrip(r)
	if err != nil {
		return Response{Err: err}
	}
	defer response.Body.Close()
	a = Response{Status: response.StatusCode, Header: response.Header}
	if a.Body, a.Err = io.ReadAll(response.Body); a.Err != nil || a.Status/100 == 2 {
		return a
	}
	var body struct {
		Error struct{ Outcome string }
	}
	if json.Unmarshal(a.Body, &body) == nil {
		a.Outcome = body.Error.Outcome
	}
	return a
}
