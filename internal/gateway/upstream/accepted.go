package upstream

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// ErrClosedUnused means that the upstream ended a connection before the first byte of a request was written on it.
var ErrClosedUnused = errors.New("upstream closed the connection before the request was sent")

// arrival is what has arrived on a connection on which nothing is expected.
type arrival int

const (
	arrivedNothing arrival = iota
	// arrivedBytes belong to no request.
	arrivedBytes
	// arrivedEnd is the end of the connection or a reset.
	arrivedEnd
)

// isIdle reports whether nothing has arrived on an idle connection: neither its end, nor a
// reset, nor bytes that belong to no request.
func (c *conn) isIdle() bool { return c.reader.Buffered() == 0 && c.peek(false) == arrivedNothing }

// peek returns what has arrived, without reading it. With wait, it waits until something arrives or the
// deadline for reads has passed.
func (c *conn) peek(wait bool) arrival {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return arrivedNothing // a connection through another instance, which looks itself
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return arrivedEnd
	}
	found := arrivedNothing
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			return !wait
		case err != nil || n == 0:
			found = arrivedEnd
		default:
			found = arrivedBytes
		}
		return true
	})
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return arrivedEnd // closed here
	}
	return found
}

// look is a look for what arrives on a new connection until its time is over.
type look struct {
	conn *conn
	mu   sync.Mutex
	over bool
}

// expire ends the wait.
func (l *look) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.over {
		_ = l.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a connection that was closed
	}
}

// end makes the connection usable again. It returns false if the connection was closed.
func (l *look) end() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
	return l.conn.SetReadDeadline(time.Time{}) == nil
}

// awaitAcceptance looks for a reset of a new connection, as an upstream sends it right after it has accepted
// one beyond its limit. It returns false if the connection has ended.
func (c *conn) awaitAcceptance(t timer.Service, d time.Duration) bool {
	if d <= 0 {
		return c.peek(false) != arrivedEnd
	}
	l := &look{conn: c}
	stop := t.AfterFunc(d, l.expire)
	defer stop()
	found := c.peek(true)
	return l.end() && found != arrivedEnd
}

// connect returns a connection on which the request may be written: an idle one unless a new one is
// required, or else one that is opened. One that the upstream has ended is never used, so that nothing was sent.
func (c *Client) connect(ctx context.Context, t Target, q *Request) (*conn, error) {
	if q.OnBroken != nil && c.pool.dropEnded(t.Address) {
		q.OnBroken()
	}
	cn, err := c.connector.connect(ctx, t, !q.NewConnection)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", t.Address)
	}
	accepted := true
	if q.NewConnection && !cn.detour {
		accepted = cn.awaitAcceptance(c.timer, c.pool.lookTime(t, cn.dialTime))
	}
	if accepted && q.BeforeSend != nil {
		if err := q.BeforeSend(); err != nil {
			discard(cn)
			return nil, err
		}
	}
	// It may have ended meanwhile.
	if accepted && cn.peek(false) != arrivedEnd {
		return cn, nil
	}
	if !cn.used {
		c.pool.recordReset(t)
	}
	discard(cn)
	return nil, errors.Wrapf(ErrClosedUnused, "connect to %s", t.Address)
}

// MayConnect reports whether a connection to the upstream is idle or may be opened. newConnection tells that an
// idle one is of no use.
func (c *Client) MayConnect(t Target, newConnection bool) bool {
	return c.Partitioned() || c.pool.mayConnect(t, !newConnection)
}
