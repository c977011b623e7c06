package upstream

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Guards against a response with a status that none may have and that is passed on, and against bytes of
// its body that count as the response.
func TestInvalidStatus(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": r\r\nContent-Length: 4\r\n\r\ngood"
	for _, c := range []struct {
		status int
		valid  bool // the response behind the head is the one to the request
	}{
		{0, false},
		{99, false},
		{100, true},
		{101, false},
		{102, true},
		{103, true},
		{600, false},
		{999, false},
	} {
		t.Run(fmt.Sprintf("%03d", c.status), func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			u := &cuttingUpstream{l, make(chan string, 2)}
			go u.loop()
			defer func() { is.NoErr(l.Close()) }()
			cl := New(Options{Timer: timer.NewSystem()})
			defer cl.Close()
			to := &wire.Upstream{Name: "u", Incarnation: 1, Address: l.Addr().String()}
			text := fmt.Sprintf("HTTP/1.1 %03d x\r\n%s: r\r\nContent-Length: %d\r\n\r\n%s", c.status, HeaderRequestID, len(good), good)
			u.texts <- text
			p := PlainRequest{Method: "POST", Path: "/", RequestID: "r", IdempotencyKey: "k"}
			r, err := cl.SendPlain(context.Background(), to, p)
			is.Equal(err == nil, c.valid)
			is.Equal(string(r.Body) == "good", c.valid)

			u.texts <- text
			conn, err := cl.Dial(context.Background(), to)
			is.NoErr(err)
			_, err = cl.SendPlainOnce(context.Background(), to, p, conn)
			is.Equal(err == nil, c.valid)
			var f *Failure
			is.True(c.valid || errors.As(err, &f) && f.Outcome == Unknown && f.UpstreamFault)
		})
	}
}
