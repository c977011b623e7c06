package upstream

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

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
	place     *place        // nil if it counts at another instance
	dialTime  time.Duration // how long it took to open
	// awaitsHeader is true while a request waits for the first byte of its response, and interrupted is set
	// when interrupt has ended that.
	awaitsHeader, interrupted atomic.Bool
}

// Close closes the connection, which no longer counts then.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if c.place != nil {
		c.place.release()
	}
	return err
}

// discard closes a connection that is no longer needed, so an error is irrelevant.
func discard(c *conn) { _ = c.Close() }

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
