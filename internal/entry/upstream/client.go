package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"

	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/kernel/retryafter"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// HTTP headers used between the entry, its callers and upstreams.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderVersion        = "Wisteriakeel-Version"
	HeaderPriority       = "Wisteriakeel-Priority"
	HeaderResume         = "Wisteriakeel-Resume"
	HeaderLoad           = "Wisteriakeel-Load"
	HeaderOutcome        = "Wisteriakeel-Outcome"
	HeaderAccount        = "Wisteriakeel-Account"
)

// FeatureResume is the feature that engines announce if they can continue an
// interrupted stream.
const FeatureResume = "resume"

// Limits limits the duration and the response size of one request to an upstream.
type Limits struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// HeaderTimeout limits the time until the header of a streamed response, or of
	// the response to a plain request without a timeout of its own.
	HeaderTimeout time.Duration
	// EventGapTimeout limits the time between two events of a streamed response.
	EventGapTimeout time.Duration
	// MaxRequestTimeout limits the time from sending the request to the end of the response.
	MaxRequestTimeout time.Duration
	// MaxBodyBytes limits the size of a response that is not streamed.
	MaxBodyBytes int64
}

// DefaultLimits returns the limits that apply where the settings specify none.
func DefaultLimits() Limits {
	return Limits{
		DialTimeout:       time.Second,
		HeaderTimeout:     10 * time.Second,
		EventGapTimeout:   10 * time.Second,
		MaxRequestTimeout: 10 * time.Minute,
		MaxBodyBytes:      8 << 20,
	}
}

// Options are the dependencies and settings of a Client.
type Options struct {
	Timer  timer.Service
	Limits Limits
	// OnLoad is called with the load that an upstream reports in a response header.
	// It may be nil.
	OnLoad func(name string, incarnation uint64, load *wire.Load)
	// OnPause is called when an upstream wants no requests of this entry for some time. It may be nil.
	OnPause func(p Pause)
	// Dial opens a connection; TCP with keep-alive probes by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pause is a time for which an upstream wants no requests of this entry.
type Pause struct {
	Upstream *wire.Upstream
	Request  string // ID of the request that was answered so
	Value    string // as the upstream stated it
	Duration time.Duration
	Err      error // not nil if the value is invalid and Duration a default or a limit
}

// Client sends each request to one given upstream. It does not retry failed requests.
type Client struct {
	timer           timer.Service
	limits          Limits
	onLoad          func(name string, incarnation uint64, load *wire.Load)
	onPause         func(p Pause)
	dial            func(ctx context.Context, network, address string) (net.Conn, error)
	pooledTransport *http.Transport
}

// New returns a client. Limits that are zero are replaced by their defaults.
func New(o Options) *Client {
	cl := &Client{timer: o.Timer, limits: o.Limits, onLoad: o.OnLoad, onPause: o.OnPause, dial: o.Dial}
	defaults := DefaultLimits()
	for _, l := range []struct{ limit, fallback *time.Duration }{
		{&cl.limits.DialTimeout, &defaults.DialTimeout},
		{&cl.limits.HeaderTimeout, &defaults.HeaderTimeout},
		{&cl.limits.EventGapTimeout, &defaults.EventGapTimeout},
		{&cl.limits.MaxRequestTimeout, &defaults.MaxRequestTimeout},
	} {
		if *l.limit == 0 {
			*l.limit = *l.fallback
		}
	}
	if cl.limits.MaxBodyBytes == 0 {
		cl.limits.MaxBodyBytes = defaults.MaxBodyBytes
	}
	if cl.onLoad == nil {
		cl.onLoad = func(string, uint64, *wire.Load) {}
	}
	if cl.onPause == nil {
		cl.onPause = func(Pause) {}
	}
	if cl.dial == nil {
		// Keep-alive probes detect an unreachable upstream while the entry waits for a response.
		dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3,
		}}
		cl.dial = dialer.DialContext
	}
	cl.pooledTransport = newTransport(cl.connect)
	return cl
}

// connect opens a connection that supports pre-send checks, within the dial timeout.
func (cl *Client) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := timer.WithTimeout(ctx, cl.timer, cl.limits.DialTimeout)
	defer cancel()
	c, err := cl.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: c}, nil
}

