package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against a planned stop that closes a connection on which half of the header of a request
// has arrived, so that its caller gets no answer.
func TestStopWithHalfReadHeader(t *testing.T) {
	const first, second = "GET /x HTTP/1.1\r\nHost: h\r\nId", ": late\r\n\r\n"
	for _, c := range []struct {
		name string
		kept bool // the connection has carried a request
	}{{"new connection", false}, {"kept connection", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := &loadedHandler{answerAll: make(chan struct{})}
			address := freeAddress(t)
			s, err := New(Options{
				Endpoints: []Endpoint{{Name: "callers", Address: address, Handler: h}}, Drainer: h, Deregister: func() {},
				GracePeriod: 8 * time.Second, Timer: timer.NewSystem(), Log: zap.NewNop(),
			})
			is.NoErr(err)
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- s.Run(ctx) }()
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			if c.kept {
				_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
				is.NoErr(err)
				_, err := http.ReadResponse(r, nil)
				is.NoErr(err)
			}
			_, err = io.WriteString(conn, first)
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			stop()
			time.Sleep(minShutdown + 500*time.Millisecond)
			_, err = io.WriteString(conn, second)
			is.NoErr(err)
			res, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			is.Equal(res.StatusCode, 503)
			is.NoErr(<-ended)
		})
	}
}

// Guards against a refusal of a long request whose connection ends only after the delay that net/http waits
// where it can't close the sending side.
func TestRefusalOfLongRequestEndsConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &http.Server{ConnState: recordState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = s.Serve(&halfReadListener{Listener: l, halfRead: new(atomic.Int64)}) }()
	defer func() { _ = s.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(400 * time.Millisecond))) // net/http's delay is 500 ms
	_, err = io.ReadAll(conn)
	is.NoErr(err)
}
