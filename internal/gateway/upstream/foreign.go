package upstream

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
)

// foreignConn is a connection that this instance opened for a request of another one.
type foreignConn struct{ *conn }

// Read reads what the upstream sends. Nothing is buffered on such a connection.
func (c foreignConn) Read(b []byte) (int, error) { return c.Conn.Read(b) }

// CloseWrite ends the sending side.
func (c foreignConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.New("connection has no side to close")
}

// DialForOther opens a connection to an upstream for a request of another instance. It counts as one of this
// instance, and since the other one can't see whether it was accepted, this one looks.
func (c *Client) DialForOther(ctx context.Context, t Target) (net.Conn, error) {
	_, l, err := c.pool.acquire(ctx, t, false)
	if errors.Is(err, errNoShare) {
		err = errors.Mark(err, ErrNoPlace)
	}
	if err != nil {
		return nil, err
	}
	cn, err := c.connector.dial(ctx, l)
	if err != nil {
		return nil, err
	}
	if !cn.awaitAcceptance(c.timer, c.pool.lookTime(t, cn.dialTime)) {
		c.pool.recordReset(t)
		discard(cn)
		return nil, ErrClosedUnused
	}
	return foreignConn{cn}, nil
}
