package upstream

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"wisteriakeel.example/wisteriakeel/internal/kernel/tcp"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// connectLimit bounds the time to open a connection.
	connectLimit = time.Second
	// unacknowledged bounds how long sent bytes may stay unacknowledged, so that an
	// upstream whose machine is gone is told from one that is only slow.
	unacknowledged = 1500 * time.Millisecond
	// probeAfter and probeEvery find a machine that is gone while nothing is sent.
	probeAfter = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 3
	// idleDefault is how long an idle connection is kept where the upstream states no
	// time; idleMargin is taken off a stated one.
	idleDefault = 4 * time.Second
	idleMargin  = time.Second
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 16
	// readSize holds a head and a few events.
	readSize = 4 << 10
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	until  timer.Instant // when it may no longer be used again
	used   bool
}

// pool keeps idle connections by address.
type pool struct {
	timer timer.Service

	mu   sync.Mutex
	idle map[string][]*conn
}

func newPool(t timer.Service) *pool { return &pool{timer: t, idle: map[string][]*conn{}} }

// take returns an idle connection that is still open, or nil.
func (p *pool) take(address string) *conn {
	now := p.timer.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		list[len(list)-1] = nil
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.until) && c.quiet() {
			return c
		}
		discard(c)
	}
}

// put keeps a connection for the time that its upstream allows.
func (p *pool) put(address string, c *conn, keep time.Duration) {
	c.until = p.timer.Now().Add(keep)
	c.used = true
	p.mu.Lock()
	list := p.idle[address]
	if len(list) < maxIdle {
		p.idle[address] = append(list, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		discard(c)
	}
}

// sweep closes the idle connections that may no longer be used.
func (p *pool) sweep() {
	now := p.timer.Now()
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		discard(c)
	}
}

// discard closes a connection that carries nothing any more; there is nobody to tell of an error.
func discard(c *conn) { _ = c.Close() }

// quiet tells whether nothing has arrived on an idle connection: an end, a reset or
// bytes that belong to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// dial opens a connection that notices when the machine of the upstream is gone.
func dial(ctx context.Context, address string) (*conn, error) {
	d := tcp.NewDialer(unacknowledged)
	d.Timeout = connectLimit
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount}
	n, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, reader: bufio.NewReaderSize(n, readSize)}, nil
}

// keepFor returns how long a connection may be kept, from the field Keep-Alive.
func keepFor(value string) time.Duration {
	for _, part := range splitList(value) {
		name, text, ok := strings.Cut(part, "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || seconds < 0 {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, 0)
	}
	return idleDefault
}

func splitList(s string) (out []string) {
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
