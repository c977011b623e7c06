package httpserver

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
)

// defaultReceiveBuffer is the size of the system's buffer of a connection if it can't be asked for, in bytes. It is the
// default of Linux.
const defaultReceiveBuffer = 128 << 10

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
// with the end of the request before are not noticed. It accounts for the header of each request as it arrives, and for
// what the system holds unread behind a request in progress.
type halfReadConn struct {
	net.Conn
	halfRead  *atomic.Int64
	held      *memory.Connection // for the client; nil if it is not accounted for
	maxHeader func() int

	deadlines atomic.Int32 // calls of SetReadDeadline since the connection became idle

	mu              sync.Mutex
	betweenRequests bool // the header of the next request is not complete
	begun           bool // some of that header has arrived
	header          headerReader
	reserved        memory.Bytes // for the header
	unread          bool         // bytes have arrived behind the request in progress
}

// Read reads from the connection.
func (c *halfReadConn) Read(p []byte) (n int, err error) {
	if err := c.countBuffered(len(p)); err != nil {
		return 0, err
	}
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.betweenRequests && !c.begun {
			c.begun = true
			c.halfRead.Add(1)
		}
		if c.held != nil {
			c.header.read(p[:n])
			if err := errors.CombineErrors(c.countHeader(), c.countUnread(len(p))); err != nil {
				return 0, err
			}
		}
	}
	return n, err
}

// countBuffered accounts for the header of the next request as far as it has arrived with the request before. free is
// the room in the buffer of net/http.
func (c *halfReadConn) countBuffered(free int) error {
	if c.held == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.betweenRequests || c.begun {
		return nil
	}
	if free >= readBufferBytes && c.deadlines.Load() <= 1 {
		c.header.emptyBuffer()
		return nil
	}
	return c.countHeader()
}

// SetReadDeadline sets the deadline for reads. net/http does so when the connection becomes idle, and again when it
// begins to parse the next request. If its buffer is empty in between, nothing of that request has arrived; later it may be
// empty because its lines were parsed.
func (c *halfReadConn) SetReadDeadline(t time.Time) error {
	c.deadlines.Add(1)
	return c.Conn.SetReadDeadline(t)
}

// countHeader accounts for what has arrived of a header. c.mu must be held.
func (c *halfReadConn) countHeader() error {
	if !c.betweenRequests {
		return nil
	}
	if c.maxHeader != nil && c.header.size.bytes > max(c.maxHeader(), freeHeaderBytes) {
		return errHeaderTooLong
	}
	n := c.header.size.memory() - freeHeaderBytes - c.reserved
	if n <= 0 {
		return nil
	}
	if err := c.held.Reserve(memory.Header, n); err != nil {
		return err
	}
	c.reserved += n
	return nil
}

// countUnread accounts for what the system may hold of the bytes behind a request in progress. net/http reads one of
// them, to notice that the client has left; the others stay unread until the response is written. c.mu must be held.
func (c *halfReadConn) countUnread(room int) error {
	if c.betweenRequests || c.unread || room != 1 {
		return nil
	}
	c.unread = true
	return c.held.Reserve(memory.Header, receiveBuffer(c.Conn))
}

// receiveBuffer returns how many bytes the system holds of a connection until they are read.
func receiveBuffer(c net.Conn) memory.Bytes {
	size := defaultReceiveBuffer
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				if n, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF); err == nil {
					size = n
				}
			})
		}
	}
	return memory.Bytes(size)
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
	if s == http.StateActive && c.held != nil && c.countHeader() != nil {
		// The header was in the buffer behind the request before, and is parsed already.
		c.held.Abort()
	}
	c.betweenRequests = s == http.StateNew || s == http.StateIdle
	if s == http.StateIdle {
		c.held.ReleaseAll(memory.Header)
		c.header.next()
		c.reserved, c.unread = 0, false
		c.deadlines.Store(0)
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
