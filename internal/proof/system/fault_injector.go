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

// errKilled is returned for new connections of a killed instance.
var errKilled = errors.New("instance was killed")

// FaultInjector kills, partitions or freezes an instance. It intercepts the connections
// and the timer of the instance and the control calls of its requests.
type FaultInjector struct {
	// systemDone is closed when the system stops; goroutines of killed instances exit then.
	systemDone <-chan struct{}
	killSignal chan struct{} // closed by kill

	mu          sync.Mutex
	thawed      chan struct{} // closed by Thaw; nil unless frozen
	killed      bool
	partitioned map[string]bool // addresses to which new connections are blocked
	conns       map[*conn]struct{}
}

func newFaultInjector(systemDone <-chan struct{}) *FaultInjector {
	return &FaultInjector{systemDone: systemDone, killSignal: make(chan struct{}), partitioned: map[string]bool{}, conns: map[*conn]struct{}{}}
}

// Freeze suspends the instance as SIGSTOP does: its connections stay open and transfer
// nothing, and reads of its timer block. Time goes on.
func (f *FaultInjector) Freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thawed == nil && !f.killed {
		f.thawed = make(chan struct{})
	}
}

// Thaw resumes a frozen instance.
func (f *FaultInjector) Thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thawed != nil {
		close(f.thawed)
		f.thawed = nil
	}
}

// Partition blackholes the open connections to the addresses, and blocks new ones until
// Heal is called.
func (f *FaultInjector) Partition(addresses ...string) {
	f.mu.Lock()
	for _, a := range addresses {
		f.partitioned[a] = true
	}
	f.mu.Unlock()
	f.BlackholeConnections(addresses...)
}

// Heal allows new connections to the addresses. Blackholed connections stay so.
func (f *FaultInjector) Heal(addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		delete(f.partitioned, a)
	}
}

// BlackholeConnections drops all further traffic on the open connections to the addresses.
// New connections work.
func (f *FaultInjector) BlackholeConnections(addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		for _, a := range addresses {
			if c.peer == a {
				c.blackhole()
			}
		}
	}
}

// kill closes all connections and refuses new ones.
func (f *FaultInjector) kill() {
	f.mu.Lock()
	if f.killed {
		f.mu.Unlock()
		return
	}
	f.killed = true
	close(f.killSignal)
	conns := f.conns
	f.conns = map[*conn]struct{}{}
	f.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
	f.Thaw()
}

// Killed reports whether the instance was killed.
func (f *FaultInjector) Killed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.killed
}

// waitWhileFrozen blocks while the instance is frozen.
func (f *FaultInjector) waitWhileFrozen() {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// exitIfKilled blocks while the instance is frozen, and ends the calling goroutine if the
// instance is killed. The goroutine first waits until the system stops, so that its
// deferred functions reach no other instance.
func (f *FaultInjector) exitIfKilled() {
	f.waitWhileFrozen()
	if f.Killed() {
		<-f.systemDone
		runtime.Goexit()
	}
}

// dial opens a connection from the instance.
func (f *FaultInjector) dial(ctx context.Context, network, address string) (net.Conn, error) {
	f.waitWhileFrozen()
	f.mu.Lock()
	partitioned := f.partitioned[address]
	f.mu.Unlock()
	if partitioned {
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-f.killSignal:
			return nil, errKilled
		}
	}
	var d net.Dialer
	n, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return f.trackConn(n, address)
}

func (f *FaultInjector) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return f.dial(ctx, "tcp", address)
}

// trackConn wraps a connection of the instance and registers it. The peer is empty for
// an accepted connection.
func (f *FaultInjector) trackConn(n net.Conn, peer string) (net.Conn, error) {
	c := &conn{Conn: n, injector: f, peer: peer, blackholed: make(chan struct{}), closed: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.killed {
		_ = n.Close()
		return nil, errKilled
	}
	f.conns[c] = struct{}{}
	return c, nil
}

// listen opens an address on which the instance accepts connections.
func (f *FaultInjector) listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, injector: f}, nil
}

// listener accepts the connections of an instance.
type listener struct {
	net.Listener
	injector *FaultInjector
}

// Accept returns the next connection. It blocks while the instance is frozen.
func (l *listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.injector.waitWhileFrozen()
	return l.injector.trackConn(n, "")
}

// conn is a connection of an instance.
type conn struct {
	net.Conn
	injector *FaultInjector
	// peer is the address dialled; empty for an accepted connection.
	peer string
	// beforeFirstWrite is called before the first write; it may be nil.
	beforeFirstWrite func()

	writeOnce     sync.Once
	blackholeOnce sync.Once
	blackholed    chan struct{}
	closeOnce     sync.Once
	closed        chan struct{}
}

func (c *conn) blackhole() { c.blackholeOnce.Do(func() { close(c.blackholed) }) }

// Read blocks while the instance is frozen. On a blackholed connection it blocks until
// the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.injector.waitWhileFrozen()
	select {
	case <-c.blackholed:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write blocks while the instance is frozen. Data for a blackholed connection is accepted,
// as TCP does, and dropped.
func (c *conn) Write(p []byte) (int, error) {
	if c.beforeFirstWrite != nil {
		c.writeOnce.Do(c.beforeFirstWrite)
	}
	c.injector.waitWhileFrozen()
	select {
	case <-c.blackholed:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close closes the connection and unblocks its readers.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.injector.mu.Lock()
	delete(c.injector.conns, c)
	c.injector.mu.Unlock()
	return c.Conn.Close()
}

// clock is the timer service of an instance.
type clock struct {
	*timer.System
	injector *FaultInjector
}

// Now returns the time. It blocks while the instance is frozen.
func (c *clock) Now() timer.Instant {
	c.injector.waitWhileFrozen()
	return c.System.Now()
}

// AfterFunc calls f after d, or later once the instance is no longer frozen.
func (c *clock) AfterFunc(d time.Duration, f func()) (stop func()) {
	return c.System.AfterFunc(d, func() {
		c.injector.waitWhileFrozen()
		f()
	})
}

// Subscribe delivers a tick every d, and none while the instance is frozen.
func (c *clock) Subscribe(d time.Duration) *timer.Subscription { return timer.NewSubscription(c, d) }
