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

// Request is an HTTP request of a caller. Method defaults to POST, Token to HillToken.
type Request struct {
	Method, Path, Body, Token string
	// Header holds additional headers as alternating names and values.
	Header []string
	// Timeout is the time after which the caller gives up; 10 s by default.
	Timeout time.Duration
}

// BookingRequest returns a request for a booking, which is not idempotent.
func BookingRequest(key, body string) Request {
	return Request{Path: "/v1/services/" + PlainService + "/bookings", Body: body, Header: []string{"Idempotency-Key", key}}
}

// Response is what a caller receives. Err is set if the response was not complete;
// Outcome is taken from the router's error body and is empty for the response of an upstream.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Outcome string
	Err     error
}

// Succeeded reports whether the response is complete and has a 2xx status.
func (r Response) Succeeded() bool { return r.Err == nil && r.Status/100 == 2 }

// Send sends a request to an entry over a new connection.
func (s *System) Send(e *Entry, request Request) (response Response) {
	defer func() {
		if response.Err != nil {
			response.Err = errors.Wrap(response.Err, e.Name)
		}
	}()
	if request.Method == "" {
		request.Method = http.MethodPost
	}
	if request.Token == "" {
		request.Token = HillToken
	}
	if request.Timeout == 0 {
		request.Timeout = 10 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.Timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+e.Address+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return Response{Err: err}
	}
	httpRequest.GetBody = nil // otherwise net/http resends a request with an Idempotency-Key by itself
	httpRequest.Header.Set("Authorization", "Bearer "+request.Token)
	httpRequest.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(request.Header); i += 2 {
		httpRequest.Header.Set(request.Header[i], request.Header[i+1])
	}
	t := &http.Transport{DisableKeepAlives: true}
	httpResponse, err := t.RoundTrip(httpRequest)
	if err != nil {
		return Response{Err: err}
	}
	defer httpResponse.Body.Close()
	response = Response{Status: httpResponse.StatusCode, Header: httpResponse.Header}
	if response.Body, response.Err = io.ReadAll(httpResponse.Body); response.Err != nil || response.Status/100 == 2 {
		return response
	}
	var body struct {
		Error struct{ Outcome string }
	}
	if json.Unmarshal(response.Body, &body) == nil {
		response.Outcome = body.Error.Outcome
	}
	return response
}
