package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// mode is what a proxy does to the bytes that pass through it.
type mode int

const (
	pass mode = iota
	// delay holds each chunk back.
	delay
	// silent passes nothing and keeps the connections open.
	silent
	// deaf passes requests and no answers.
	deaf
	// refuse resets all connections, also new ones.
	refuse
)

var modes = []string{"pass", "delay", "silent", "deaf", "refuse"}

// pause is how long a chunk waits in the mode delay.
const pause = 150 * time.Millisecond

// proxy stands between the instances and one upstream.
type proxy struct {
	listener net.Listener
	target   string
	group    *group.Group
	timer    timer.Service

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	conns   map[*pair]struct{}
}

// pair is a connection from an instance and the one to the upstream.
type pair struct {
	proxy        *proxy
	near, far    net.Conn
	ended        chan struct{}
	endOnce      sync.Once
	inner, outer copier
}

// copier passes the bytes of one direction.
type copier struct {
	pair     *pair
	from, to net.Conn
	answers  bool
}

func newProxy(g *group.Group, t timer.Service, target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, group: g, timer: t, changed: make(chan struct{}), conns: map[*pair]struct{}{}}
	g.Go("proxy", p.loop)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode of all connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == refuse {
		for c := range p.conns {
			c.reset()
		}
	}
}

func (p *proxy) state() (mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// close ends the proxy with its connections; its port refuses from then on.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(refuse)
}

func (p *proxy) loop(context.Context) error {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return nil // closed
		}
		k := &pair{proxy: p, near: c, ended: make(chan struct{})}
		if m, _ := p.state(); m == refuse {
			k.reset()
			continue
		}
		p.group.Go("pair", k.run)
	}
}

func (k *pair) run(ctx context.Context) (err error) {
	if k.far, err = net.Dial("tcp", k.proxy.target); err != nil {
		k.reset()
		return nil // the upstream has crashed
	}
	k.proxy.mu.Lock()
	k.proxy.conns[k] = struct{}{}
	if k.proxy.mode == refuse {
		k.reset() // the mode changed during the dial
	}
	k.proxy.mu.Unlock()
	k.inner = copier{pair: k, from: k.near, to: k.far}
	k.outer = copier{pair: k, from: k.far, to: k.near, answers: true}
	k.proxy.group.Go("requests", k.inner.run)
	k.proxy.group.Go("answers", k.outer.run)
	select {
	case <-k.ended:
	case <-ctx.Done():
		k.reset()
	}
	k.proxy.mu.Lock()
	delete(k.proxy.conns, k)
	k.proxy.mu.Unlock()
	return nil
}

func (k *pair) end() { k.endOnce.Do(func() { close(k.ended) }) }

// reset ends both connections so that the other sides see a reset.
func (k *pair) reset() {
	for _, c := range []net.Conn{k.near, k.far} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
	k.end()
}

// run passes bytes until either side closes.
func (c *copier) run(ctx context.Context) error {
	buffer := make([]byte, 16<<10)
	for {
		n, err := c.from.Read(buffer)
		if n > 0 && !c.wait(ctx) {
			break
		}
		if _, failure := c.to.Write(buffer[:n]); err != nil || failure != nil {
			break
		}
	}
	// Bytes that were passed on before stay readable for the other side.
	_ = c.to.Close()
	_ = c.from.Close()
	c.pair.end()
	return nil
}

// wait returns once the next bytes may be passed on, or false if the connection has ended.
func (c *copier) wait(ctx context.Context) bool {
	for {
		m, changed := c.pair.proxy.state()
		timeout := make(chan struct{})
		switch {
		case m == pass || m == deaf && !c.answers:
			return true
		case m == refuse:
			return false
		case m == delay:
			defer c.pair.proxy.timer.AfterFunc(pause, func() { close(timeout) })()
		}
		select {
		case <-timeout:
			return true
		case <-changed:
		case <-c.pair.ended:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
