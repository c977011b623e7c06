package replica_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/kernel/tcp"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// serveNodes serves the nodes over TCP on the loopback interface.
func serveNodes(t testing.TB, l net.Listener, nodes map[replica.GroupID]*replica.Node) {
	t.Helper()
	s := replica.NewServer(nodes)
	s.PeerToken = "secret"
	mux := drpcmux.New()
	must(t, wire.DRPCRegisterReplica(mux, s))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.New(mux).Serve(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	return l
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("%+v", err)
	}
}

// statelessMachine is a state machine without state.
type statelessMachine struct{}

func (statelessMachine) Apply(replica.Index, []byte) []byte { return nil }
func (statelessMachine) Snapshot() ([]byte, error)          { return []byte("x"), nil }
func (statelessMachine) Restore([]byte) error               { return nil }

// startRealCluster starts a cluster with real files, TCP connections and clocks.
func startRealCluster(t testing.TB, size int) (nodes []*replica.Node) {
	t.Helper()
	var members []replica.Member
	for i := range size {
		l, clock := listen(t), timer.NewSystem()
		d, err := disk.Open(disk.OSFileSystem{}, t.TempDir()+"/data", 0)
		must(t, err)
		store, err := d.OpenGroup(0)
		must(t, err)
		self := replica.Member{Identity: d.Identity(), Address: replica.Address(l.Addr().String()), Voter: true}
		transport := replica.NewTransport(replica.TransportOptions{Timer: clock, PeerToken: "secret"})
		n, err := replica.New(replica.Options{
			Self: self, StateMachine: statelessMachine{},
			Store: store, Transport: transport, Timer: clock, Random: rand.New(rand.NewPCG(uint64(i), 0)),
		})
		must(t, err)
		serveNodes(t, l, map[replica.GroupID]*replica.Node{0: n})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			must(t, <-done)
			must(t, transport.Close())
			must(t, store.Close())
		})
		nodes, members = append(nodes, n), append(members, self)
	}
	for _, n := range nodes {
		must(t, n.Bootstrap(members))
	}
	return nodes
}

// Guards against a node that works only with simulated files, connections and clocks, and
// against a command of the maximum size that doesn't fit one message.
func TestRealCluster(t *testing.T) {
	nodes := startRealCluster(t, 3)
	_, err := nodes[0].Propose(t.Context(), make([]byte, replica.MaxCommandBytes+1))
	is.New(t).True(errors.Is(err, replica.ErrTooLarge))
	for stored := false; !stored; time.Sleep(10 * time.Millisecond) {
		for _, n := range nodes { // the largest command must fit one message
			_, err := n.Propose(t.Context(), make([]byte, replica.MaxCommandBytes))
			stored = stored || err == nil
		}
	}
	for committed := 0; committed < 20; time.Sleep(10 * time.Millisecond) {
		for _, n := range nodes {
			_, err := n.Propose(t.Context(), []byte(fmt.Sprint(committed)))
			if err == nil && n.ReadBarrier(t.Context()) == nil {
				committed++
			}
		}
	}
}

// Measures the commands per second of a group of three replicas with 256 callers.
func BenchmarkPropose(b *testing.B) {
	nodes := startRealCluster(b, 3)
	command := make([]byte, 200)
	for leads := false; !leads; time.Sleep(time.Millisecond) {
		for _, n := range nodes {
			_, ok := n.HoldsLease()
			leads = leads || ok
		}
	}
	b.ResetTimer()
	b.SetParallelism(256 / runtime.GOMAXPROCS(0))
	var refused atomic.Int64
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			for done := false; !done; {
				for _, n := range nodes {
					if _, ok := n.HoldsLease(); ok {
						_, err := n.Propose(b.Context(), command)
						done = done || err == nil
					}
				}
				if !done {
					refused.Add(1)
					time.Sleep(time.Millisecond)
				}
			}
		}
	})
	b.ReportMetric(float64(refused.Load()), "refused")
}

// Guards against accepting calls without the right peer token, and calls for a group that
// doesn't exist.
func TestPeerToken(t *testing.T) {
	tests := []struct {
		name  string
		token string
		ok    bool
	}{
		{"right", "secret", true},
		{"wrong", "Secret", false},
		{"longer", "secret1", false},
		{"none", "", false},
	}
	l := listen(t)
	serveNodes(t, l, map[replica.GroupID]*replica.Node{})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			transport := replica.NewTransport(replica.TransportOptions{Timer: timer.NewSystem(), PeerToken: tt.token})
			defer func() { is.NoErr(transport.Close()) }()
			_, err := transport.Vote(t.Context(), replica.Address(l.Addr().String()), &wire.VoteRequest{Group: 9})
			is.True(err != nil)
			is.Equal(errors.UnwrapAll(err).Error() == "no group 9 here", tt.ok)
		})
	}
	is := is.New(t)
	s := replica.NewServer(nil)
	_, err := s.Vote(replica.WithPeerToken(t.Context(), ""), &wire.VoteRequest{})
	is.Equal(errors.UnwrapAll(err).Error(), "wrong peer token") // a server without a token refuses every call
}

