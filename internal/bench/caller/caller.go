// Package caller is the client of the tests and the demonstration: it finds an
// entry, resends under the same identity and checks that each answer is whole
// and its own.
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
	// Entries are addresses of instances that can be asked for the list of entries.
	Entries []string
	Token   string
	Timer   timer.Service
	Random  *rand.Rand
	// AttemptTimeout is the longest time of one attempt, Deadline that of the whole request.
	AttemptTimeout time.Duration
	RequestTimeout time.Duration
	// MaxAttempts bounds how often a request is sent.
	MaxAttempts int
}

// Caller is one client account's client. It may be used concurrently.
type Caller struct {
	options Options
	client  *http.Client
	history *History
	list    *list

	mu     sync.Mutex
	random *rand.Rand
}

// New returns a caller.
func New(o Options) (c *Caller, err error) {
	if len(o.Entries) == 0 || o.Timer == nil || o.Random == nil {
		return nil, errors.New("caller needs entries, a timer service and a source of random numbers")
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
	c.list = &list{client: client, token: o.Token, timer: o.Timer, seeds: o.Entries}
	return c, nil
}

// History returns the record of all requests.
func (c *Caller) History() *History { return c.history }

// Close drops the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// ChatRequest is one chat completion request.
type ChatRequest struct {
	Model     string
	Prompt    string
	Session   string
	Stream    bool
	MaxTokens int
	// RequestID is the request id; empty for a new one.
	RequestID string
}

// SendChat sends a chat completion request until it has an answer or a final refusal.
func (c *Caller) SendChat(ctx context.Context, q ChatRequest) Record {
	r := Record{Kind: KindChat, RequestID: q.RequestID, Session: q.Session, Target: q.Model}
	if r.RequestID == "" {
		r.RequestID = c.identity()
	}
	body := engine.Request{Model: q.Model, Stream: q.Stream, MaxTokens: q.MaxTokens}
	// The request id in the prompt makes the answer differ from that of any other request.
	body.Messages = []engine.Message{{Role: "user", Content: q.Prompt + " #" + r.RequestID}}
	if q.Stream {
		body.StreamOptions = &engine.StreamOptions{IncludeUsage: true}
	}
	return c.send(ctx, r, &chat{body: body})
}

// PlainRequest is one call of a plain service.
type PlainRequest struct {
	Service string
	Method  string
	// Path is the path below the service prefix, with a leading slash.
	Path string
	Body []byte
	// NonIdempotent marks a call that may not be repeated; it gets an Idempotency-Key.
	NonIdempotent  bool
	IdempotencyKey string
}

// SendPlain sends a call of a plain service until it has an answer or a final refusal.
func (c *Caller) SendPlain(ctx context.Context, q PlainRequest) Record {
	r := Record{Kind: KindPlain, RequestID: c.identity(), IdempotencyKey: q.IdempotencyKey, Target: q.Path}
	if q.NonIdempotent && r.IdempotencyKey == "" {
		r.IdempotencyKey = "key-" + r.RequestID
	}
	return c.send(ctx, r, &call{PlainRequest: q})
}

// identity returns a new random request id.
func (c *Caller) identity() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%016x%016x", c.random.Uint64(), c.random.Uint64())
}

// exchange is one kind of request.
type exchange interface {
	// request builds the request to one address.
	request(ctx context.Context, address string) (*http.Request, error)
	// check reads the answer to its end and fills the record.
	check(r *Record, response *http.Response, now func() timer.Instant)
}

// send runs the attempts of one request and records it.
func (c *Caller) send(ctx context.Context, r Record, x exchange) Record {
	r.Begin = c.options.Timer.Now()
	ctx, cancel := timer.WithTimeout(ctx, c.options.Timer, c.options.RequestTimeout)
	defer cancel()
	for r.Attempts < c.options.MaxAttempts {
		wait, again := c.attempt(ctx, &r, x)
		if !again || timer.Sleep(ctx, c.options.Timer, wait) != nil {
			break
		}
	}
	r.End = c.options.Timer.Now()
	c.history.add(r)
	return r
}

// pause is the wait before another address is tried.
const pause = 20 * time.Millisecond

// attempt sends the request once; it tells whether and when to send it again.
func (c *Caller) attempt(ctx context.Context, r *Record, x exchange) (wait time.Duration, again bool) {
	address, err := c.list.address(ctx)
	if err != nil {
		r.note(r.worse(NotRun), 0, err.Error())
		return 5 * pause, true
	}
	ctx, cancel := timer.WithTimeout(ctx, c.options.Timer, c.options.AttemptTimeout)
	defer cancel()
	request, err := x.request(ctx, address)
	if err != nil {
		r.note(Failed, 0, err.Error())
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
		c.list.failed(address)
		if refusedConnection(err) {
			r.note(r.worse(NotRun), 0, err.Error())
		} else {
			r.broke(0, err)
		}
		return pause, true
	}
	defer response.Body.Close()
	r.retry = 0
	r.SessionMoved = r.SessionMoved || response.Header.Get("Wisteriakeel-Session-Moved") != ""
	x.check(r, response, c.options.Timer.Now)
	return c.decide(r, address)
}

// decide tells whether the outcome of an attempt is final.
func (c *Caller) decide(r *Record, address string) (wait time.Duration, again bool) {
	switch {
	case r.Outcome == Answered || r.Outcome == Invalid:
		return 0, false
	case r.Status/100 == 4 && r.Status != http.StatusTooManyRequests && r.Status != http.StatusRequestTimeout:
		return 0, false
	}
	if r.Outcome == NotRun {
		// Another entry may hold what this one lacks.
		c.list.failed(address)
	}
	return max(pause, min(r.retry, time.Second)), true
}

// refusedConnection tells whether no byte of the request can have been sent.
func refusedConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
