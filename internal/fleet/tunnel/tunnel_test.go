package tunnel

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmigrate"

	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// helper is an instance that serves tunnels to the upstream "u".
type helper struct {
	name        string
	token       string
	zone        string
	partitioned bool
	hangs       bool         // it is partitioned and has not noticed yet
	upstream    string       // address; empty if it knows none
	closed      atomic.Int64 // milliseconds for which the upstream wants no requests of the helper
	left        atomic.Bool  // the upstream has left
	pause       atomic.Int64 // how long the helper was paused
	heads       chan *http.Response
	server      *Server
	group       *group.Group
	address     string
}

// Closed returns how long the upstream wants no requests of the helper.
func (h *helper) Closed(string, int64) time.Duration {
	return time.Duration(h.closed.Load()) * time.Millisecond
}

// ReadResponse records the head of a response.
func (h *helper) ReadResponse(id string, born int64, r *http.Response) {
	if id == "u" && born == 1 {
		h.heads <- r
	}
}

// Refusal returns the response to a request that the helper does not pass on.
func (*helper) Refusal(wait time.Duration) []byte { return []byte("refused for " + wait.String()) }

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// pausedClock is the clock of a helper that was paused.
type pausedClock struct {
	*timer.System
	helper *helper
}

func (p pausedClock) Now() timer.Instant {
	return p.System.Now().Add(time.Duration(p.helper.pause.Load()))
}

// dial opens a connection to the upstream.
func (h *helper) dial(ctx context.Context, _ string, _ int64, address string) (net.Conn, error) {
	if h.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return dialTCP(ctx, address)
}

// start serves tunnels until the test ends.
func (h *helper) start(t *testing.T) *helper {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address, h.heads = l.Addr().String(), make(chan *http.Response, 1)
	h.server = NewServer(Options{
		Conditions: h,
		Token:      h.token, Partitioned: func() bool { return h.partitioned }, Dial: h.dial, Timer: pausedClock{timer.NewSystem(), h}, Log: zap.NewNop(),
		Address: func(id string, born int64) (string, bool) {
			return h.upstream, h.upstream != "" && id == "u" && born == 1 && !h.left.Load()
		},
	})
	m := drpcmigrate.NewListenMux(l, len(Prefix))
	route := m.Route(Prefix)
	h.group = group.New(context.Background())
	h.group.Go("accept", m.Run)
	h.group.Go("tunnels", func(ctx context.Context) error { return h.server.Serve(ctx, route) })
	t.Cleanup(h.stop)
	return h
}

func (h *helper) stop() { _ = h.group.Stop() }

// newTestClient returns a client that knows the helpers.
func newTestClient(helpers ...*helper) *Client {
	return NewClient(ClientOptions{
		Token: "t", Self: "self", Zone: "z", Dial: dialTCP, Timer: timer.NewSystem(), Random: rand.New(rand.NewPCG(1, 1)), Log: zap.NewNop(),
		Instances: func() (out []*wire.Instance) {
			for _, h := range helpers {
				out = append(out, &wire.Instance{Name: h.name, Zone: h.zone, Peer: h.address, Ready: true})
			}
			return append(out, &wire.Instance{Name: "self", Ready: true}, &wire.Instance{Name: "p", Ready: true, Partitioned: true})
		},
	})
}

// startUpstream accepts connections, each of which handle serves.
func startUpstream(t *testing.T, handle func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go (&upstreamServer{l, handle}).loop()
	return l.Addr().String()
}

type upstreamServer struct {
	net.Listener
	handle func(c *net.TCPConn)
}

func (u *upstreamServer) loop() {
	for {
		c, err := u.Accept()
		if err != nil {
			return
		}
		u.handle(c.(*net.TCPConn))
	}
}