// Limits of a transport.
const (
	// maxIdleConnsPerUpstream is the number of idle connections kept open to each upstream.
	maxIdleConnsPerUpstream = 64
	// idleTimeout is how long an idle connection may be reused. It is short, since an
	// idle connection may have died unnoticed.
	idleTimeout            = 5 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

// newTransport returns an HTTP/1.1 transport that ignores proxy settings from the
// environment. It disables compression, which would hide the content length.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerUpstream,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// Close closes idle connections.
func (cl *Client) Close() { cl.pooledTransport.CloseIdleConnections() }

// Dial opens a connection for SendPlainOnce. Connecting separately detects an
// unreachable upstream before the claim on the request's idempotency key advances.
func (cl *Client) Dial(ctx context.Context, u *wire.Upstream) (c net.Conn, err error) {
	c, err = cl.connect(ctx, "tcp", u.Address)
	if err != nil {
		return nil, &Failure{Outcome: NotRun, Reason: "upstream cannot be reached", UpstreamFault: true, Err: err}
	}
	return c, nil
}

// singleUseDialer returns its connection for the first dial only. Further dials
// fail, so that net/http cannot send the request again.
type singleUseDialer struct {
	conn      net.Conn
	handedOut atomic.Bool
}

func (s *singleUseDialer) dial(context.Context, string, string) (net.Conn, error) {
	if s.handedOut.Swap(true) {
		return nil, errors.New("connection of a request that must not be repeated was already used")
	}
	return s.conn, nil
}

// call is one request in progress.
type call struct {
	client   *Client
	upstream *wire.Upstream
	timer    timer.Service
	cancel   context.CancelCauseFunc
	// connected is true once the request has a connection; from then on, bytes of it
	// may have been sent.
	connected atomic.Bool
	// reused is true if the connection has carried another request.
	reused atomic.Bool
	// checkFailure is set once the pre-send check failed. It is kept here because
	// net/http may report that the connection was closed instead of the write error.
	checkFailure atomic.Pointer[Failure]

	// mu guards the functions that stop the timers.
	mu                 sync.Mutex
	stopDeadline       func()
	stopRequestTimeout func()
}

// startCall starts the timers of a request and returns a context that they cancel.
// The check runs before the first byte is written.
func (cl *Client) startCall(ctx context.Context, u *wire.Upstream, check func() error, headerTimeout, requestTimeout time.Duration) (context.Context, *call) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &call{client: cl, upstream: u, timer: cl.timer, cancel: cancel, stopDeadline: func() {}}
	c.stopRequestTimeout = cl.timer.AfterFunc(requestTimeout, func() { cancel(ErrRequestTimeout) })
	c.setDeadline(headerTimeout, ErrHeaderTimeout)
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c.connected.Store(true)
		c.reused.Store(i.Reused)
		if g, ok := i.Conn.(*checkedConn); ok {
			g.setCheck(c.recordFailure(check))
		}
	}}
	return httptrace.WithClientTrace(ctx, trace), c
}

// recordFailure wraps the check so that its failure is stored in checkFailure.
func (c *call) recordFailure(check func() error) func() error {
	if check == nil {
		return nil
	}
	return func() error {
		err := check()
		if err == nil {
			c.checkFailure.Store(nil) // set if net/http switched to another connection after a failed check
			return nil
		}
		c.checkFailure.Store(&Failure{Outcome: NotRun, Reason: "withdrawn before it was sent", PreSendCheckFailed: true, Err: err})
		return err
	}
}

// setDeadline replaces the current progress deadline. If it passes, the call is
// cancelled with the given cause.
func (c *call) setDeadline(timeout time.Duration, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopDeadline()
	c.stopDeadline = c.timer.AfterFunc(timeout, func() { c.cancel(cause) })
}

// finish stops the timers and cancels the context.
func (c *call) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopDeadline()
	c.stopRequestTimeout()
	c.cancel(context.Canceled)
}

