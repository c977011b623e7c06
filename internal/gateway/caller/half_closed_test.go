package caller

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
)

// Guards against a success that no upstream has sent, and against a part of a response that looks complete, for a
// caller that closes its sending side after the request and still reads.
func TestHalfClosedCaller(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle func(e *upstreamtest.Exchange) bool
		pause  time.Duration // that the upstream asks for
		path   string
		begin  string // of what the caller receives
	}{
		{"before the response", func(e *upstreamtest.Exchange) bool {
			time.Sleep(300 * time.Millisecond)
			return respondSigned(e, "ok")
		}, 0, "/look/1", "HTTP/1.1 502"},
		{"before it is sent", func(*upstreamtest.Exchange) bool { return false }, 800 * time.Millisecond, "/look/1", "HTTP/1.1 503"},
		{"during a stream", func(e *upstreamtest.Exchange) bool {
			e.Write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n")
			time.Sleep(300 * time.Millisecond)
			e.Write("id: 2\ndata: b\n\n")
			return false
		}, 0, "/draft/1", "HTTP/1.1 200"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := startUpstream(t, c.handle)
			f := newFixture(t, []*upstreamtest.Server{u}, []*upstreamtest.Server{u})
			if c.pause > 0 {
				f.handler.Balancer.Pause("desk0", 1, c.pause)
			}
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST "+c.path+" HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n")
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			is.NoErr(conn.(*net.TCPConn).CloseWrite())
			is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
			text, _ := io.ReadAll(conn) // whether it ends with a reset depends on what is still unread
			is.True(strings.HasPrefix(string(text), c.begin))
			is.True(!strings.HasSuffix(string(text), "0\r\n\r\n")) // the end of a body in chunks
		})
	}
}