// Guards against a response that was interrupted between the instances, or before, and looks
// complete: one without a length ends with its connection.
func TestEndOfResponse(t *testing.T) {
	body := strings.Repeat("0123456789", 5000) // several blocks
	for _, c := range []struct {
		name     string
		end      func(c *net.TCPConn, h *helper)
		complete bool
	}{
		{"regular", func(c *net.TCPConn, _ *helper) { _ = c.Close() }, true},
		{"reset by the upstream", func(c *net.TCPConn, _ *helper) { _ = c.SetLinger(0); _ = c.Close() }, false},
		{"end of the helper", func(_ *net.TCPConn, h *helper) { h.stop() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &helper{name: "h", token: "t"}
			sent, read := make(chan struct{}), make(chan struct{})
			h.upstream = startUpstream(t, func(n *net.TCPConn) {
				b := make([]byte, 4)
				if _, err := io.ReadFull(n, b); err != nil || string(b) != "ping" {
					t.Errorf("got %q, %v", b, err)
				}
				_, _ = io.WriteString(n, body)
				close(sent)
				<-read
				c.end(n, h)
			})
			h.start(t)
			n, err := newTestClient(h).Dial(context.Background(), "u", 1)
			is.NoErr(err)
			defer func() { _ = n.Close() }()
			_, err = io.WriteString(n, "ping")
			is.NoErr(err)
			got := make([]byte, len(body))
			_, err = io.ReadFull(n, got)
			is.NoErr(err)
			is.Equal(string(got), body)
			<-sent
			is.Equal(h.server.Running(), int64(1))
			close(read)
			_, err = n.Read(got)
			is.Equal(errors.Is(err, io.EOF), c.complete)
			is.True(err != nil)
		})
	}
}

// Guards against work of an upstream that goes on after the instance has ended its request.
func TestInstanceEndsRequest(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	h := &helper{name: "h", token: "t", upstream: startUpstream(t, func(c *net.TCPConn) {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	})}
	n, err := newTestClient(h.start(t)).Dial(context.Background(), "u", 1)
	is.NoErr(err)
	is.NoErr(n.Close())
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(time.Second):
		t.Fatal("the connection to the upstream stays open")
	}
}

// Guards against instances of one availability zone that are all partitioned, have not noticed it
// yet, and ask only each other.
func TestZoneIsPartitioned(t *testing.T) {
	is := is.New(t)
	upstream := startUpstream(t, func(*net.TCPConn) {})
	var helpers []*helper
	for _, zone := range []string{"z", "z", "z", "z", "y", "y"} {
		h := &helper{name: fmt.Sprint("h", len(helpers)), token: "t", zone: zone, hangs: zone == "z", upstream: upstream}
		helpers = append(helpers, h.start(t))
	}
	client := newTestClient(helpers...)
	for range 5 {
		start := time.Now()
		n, err := client.Dial(context.Background(), "u", 1)
		is.NoErr(err)
		is.NoErr(n.Close())
		is.True(time.Since(start) < 600*time.Millisecond)
	}
}

// Guards against a tunnel through an instance that may not or cannot open it, and against giving
// up while another one can.
func TestHelpers(t *testing.T) {
	sound := startUpstream(t, func(*net.TCPConn) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	_ = l.Close()
	for _, c := range []struct {
		name    string
		helpers []*helper
		id      string
		err     error // nil: any; see ok
		ok      bool
	}{
		{"none", nil, "u", nil, false},
		{"wrong token", []*helper{{name: "a", token: "x", upstream: sound}}, "u", nil, false},
		{"unknown upstream", []*helper{{name: "a", token: "t", upstream: sound}}, "v", ErrDeclined, false},
		{"partitioned too", []*helper{{name: "a", token: "t", upstream: sound, partitioned: true}}, "u", ErrDeclined, false},
		{"refused", []*helper{{name: "a", token: "t", upstream: closed}}, "u", syscall.ECONNREFUSED, false},
		{"the second one", []*helper{{name: "a", token: "t", partitioned: true}, {name: "b", token: "t", upstream: sound}}, "u", nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for _, h := range c.helpers {
				h.start(t)
			}
			n, err := newTestClient(c.helpers...).Dial(context.Background(), c.id, 1)
			is.Equal(err == nil, c.ok)
			is.True(c.err == nil || errors.Is(err, c.err))
			if n != nil {
				is.NoErr(n.Close())
			}
		})
	}
}

// Guards against a request through an instance that the upstream has asked for a pause, and against
// giving up while another one may pass it on.
func TestClosedUpstream(t *testing.T) {
	is := is.New(t)
	closed, open := &helper{name: "a", token: "t", zone: "z", upstream: startUpstream(t, func(*net.TCPConn) {})}, &helper{name: "b", token: "t"}
	open.upstream = closed.upstream
	closed.closed.Store(1500)
	_, err := newTestClient(closed.start(t)).Dial(context.Background(), "u", 1)
	var c *ClosedError
	is.True(errors.As(err, &c))
	is.Equal(c.Wait, 1500*time.Millisecond)
	n, err := newTestClient(closed, open.start(t)).Dial(context.Background(), "u", 1)
	is.NoErr(err)
	is.NoErr(n.Close())
}

