package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// cuttingUpstream responds to each request with the text that it receives, and closes the connection.
type cuttingUpstream struct {
	listener net.Listener
	texts    chan string
}

func (u *cuttingUpstream) loop() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, <-u.texts)
		}
		_ = conn.Close()
	}
}

// Guards against a head that is cut and passed on as the whole head of an empty response, and against a request
// that is said not to have run then.
func TestCutHead(t *testing.T) {
	for _, c := range []struct{ name, head string }{
		{"length", "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": r\r\nContent-Length: 0\r\n\r\n"},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + HeaderRequestID + ": r\r\n\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": r\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"bare line feeds", "HTTP/1.1 200 OK\n" + HeaderRequestID + ": r\nContent-Length: 0\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			u := &cuttingUpstream{l, make(chan string, 1)}
			go u.loop()
			defer func() { is.NoErr(l.Close()) }()
			cl := New(Options{Timer: timer.NewSystem()})
			defer cl.Close()
			to := &wire.Upstream{Name: "u", Incarnation: 1, Address: l.Addr().String()}
			for cut := 1; cut < len(c.head); cut++ {
				u.texts <- c.head[:cut]
				_, err := cl.SendPlain(context.Background(), to, PlainRequest{Method: "POST", Path: "/", RequestID: "r", IdempotencyKey: "k"})
				is.True(err != nil)
				is.Equal(OutcomeOf(err), Unknown)
			}
		})
	}
}
