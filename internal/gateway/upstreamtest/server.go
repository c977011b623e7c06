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

	address  string
	mu       sync.Mutex
	listener net.Listener // nil after a crash
	conns    map[net.Conn]bool
	requests []*Exchange
	// limited tells that connections beyond limit are reset, and resets counts these.
	limited             bool
	limit, resets, most int
}

// New starts a server on a loopback address.
func New(handle func(e *Exchange) bool) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Handle: handle, address: l.Addr().String(), listener: l, conns: map[net.Conn]bool{}}
	go (&acceptor{s, l}).loop()
	return s, nil
}

// At returns a stand-in for a server at an address where this package runs none.
func At(address string) *Server { return &Server{address: address} }

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.address }

// Close stops listening.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// Crash stops listening and closes all connections. It returns false if the server is not
// running.
func (s *Server) Crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return false
	}
	_ = s.listener.Close()
	s.listener = nil
	for c := range s.conns {
		_ = c.Close()
	}
	return true
}

// Restart listens again after a crash, at the same address.
func (s *Server) Restart() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	go (&acceptor{s, l}).loop()
	return nil
}

// LimitConnections resets further connections beyond a number.
func (s *Server) LimitConnections(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited, s.limit = true, n
}

// Connections returns the greatest number of connections at a time, and how many were reset.
func (s *Server) Connections() (most, resets int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most, s.resets
}

// admit counts a connection. It resets one beyond the limit and returns false.
func (s *Server) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limited && len(s.conns) >= s.limit {
		s.resets++
		(&Exchange{Conn: c}).Reset()
		return false
	}
	s.conns[c] = true
	s.most = max(s.most, len(s.conns))
	return true
}

// Requests returns the requests received so far.
func (s *Server) Requests() []*Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Exchange(nil), s.requests...)
}

// acceptor accepts the connections of one listener.
type acceptor struct {
	server   *Server
	listener net.Listener
}

func (a *acceptor) loop() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		if !a.server.admit(c) {
			continue
		}
		go (&serverConn{server: a.server, conn: c}).run()
	}
}

// serverConn serves one connection.
type serverConn struct {
	server *Server
	conn   net.Conn
}

func (sc *serverConn) run() {
	defer func() {
		_ = sc.conn.Close()
		sc.server.mu.Lock()
		delete(sc.server.conns, sc.conn)
		sc.server.mu.Unlock()
	}()
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
