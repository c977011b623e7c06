package upstream

import (
	"context"
	"io"
	"mime"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/gateway/connlimit"
	"wisteriakeel.example/wisteriakeel/internal/gateway/reachability"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Errors of an exchange. Those of Send are marked as ErrNotSent or ErrInterrupted, those of
// ReadAll as ErrInterrupted.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrInterrupted means that the request was or may have been sent, and that its outcome
	// is unknown.
	ErrInterrupted = errors.New("exchange with the upstream was interrupted")
	// ErrResponseMismatch means that the response received is not for this request.
	ErrResponseMismatch = errors.New("response does not match the request")
)

const (
	// maxInlineBytes is the size up to which a request is sent before its response is read. A
	// longer one is sent concurrently, since an upstream may respond before it has read it all.
	maxInlineBytes = 8 << 10
	// maxBodyBytes limits the body of a response that is not a stream, and maxDiscardedBytes
	// that of a response to another request.
	maxBodyBytes      = 4 << 20
	maxDiscardedBytes = 256 << 10
	// maxUnneededBytes and maxDiscardTime limit the reading of a body that is not needed. A new
	// connection costs less than a longer wait.
	maxUnneededBytes = 16 << 10
	maxDiscardTime   = 100 * time.Millisecond
	// maxHeaderBytes limits what is read until the header of the response is complete,
	// including interim responses.
	maxHeaderBytes = 64 << 10
	// maxBufferedBytes limits the bodies and events of all responses that are held in memory
	// at once. Some upstreams in trouble send bytes without end on many connections.
	maxBufferedBytes = 12 << 20
	// blockBytes is the size of the blocks in which bodies are read. The first one of each
	// response does not count against maxBufferedBytes.
	blockBytes = 16 << 10
	// maxSkippedResponses limits the responses to other requests that are skipped on a
	// connection.
	maxSkippedResponses = 2
	// idleCheckInterval is how often expired idle connections are closed.
	idleCheckInterval = 2 * time.Second
)

// Request is a request as it is sent to an upstream.
type Request struct {
	// ID identifies the request. The upstream echoes it.
	ID     string
	Method string
	URI    string // path and query
	Host   string
	Header http.Header
	// Body is in parts, which are written as they are: a copy for each dispatch would double the memory.
	Body [][]byte
	// NewConnection requires a connection that was not used before.
	NewConnection bool
	// BeforeSend, if set, is called once the connection is open, immediately before the
	// request is written. It may change Header. If it fails, nothing is sent.
	BeforeSend func() error
	// OnBroken, if set, is called before the connection is opened if one that was kept has ended before its
	// time: the upstream may have restarted.
	OnBroken func()
	// OnLateResponse, if set, is called with the head of a response that begins after the context is done.
	OnLateResponse func(status int, header http.Header)
}

// Client sends requests and pools idle connections. It is safe for concurrent use.
type Client struct {
	protocol  *Protocol
	pool      *pool
	connector *connector
	timer     timer.Service
	buffers   *buffers
	blocks    sync.Pool // of *block
}

// Options configures a client.
type Options struct {
	Protocol *Protocol
	Dialer   Dialer
	// Detour is nil if there are no other instances.
	Detour Detour
	// Scope returns what is known of the limit of connections to an upstream. It is nil if there are no limits.
	Scope func(id string) connlimit.Scope
	Timer timer.Service
	Log   *zap.Logger
}

// New returns a client.
func New(o Options) *Client {
	p := newPool(o)
	return &Client{
		protocol: o.Protocol, pool: p, timer: o.Timer, buffers: newBuffers(), blocks: sync.Pool{New: func() any { return new(block) }},
		connector: &connector{dialer: o.Dialer, detour: o.Detour, reach: reachability.New(o.Timer), pool: p, timer: o.Timer, log: o.Log},
	}
}

// Run closes expired idle connections until the context is done.
func (c *Client) Run(ctx context.Context) error { return c.closeExpiredLoop(ctx) }

func (c *Client) closeExpiredLoop(ctx context.Context) error {
	ticks := c.timer.Subscribe(idleCheckInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			c.pool.closeExpired()
		}
	}
}

// Framing is how the end of a body is marked.
type Framing string

const (
	// FramingLength is a body with a Content-Length, or one that has none by definition.
	FramingLength Framing = "length"
	// FramingChunked is a body in chunks.
	FramingChunked Framing = "chunked"
	// FramingClose is a body that ends with its connection.
	FramingClose Framing = "close"
)

// framingOf returns the framing of a response.
func framingOf(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0:
		return FramingLength
	case len(r.TransferEncoding) > 0:
		return FramingChunked
	default:
		return FramingClose
	}
}

// Response is the header of a response and its body. It must be closed.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the header contains none.
	ContentLength int64
	Framing       Framing

	client  *Client
	address string
	conn    *conn // nil after Close
	body    io.ReadCloser
	close   bool // the connection must be closed after the exchange
	// sendResult receives the result of sending the request in the background. It is nil if
	// the request was sent before its response was read.
	sendResult <-chan error
	sendErr    error // the result of sending, once it was received
	// stopAbort keeps the context from aborting the exchange. It returns false if that has begun.
	stopAbort func() bool
	complete  bool   // the body was read to its end
	abort     func() // makes all reads fail
	// holder holds the memory of the response, other than that of a Body.
	holder *holder
}

