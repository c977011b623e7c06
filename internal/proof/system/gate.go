package system

import (
	"context"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// errKilled is what the connections of a killed instance return.
var errKilled = errors.New("the instance was killed")

// FaultInjector stands between one instance and everything outside it: its connections,
// its timer and the control calls of its requests.
type FaultInjector struct {
	// ended is closed when the system ends; goroutines of killed instances end then.
	ended <-chan struct{}
	dead  chan struct{}

	mu     sync.Mutex
	thawed chan struct{} // nil unless frozen
	killed bool
	cut    map[string]bool
	conns  map[*conn]struct{}
}

func newGate(ended <-chan struct{}) *FaultInjector {
	return &FaultInjector{ended: ended, dead: make(chan struct{}), cut: map[string]bool{}, conns: map[*conn]struct{}{}}
}

// Freeze stops the instance as SIGSTOP does: its connections stay open and carry
// nothing, and whoever reads its timer waits. The clock itself moves on.
func (g *FaultInjector) Freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed == nil && !g.killed {
		g.thawed = make(chan struct{})
	}
}

// Thaw lets a frozen instance go on.
func (g *FaultInjector) Thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed != nil {
		close(g.thawed)
		g.thawed = nil
	}
}

// Partition makes all connections to the addresses silent for good; new ones are not
// opened until Heal.
func (g *FaultInjector) Partition(addresses ...string) {
	g.mu.Lock()
	for _, a := range addresses {
		g.cut[a] = true
	}
	g.mu.Unlock()
	g.BlackholeConnections(addresses...)
}

// Heal lets new connections to the addresses through.
func (g *FaultInjector) Heal(addresses ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		delete(g.cut, a)
	}
}

// BlackholeConnections makes the open connections to the addresses silent for good, while new
// ones work.
func (g *FaultInjector) BlackholeConnections(addresses ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		for _, a := range addresses {
			if c.peer == a {
				c.hush()
			}
		}
	}
}

// kill closes all connections and opens no more.
func (g *FaultInjector) kill() {
	g.mu.Lock()
	if g.killed {
		g.mu.Unlock()
		return
	}
	g.killed = true
	close(g.dead)
	conns := g.conns
	g.conns = map[*conn]struct{}{}
	g.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
	g.Thaw()
}

// Killed tells whether the instance was killed.
func (g *FaultInjector) Killed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killed
}

// wait returns once the instance is not frozen.
func (g *FaultInjector) wait() {
	g.mu.Lock()
	thawed := g.thawed
	g.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// pass is wait, and ends the goroutine of a killed instance. Its deferred
// functions run when the system ends, when nothing can be reached any more.
func (g *FaultInjector) pass() {
	g.wait()
	if g.Killed() {
		<-g.ended
		runtime.Goexit()
	}
}

// dial opens a connection of the instance.
func (g *FaultInjector) dial(ctx context.Context, network, address string) (net.Conn, error) {
	g.wait()
	g.mu.Lock()
	cut := g.cut[address]
	g.mu.Unlock()
	if cut {
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-g.dead:
			return nil, errKilled
		}
	}
	var d net.Dialer
	n, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return g.adopt(n, address)
}

func (g *FaultInjector) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return g.dial(ctx, "tcp", address)
}

func (g *FaultInjector) adopt(n net.Conn, peer string) (net.Conn, error) {
	c := &conn{Conn: n, gate: g, peer: peer, silent: make(chan struct{}), closed: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.killed {
		_ = n.Close()
		return nil, errKilled
	}
	g.conns[c] = struct{}{}
	return c, nil
}

// listen opens an address of the instance.
func (g *FaultInjector) listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, gate: g}, nil
}

type listener struct {
	net.Listener
	gate *FaultInjector
}

// Accept returns the next connection once the instance is not frozen.
func (l *listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.gate.wait()
	return l.gate.adopt(n, "")
}

// conn is a connection of an instance.
type conn struct {
	net.Conn
	gate *FaultInjector
	// peer is the address dialled; empty for an accepted connection.
	peer string
	// send is called before the first byte is written; it may be nil.
	send func()

	sent    sync.Once
	quiet   sync.Once
	silent  chan struct{}
	closing sync.Once
	closed  chan struct{}
}

func (c *conn) hush() { c.quiet.Do(func() { close(c.silent) }) }

// Read delivers nothing while the instance is frozen or the connection is silent.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.wait()
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write takes what is written to a silent connection as TCP does, and drops it.
func (c *conn) Write(p []byte) (int, error) {
	if c.send != nil {
		c.sent.Do(c.send)
	}
	c.gate.wait()
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// clock is the timer of an instance.
type clock struct {
	*timer.System
	gate *FaultInjector
}

// Now waits while the instance is frozen.
func (c *clock) Now() timer.Instant {
	c.gate.wait()
	return c.System.Now()
}

// AfterFunc calls f once the instance is not frozen.
func (c *clock) AfterFunc(d time.Duration, f func()) (stop func()) {
	return c.System.AfterFunc(d, func() {
		c.gate.wait()
		f()
	})
}

// Subscribe delivers no tick while the instance is frozen.
func (c *clock) Subscribe(d time.Duration) *timer.Subscription { return timer.NewSubscription(c, d) }
