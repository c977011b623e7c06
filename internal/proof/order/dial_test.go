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

// conn is the sender's end of a connection to the engine. What is still on its way when it
// is closed is lost, as with a reset.
type conn struct {
	net.Conn // only the methods below are used
	world    *world
	delay    time.Duration

	mu     sync.Mutex
	closed bool
	answer chan []byte
	ended  chan struct{}
}

// Propose passes a command on. The order for which an instance is armed meets the fault
// when it has its token, and goes on after a pause.
func (i *instance) Propose(ctx context.Context, command []byte) ([]byte, error) {
	result, err := i.node.Propose(ctx, command)
	w := i.world
	w.mu.Lock()
	if err != nil || w.armed != i {
		w.mu.Unlock()
		return result, err
	}
	w.armed, w.struck, w.met = nil, i, true
	pause := w.pause(w.random)
	if !w.frozen {
		w.cut = i
	}
	w.mu.Unlock()
	time.Sleep(pause)
	return result, nil
}

// LeaseRemaining returns the remaining lease of the replica.
func (i *instance) LeaseRemaining() (replica.Term, time.Duration) { return i.node.LeaseRemaining() }

// dial opens a connection. That of an order under the fault is slow; a process that is to
// freeze does so now.
func (i *instance) dial(ctx context.Context, _ string) (net.Conn, error) {
	w := i.world
	w.mu.Lock()
	wait, delay := time.Millisecond, time.Millisecond
	struck := w.struck == i
	if struck {
		w.struck = nil
		wait, delay = w.connect(w.random), w.flight(w.random)
	}
	w.mu.Unlock()
	if struck && w.frozen {
		i.clock.freeze()
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	i.clock.wait(context.Background())
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return &conn{world: w, delay: delay, answer: make(chan []byte, 1), ended: make(chan struct{})}, nil
}

// Write sends one whole request.
func (c *conn) Write(b []byte) (int, error) {
	request := bytes.Clone(b)
	if c.delay == 0 {
		c.arrive(request)
		return len(b), nil
	}
	time.AfterFunc(c.delay, func() { c.arrive(request) })
	return len(b), nil
}

// arrive hands the request to the engine.
func (c *conn) arrive(request []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(request)))
	if err != nil {
		c.world.t.Errorf("request %q: %v", request, err)
		return
	}
	answer := httptest.NewRecorder()
	c.world.mux.ServeHTTP(answer, r)
	c.world.arrive()
	var text bytes.Buffer
	_ = answer.Result().Write(&text)
	c.answer <- text.Bytes()
}

// Read waits for the answer.
func (c *conn) Read(b []byte) (int, error) {
	select {
	case a := <-c.answer:
		return copy(b, a), nil
	case <-c.ended:
		return 0, io.ErrClosedPipe
	}
}

// Close gives up what has not arrived.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.ended)
	}
	return nil
}
