package order

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// conn is the dispatcher's end of a connection to the engine. Data in flight when it is
// closed is lost, as with a TCP reset.
type conn struct {
	net.Conn // nil: only the methods below are called
	cluster  *cluster
	delay    time.Duration // time for a write to arrive

	mu       sync.Mutex
	closed   bool
	response chan []byte
	done     chan struct{} // closed by Close
}

// Propose passes a command to the replica. If the instance is the target of the fault, the
// fault is injected once the order has its token, and the order continues after a pause.
func (i *instance) Propose(ctx context.Context, command []byte) ([]byte, error) {
	result, err := i.node.Propose(ctx, command)
	cl := i.cluster
	cl.mu.Lock()
	if err != nil || cl.faultTarget != i {
		cl.mu.Unlock()
		return result, err
	}
	cl.faultTarget, cl.faultPending, cl.faultInjected = nil, i, true
	pause := cl.pauseAfterToken(cl.networkRandom)
	if !cl.freezeLeader {
		cl.isolated = i
	}
	cl.mu.Unlock()
	time.Sleep(pause)
	return result, nil
}

// LeaseRemaining returns the time until the lease of the replica expires.
func (i *instance) LeaseRemaining() (replica.Term, time.Duration) { return i.node.LeaseRemaining() }

// dial opens a connection to the engine. For the order under the fault the connection is
// slow, and the process freezes here if the fault says so.
func (i *instance) dial(ctx context.Context, _ string) (net.Conn, error) {
	cl := i.cluster
	cl.mu.Lock()
	connectDelay, writeDelay := time.Millisecond, time.Millisecond
	underFault := cl.faultPending == i
	if underFault {
		cl.faultPending = nil
		connectDelay, writeDelay = cl.connectDelay(cl.networkRandom), cl.writeDelay(cl.networkRandom)
	}
	cl.mu.Unlock()
	if underFault && cl.freezeLeader {
		i.clock.freeze()
	}
	select {
	case <-time.After(connectDelay):
	case <-ctx.Done():
	}
	i.clock.waitUntilThawed(context.Background())
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return &conn{cluster: cl, delay: writeDelay, response: make(chan []byte, 1), done: make(chan struct{})}, nil
}

// Write sends a request, which must be complete in b.
func (c *conn) Write(b []byte) (int, error) {
	request := bytes.Clone(b)
	if c.delay == 0 {
		c.deliver(request)
		return len(b), nil
	}
	time.AfterFunc(c.delay, func() { c.deliver(request) })
	return len(b), nil
}

// deliver passes the request to the engine, unless the connection was closed meanwhile.
func (c *conn) deliver(request []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(request)))
	if err != nil {
		c.cluster.t.Errorf("cannot parse request %q: %v", request, err)
		return
	}
	recorder := httptest.NewRecorder()
	c.cluster.mux.ServeHTTP(recorder, r)
	c.cluster.recordArrival()
	var raw bytes.Buffer
	_ = recorder.Result().Write(&raw)
	c.response <- raw.Bytes()
}

// Read waits for the response.
func (c *conn) Read(b []byte) (int, error) {
	select {
	case r := <-c.response:
		return copy(b, r), nil
	case <-c.done:
		return 0, io.ErrClosedPipe
	}
}

// Close closes the connection and drops data in flight.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.done)
	}
	return nil
}
