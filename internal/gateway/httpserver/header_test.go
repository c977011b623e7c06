package httpserver

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against a header whose end is missed, so that lines of the body count, or is found too early, so that its
// own lines do not.
func TestHeaderReader(t *testing.T) {
	for _, c := range []struct {
		name      string
		reads     []string
		size      headerSize
		complete  bool
		following headerSize
	}{
		{"one read", []string{"GET / HTTP/1.1\r\nA: b\r\n\r\n"}, headerSize{24, 3}, true, headerSize{}},
		{"line feeds", []string{"GET / HTTP/1.1\nA: b\n\n"}, headerSize{21, 3}, true, headerSize{}},
		{"not complete", []string{"GET / HTTP/1.1\r\nA: b\r\n\r"}, headerSize{23, 2}, false, headerSize{}},
		{"byte by byte", strings.Split("GET /\r\nA: b\r\n\r\nx", ""), headerSize{15, 3}, true, headerSize{1, 0}},
		{"empty lines first", []string{"\r\n\r\n\n", "\nGET /\n\n"}, headerSize{13, 6}, true, headerSize{}},
		{"carriage returns", []string{"GET /\n\r\r\n", "\n"}, headerSize{10, 3}, true, headerSize{}},
		{"body", []string{"GET /\n\na\nb\n", "c\n"}, headerSize{7, 2}, true, headerSize{6, 3}},
		{"long body", []string{"GET /\n\n", strings.Repeat("a\n", 8<<10), "b\n"}, headerSize{7, 2}, true, headerSize{readBufferBytes, 2049}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &headerReader{}
			for _, r := range c.reads {
				h.read([]byte(r))
			}
			is.Equal(h.size, c.size)
			is.Equal(h.complete, c.complete)
			is.Equal(h.following, c.following)
		})
	}
}

// Guards against short lines that do not count where their header is in the buffer of net/http already, behind
// the request before, and against lines of a body that count for the header of the next request.
func TestAccountOfHeaders(t *testing.T) {
	short := strings.Repeat("a:\n", 1200)
	for _, c := range []struct {
		name  string
		sent  []string
		held  memory.Bytes
		least bool
	}{
		{"usual", []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}, 0, false},
		{"short lines", []string{"GET / HTTP/1.1\r\nHost: h\r\n" + short + "\r\n"}, 1000 * lineBytes, true},
		{"short lines in two reads", []string{"GET / HTTP/1.1\r\nHost: h\r\n" + short, short + "\r\n"}, 2000 * lineBytes, true},
		{"pipelined", []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n" + short + "\r\n"}, 1000 * lineBytes, true},
		{"pipelined, in two reads", []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n" + short, "\r\n"}, 1000 * lineBytes, true},
		{"lines of a body", []string{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("\n", 3000), "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := memory.New(memory.Options{Limit: 32 << 20, Timer: timer.NewSystem(), Log: zap.NewNop()})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			last := make(chan memory.Bytes, 4)
			s := &http.Server{ConnState: recordState, ConnContext: withConnection, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				last <- memory.FromContext(r.Context()).Held(memory.Header)
			})}
			l = &halfReadListener{Listener: l, halfRead: new(atomic.Int64), budget: b}
			go func() { _ = s.Serve(l) }()
			defer func() { _ = s.Close() }()
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			requests := strings.Count(strings.Join(c.sent, ""), "HTTP/1.1\r\n")
			var held memory.Bytes
			for _, text := range c.sent {
				_, err = io.WriteString(conn, text)
				is.NoErr(err)
				time.Sleep(20 * time.Millisecond) // apart from the next one
			}
			for range requests {
				held = <-last
			}
			if c.least {
				is.True(held >= c.held)
			} else {
				is.Equal(held, c.held)
			}
		})
	}
}
