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

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Headers between entry, callers and upstreams.
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

// FeatureResume is the announced feature of engines that continue broken streams.
const FeatureResume = "resume"

// Limits bound one call.
type Limits struct {
	// DialTimeout is the longest time to open a connection.
	DialTimeout time.Duration
	// HeaderTimeout is the longest time to the header of a streamed answer and of a
	// plain call without a timeout of its own.
	HeaderTimeout time.Duration
	// TokenTimeout is the longest time between two reads of a streamed answer.
	TokenTimeout time.Duration
	// CallTimeout is the longest time of the whole call.
	CallTimeout time.Duration
	// MaxBodyBytes is the greatest size of an answer in bytes.
	MaxBodyBytes int64
}

// DefaultLimits returns the limits that are used where the settings name none.
func DefaultLimits() Limits {
	return Limits{
		DialTimeout:   time.Second,
		HeaderTimeout: 10 * time.Second,
		TokenTimeout:  10 * time.Second,
		CallTimeout:   10 * time.Minute,
		MaxBodyBytes:  8 << 20,
	}
}

// Options are what a Dispatcher needs.
type Options struct {
	Timer  timer.Service
	Limits Limits
	// OnLoad receives the load that an upstream reports with an answer.
	OnLoad func(name string, incarnation uint64, load *wire.Load)
	// Dial opens a connection; TCP with keep-alive probes by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends single calls to single upstreams and never retries them.
type Client struct {
	timer  timer.Service
	limits Limits
	load   func(name string, incarnation uint64, load *wire.Load)
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	pooled *http.Transport
}

// New returns a dispatcher. Zero limits take their default.
func New(o Options) *Client {
	d := &Client{timer: o.Timer, limits: o.Limits, load: o.OnLoad, dial: o.Dial}
	base := DefaultLimits()
	for _, l := range []struct{ have, base *time.Duration }{
		{&d.limits.DialTimeout, &base.DialTimeout},
		{&d.limits.HeaderTimeout, &base.HeaderTimeout},
		{&d.limits.TokenTimeout, &base.TokenTimeout},
		{&d.limits.CallTimeout, &base.CallTimeout},
	} {
		if *l.have == 0 {
			*l.have = *l.base
		}
	}
	if d.limits.MaxBodyBytes == 0 {
		d.limits.MaxBodyBytes = base.MaxBodyBytes
	}
	if d.load == nil {
		d.load = func(string, uint64, *wire.Load) {}
	}
	if d.dial == nil {
		// Probes find a peer that is gone while the entry waits for its answer.
		dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3,
		}}
		d.dial = dialer.DialContext
	}
	d.pooled = transport(d.connect)
	return d
}

// connect opens a guarded connection within the dial limit.
func (d *Client) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := timer.WithTimeout(ctx, d.timer, d.limits.DialTimeout)
	defer cancel()
	c, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guarded{Conn: c}, nil
}

// transport returns a plain HTTP/1.1 transport without proxy settings from the
// environment and without compression, which would hide the content length.
func transport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        5 * time.Second, // a silent idle connection is dropped after this time
		MaxResponseHeaderBytes: 64 << 10,
	}
}

// Close drops idle connections.
func (d *Client) Close() { d.pooled.CloseIdleConnections() }

// Dial opens a connection for a call that may not be repeated, so that an
// upstream that cannot be reached is found before the claim is moved on.
func (d *Client) Dial(ctx context.Context, u *wire.Upstream) (c net.Conn, err error) {
	c, err = d.connect(ctx, "tcp", u.Address)
	if err != nil {
		return nil, &Failure{Outcome: NotRun, Reason: "upstream cannot be reached", UpstreamFault: true, Err: err}
	}
	return c, nil
}

// single hands out one connection once; a second dial fails, so that net/http
// cannot send the call again.
type single struct {
	conn net.Conn
	used atomic.Bool
}

func (s *single) dial(context.Context, string, string) (net.Conn, error) {
	if s.used.Swap(true) {
		return nil, errors.New("the connection of this call was already used")
	}
	return s.conn, nil
}

