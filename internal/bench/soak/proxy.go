package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// proxyMode is what a proxy does with the bytes of its connections.
type proxyMode int

const (
	modePass proxyMode = iota
	// modeDelay delays each chunk by chunkDelay.
	modeDelay
	// modeStall forwards nothing and keeps the connections open.
	modeStall
	// modeStallResponses forwards requests, but no responses.
	modeStallResponses
	// modeRefuse resets all connections, new ones included.
	modeRefuse
)

// modeNames are the names of the modes in the report, in the order of the constants.
var modeNames = []string{"pass", "delay", "silent", "deaf", "refuse"}

// chunkDelay is how long modeDelay delays a chunk.
const chunkDelay = 150 * time.Millisecond

// proxy forwards connections from the instances to one upstream.
type proxy struct {
	listener net.Listener
	target   string
	group    *group.Group
	timer    timer.Service

	mu   sync.Mutex
	mode proxyMode
	// modeChanged and partitionEnded are when that last happened; 0 if it did not.
	modeChanged, partitionEnded timer.Instant
	partition, formerPartition  *partition // nil without one
	changed                     chan struct{}
	conns                       map[*proxiedConn]struct{}
}

// proxiedConn is a connection from an instance with the connection to the upstream that it is forwarded to.
type proxiedConn struct {
	proxy                      *proxy
	instanceConn, upstreamConn net.Conn
	ended                      chan struct{}
	endOnce                    sync.Once
	requests, responses        copier
}

// copier forwards the bytes of one direction of a connection.
type copier struct {
	conn       *proxiedConn
	from, to   net.Conn
	isResponse bool
}

func newProxy(g *group.Group, t timer.Service, target string) (*proxy, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false) // such sockets take no packet filters
	l, err := c.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, group: g, timer: t, changed: make(chan struct{}), conns: map[*proxiedConn]struct{}{}}
	g.Go("proxy", p.acceptLoop)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode of all connections.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.modeChanged = m, p.timer.Now()
	close(p.changed)
	p.changed = make(chan struct{})
	if m == modeRefuse {
		for c := range p.conns {
			c.reset()
		}
	}
}

// currentMode returns the mode and a channel that is closed when the mode changes.
func (p *proxy) currentMode() (proxyMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// close resets all connections and closes the port.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeRefuse)
}

// acceptLoop accepts connections until the listener is closed.
func (p *proxy) acceptLoop(context.Context) error {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return nil // the listener is closed
		}
		pc := &proxiedConn{proxy: p, instanceConn: conn, ended: make(chan struct{})}
		if m, _ := p.currentMode(); m == modeRefuse {
			pc.reset()
			continue
		}
		p.group.Go("pair", pc.run)
	}
}

// run dials the upstream and forwards bytes until the connection ends. The upstream sees the IP
// address of the instance.
func (pc *proxiedConn) run(ctx context.Context) (err error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: pc.instanceConn.RemoteAddr().(*net.TCPAddr).IP}}
	if pc.upstreamConn, err = d.DialContext(ctx, "tcp", pc.proxy.target); err != nil {
		pc.reset()
		return nil // the upstream has crashed
	}
	pc.proxy.mu.Lock()
	pc.proxy.conns[pc] = struct{}{}
	if pc.proxy.mode == modeRefuse {
		pc.reset() // the mode changed during the dial
	}
	pc.proxy.mu.Unlock()
	pc.requests = copier{conn: pc, from: pc.instanceConn, to: pc.upstreamConn}
	pc.responses = copier{conn: pc, from: pc.upstreamConn, to: pc.instanceConn, isResponse: true}
	pc.proxy.group.Go("requests", pc.requests.run)
	pc.proxy.group.Go("answers", pc.responses.run)
	select {
	case <-pc.ended:
	case <-ctx.Done():
		pc.reset()
	}
	pc.proxy.mu.Lock()
	delete(pc.proxy.conns, pc)
	pc.proxy.mu.Unlock()
	return nil
}

// end marks the connection as ended.
func (pc *proxiedConn) end() { pc.endOnce.Do(func() { close(pc.ended) }) }

// reset closes both connections in such a way that the peers see a reset.
func (pc *proxiedConn) reset() {
	for _, c := range []net.Conn{pc.instanceConn, pc.upstreamConn} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
	pc.end()
}

// run forwards bytes until either side closes.
func (c *copier) run(ctx context.Context) error {
	buffer := make([]byte, 16<<10)
	for {
		n, err := c.from.Read(buffer)
		if n > 0 && !c.waitToForward(ctx) {
			break
		}
		if _, writeErr := c.to.Write(buffer[:n]); err != nil || writeErr != nil {
			break
		}
	}
	// Close without a reset, so that the peer can still read the bytes forwarded before.
	_ = c.to.Close()
	_ = c.from.Close()
	c.conn.end()
	return nil
}

// waitToForward waits until the next bytes may be forwarded. It returns false if the connection has ended.
func (c *copier) waitToForward(ctx context.Context) bool {
	for {
		m, changed := c.conn.proxy.currentMode()
		if c.conn.hangs() {
			m = modeStall
		}
		timeout := make(chan struct{})
		switch {
		case m == modePass || m == modeStallResponses && !c.isResponse:
			return true
		case m == modeRefuse:
			return false
		case m == modeDelay:
			defer c.conn.proxy.timer.AfterFunc(chunkDelay, func() { close(timeout) })()
		}
		select {
		case <-timeout:
			return true
		case <-changed:
		case <-c.conn.ended:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