// Guards against a request whose tunnel was opened before the upstream asked for a pause or left, and
// against one that the instance checked long before it is passed on, since the helper was paused.
func TestUpstreamClosesBeforeRequest(t *testing.T) {
	for _, c := range []struct {
		name     string
		during   func(h *helper)
		response string
	}{
		{"pause", func(h *helper) { h.closed.Store(2000) }, "refused for 2s"},
		{"leave", func(h *helper) { h.left.Store(true) }, "refused for 0s"},
		{"helper was paused", func(h *helper) { h.pause.Store(int64(maxRequestDelay)) }, "refused for 0s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &helper{name: "a", token: "t", upstream: startUpstream(t, func(c *net.TCPConn) {
				if n, _ := c.Read(make([]byte, 1)); n > 0 {
					t.Error("the upstream gets the request")
				}
				_ = c.Close()
			})}
			n, err := newTestClient(h.start(t)).Dial(context.Background(), "u", 1)
			is.NoErr(err)
			c.during(h)
			_, err = io.WriteString(n, "ping")
			is.NoErr(err)
			response, err := io.ReadAll(n)
			is.NoErr(err)
			is.Equal(string(response), c.response)
		})
	}
}

// Guards against an instance that does not learn what upstreams state in responses that it passes on,
// and against a response that is changed on the way.
func TestReadResponse(t *testing.T) {
	const head = "HTTP/1.1 503 x\r\nRetry-After: 7\r\nContent-Length: 2\r\n\r\n"
	for _, c := range []struct {
		name   string
		blocks []string
		value  string // of Retry-After as it was read; empty if nothing is read
	}{
		{"whole", []string{head + "ok"}, "7"},
		{"in parts", []string{head[:9], head[9 : len(head)-3], head[len(head)-3:] + "o", "k"}, "7"},
		{"after an interim response", []string{"HTTP/1.1 100 Continue\r\n\r\n", head + "ok"}, "7"},
		{"behind a switch of the protocol", []string{"HTTP/1.1 101 x\r\n\r\n", head + "ok"}, ""},
		{"behind a status that is too small", []string{"HTTP/1.1 000 x\r\n\r\n", head + "ok"}, ""},
		{"status that is too large", []string{strings.Replace(head, "503", "603", 1) + "ok"}, ""},
		{"no response", []string{"hello\r\n\r\n"}, ""},
		{"endless head", []string{"HTTP/1.1 503 x\r\nA: " + strings.Repeat("x", 2*maxHeadBytes), "\r\nRetry-After: 7\r\n\r\n"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &helper{name: "a", token: "t", upstream: startUpstream(t, func(n *net.TCPConn) {
				for _, b := range c.blocks {
					_, _ = io.WriteString(n, b)
					time.Sleep(5 * time.Millisecond)
				}
				_ = n.Close()
			})}
			n, err := newTestClient(h.start(t)).Dial(context.Background(), "u", 1)
			is.NoErr(err)
			response, err := io.ReadAll(n)
			is.NoErr(err)
			is.Equal(string(response), strings.Join(c.blocks, ""))
			select {
			case r := <-h.heads:
				is.Equal(r.Header.Get("Retry-After"), c.value)
			default:
				is.Equal(c.value, "")
			}
		})
	}
}

// Guards against a pause that is lost because the instance ended its tunnel before the response came, and against
// a connection to the upstream that stays open.
func TestReadResponseAfterEnd(t *testing.T) {
	is := is.New(t)
	ended, closed := make(chan struct{}), make(chan error, 1)
	h := &helper{name: "a", token: "t", upstream: startUpstream(t, func(n *net.TCPConn) {
		<-ended
		_, err := io.ReadAll(n) // until the tunnel has ended
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(n, "HTTP/1.1 503 x\r\nRetry-After: 7\r\nContent-Length: 2\r\n\r\nok")
		closed <- err
	})}
	n, err := newTestClient(h.start(t)).Dial(context.Background(), "u", 1)
	is.NoErr(err)
	is.NoErr(n.Close())
	close(ended)
	is.NoErr(<-closed)
	select {
	case r := <-h.heads:
		is.Equal(r.Header.Get("Retry-After"), "7")
	case <-time.After(time.Second):
		t.Fatal("the response is not read")
	}
	for i := 0; h.server.Running() > 0; i++ {
		is.True(i < 100)
		time.Sleep(10 * time.Millisecond)
	}
}
