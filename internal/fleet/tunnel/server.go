package tunnel

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// maxTunnels limits the tunnels that an instance serves, so that the requests of others leave
	// it memory and descriptors for its own.
	maxTunnels = 512
	// handshakeTimeout limits the time to receive the request of a tunnel.
	handshakeTimeout = time.Second
	// dialTimeout limits the time to open the connection to the upstream. An instance that has
	// just been partitioned too takes so long to say so.
	dialTimeout = 250 * time.Millisecond
	// maxRequestDelay limits the time from the reply to the first byte of the request. The instance
	// checks right before it sends that the request may run, and it sends right after the reply. A
	// request that comes later was checked before one of the two processes was paused.
	maxRequestDelay = time.Second
	// maxColdDelay is the same for a cold upstream. The request has a permit for a moment (permit.MaxTransit).
	maxColdDelay = 80 * time.Millisecond
	// lateHeadTime is how long the head of a response may still come after the instance has ended the tunnel.
	// One that is on its way arrives within a round trip.
	lateHeadTime = 250 * time.Millisecond
	// maxSendTime limits how long a write of the request, and then the rest of the request, may take after
	// the upstream has ended its response. The instance waits as long for the end of its request.
	maxSendTime = time.Second
)

// keepAlive detects the loss of the machine of the other instance, so that the upstream does not
// work on for nobody.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Conditions are what upstreams state to this instance, whose connections tunnels use.
type Conditions interface {
	// Closed returns how long an upstream wants no requests of this instance; 0 if it takes some.
	Closed(id string, born int64) time.Duration
	// ReadResponse reads the head of a response to a request of another instance.
	ReadResponse(id string, born int64, r *http.Response)
	// Refusal returns the response to a request that is not sent, since the upstream takes none any
	// more, has closed for some time after the tunnel was opened, or the request came late.
	Refusal(wait time.Duration) []byte
}

// Options configures a server.
type Options struct {
	Token string
	// Address returns the address of an incarnation of an upstream that takes requests.
	Address func(id string, born int64) (address string, ok bool)
	// Partitioned reports whether this instance does not reach the upstreams itself.
	Partitioned func() bool
	// Cold reports whether an incarnation of an upstream takes few requests while it is cold. It may be nil.
	Cold       func(id string, born int64) bool
	Conditions Conditions
	// Dial opens a connection to an incarnation of an upstream. It returns ErrDeclined if this instance may open
	// none.
	Dial  func(ctx context.Context, id string, born int64, address string) (net.Conn, error)
	Timer timer.Service
	Log   *zap.Logger
}

// Server opens connections to upstreams for other instances.
type Server struct {
	options Options
	active  atomic.Int64
	closed  atomic.Bool
}

// NewServer returns a server.
func NewServer(o Options) *Server { return &Server{options: o} }

// Running returns the number of tunnels in use.
func (s *Server) Running() int64 { return s.active.Load() }

// RejectNew makes the server decline new tunnels.
func (s *Server) RejectNew() { s.closed.Store(true) }

// Serve serves the connections of a listener, without their prefix, until the context is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	return s.loop(ctx, l)
}

func (s *Server) loop(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				err = nil
			}
			return err
		}
		go (&tunnel{server: s, instance: c}).run(ctx)
	}
}

// tunnel is one connection of another instance, and the one to the upstream.
type tunnel struct {
	server   *Server
	instance net.Conn
	upstream net.Conn
	id       string // of the upstream
	born     int64
	openedAt timer.Instant // when the reply was written
	headRead atomic.Bool   // the head of the response was read, or skipped as too long
}

// run opens the connection to the upstream and passes bytes on until either side ends it.
func (t *tunnel) run(ctx context.Context) {
	defer func() { _ = t.instance.Close() }()
	t.server.active.Add(1)
	defer t.server.active.Add(-1)
	q, err := t.handshake()
	if err != nil {
		t.server.options.Log.Debug("tunnel", journal.Error(err))
		return
	}
	t.id, t.born = q.GetId(), q.GetBorn()
	st, wait := statusClosed, t.server.options.Conditions.Closed(t.id, t.born)
	if wait == 0 {
		st = t.dial(ctx)
	}
	t.openedAt = t.server.options.Timer.Now()
	if _, err := t.instance.Write(st.reply(wait)); err != nil || st != statusConnected {
		if t.upstream != nil {
			_ = t.upstream.Close()
		}
		return
	}
	// A process that ends closes its connections by itself; this one ends its tunnels first.
	stop := context.AfterFunc(ctx, t.abort)
	defer stop()
	c := &requestCopier{tunnel: t, done: make(chan struct{})}
	go c.loop()
	t.copyResponse(c)
}

// handshake reads the request and checks the token.
func (t *tunnel) handshake() (q *wire.TunnelRequest, err error) {
	stop := t.server.options.Timer.AfterFunc(handshakeTimeout, func() { _ = t.instance.Close() })
	defer stop()
	if k, ok := t.instance.(interface {
		SetKeepAliveConfig(c net.KeepAliveConfig) error
	}); ok {
		if err := k.SetKeepAliveConfig(keepAlive); err != nil {
			return nil, err
		}
	}
	if q, err = readRequest(t.instance); err != nil {
		return nil, err
	}
	if q.GetToken() != t.server.options.Token {
		return nil, errors.New("wrong token")
	}
	return q, nil
}