// call is one call in progress.
type call struct {
	owner    *Client
	upstream *wire.Upstream
	timer    timer.Service
	cancel   context.CancelCauseFunc
	// reached is true once a connection was handed to the call; bytes may be written from then on.
	reached atomic.Bool
	// withdrawn is set once the check failed. net/http may report the closing of
	// the connection instead of the error of the write.
	withdrawn atomic.Pointer[Failure]

	mu      sync.Mutex
	stop    func()
	overall func()
}

// begin starts the deadlines of a call.
func (d *Client) begin(ctx context.Context, u *wire.Upstream, check func() error, header, overall time.Duration) (context.Context, *call) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &call{owner: d, upstream: u, timer: d.timer, cancel: cancel, stop: func() {}}
	c.overall = d.timer.AfterFunc(overall, func() { cancel(ErrCallTimeout) })
	c.expect(header, ErrHeaderTimeout)
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c.reached.Store(true)
		if g, ok := i.Conn.(*guarded); ok {
			g.arm(c.checked(check))
		}
	}}
	return httptrace.WithClientTrace(ctx, trace), c
}

// checked notes the failure of the check.
func (c *call) checked(check func() error) func() error {
	if check == nil {
		return nil
	}
	return func() error {
		err := check()
		if err == nil {
			c.withdrawn.Store(nil) // net/http took another connection after a first check
			return nil
		}
		c.withdrawn.Store(&Failure{Outcome: NotRun, Reason: "withdrawn before it was sent", PreSendCheckFailed: true, Err: err})
		return err
	}
}

// expect replaces the deadline for the next sign of progress.
func (c *call) expect(d time.Duration, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop()
	c.stop = c.timer.AfterFunc(d, func() { c.cancel(cause) })
}

func (c *call) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop()
	c.overall()
	c.cancel(context.Canceled)
}

// send makes the round trip up to the answer's header and checks what all answers must have.
func (c *call) send(r *http.Request, t http.RoundTripper, id string) (*http.Response, error) {
	propagation.TraceContext{}.Inject(r.Context(), propagation.HeaderCarrier(r.Header))
	r.Header.Set(HeaderRequestID, id)
	r.GetBody = nil // with it, net/http sends a call with an Idempotency-Key again
	resp, err := t.RoundTrip(r)
	if err != nil {
		return nil, c.broken(r.Context(), err)
	}
	if l, err := ParseLoad(resp.Header.Get(HeaderLoad)); err == nil && resp.Header.Get(HeaderLoad) != "" {
		c.owner.load(c.upstream.Name, c.upstream.Incarnation, l)
	}
	if err := c.check(resp, r.Method, id); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// check verifies that the answer belongs to the request and that its end can be told.
func (c *call) check(resp *http.Response, method, id string) error {
	got := resp.Header.Get(HeaderRequestID)
	refused := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(NotRun)
	if refused && (got == id || got == "") {
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

// broken classifies a transport error: without a connection nothing was sent.
func (c *call) broken(ctx context.Context, err error) *Failure {
	if w := c.withdrawn.Load(); w != nil {
		return w
	}
	f := &Failure{Outcome: Unknown, Reason: "connection to the upstream broke", UpstreamFault: true, Err: err}
	if !c.reached.Load() {
		f.Outcome, f.Reason = NotRun, "upstream cannot be reached"
	}
	f.ConnectionBroken = c.reached.Load() && (ctx.Err() == nil || broke(err))
	if cause := context.Cause(ctx); cause != nil {
		f.Err = cause
		f.UpstreamFault = errors.Is(cause, ErrHeaderTimeout) || errors.Is(cause, ErrTokenTimeout)
		if f.UpstreamFault || errors.Is(cause, ErrCallTimeout) || errors.Is(cause, context.DeadlineExceeded) {
			// Connections go silent together, so the idle ones are not used again either.
			c.owner.pooled.CloseIdleConnections()
		}
		if f.Outcome == Unknown {
			f.Reason = "call was ended before its answer was complete"
		}
	}
	return f
}

// broke tells an error of the connection itself from one of a call that was ended.
func broke(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// body reads a bounded answer to the end of its framing.
func (c *call) body(ctx context.Context, resp *http.Response, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		f := c.broken(ctx, err)
		f.Status = resp.StatusCode
		return nil, f
	}
	if int64(len(b)) > limit {
		return nil, &Failure{Outcome: Unknown, Reason: "answer exceeds the size limit", Status: resp.StatusCode, UpstreamFault: true}
	}
	return b, nil
}