// IsEventStream reports whether the body is a sequence of events. A body without a content type
// counts as one unless it has a length, which streams seldom have.
func (r *Response) IsEventStream() bool {
	value := r.Header.Get("Content-Type")
	if value == "" {
		return r.Framing != FramingLength
	}
	mediaType, _, err := mime.ParseMediaType(value)
	return err == nil && mediaType == "text/event-stream"
}

// Send sends a request and returns once the header of its response has arrived. Until
// Close, the exchange is aborted when the context is done.
func (c *Client) Send(ctx context.Context, t Target, q *Request) (r *Response, err error) {
	cn, err := c.connect(ctx, t, q)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	response := &Response{client: c, address: t.Address, conn: cn, close: cn.detour, abort: cn.abort, holder: &holder{evict: cn.abort}}
	response.stopAbort = context.AfterFunc(ctx, cn.interrupt)
	late := false
	defer func() {
		if err != nil {
			if !cn.used && errors.Is(err, syscall.ECONNRESET) {
				c.pool.recordReset(t)
			}
			if !late {
				response.Close()
			}
			if cause := context.Cause(ctx); cause != nil {
				err = errors.WithSecondaryError(cause, err)
			}
			r, err = nil, errors.Mark(errors.Wrapf(err, "exchange with %s", t.Address), ErrInterrupted)
		}
	}()
	if err := response.writeRequest(q); err != nil {
		return nil, err
	}
	if late = !response.awaitHeader(); late {
		go response.readLate(q)
		return nil, errors.New("response has not begun")
	}
	return response, response.readHeader(q)
}

// abort makes all reads and writes fail.
func (c *conn) abort() { _ = c.Close() }

// readHeader reads the header of the response and skips late responses to other requests.
func (r *Response) readHeader(q *Request) error {
	r.conn.limit.set(maxHeaderBytes)
	defer r.conn.limit.set(noLimit)
	for range maxSkippedResponses + 1 {
		res, err := readHead(r.conn.reader, q.Method)
		if err != nil {
			return err
		}
		echo := res.Header.Get(r.client.protocol.RequestID)
		notExecuted := res.Header.Get(r.client.protocol.NotExecuted) != "" || res.StatusCode == http.StatusMisdirectedRequest
		// Without an id, a refusal on a connection in use again may be a copy of an earlier one.
		if echo == q.ID || (echo == "" && notExecuted && !r.conn.used) {
			r.Status, r.Header, r.ContentLength, r.body = res.StatusCode, res.Header, res.ContentLength, res.Body
			r.Framing = framingOf(res)
			r.close = r.close || res.Close || r.Framing == FramingClose
			return nil
		}
		// A connection that carried the response to another request is not reused.
		r.close = true
		if echo == "" || framingOf(res) == FramingClose {
			return errors.Wrapf(ErrResponseMismatch, "status %d, request id %q", res.StatusCode, echo)
		}
		r.conn.limit.set(maxDiscardedBytes)
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return errors.Wrap(err, "skip a response to another request")
		}
		r.conn.limit.set(maxHeaderBytes)
	}
	return errors.Wrap(ErrResponseMismatch, "too many responses to other requests")
}

// Read reads the body.
func (r *Response) Read(b []byte) (n int, err error) {
	n, err = r.body.Read(b)
	if errors.Is(err, io.EOF) {
		if endErr := r.checkEnd(); endErr != nil {
			return n, endErr
		}
		r.complete = true
	}
	return n, err
}

// reserve accounts for memory that the response takes beyond one block until Close. It fails if
// this response holds the most of all and there is too little.
func (r *Response) reserve(n int) error { return r.client.buffers.reserve(r.holder, n) }

// Discard reads the rest of a short body that is not needed, so that the connection can be reused.
// It gives up, and the connection is closed, if the body is long or late.
func (r *Response) Discard() error {
	if r.complete {
		return nil
	}
	stop := r.client.timer.AfterFunc(maxDiscardTime, r.abort)
	defer stop()
	var b [1024]byte
	for size := 0; size <= maxUnneededBytes; {
		n, err := r.Read(b[:])
		size += n
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "discard response body")
		}
	}
	return errors.Newf("response body exceeds %d bytes", maxUnneededBytes)
}

// Close ends the exchange. The connection is reused if the response was read to its end,
// nothing else arrived and the request was sent completely.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	cn := r.conn
	r.conn = nil
	r.client.buffers.release(r.holder)
	notAborted := r.stopAbort()
	idleTimeout := defaultIdleTimeout
	if r.Header != nil {
		idleTimeout = parseKeepAlive(r.Header.Get("Keep-Alive"))
	}
	if !notAborted || !r.complete || r.close || idleTimeout <= 0 || cn.reader.Buffered() > 0 || !r.requestSent() {
		discard(cn)
		return
	}
	cn.used = true
	r.client.pool.put(r.address, cn, idleTimeout)
}

// requestSent reports whether the whole request has been sent.
func (r *Response) requestSent() bool {
	if r.sendResult == nil {
		return r.sendErr == nil
	}
	select {
	case err := <-r.sendResult:
		return err == nil
	default:
		return false
	}
}
