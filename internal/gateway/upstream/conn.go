package upstream

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"wisteriakeel.example/wisteriakeel/internal/kernel/tcp"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// connectTimeout limits the time to open a connection.
	connectTimeout = time.Second
	// ackTimeout limits how long sent bytes and keep-alive probes may stay unacknowledged. It
	// distinguishes an upstream whose machine is gone from one that is silent for a second or so.
	ackTimeout = 2500 * time.Millisecond
	// A machine that is gone while nothing is sent is detected by keep-alive probes: from
	// keepAliveIdle on, every keepAliveInterval, until keepAliveCount have no reply.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// defaultIdleTimeout is how long an idle connection is kept if the upstream sends no
	// Keep-Alive timeout; idleTimeoutMargin is subtracted from one that it sends.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = time.Second
	// maxIdlePerUpstream limits the idle connections to one upstream.
	maxIdlePerUpstream = 16
	// readBufferSize is enough for a response header and a few events.
	readBufferSize = 4 << 10
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	limit     *readLimit
	expiresAt timer.Instant // when it may no longer be reused
	used      bool          // has carried a request
	detour    bool          // leads through another instance
	// awaitsHeader is true while a request waits for the first byte of its response, and interrupted is set
	// when interrupt has ended that.
	awaitsHeader, interrupted atomic.Bool
}

// pool holds idle connections by address.
type pool struct {
	timer timer.Service

	mu   sync.Mutex
	idle map[string][]*conn
}

func newPool(t timer.Service) *pool { return &pool{timer: t, idle: map[string][]*conn{}} }

// get returns an idle connection that is still usable, or nil. broken is true if one was found ended that had
// not expired.
func (p *pool) get(address string) (c *conn, broken bool) {
	now := p.timer.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil, broken
		}
		c := list[len(list)-1]
		list[len(list)-1] = nil
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.expiresAt) {
			if c.isIdle() {
				return c, broken
			}
			broken = true
		}
		discard(c)
	}
}

// put makes a connection available for reuse during idleTimeout.
func (p *pool) put(address string, c *conn, idleTimeout time.Duration) {
	c.expiresAt = p.timer.Now().Add(idleTimeout)
	p.mu.Lock()
	list := p.idle[address]
	if len(list) < maxIdlePerUpstream {
		p.idle[address] = append(list, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		discard(c)
	}
}

// closeExpired closes the idle connections that may no longer be reused.
func (p *pool) closeExpired() {
	now := p.timer.Now()
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		discard(c)
	}
}

// closeAll closes all idle connections.
func (p *pool) closeAll() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			discard(c)
		}
	}
}

// discard closes a connection that is no longer needed, so an error is irrelevant.
func discard(c *conn) { _ = c.Close() }

// isIdle reports whether nothing has arrived on an idle connection: neither its end, nor a
// reset, nor bytes that belong to no request.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// Dialer opens connections that detect when the machine of the upstream is gone.
type Dialer struct {
	// Source is the local address; nil for the one that the system chooses.
	Source net.IP
}

// Dial opens a connection.
func (d Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	n := tcp.NewDialer(ackTimeout)
	n.Timeout = connectTimeout
	n.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
	if d.Source != nil {
		n.LocalAddr = &net.TCPAddr{IP: d.Source}
	}
	return n.DialContext(ctx, "tcp", address)
}

// dial opens a connection for requests of this instance.
func (d Dialer) dial(ctx context.Context, address string) (*conn, error) {
	n, err := d.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(n), nil
}

// newConn returns a connection that was just opened.
func newConn(n net.Conn) *conn {
	l := &readLimit{source: n, remaining: noLimit}
	return &conn{Conn: n, reader: bufio.NewReaderSize(l, readBufferSize), limit: l}
}

// noLimit is the limit of a reader that may read any number of bytes.
const noLimit = math.MaxInt64

// readLimit is a reader that fails after a number of bytes.
type readLimit struct {
	source    io.Reader
	remaining int64
}

// set sets the number of bytes that may still be read.
func (l *readLimit) set(n int64) { l.remaining = n }

// Read reads from the source.
func (l *readLimit) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errors.New("upstream sends more than the protocol allows")
	}
	n, err := l.source.Read(b[:min(int64(len(b)), l.remaining)])
	if l.remaining != noLimit {
		l.remaining -= int64(n)
	}
	return n, err
}

// parseKeepAlive returns how long an idle connection may be kept, from the value of the
// Keep-Alive header.
func parseKeepAlive(value string) time.Duration {
	for _, part := range splitList(value) {
		name, text, ok := strings.Cut(part, "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || seconds < 0 {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0)
	}
	return defaultIdleTimeout
}

// splitList returns the elements of a comma-separated header value.
func splitList(s string) (out []string) {
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
