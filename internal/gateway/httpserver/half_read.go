package httpserver

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
)

const (
	// freeHeaderBytes of a header do not count: most are shorter, and the bound on connections bounds them.
	freeHeaderBytes = 8 << 10
	// headerCopies is how often net/http holds the bytes of a long header line while it reads them.
	headerCopies = 2
)

// errHeaderTooLong means that a header exceeds the limit.
var errHeaderTooLong = errors.New("header is too long")

// halfReadListener counts the connections on which a part of the header of a request has arrived.
// For net/http they are new or idle, and its Shutdown closes them without an answer. It accounts for
// connections and headers.
type halfReadListener struct {
	net.Listener
	halfRead *atomic.Int64
	// budget is nil if memory is not accounted for, and maxHeader if headers are not limited here.
	budget    *memory.Budget
	maxHeader func() int
}

// Accept returns the next connection that there is room for.
func (l *halfReadListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		h := &halfReadConn{Conn: c, halfRead: l.halfRead, maxHeader: l.maxHeader, betweenRequests: true}
		held, ok := l.budget.Open(clientAddress(c), func() { _ = c.Close() })
		if ok {
			h.held = held
			return h, nil
		}
		_ = c.Close() // there is no room for it, so an error is irrelevant
	}
}

// clientAddress returns the IP address of the other end; the zero value if it has none.
func clientAddress(c net.Conn) netip.Addr {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return a.AddrPort().Addr()
}

// halfReadConn notices when the header of its next request has begun to arrive. Bytes that arrive together
// with the end of the request before are not noticed.
type halfReadConn struct {
	net.Conn
	halfRead  *atomic.Int64
	held      *memory.Connection // for the client; nil if it is not accounted for
	maxHeader func() int

	mu              sync.Mutex
	betweenRequests bool // the header of the next request is not complete
	begun           bool // some of that header has arrived
	headerBytes     int  // read since the last request, at most what is in its header
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
		if c.betweenRequests && c.held != nil {
			if headerErr := c.countHeader(n); headerErr != nil {
				return 0, headerErr
			}
		}
	}
	return n, err
}

// countHeader accounts for bytes of a header that have arrived. c.mu must be held.
func (c *halfReadConn) countHeader(n int) error {
	c.headerBytes += n
	if c.headerBytes <= freeHeaderBytes {
		return nil
	}
	if c.maxHeader != nil && c.headerBytes > c.maxHeader() {
		return errHeaderTooLong
	}
	return c.held.Reserve(memory.Header, memory.Bytes(headerCopies*n))
}

// Close closes the connection.
func (c *halfReadConn) Close() error {
	c.held.Close()
	return c.Conn.Close()
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
	c.headerBytes = 0
	if s == http.StateIdle {
		c.held.ReleaseAll(memory.Header)
	}
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

// withConnection lets requests account for what they hold.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	if h, ok := c.(*halfReadConn); ok && h.held != nil {
		return memory.WithConnection(ctx, h.held)
	}
	return ctx
}
