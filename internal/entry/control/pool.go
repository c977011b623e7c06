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
	idle   map[string][]idleConn // by address, the last used last
	closed bool
}

// idleConn is an idle connection, and since when it is idle.
type idleConn struct {
	*drpcconn.Conn
	since timer.Instant
}

func newPool(t timer.Service, dial func(ctx context.Context, address string) (net.Conn, error)) *pool {
	return &pool{timer: t, dial: dial, slots: make(chan struct{}, maxCalls), idle: map[string][]idleConn{}}
}

// get returns an idle connection or opens one. It waits while maxCalls calls are running.
// If it fails, nothing was sent.
func (p *pool) get(ctx context.Context, address string) (*drpcconn.Conn, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	if c := p.takeIdle(address); c != nil {
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

// takeIdle returns an idle connection that is still open, nil if there is none. It closes those
// that have been idle for too long.
func (p *pool) takeIdle(address string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		idle := p.idle[address]
		if len(idle) == 0 {
			return nil
		}
		c := idle[len(idle)-1]
		p.idle[address] = idle[:len(idle)-1]
		if p.timer.Now().Sub(c.since) > tcp.MaxIdle {
			_ = c.Close()
			continue
		}
		select {
		case <-c.Closed():
		default:
			return c.Conn
		}
	}
}

// put returns a connection after a call. It is closed if the call failed.
func (p *pool) put(address string, c *drpcconn.Conn, failed bool) {
	<-p.slots
	p.mu.Lock()
	keep := !failed && !p.closed && len(p.idle[address]) < maxIdleConns
	if keep {
		p.idle[address] = append(p.idle[address], idleConn{c, p.timer.Now()})
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
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// close closes all idle connections. Connections returned later are closed as well.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = map[string][]idleConn{}, true
	p.mu.Unlock()
	for _, cs := range idle {
		for _, c := range cs {
			_ = c.Close()
		}
	}
}
