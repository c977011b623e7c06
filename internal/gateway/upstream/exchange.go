package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Errors of an exchange. Every error is marked as one of them.
var (
	// ErrNotSent says that no byte of the request was sent.
	ErrNotSent = errors.New("no connection to the upstream")
	// ErrInterrupted says that the request was sent and that its outcome is not known.
	ErrInterrupted = errors.New("exchange with the upstream broke off")
	// ErrResponseMismatch says that what arrived is not the answer to the request.
	ErrResponseMismatch = errors.New("answer does not belong to the request")
)

const (
	// inlineBytes are sent before the answer is read. A longer request is sent beside the
	// reading, since an upstream may answer before it has read it.
	inlineBytes = 8 << 10
	// maxBody bounds an answer that is not a stream.
	maxBody = 16 << 20
	// maxForeign is the number of answers of other requests that are skipped on a connection.
	maxForeign = 2
	// sweepEvery is the pause between two looks at idle connections.
	sweepEvery = 2 * time.Second
)

// Request is one request as it is sent.
type Request struct {
	// ID is the identity of the request, which the upstream echoes.
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection asks for a connection that was not used before.
	NewConnection bool
}

// Client sends calls. It is safe for concurrent use.
type Client struct {
	names *Protocol
	pool  *pool
	timer timer.Service
}

// New returns a client.
func New(n *Protocol, t timer.Service) *Client { return &Client{names: n, pool: newPool(t), timer: t} }

// Run closes idle connections until the context is done.
func (c *Client) Run(ctx context.Context) error { return c.loop(ctx) }

func (c *Client) loop(ctx context.Context) error {
	ticks := c.timer.Subscribe(sweepEvery)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			c.pool.sweep()
		}
	}
}

// Response is the head of an answer and its body, which is read to its end or closed.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the head states none.
	ContentLength int64

	client  *Client
	address string
	conn    *conn
	body    io.ReadCloser
	close   bool
	sending <-chan error
	stop    func() bool
	ended   bool
}

// Send sends a call and returns once the head of its answer has arrived. The
// context ends the exchange at any time until Close.
func (c *Client) Send(ctx context.Context, address string, q *Request) (a *Response, err error) {
	k, err := c.connect(ctx, address, q.NewConnection)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrNotSent)
	}
	a = &Response{client: c, address: address, conn: k}
	a.stop = context.AfterFunc(ctx, k.abort)
	defer func() {
		if err != nil {
			a.Close()
			if cause := context.Cause(ctx); cause != nil {
				err = errors.WithSecondaryError(cause, err)
			}
			a, err = nil, errors.Mark(errors.Wrapf(err, "exchange with %s", address), ErrInterrupted)
		}
	}()
	if err := a.write(q); err != nil {
		return nil, err
	}
	return a, a.head(q)
}

func (c *Client) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if k := c.pool.take(address); k != nil {
			return k, nil
		}
	}
	return dial(ctx, address)
}

// AcceptsConnections tells whether an upstream accepts connections. One that does not answer in
// time counts as listening: only a refusal is evidence of its end.
func (c *Client) AcceptsConnections(ctx context.Context, address string) bool {
	k, err := dial(ctx, address)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	c.pool.put(address, k, idleDefault)
	return true
}

// abort ends all reads and writes.
func (c *conn) abort() { _ = c.Close() }

// write sends the call, in the background if it is long.
func (a *Response) write(q *Request) error {
	message := encode(q)
	if len(message) <= inlineBytes {
		_, err := a.conn.Write(message)
		return err
	}
	s := &sender{conn: a.conn, message: message, done: make(chan error, 1)}
	a.sending = s.done
	go s.run()
	return nil
}

// sender sends one long request.
type sender struct {
	conn    *conn
	message []byte
	done    chan error
}

func (s *sender) run() {
	_, err := s.conn.Write(s.message)
	s.done <- err
}

func encode(q *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(q.Body))
	b.WriteString(q.Method + " " + q.URI + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	names := make([]string, 0, len(q.Header))
	for name := range q.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, v := range q.Header[name] {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(q.Body) > 0 || (q.Method != http.MethodGet && q.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	return b.Bytes()
}

// head reads the head of the answer. Late answers to other requests are skipped.
func (a *Response) head(q *Request) error {
	for range maxForeign + 1 {
		r, err := http.ReadResponse(a.conn.reader, &http.Request{Method: q.Method})
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		echo := r.Header.Get(a.client.names.RequestID)
		refused := r.Header.Get(a.client.names.NotExecuted) != "" || r.StatusCode == http.StatusMisdirectedRequest
		if echo == q.ID || (echo == "" && refused) {
			a.Status, a.Header, a.ContentLength, a.body = r.StatusCode, r.Header, r.ContentLength, r.Body
			a.close = a.close || r.Close || (r.ContentLength < 0 && len(r.TransferEncoding) == 0)
			return nil
		}
		// A connection that carried a foreign answer is not trusted with another request.
		a.close = true
		if echo == "" || r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
			return errors.Wrapf(ErrResponseMismatch, "status %d, echoes %q", r.StatusCode, echo)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)); err != nil {
			return errors.Wrap(err, "skip an answer to another request")
		}
	}
	return errors.Wrap(ErrResponseMismatch, "too many answers to other requests")
}

// Read reads the body.
func (a *Response) Read(b []byte) (n int, err error) {
	n, err = a.body.Read(b)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// ReadAll reads the whole body.
func (a *Response) ReadAll() (body []byte, err error) {
	if a.ContentLength > 0 && a.ContentLength <= maxBody {
		body = make([]byte, 0, a.ContentLength+1)
	}
	b := bytes.NewBuffer(body)
	if _, err := io.Copy(b, io.LimitReader(a, maxBody)); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read body"), ErrInterrupted)
	}
	if !a.ended {
		return nil, errors.Mark(errors.New("body is too long"), ErrInterrupted)
	}
	return b.Bytes(), nil
}

// Close ends the exchange. The connection is kept if the answer was read to its end,
// nothing else arrived and the request was sent whole.
func (a *Response) Close() {
	if a.conn == nil {
		return
	}
	k := a.conn
	a.conn = nil
	live := a.stop()
	keep := idleDefault
	if a.Header != nil {
		keep = keepFor(a.Header.Get("Keep-Alive"))
	}
	if !live || !a.ended || a.close || keep <= 0 || k.reader.Buffered() > 0 || !a.sent() {
		discard(k)
		return
	}
	a.client.pool.put(a.address, k, keep)
}

// sent tells whether the whole request has been sent.
func (a *Response) sent() bool {
	if a.sending == nil {
		return true
	}
	select {
	case err := <-a.sending:
		return err == nil
	default:
		return false
	}
}
