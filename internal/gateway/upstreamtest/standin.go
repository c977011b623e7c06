// Package upstreamtest holds a stand-in of an upstream for tests: a TCP server whose every
// byte a test decides.
package upstreamtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Exchange is one request as the stand-in received it.
type Exchange struct {
	Request *http.Request
	Body    []byte
	// Reused tells whether the connection carried a request before.
	Reused bool
	Conn   net.Conn
}

// Write sends bytes as they are. A caller that has left is no error of the stand-in.
func (e *Exchange) Write(text string) { _, _ = io.WriteString(e.Conn, text) }

// Reset ends the connection so that the other side sees a reset.
func (e *Exchange) Reset() {
	if t, ok := e.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = e.Conn.Close()
}

// Server answers requests by a function. Serve returns false to end the connection.
type Server struct {
	Handle func(e *Exchange) bool

	listener net.Listener
	mu       sync.Mutex
	seen     []*Exchange
}

// New starts a stand-in on a loopback address.
func New(serve func(e *Exchange) bool) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Server{Handle: serve, listener: l}
	go u.loop()
	return u, nil
}

// Address is where it listens.
func (u *Server) Address() string { return u.listener.Addr().String() }

// Close stops listening.
func (u *Server) Close() { _ = u.listener.Close() }

// Requests returns the requests received so far.
func (u *Server) Requests() []*Exchange {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*Exchange(nil), u.seen...)
}

func (u *Server) loop() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		s := &session{upstream: u, conn: c}
		go s.run()
	}
}

// session is one connection.
type session struct {
	upstream *Server
	conn     net.Conn
}

func (s *session) run() {
	defer func() { _ = s.conn.Close() }()
	r := bufio.NewReader(s.conn)
	for reused := false; ; reused = true {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		e := &Exchange{Request: q, Body: body, Reused: reused, Conn: s.conn}
		s.upstream.mu.Lock()
		s.upstream.seen = append(s.upstream.seen, e)
		s.upstream.mu.Unlock()
		if !s.upstream.Handle(e) {
			return
		}
	}
}
