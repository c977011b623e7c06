package control

import (
	"context"
	"net"
	"sync"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// idleLimit bounds the idle connections kept per address.
	idleLimit = 16
	// openLimit bounds the calls of one pool at a time.
	openLimit = 256
)

// pool keeps connections by address. A drpc connection carries one call at a time.
type pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
	open chan struct{}

	mu     sync.Mutex
	idle   map[string][]*drpcconn.Conn
	closed bool
}

func newPool(dial func(ctx context.Context, address string) (net.Conn, error)) *pool {
	return &pool{dial: dial, open: make(chan struct{}, openLimit), idle: map[string][]*drpcconn.Conn{}}
}

// get returns an idle connection or dials one. Nothing was sent if it fails.
func (p *pool) get(ctx context.Context, address string) (*drpcconn.Conn, error) {
	select {
	case p.open <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	if c := p.take(address); c != nil {
		return c, nil
	}
	n, err := p.dial(ctx, address)
	if err != nil {
		<-p.open
		return nil, err
	}
	return drpcconn.NewWithOptions(n, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: messageLimit},
		Stream: drpcstream.Options{MaximumBufferSize: messageLimit},
	}}), nil
}

func (p *pool) take(address string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		idle := p.idle[address]
		if len(idle) == 0 {
			return nil
		}
		c := idle[len(idle)-1]
		p.idle[address] = idle[:len(idle)-1]
		select {
		case <-c.Closed():
		default:
			return c
		}
	}
}

// put gives a connection back after a call. One that failed is closed.
func (p *pool) put(address string, c *drpcconn.Conn, failed bool) {
	<-p.open
	p.mu.Lock()
	keep := !failed && !p.closed && len(p.idle[address]) < idleLimit
	if keep {
		p.idle[address] = append(p.idle[address], c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// drop closes the idle connections to an address. After one connection missed
// its deadline the others are likely to be silent as well.
func (p *pool) drop(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// close closes all idle connections and keeps none from now on.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = map[string][]*drpcconn.Conn{}, true
	p.mu.Unlock()
	for _, cs := range idle {
		for _, c := range cs {
			_ = c.Close()
		}
	}
}
