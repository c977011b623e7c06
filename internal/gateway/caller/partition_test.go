package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcmigrate"

	"wisteriakeel.example/wisteriakeel/internal/fleet/tunnel"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// partitionedAddress returns an address at which connections fail as they do on an instance that
// is partitioned from its upstreams.
func partitionedAddress(t *testing.T, how string) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := "127.0.0.1:" + strconv.Itoa(name.(*unix.SockaddrInet4).Port)
	// The system refuses connections to a bound socket that does not listen, and gives its port to
	// nobody else.
	if how == "refused" {
		return address
	}
	// The queue of a listener that accepts nothing is full after one connection; further ones hang.
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return address
}

// attempts counts the first attempts of callers at one instance from an instant on.
type attempts struct {
	*fixture
	path    string
	headers []string
	since   time.Time

	mu           sync.Mutex
	sent, served int
	slowest      time.Duration
}

// send sends one first attempt.
func (a *attempts) send(number int) {
	start, id := time.Now(), a.path+strconv.Itoa(number)
	r := a.do("POST", a.path, id, append([]string{"Request-Id", id + a.server.URL}, a.headers...)...)
	a.mu.Lock()
	defer a.mu.Unlock()
	if start.Before(a.since) {
		return
	}
	a.sent++
	if r.status == 200 && r.err == nil {
		a.served++
	}
	a.slowest = max(a.slowest, time.Since(start))
}

// Guards against an instance that is partitioned from all upstreams and refuses its callers,
// though other instances reach the upstreams, and against a request that runs twice then.
func TestPartitionedFromUpstreams(t *testing.T) {
	const (
		contactTime = 3 * time.Second // until callers must be served
		observation = 4 * time.Second
	)
	for _, how := range []string{"refused", "hang"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			var runs sync.Map
			handle := func(e *upstreamtest.Exchange) bool {
				if _, again := runs.LoadOrStore(e.Request.Header.Get("Request-Id"), true); again && e.Request.URL.Path == "/book/1" {
					t.Errorf("%s runs twice", e.Request.Header.Get("Request-Id"))
				}
				time.Sleep(10 * time.Millisecond)
				return respondSigned(e, "ok")
			}
			var desk, pool, partitionedDesk, partitionedPool []*upstreamtest.Server
			for range 4 {
				desk, pool = append(desk, startUpstream(t, handle)), append(pool, startUpstream(t, handle))
				partitionedDesk = append(partitionedDesk, upstreamtest.At(partitionedAddress(t, how)))
				partitionedPool = append(partitionedPool, upstreamtest.At(partitionedAddress(t, how)))
			}
			sound := newFixture(t, desk, pool)
			partitioned := newFixture(t, partitionedDesk, partitionedPool)
			linkInstances(t, partitioned, sound)
			since := time.Now().Add(contactTime)
			g := group.New(context.Background())
			counts := map[*fixture][]*attempts{}
			for _, f := range []*fixture{sound, partitioned} {
				for _, a := range []*attempts{
					{fixture: f, path: "/book/1", since: since},
					{fixture: f, path: "/look/1", since: since},
					{fixture: f, path: "/draft/1", since: since, headers: []string{"Model", "*", "Prompt", "a:100,b:9"}},
				} {
					counts[f] = append(counts[f], a)
					g.Go("callers", (&load{interval: 40 * time.Millisecond, send: a.send}).loop)
				}
			}
			time.Sleep(contactTime + observation)
			sound.NoErr(g.Stop())
			for i, a := range counts[partitioned] {
				o := counts[sound][i]
				t.Logf("%s: served %d of %d at the partitioned instance (slowest %s), %d of %d at the other", a.path, a.served, a.sent, a.slowest, o.served, o.sent)
				sound.True(o.served > 0)
				sound.True(3*a.served*o.sent >= 2*o.served*a.sent) // two thirds as often
			}
		})
	}
}

// linkInstances lets an instance reach upstreams through another one.
func linkInstances(t *testing.T, partitioned, helper *fixture) {
	t.Helper()
	linkThrough(t, partitioned, helper, upstream.Dialer{}.Dial)
}

// linkThrough is linkInstances with the function by which the other one connects to upstreams.
func linkThrough(t *testing.T, partitioned, helper *fixture, dial func(ctx context.Context, address string) (net.Conn, error)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	partitioned.NoErr(err)
	system := timer.NewSystem()
	server := tunnel.NewServer(tunnel.Options{
		Token: "t", Address: helper.view.UpstreamAddress, Partitioned: helper.handler.Upstream.Partitioned,
		Dial: func(ctx context.Context, _ string, _ int64, address string) (net.Conn, error) {
			return dial(ctx, address)
		},
		Conditions: helper.handler, Timer: system, Log: zap.NewNop(),
	})
	mux := drpcmigrate.NewListenMux(l, len(tunnel.Prefix))
	listener := mux.Route(tunnel.Prefix)
	g := group.New(context.Background())
	g.Go("accept", mux.Run)
	g.Go("tunnels", func(ctx context.Context) error { return server.Serve(ctx, listener) })
	t.Cleanup(func() { _ = g.Stop() })
	partitioned.tunnels.Store(tunnel.NewClient(tunnel.ClientOptions{
		Token: "t", Self: "a", Dial: upstream.Dialer{}.Dial, Timer: system, Random: rand.New(rand.NewPCG(1, 3)), Log: zap.NewNop(),
		Instances: func() []*wire.Instance {
			return []*wire.Instance{{Name: "b", Peer: l.Addr().String(), Ready: true}}
		},
	}))
}
