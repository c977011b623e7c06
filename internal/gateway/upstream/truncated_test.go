package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// uploadBytes is more than the socket buffers of both sides hold, so that the upload is still being
// written when its answer arrives.
const uploadBytes = 16 << 20

// earlyUpstream answers each request once its head has arrived, and ends the connection.
type earlyUpstream struct {
	listener net.Listener
	answer   string
	// end ends the connection in one direction at least.
	end func(c *net.TCPConn, body io.Reader)
}

// reset resets the connection once the answer is read.
func reset(c *net.TCPConn, _ io.Reader) {
	time.Sleep(2 * time.Millisecond)
	_ = c.SetLinger(0)
}

// readRest reads the rest of the request.
func readRest(c *net.TCPConn, body io.Reader) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, body)
}

// stall reads nothing more.
func stall(c *net.TCPConn, _ io.Reader) {
	_ = c.CloseWrite()
	time.Sleep(2 * maxSendTime)
}

func (u *earlyUpstream) loop() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.serve(c.(*net.TCPConn))
	}
}

func (u *earlyUpstream) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, u.answer)
	u.end(c, q.Body)
}

// Guards against a part of a response, or of its events, that counts as complete: when an upstream
// resets the connection during an upload, the write takes the error and the read sees a plain end.
func TestEarlyAnswer(t *testing.T) {
	for _, c := range []struct {
		name     string
		body     string
		read     exchangeReader
		end      func(c *net.TCPConn, body io.Reader)
		repeat   int // the reset reaches the write or the read first by chance
		complete bool
	}{
		{"body, reset during the upload", "part", readBody, reset, 10, false},
		{"events, reset during the upload", "id: 1\ndata: a\n\n", readToEnd, reset, 10, false},
		{"discarded, reset during the upload", "part", (*Response).Discard, reset, 10, false},
		{"body, upload read", "whole", readBody, readRest, 2, true},
		{"events, upload read", "id: 1\ndata: a\n\n", readToEnd, readRest, 2, true},
		{"body, upload neither read nor reset", "part", readBody, stall, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			u := &earlyUpstream{listener: l, answer: "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n" + c.body, end: c.end}
			go u.loop()
			client := newClient()
			for range c.repeat {
				q := newRequest("a")
				q.Body = [][]byte{make([]byte, uploadBytes)}
				r, err := client.Send(t.Context(), Target{Address: l.Addr().String()}, q)
				if err == nil {
					err = c.read(r)
					r.Close()
				}
				is.Equal(err == nil, c.complete)
			}
		})
	}
}

// readToEnd reads events up to the end of the stream.
func readToEnd(r *Response) error {
	if err := readEvents(r); !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// Guards against reusing a connection whose request was not read to its end: the next request would be
// read as the rest of the upload.
func TestEarlyAnswerOnReusedConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	u := &skippingUpstream{listener: l, ids: make(chan string, 9)}
	go u.loop()
	client := newClient()
	for _, id := range []string{"a", "b", "c"} {
		q := newRequest(id)
		if id == "b" {
			q.Body = [][]byte{make([]byte, uploadBytes)}
		}
		body, err := send(client, l.Addr().String(), q)
		is.NoErr(err)
		is.Equal(body, "good")
	}
	is.Equal(<-u.ids+<-u.ids+<-u.ids, "new aused bnew c")
}

// skippingUpstream answers each request once its head has arrived, and reads no long bodies.
type skippingUpstream struct {
	listener net.Listener
	ids      chan string // of the requests, and whether their connection was used before
}

func (u *skippingUpstream) loop() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go (&skippingConn{u, c}).run()
	}
}

// skippingConn is a connection of a skippingUpstream.
type skippingConn struct {
	upstream *skippingUpstream
	conn     net.Conn
}

func (c *skippingConn) run() {
	defer func() { _ = c.conn.Close() }()
	reader := bufio.NewReader(c.conn)
	for use := "new "; ; use = "used " {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := q.Header.Get("Request-Id")
		c.upstream.ids <- use + id
		if q.ContentLength < uploadBytes {
			_, _ = io.Copy(io.Discard, q.Body)
		}
		_, _ = io.WriteString(c.conn, response(id, "good"))
	}
}
