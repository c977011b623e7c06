package upstream

import (
	"net"
	"sync"
)

// checkedConn is a connection that runs a check before the first byte of a request
// is written. A check before the request starts could be outdated by the time the
// connection is open, and a check while net/http reads the request body is too
// late, since the header was sent already.
type checkedConn struct {
	net.Conn

	mu    sync.Mutex
	check func() error
}

// setCheck sets the check for the next write. A connection carries one request at a time.
func (c *checkedConn) setCheck(check func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check = check
}

// Write writes p after the check, if one is set. If the check fails, nothing is written.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	check := c.check
	c.check = nil
	c.mu.Unlock()
	if check != nil {
		if err := check(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
