package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
)

// Guards against a request that is held beyond the time limit of its route, or of its caller, because its body
// does not arrive.
func TestTimeLimitWhileBodyIsRead(t *testing.T) {
	for _, c := range []struct {
		name, header string
		limit        time.Duration
	}{
		{"route", "Content-Length: 9", testTimeout},
		{"caller", "Content-Length: 9\r\nDeadline: 300", 300 * time.Millisecond},
		{"chunks", "Transfer-Encoding: chunked\r\nDeadline: 300", 300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") })
			f := newFixture(t, []*upstreamtest.Server{u}, nil)
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nAuthorization: Token k1\r\n"+c.header+"\r\n\r\n4\r\n")
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(c.limit + 400*time.Millisecond)))
			r, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(r.StatusCode, http.StatusRequestTimeout)
			is.Equal(len(u.Requests()), 0)
		})
	}
}

// Guards against a refusal that is held until the rest of a body has arrived, although the body is not needed.
func TestRefusalBeforeBody(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil, nil)
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nAuthorization: Token none\r\nContent-Length: 9\r\n\r\nshort")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * testTimeout)))
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(r.StatusCode, http.StatusUnauthorized)
}