// dial opens the connection to the upstream.
func (t *tunnel) dial(ctx context.Context) status {
	s := t.server
	address, ok := s.options.Address(t.id, t.born)
	if !ok || s.closed.Load() || s.options.Partitioned() || s.active.Load() > maxTunnels {
		return statusDeclined
	}
	ctx, cancel := timer.WithTimeout(ctx, s.options.Timer, dialTimeout)
	defer cancel()
	c, err := s.options.Dial(ctx, t.id, t.born, address)
	if err != nil {
		s.options.Log.Info("tunnel not opened", zap.String("upstream", t.id), zap.String("address", address), journal.Error(err))
		if errors.Is(err, syscall.ECONNREFUSED) {
			return statusRefused
		}
		if errors.Is(err, ErrDeclined) {
			return statusDeclined
		}
		return statusUnreachable
	}
	t.upstream = c
	return statusConnected
}

// abort ends both connections.
func (t *tunnel) abort() {
	_ = t.upstream.Close()
	_ = t.instance.Close()
}

// requestCopier passes the bytes of the request on.
type requestCopier struct {
	*tunnel
	done   chan struct{} // closed when loop returns
	mu     sync.Mutex    // held during a write
	failed bool          // a write has failed
}

// write passes bytes on.
func (c *requestCopier) write(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.upstream.Write(b)
	c.failed = err != nil
	return err
}

// writeFailed waits for the write in progress, which fails after maxSendTime, and reports whether it failed.
func (c *requestCopier) writeFailed() bool {
	stop := c.server.options.Timer.AfterFunc(maxSendTime, func() { _ = c.upstream.Close() })
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// loop ends both connections once the instance ends its own, so that the upstream stops work. It
// answers a request that may not be passed on any more when its first byte arrives.
func (c *requestCopier) loop() {
	defer close(c.done)
	buffer := make([]byte, blockBytes)
	for sent := false; ; sent = true {
		n, err := c.instance.Read(buffer)
		if n > 0 && !sent {
			if wait, ok := c.mayPassOn(); !ok {
				c.refuse(wait)
				break
			}
		}
		if n > 0 {
			if err := c.write(buffer[:n]); err != nil {
				c.server.options.Log.Debug("request of another instance not passed on completely", zap.String("upstream", c.id), journal.Error(err))
				break
			}
		}
		if err != nil {
			c.awaitHead()
			return
		}
	}
	c.abort()
}

// mayPassOn checks right before the first byte whatever may have changed since the tunnel was
// opened. wait is how long the upstream wants no requests, 0 for any other reason.
func (c *requestCopier) mayPassOn() (wait time.Duration, ok bool) {
	o := c.server.options
	limit := maxRequestDelay
	if o.Cold != nil && o.Cold(c.id, c.born) {
		limit = maxColdDelay
	}
	if _, ok := o.Address(c.id, c.born); !ok || o.Timer.Now().Sub(c.openedAt) > limit {
		return 0, false
	}
	wait = o.Conditions.Closed(c.id, c.born)
	return wait, wait == 0
}

// awaitHead ends the connections after the instance has ended its own. If the response has not begun, only
// the sending side of the connection to the upstream is closed at first, since a pause stated in the head
// binds this instance.
func (c *requestCopier) awaitHead() {
	w, ok := c.upstream.(interface{ CloseWrite() error })
	if !ok || c.headRead.Load() || w.CloseWrite() != nil {
		c.abort()
		return
	}
	c.server.options.Timer.AfterFunc(lateHeadTime, c.abort)
}

// refuse answers the request in place of the upstream.
func (c *requestCopier) refuse(wait time.Duration) {
	c.server.options.Log.Info("request of another instance not passed on", zap.String("upstream", c.id), zap.Duration("closed", wait))
	response := c.server.options.Conditions.Refusal(wait)
	block := append(binary.BigEndian.AppendUint16(nil, uint16(len(response))), response...)
	if _, err := c.instance.Write(append(block, make([]byte, lengthBytes)...)); err != nil {
		c.server.options.Log.Debug("tunnel", journal.Error(err))
	}
}

// copyResponse passes the bytes of the response on in blocks. It marks the end of the response
// unless the connection to the upstream was interrupted. A reset may be seen by the write of the request only.
func (t *tunnel) copyResponse(request *requestCopier) {
	defer t.abort()
	buffer := make([]byte, lengthBytes+blockBytes)
	head := responseHead{}
	for {
		n, err := t.upstream.Read(buffer[lengthBytes:])
		if r := head.add(buffer[lengthBytes : lengthBytes+n]); r != nil {
			t.server.options.Conditions.ReadResponse(t.id, t.born, r)
		}
		t.headRead.Store(head.done)
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, err := t.instance.Write(buffer[:lengthBytes+n]); err != nil {
				return
			}
		}
		if err != nil {
			if isEnd(err) && !request.writeFailed() {
				t.endResponse(request)
			}
			return
		}
	}
}

// endResponse marks the end of the response. The upstream may still read the request, and the instance
// ends the tunnel once all of it is sent.
func (t *tunnel) endResponse(request *requestCopier) {
	if _, err := t.instance.Write(make([]byte, lengthBytes)); err != nil {
		t.server.options.Log.Debug("tunnel", journal.Error(err)) // the instance notices a lost end as an interruption
		return
	}
	stop := t.server.options.Timer.AfterFunc(maxSendTime, t.abort)
	defer stop()
	<-request.done
}
