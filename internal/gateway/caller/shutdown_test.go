package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Guards against requests that are cut without an answer at the end of a planned stop, against requests that
// are sent then, and against answers that promise that a request has not run although it has.
func TestAnswersOfPlannedStop(t *testing.T) {
	hang := func(e *upstreamtest.Exchange) bool { time.Sleep(2 * time.Second); return respondSigned(e, "ok") }
	for _, c := range []struct {
		name    string
		handle  func(e *upstreamtest.Exchange) bool
		prepare func(f *fixture)
		request string // up to what has arrived
		waiting bool   // ends when waiting requests do
		answer  string // status
		sent    int
	}{
		{"waits for its body", hang, nil, "POST /book/1 HTTP/1.1\r\nContent-Length: 9\r\n$\r\nhalf", true, "503", 0},
		{"waits for the end of a pause", hang, func(f *fixture) {
			f.handler.Balancer.Pause("desk0", 1, 800*time.Millisecond)
		}, "GET /look/1 HTTP/1.1\r\n$\r\n", true, "503", 0},
		{"waits for a slot", hang, func(f *fixture) {
			f.view.ApplySync(&wire.SyncReply{Term: 1, LeasesSlots: true}, f.clock.Now())
			f.handler.Balancer.SetBrittle("desk0", true)
		}, "GET /look/1 HTTP/1.1\r\n$\r\n", true, "503", 0},
		{"runs once", hang, nil, "POST /book/1 HTTP/1.1\r\n$\r\n", false, "502", 1},
		{"may be repeated", hang, nil, "GET /look/1 HTTP/1.1\r\n$\r\n", false, "502", 1},
		{"failed and is not sent again", func(e *upstreamtest.Exchange) bool {
			time.Sleep(400 * time.Millisecond)
			return respond(e, 500, "bad", "Signature: s")
		}, nil, "GET /look/1 HTTP/1.1\r\n$\r\n", false, "500", 1},
		{"is answered in time", func(e *upstreamtest.Exchange) bool {
			time.Sleep(300 * time.Millisecond)
			return respondSigned(e, "ok")
		}, nil, "POST /book/1 HTTP/1.1\r\n$\r\n", false, "200", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, c.handle)
			f := newFixture(t, []*upstreamtest.Server{u}, nil)
			if c.prepare != nil {
				c.prepare(f)
			}
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			f.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, strings.Replace(c.request, "$", "Host: h\r\nRequest-Id: r1\r\nAuthorization: Token k1\r\n", 1))
			f.NoErr(err)
			time.Sleep(200 * time.Millisecond)
			f.handler.Drain()
			f.handler.RejectNew()
			f.handler.RejectWaiting()
			if c.waiting {
				f.NoErr(conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond)))
			} else {
				time.AfterFunc(400*time.Millisecond, f.handler.AnswerAll)
				f.NoErr(conn.SetReadDeadline(time.Now().Add(700 * time.Millisecond)))
			}
			r, err := http.ReadResponse(bufio.NewReader(conn), nil)
			f.NoErr(err)
			text, err := io.ReadAll(r.Body)
			f.NoErr(err)
			f.True(strings.HasPrefix(r.Status, c.answer))
			f.Equal(r.StatusCode == http.StatusServiceUnavailable, strings.Contains(string(text), "not run"))
			time.Sleep(100 * time.Millisecond)
			f.Equal(len(u.Requests()), c.sent)
			f.Equal(f.handler.Running(), int64(0))
		})
	}
}