// send sends the request, waits for the response header and checks the properties
// that every response must have.
func (c *call) send(r *http.Request, t http.RoundTripper, id string) (*http.Response, error) {
	propagation.TraceContext{}.Inject(r.Context(), propagation.HeaderCarrier(r.Header))
	r.Header.Set(HeaderRequestID, id)
	r.GetBody = nil // net/http would use it to resend a request with an Idempotency-Key
	resp, err := t.RoundTrip(r)
	if err != nil {
		return nil, c.transportFailure(r.Context(), err)
	}
	if l, err := ParseLoad(resp.Header.Get(HeaderLoad)); err == nil && resp.Header.Get(HeaderLoad) != "" {
		c.client.onLoad(c.upstream.Name, c.upstream.Incarnation, l)
	}
	if value := resp.Header.Get("Retry-After"); value != "" && asksForPause(resp.StatusCode) {
		p := Pause{Upstream: c.upstream, Request: id, Value: value}
		p.Duration, p.Err = retryafter.Parse(value)
		c.client.onPause(p)
	}
	if err := c.checkResponse(resp, r.Method, id); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// asksForPause reports whether Retry-After in a response with this status asks for a pause.
func asksForPause(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// checkResponse verifies that the response has a status that one may have, belongs to the
// request and has a detectable end: a content length or chunked encoding.
func (c *call) checkResponse(resp *http.Response, method, id string) error {
	// net/http returns a 101, which was not asked for, and statuses that are none of HTTP.
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return &Failure{
			Outcome: Unknown, Reason: "answer has the invalid status " + strconv.Itoa(resp.StatusCode),
			Status: resp.StatusCode, UpstreamFault: true,
		}
	}
	got := resp.Header.Get(HeaderRequestID)
	rejected := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(NotRun)
	// Without an id, a refusal on a connection in use again may be a copy of an earlier one.
	if rejected && (got == id || got == "" && !c.reused.Load()) {
		return &Failure{Outcome: NotRun, Reason: "upstream refused the call", Status: resp.StatusCode, Rejected: true}
	}
	if got != id {
		return &Failure{
			Outcome: Unknown, Reason: "answer belongs to another request " + strconv.Quote(got),
			Status: resp.StatusCode, UpstreamFault: true,
		}
	}
	chunked := len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
	if resp.ContentLength < 0 && !chunked && method != http.MethodHead {
		return &Failure{
			Outcome: Unknown, Reason: "answer has neither a length nor chunks",
			Status: resp.StatusCode, UpstreamFault: true,
		}
	}
	return nil
}

// transportFailure converts a transport error to a Failure. Without a connection,
// nothing was sent, so the request did not run.
func (c *call) transportFailure(ctx context.Context, err error) *Failure {
	if failed := c.checkFailure.Load(); failed != nil {
		return failed
	}
	f := &Failure{Outcome: Unknown, Reason: "connection to the upstream broke", UpstreamFault: true, Err: err}
	if !c.connected.Load() {
		f.Outcome, f.Reason = NotRun, "upstream cannot be reached"
	}
	f.ConnectionBroken = c.connected.Load() && (ctx.Err() == nil || isConnectionError(err))
	if cause := context.Cause(ctx); cause != nil {
		f.Err = cause
		f.UpstreamFault = errors.Is(cause, ErrHeaderTimeout) || errors.Is(cause, ErrEventGapTimeout)
		if f.UpstreamFault || errors.Is(cause, ErrRequestTimeout) || errors.Is(cause, context.DeadlineExceeded) {
			// A network failure often affects all connections at once, so the idle ones
			// are not reused either.
			c.client.pooledTransport.CloseIdleConnections()
		}
		if f.Outcome == Unknown {
			f.Reason = "call was ended before its answer was complete"
		}
	}
	return f
}

// isConnectionError reports whether the connection itself broke, as opposed to a
// request that was cancelled.
func isConnectionError(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// readBody reads the whole response body. A body longer than limit is an error.
func (c *call) readBody(ctx context.Context, resp *http.Response, limit int64) ([]byte, error) {
	announced := resp.ContentLength
	if resp.Request.Method == http.MethodHead {
		announced = 0 // of the body that a GET would get
	}
	b, err := memory.FromContext(ctx).ReadWhole(memory.Response, resp.Body, announced, limit)
	switch {
	case errors.Is(err, memory.ErrTooLong):
		return nil, &Failure{Outcome: Unknown, Reason: "answer exceeds the size limit", Status: resp.StatusCode, UpstreamFault: true}
	case errors.Is(err, memory.ErrShort):
		return nil, &Failure{Outcome: Unknown, Reason: "memory is short", Status: resp.StatusCode, Err: err}
	case err != nil:
		f := c.transportFailure(ctx, err)
		f.Status = resp.StatusCode
		return nil, f
	}
	return b, nil
}
