package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against a request that is refused for want of memory as not run although it has run or will, and
// against one that keeps its memory.
func TestMemoryIsGivenBack(t *testing.T) {
	const full = 1 << 20
	for _, c := range []struct {
		name     string
		sent     int // bytes of the body
		path     string
		status   int
		outcome  string
		requests int // that the upstream gets
	}{
		{"while the body is read", full - 10, "/look/1", 503, "not run", 0},
		{"while an upstream runs it", full, "/look/1", 502, "unknown", 1},
		{"while an upstream runs it once", full, "/book/1", 502, "unknown", 1},
		{"while it waits for a brittle upstream", full, "/draft/1", 503, "not run", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			arrived, end := make(chan struct{}, 4), make(chan struct{})
			u := startUpstream(t, func(*upstreamtest.Exchange) bool {
				arrived <- struct{}{}
				<-end
				return false
			})
			defer close(end)
			brittle := startUpstream(t, func(*upstreamtest.Exchange) bool { <-end; return false })
			f := newFixture(t, []*upstreamtest.Server{u}, []*upstreamtest.Server{brittle})
			f.handler.Balancer.ReportCondition("pool0", true, true)
			b := memory.New(memory.Options{Limit: 3 << 19, Timer: timer.NewSystem(), Log: zap.NewNop()})
			s := httptest.NewUnstartedServer(f.handler)
			s.Config.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
				held, _ := b.Open(n.RemoteAddr().(*net.TCPAddr).AddrPort().Addr(), func() { _ = n.Close() })
				return memory.WithConnection(ctx, held)
			}
			s.Start()
			defer s.Close()
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST "+c.path+" HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nAuthorization: Token k1\r\nContent-Length: 1048576\r\n\r\n"+strings.Repeat("b", c.sent))
			is.NoErr(err)
			if c.requests > 0 {
				<-arrived
			}
			waits := c.requests == 0 && c.sent == full
			for end := time.Now().Add(time.Second); waits && f.handler.waitingForRoom.Load() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if !waits {
				time.Sleep(200 * time.Millisecond) // until the rest has arrived
			}
			other, _ := b.Open(netip.MustParseAddr("10.0.0.2"), func() {})
			is.NoErr(other.Reserve(memory.Body, 400<<10))
			is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
			r, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			text, err := io.ReadAll(r.Body)
			is.NoErr(err)
			is.Equal(r.StatusCode, c.status)
			is.True(strings.Contains(string(text), c.outcome) && strings.Contains(string(text), "memory is short"))
			is.Equal(r.Header.Get("Retry-After") != "", c.status == 503)
			is.Equal(len(u.Requests()), c.requests)
		})
	}
}
