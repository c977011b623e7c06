// Package upstreamtest provides a fake upstream for tests: a TCP server that sends
// exactly the bytes that a test specifies.
package upstreamtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Exchange is a request as the server received it.
type Exchange struct {
	Request *http.Request
	Body    []byte
	// Reused is true if the connection carried a request before.
	Reused bool
	// Conn is the connection that the request arrived on.
	Conn net.Conn
}

// Write sends bytes as they are. A write error is ignored: the client may have disconnected.
func (e *Exchange) Write(text string) { _, _ = io.WriteString(e.Conn, text) }

// Reset closes the connection so that the client sees a reset.
func (e *Exchange) Reset() {
	if t, ok := e.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = e.Conn.Close()
}

// Server passes each request to Handle, which returns false to close the connection.
type Server struct {
	Handle func(e *Exchange) bool

	listener net.Listener
	mu       sync.Mutex
	requests []*Exchange
}

// New starts a server on a loopback address.
func New(handle func(e *Exchange) bool) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Handle: handle, listener: l}
	go s.acceptLoop()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening.
func (s *Server) Close() { _ = s.listener.Close() }

// Requests returns the requests received so far.
func (s *Server) Requests() []*Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Exchange(nil), s.requests...)
}

func (s *Server) acceptLoop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		sc := &serverConn{server: s, conn: c}
		go sc.run()
	}
}

// serverConn serves one connection.
type serverConn struct {
	server *Server
	conn   net.Conn
}

func (sc *serverConn) run() {
	defer func() { _ = sc.conn.Close() }()
	r := bufio.NewReader(sc.conn)
	for reused := false; ; reused = true {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		e := &Exchange{Request: q, Body: body, Reused: reused, Conn: sc.conn}
		sc.server.mu.Lock()
		sc.server.requests = append(sc.server.requests, e)
		sc.server.mu.Unlock()
		if !sc.server.Handle(e) {
			return
		}
	}
}
