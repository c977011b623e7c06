package control

import (
	"context"
	"net"
	"sync"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"wisteriakeel.example/wisteriakeel/internal/kernel/tcp"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// maxIdleConns bounds the idle connections per address.
	maxIdleConns = 16
	// maxCalls bounds the concurrent calls of one pool.
	maxCalls = 256
)

// pool keeps idle connections by address. A drpc connection carries one call at a time.
type pool struct {
	timer timer.Service
	dial  func(ctx context.Context, address string) (net.Conn, error)
	slots chan struct{} // holds one element per running call, at most maxCalls

	mu     sync.Mutex
	idle   map[string]*idleConns // by address
	closed bool
}

// idleConns are the idle connections to one address.
type idleConns = tcp.IdleConns[*drpcconn.Conn]

func newPool(t timer.Service, dial func(ctx context.Context, address string) (net.Conn, error)) *pool {
	return &pool{timer: t, dial: dial, slots: make(chan struct{}, maxCalls), idle: map[string]*idleConns{}}
}

// get returns an idle connection or opens one. It waits while maxCalls calls are running.
// If it fails, nothing was sent.
func (p *pool) get(ctx context.Context, address string) (*drpcconn.Conn, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	if c, ok := p.takeIdle(address); ok {
		return c, nil
	}
	n, err := p.dial(ctx, address)
	if err != nil {
		<-p.slots
		return nil, err
	}
	return drpcconn.NewWithOptions(n, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: maxMessageBytes},
	}}), nil
}

// takeIdle returns an idle connection that may still be used.
func (p *pool) takeIdle(address string) (conn *drpcconn.Conn, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleTo(address).Take(p.timer.Now())
}

// idleTo returns the idle connections to an address. p.mu must be held.
func (p *pool) idleTo(address string) *idleConns {
	idle := p.idle[address]
	if idle == nil {
		idle = &idleConns{}
		p.idle[address] = idle
	}
	return idle
}

// put returns a connection after a call. It is closed if the call failed.
func (p *pool) put(address string, c *drpcconn.Conn, failed bool) {
	<-p.slots
	p.mu.Lock()
	idle := p.idleTo(address)
	keep := !failed && !p.closed && idle.Len() < maxIdleConns
	if keep {
		idle.Put(c, p.timer.Now())
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// closeIdle closes the idle connections to an address. After a call on one connection
// timed out, the others are likely to be silent as well.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	idle := p.idleTo(address)
	delete(p.idle, address)
	p.mu.Unlock()
	_ = idle.Close()
}

// close closes all idle connections. Connections returned later are closed as well.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = map[string]*idleConns{}, true
	p.mu.Unlock()
	for _, i := range idle {
		_ = i.Close()
	}
}