// Guards against the reuse of a connection that stopped responding. A call on it must end at
// its deadline, and the next call must use a new connection.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	serveNodes(t, l, map[replica.GroupID]*replica.Node{})
	silent := listen(t)
	defer func() { is.NoErr(silent.Close()) }()
	var dials atomic.Int32
	transport := replica.NewTransport(replica.TransportOptions{
		Timer: timer.NewSystem(), PeerToken: "secret",
		Dial: func(ctx context.Context, to replica.Address) (net.Conn, error) {
			if dials.Add(1) == 1 {
				to = replica.Address(silent.Addr().String())
			}
			var d net.Dialer
			return d.DialContext(ctx, "tcp", string(to))
		},
	})
	defer func() { is.NoErr(transport.Close()) }()
	to := replica.Address(l.Addr().String())
	_, err := transport.Append(t.Context(), to, &wire.AppendRequest{Group: 9})
	is.True(errors.Is(err, context.DeadlineExceeded))
	for range 3 {
		_, err = transport.Append(t.Context(), to, &wire.AppendRequest{Group: 9})
		is.Equal(errors.UnwrapAll(err).Error(), "no group 9 here")
	}
	is.Equal(dials.Load(), int32(2)) // the second connection is kept
}

// endedConn is a connection whose end shows only when something is sent over it, as after a loss
// of power at the other end.
type endedConn struct {
	net.Conn
	ended *atomic.Bool
}

// Write fails once the connection has ended.
func (c endedConn) Write(b []byte) (int, error) {
	if c.ended.Load() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(b)
}

// Guards against a vote request that is lost with the connection to the former process of a
// peer. The election would fail although a majority could vote, and the next round may be more
// than a second away.
func TestEndedConnection(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	serveNodes(t, l, map[replica.GroupID]*replica.Node{})
	var dials atomic.Int32
	ended := &atomic.Bool{}
	transport := replica.NewTransport(replica.TransportOptions{
		Timer: timer.NewSystem(), PeerToken: "secret",
		Dial: func(ctx context.Context, to replica.Address) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", string(to))
			if dials.Add(1) == 1 && err == nil {
				conn = endedConn{conn, ended}
			}
			return conn, err
		},
	})
	defer func() { is.NoErr(transport.Close()) }()
	to := replica.Address(l.Addr().String())
	for range 3 {
		_, err := transport.Vote(t.Context(), to, &wire.VoteRequest{Group: 9})
		is.Equal(errors.UnwrapAll(err).Error(), "no group 9 here")
		ended.Store(true)
	}
	is.Equal(dials.Load(), int32(2))
}

// silentConn is a connection that loses everything sent over it, without an error.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

// Write sends bytes unless the connection is silent.
func (c silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Guards against a vote request or snapshot over an idle connection that has gone silent. It would
// cost a round of an election, or the 2 s of a chunk.
func TestIdleConnection(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	serveNodes(t, l, map[replica.GroupID]*replica.Node{})
	silent := &atomic.Bool{}
	var dials atomic.Int32
	transport := replica.NewTransport(replica.TransportOptions{
		Timer: timer.NewSystem(), PeerToken: "secret",
		Dial: func(ctx context.Context, to replica.Address) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", string(to))
			if dials.Add(1) <= 2 && err == nil {
				conn = silentConn{conn, silent}
			}
			return conn, err
		},
	})
	defer func() { is.NoErr(transport.Close()) }()
	to := replica.Address(l.Addr().String())
	calls := func() {
		_, err := transport.Vote(t.Context(), to, &wire.VoteRequest{Group: 9, Prevote: true})
		is.Equal(errors.UnwrapAll(err).Error(), "no group 9 here")
		_, err = transport.Install(t.Context(), to, &wire.InstallRequest{Group: 9})
		is.Equal(errors.UnwrapAll(err).Error(), "no group 9 here")
	}
	calls()
	silent.Store(true)
	time.Sleep(tcp.MaxIdle + 200*time.Millisecond)
	calls()
}
