package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a response with status 200 to a caller that ends its body early and waits for the response.
func TestTruncatedBody(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(poolDocument(), deskDocument())
	d := startBookingService(t, f, "d1", nil)
	_, s := newHandler(t, f, nil)
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /v1/services/desk/bookings/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer town\r\nContent-Length: 9\r\n\r\nshort")
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(r.StatusCode, 400)
	is.Equal(r.Header.Get("Wisteriakeel-Outcome"), "not run")
	is.Equal(d.runCount(), 0)
}
