package control

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// network carries connections between named processes through memory. It loses what is
// sent over a cut path and holds back what goes to or comes from a frozen process.
type network struct {
	mu        sync.Mutex
	random    *rand.Rand
	listeners map[string]*listener
	conns     map[*conn]bool
	cuts      map[path]bool
	frozen    map[string]bool
}

type path struct{ from, to string }

// conn is one end of a connection; what it receives is its own.
type conn struct {
	net.Conn // only the methods below are used
	network  *network
	own, far string
	other    *conn
	woken    *sync.Cond
	flying   [][]byte
	arrival  time.Time
	received []byte
	closed   bool
	ended    bool // the other end was closed
	silent   bool // a part was lost on the way here, so nothing more arrives
}

func newNetwork(seed uint64) *network {
	return &network{
		random: rand.New(rand.NewPCG(seed, 1)), listeners: map[string]*listener{}, conns: map[*conn]bool{},
		cuts: map[path]bool{}, frozen: map[string]bool{},
	}
}

// dialer returns the function with which a process opens connections.
func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		if n.cuts[path{from, to}] || n.cuts[path{to, from}] {
			n.mu.Unlock()
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}
		defer n.mu.Unlock()
		l := n.listeners[to]
		if l == nil {
			return nil, errors.Newf("%s refuses connections", to)
		}
		near := &conn{network: n, own: from, far: to, woken: sync.NewCond(&n.mu)}
		far := &conn{network: n, own: to, far: from, woken: sync.NewCond(&n.mu)}
		near.other, far.other = far, near
		n.conns[near], n.conns[far] = true, true
		l.waiting = append(l.waiting, far)
		l.woken.Broadcast()
		return near, nil
	}
}

// cut loses everything that goes from one process to the other.
func (n *network) cut(from, to string, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[path{from, to}] = lost
}

// freeze holds back what goes to or comes from a process.
func (n *network) freeze(name string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[name] = frozen
	for c := range n.conns {
		c.woken.Broadcast()
	}
}

// sever closes all connections of a process that was killed.
func (n *network) sever(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.own == name {
			c.closed, c.other.ended = true, true
			c.woken.Broadcast()
			c.other.woken.Broadcast()
			delete(n.conns, c)
		}
	}
	delete(n.listeners, name)
}

// Write sends; parts arrive in order after 0.3 to 2 ms.
func (c *conn) Write(b []byte) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	o := c.other
	if c.closed || c.ended {
		return 0, io.ErrClosedPipe
	}
	if o.silent = o.silent || n.cuts[path{c.own, c.far}]; o.silent {
		return len(b), nil
	}
	o.flying = append(o.flying, append([]byte(nil), b...))
	at := time.Now().Add(300*time.Microsecond + time.Duration(n.random.IntN(1700))*time.Microsecond)
	if at.Before(o.arrival) {
		at = o.arrival
	}
	o.arrival = at
	time.AfterFunc(time.Until(at), o.arrive)
	return len(b), nil
}

func (c *conn) arrive() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.received = append(c.received, c.flying[0]...)
	c.flying = c.flying[1:]
	c.woken.Broadcast()
}

// Read waits for what arrives.
func (c *conn) Read(b []byte) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		held := n.frozen[c.own] || n.frozen[c.far]
		switch {
		case c.closed:
			return 0, io.ErrClosedPipe
		case !held && len(c.received) > 0:
			m := copy(b, c.received)
			c.received = c.received[m:]
			return m, nil
		case !held && c.ended && len(c.flying) == 0:
			return 0, io.EOF
		}
		c.woken.Wait()
	}
}

// Close ends the connection. The other end learns of it unless the path is cut.
func (c *conn) Close() error {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	c.closed = true
	delete(n.conns, c)
	if !c.other.silent && !n.cuts[path{c.own, c.far}] {
		c.other.ended = true
	}
	c.woken.Broadcast()
	c.other.woken.Broadcast()
	return nil
}

// listener accepts the connections to one process.
type listener struct {
	network *network
	name    string
	woken   *sync.Cond
	waiting []*conn
	closed  bool
}

func (n *network) listen(name string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, name: name, woken: sync.NewCond(&n.mu)}
	n.listeners[name] = l
	return l, nil
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	n := l.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(l.waiting) == 0 && !l.closed {
		l.woken.Wait()
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	c := l.waiting[0]
	l.waiting = l.waiting[1:]
	return c, nil
}

// Close refuses further connections.
func (l *listener) Close() error {
	n := l.network
	n.mu.Lock()
	defer n.mu.Unlock()
	l.closed = true
	if n.listeners[l.name] == l {
		delete(n.listeners, l.name)
	}
	l.woken.Broadcast()
	return nil
}

// Addr is not used.
func (l *listener) Addr() net.Addr { return nil }
