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

// network is an in-memory network between named processes. It drops data on partitioned
// links and delays data from and to frozen processes.
type network struct {
	mu        sync.Mutex
	random    *rand.Rand
	listeners map[string]*listener
	conns     map[*conn]bool
	dropped   map[link]bool
	frozen    map[string]bool
}

// link is one direction between two processes.
type link struct{ from, to string }

// conn is one end of a connection. It holds the data on its way to this end.
type conn struct {
	net.Conn              // nil; only the methods below are used
	network               *network
	localName, remoteName string
	peer                  *conn
	changed               *sync.Cond
	inFlight              [][]byte
	lastArrival           time.Time
	received              []byte
	closed                bool
	peerClosed            bool // the remote end was closed
	dataLost              bool // data to this end was dropped, so nothing more arrives
}

func newNetwork(seed uint64) *network {
	return &network{
		random: rand.New(rand.NewPCG(seed, 1)), listeners: map[string]*listener{}, conns: map[*conn]bool{},
		dropped: map[link]bool{}, frozen: map[string]bool{},
	}
}

// dialer returns the function with which a process opens connections.
func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		// Only the link from the dialer is checked: the reverse link may carry the handshake
		// and drop what follows.
		if n.dropped[link{from, to}] {
			n.mu.Unlock()
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}
		defer n.mu.Unlock()
		l := n.listeners[to]
		if l == nil {
			return nil, errors.Newf("%s refuses connections", to)
		}
		local := &conn{network: n, localName: from, remoteName: to, changed: sync.NewCond(&n.mu)}
		remote := &conn{network: n, localName: to, remoteName: from, changed: sync.NewCond(&n.mu)}
		local.peer, remote.peer = remote, local
		n.conns[local], n.conns[remote] = true, true
		l.pending = append(l.pending, remote)
		l.changed.Broadcast()
		return local, nil
	}
}

// setDropped drops all data sent from one process to another, or ends that.
func (n *network) setDropped(from, to string, dropped bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[link{from, to}] = dropped
}

// setFrozen delays all data from and to a process, or ends that.
func (n *network) setFrozen(name string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[name] = frozen
	for c := range n.conns {
		c.changed.Broadcast()
	}
}

// closeConnections closes all connections of a process that was killed.
func (n *network) closeConnections(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.localName == name {
			c.closed, c.peer.peerClosed = true, true
			c.changed.Broadcast()
			c.peer.changed.Broadcast()
			delete(n.conns, c)
		}
	}
	delete(n.listeners, name)
}

// Write sends data, which arrives in order after 0.3 to 2 ms.
func (c *conn) Write(b []byte) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	o := c.peer
	if c.closed || c.peerClosed {
		return 0, io.ErrClosedPipe
	}
	if o.dataLost = o.dataLost || n.dropped[link{c.localName, c.remoteName}]; o.dataLost {
		return len(b), nil
	}
	o.inFlight = append(o.inFlight, append([]byte(nil), b...))
	at := time.Now().Add(300*time.Microsecond + time.Duration(n.random.IntN(1700))*time.Microsecond)
	if at.Before(o.lastArrival) {
		at = o.lastArrival
	}
	o.lastArrival = at
	time.AfterFunc(time.Until(at), o.deliver)
	return len(b), nil
}

// deliver moves the oldest data in flight to the receive buffer.
func (c *conn) deliver() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.received = append(c.received, c.inFlight[0]...)
	c.inFlight = c.inFlight[1:]
	c.changed.Broadcast()
}

// Read blocks until data has arrived and neither end is frozen.
func (c *conn) Read(b []byte) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		delayed := n.frozen[c.localName] || n.frozen[c.remoteName]
		switch {
		case c.closed:
			return 0, io.ErrClosedPipe
		case !delayed && len(c.received) > 0:
			m := copy(b, c.received)
			c.received = c.received[m:]
			return m, nil
		case !delayed && c.peerClosed && len(c.inFlight) == 0:
			return 0, io.EOF
		}
		c.changed.Wait()
	}
}

// Close closes the connection. The remote end sees it unless the link to it is partitioned.
func (c *conn) Close() error {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	c.closed = true
	delete(n.conns, c)
	if !c.peer.dataLost && !n.dropped[link{c.localName, c.remoteName}] {
		c.peer.peerClosed = true
	}
	c.changed.Broadcast()
	c.peer.changed.Broadcast()
	return nil
}

// listener accepts connections to a process.
type listener struct {
	network *network
	name    string
	changed *sync.Cond
	pending []*conn
	closed  bool
}

// listen returns the listener for connections to a process.
func (n *network) listen(name string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, name: name, changed: sync.NewCond(&n.mu)}
	n.listeners[name] = l
	return l, nil
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	n := l.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(l.pending) == 0 && !l.closed {
		l.changed.Wait()
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	c := l.pending[0]
	l.pending = l.pending[1:]
	return c, nil
}

// Close stops the listener; further connections are refused.
func (l *listener) Close() error {
	n := l.network
	n.mu.Lock()
	defer n.mu.Unlock()
	l.closed = true
	if n.listeners[l.name] == l {
		delete(n.listeners, l.name)
	}
	l.changed.Broadcast()
	return nil
}

// Addr returns nil; it is not used.
func (l *listener) Addr() net.Addr { return nil }
