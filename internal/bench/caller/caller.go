// Package caller is the client used by tests and the demonstration. It finds an
// entry, retries under the same request id, and checks that each response is
// complete and belongs to its request.
package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Options configures a caller.
type Options struct {
	// Entries are the addresses of instances that serve the list of entries.
	Entries []string
	Token   string // of the client account
	Timer   timer.Service
	Random  *rand.Rand
	// AttemptTimeout limits one attempt, RequestTimeout the request with all its retries.
	AttemptTimeout time.Duration
	RequestTimeout time.Duration
	// MaxAttempts limits how often a request is sent.
	MaxAttempts int
}

// Caller sends the requests of one client account. It is safe for concurrent use.
type Caller struct {
	options Options
	client  *http.Client
	history *History
	entries *entryList

	mu     sync.Mutex
	random *rand.Rand
}

// New returns a caller.
func New(o Options) (c *Caller, err error) {
	if len(o.Entries) == 0 || o.Timer == nil || o.Random == nil {
		return nil, errors.New("caller options: Entries, Timer and Random are required")
	}
	if o.AttemptTimeout == 0 {
		o.AttemptTimeout = 5 * time.Second
	}
	if o.RequestTimeout == 0 {
		o.RequestTimeout = 20 * time.Second
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = 50
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     5 * time.Second,
	}}
	c = &Caller{options: o, client: client, random: o.Random, history: newHistory()}
	c.entries = &entryList{client: client, token: o.Token, timer: o.Timer, seedAddresses: o.Entries}
	return c, nil
}

// History returns the record of all requests.
func (c *Caller) History() *History { return c.history }

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// ChatRequest is a chat completion request.
type ChatRequest struct {
	Model     string
	Prompt    string
	Session   string
	Stream    bool
	MaxTokens int
	// RequestID is generated if empty.
	RequestID string
}

// SendChat sends a chat completion request, with retries, until it gets a response
// or a final error, or runs out of time or attempts.
func (c *Caller) SendChat(ctx context.Context, q ChatRequest) Record {
	r := Record{Kind: KindChat, RequestID: q.RequestID, Session: q.Session, Target: q.Model}
	if r.RequestID == "" {
		r.RequestID = c.newRequestID()
	}
	body := engine.Request{Model: q.Model, Stream: q.Stream, MaxTokens: q.MaxTokens}
	// The request id makes the prompt, and with it the response, unique to this request.
	body.Messages = []engine.Message{{Role: "user", Content: q.Prompt + " #" + r.RequestID}}
	if q.Stream {
		body.StreamOptions = &engine.StreamOptions{IncludeUsage: true}
	}
	return c.send(ctx, r, &chatExchange{body: body})
}

// PlainRequest is a call to a plain service.
type PlainRequest struct {
	Service string
	Method  string
	// Path is the path below the service prefix, with a leading slash.
	Path string
	Body []byte
	// NonIdempotent marks a call that must run at most once; it is sent with an Idempotency-Key.
	NonIdempotent  bool
	IdempotencyKey string
}

// SendPlain sends a call to a plain service, with retries, until it gets a response
// or a final error, or runs out of time or attempts.
func (c *Caller) SendPlain(ctx context.Context, q PlainRequest) Record {
	r := Record{Kind: KindPlain, RequestID: c.newRequestID(), IdempotencyKey: q.IdempotencyKey, Target: q.Path}
	if q.NonIdempotent && r.IdempotencyKey == "" {
		r.IdempotencyKey = "key-" + r.RequestID
	}
	return c.send(ctx, r, &plainExchange{PlainRequest: q})
}

// newRequestID returns a random request id.
func (c *Caller) newRequestID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%016x%016x", c.random.Uint64(), c.random.Uint64())
}

// exchange builds the requests and checks the responses of one kind of request.
type exchange interface {
	// request builds a request to the entry at address.
	request(ctx context.Context, address string) (*http.Request, error)
	// check reads the response to its end and records the result.
	check(r *Record, response *http.Response, now func() timer.Instant)
}

// send runs the attempts of one request and adds the request to the history.
func (c *Caller) send(ctx context.Context, r Record, x exchange) Record {
	r.Begin = c.options.Timer.Now()
	ctx, cancel := timer.WithTimeout(ctx, c.options.Timer, c.options.RequestTimeout)
	defer cancel()
	for r.Attempts < c.options.MaxAttempts {
		delay, retry := c.attempt(ctx, &r, x)
		if !retry || timer.Sleep(ctx, c.options.Timer, delay) != nil {
			break
		}
	}
	r.End = c.options.Timer.Now()
	c.history.add(r)
	return r
}

// retryDelay is the minimum delay between two attempts.
const retryDelay = 20 * time.Millisecond

// attempt sends the request once and returns whether to retry it, and after what delay.
func (c *Caller) attempt(ctx context.Context, r *Record, x exchange) (delay time.Duration, retry bool) {
	address, err := c.entries.currentAddress(ctx)
	if err != nil {
		r.setResult(r.overallOutcome(NotRun), 0, err.Error())
		return 5 * retryDelay, true
	}
	ctx, cancel := timer.WithTimeout(ctx, c.options.Timer, c.options.AttemptTimeout)
	defer cancel()
	request, err := x.request(ctx, address)
	if err != nil {
		r.setResult(Failed, 0, err.Error())
		return 0, false
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Token)
	request.Header.Set("X-Request-Id", r.RequestID)
	if r.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.Session != "" {
		request.Header.Set("Wisteriakeel-Session", r.Session)
	}
	r.Attempts++
	r.Entry = address
	response, err := c.client.Do(request)
	if err != nil {
		c.entries.markFailed(address)
		if isDialError(err) {
			r.setResult(r.overallOutcome(NotRun), 0, err.Error())
		} else {
			r.setInterrupted(0, err)
		}
		return retryDelay, true
	}
	defer response.Body.Close()
	r.retryAfter = 0
	r.SessionMoved = r.SessionMoved || response.Header.Get("Wisteriakeel-Session-Moved") != ""
	x.check(r, response, c.options.Timer.Now)
	return c.retryDecision(r, address)
}

// retryDecision returns whether to retry after an attempt, and after what delay.
func (c *Caller) retryDecision(r *Record, address string) (delay time.Duration, retry bool) {
	switch {
	case r.Outcome == Answered || r.Outcome == Invalid:
		return 0, false
	case r.Status/100 == 4 && r.Status != http.StatusTooManyRequests && r.Status != http.StatusRequestTimeout:
		return 0, false
	}
	if r.Outcome == NotRun {
		// Another entry may be able to serve the request.
		c.entries.markFailed(address)
	}
	return max(retryDelay, min(r.retryAfter, time.Second)), true
}

// isDialError reports whether the connection attempt failed, so that no part of the
// request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
