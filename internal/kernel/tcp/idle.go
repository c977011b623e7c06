package tcp

import (
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// MaxIdle is how long a connection between instances may be unused and still be used again.
// Something between the two ends may have lost track of an idle connection, which then stays
// silent for good while new ones work. A dial takes one round trip, a call on a silent
// connection its whole timeout.
const MaxIdle = time.Second

// Conn is a connection that carries one call at a time.
type Conn interface {
	Close() error
	// Closed returns a channel that is closed when the connection has ended.
	Closed() <-chan struct{}
}

// IdleConns holds the connections to one address that no call uses. It is not safe for concurrent use.
type IdleConns[C Conn] struct {
	list []idleConn[C] // those used last at the end
}

// idleConn is an idle connection, and since when it is idle.
type idleConn[C Conn] struct {
	conn  C
	since timer.Instant
}

// Put adds a connection.
func (i *IdleConns[C]) Put(c C, now timer.Instant) { i.list = append(i.list, idleConn[C]{c, now}) }

// Take removes and returns the connection that was used last of those that are open. It closes those
// that have been idle for longer than MaxIdle.
func (i *IdleConns[C]) Take(now timer.Instant) (conn C, ok bool) {
	for len(i.list) > 0 {
		c := i.list[len(i.list)-1]
		i.list = i.list[:len(i.list)-1]
		if now.Sub(c.since) > MaxIdle {
			_ = c.conn.Close()
			continue
		}
		select {
		case <-c.conn.Closed():
		default:
			return c.conn, true
		}
	}
	return conn, false
}

// Len returns the number of connections.
func (i *IdleConns[C]) Len() int { return len(i.list) }

// Close closes the connections and removes them.
func (i *IdleConns[C]) Close() (err error) {
	for _, c := range i.list {
		err = errors.CombineErrors(err, c.conn.Close())
	}
	i.list = nil
	return err
}
