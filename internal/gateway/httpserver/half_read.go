package httpserver

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// halfReadListener counts the connections on which a part of the header of a request has arrived.
// For net/http they are new or idle, and its Shutdown closes them without an answer.
type halfReadListener struct {
	net.Listener
	halfRead *atomic.Int64
}

// Accept returns the next connection.
func (l *halfReadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &halfReadConn{Conn: c, halfRead: l.halfRead, betweenRequests: true}, nil
}

// halfReadConn notices when the header of its next request has begun to arrive. Bytes that arrive together
// with the end of the request before are not noticed.
type halfReadConn struct {
	net.Conn
	halfRead *atomic.Int64

	mu              sync.Mutex
	betweenRequests bool // the header of the next request is not complete
	begun           bool // some of that header has arrived
}

// Read reads from the connection.
func (c *halfReadConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.betweenRequests && !c.begun {
			c.begun = true
			c.halfRead.Add(1)
		}
	}
	return n, err
}

// CloseWrite closes the sending side. net/http does so after a response to a request that it hasn't read to
// the end.
func (c *halfReadConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// setState records a new state of the connection.
func (c *halfReadConn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.betweenRequests = s == http.StateNew || s == http.StateIdle
	if c.begun && s != http.StateNew {
		c.begun = false
		c.halfRead.Add(-1)
	}
}

// recordState is the ConnState hook of an http.Server that serves a halfReadListener.
func recordState(c net.Conn, s http.ConnState) {
	if h, ok := c.(*halfReadConn); ok {
		h.setState(s)
	}
}
