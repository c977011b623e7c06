package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/control/server"
	"wisteriakeel.example/wisteriakeel/internal/control/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// fakeGroup is a group whose replicas share one state machine. The test elects the leader.
type fakeGroup struct {
	mu     sync.Mutex
	apply  func(replica.Index, []byte) []byte
	term   uint64
	leader string // address, empty while there is none
	// unknownOutcomes is how many of the next commands are committed but return
	// ErrOutcomeUnknown.
	unknownOutcomes int
}

// fakeNode is the replica of a fakeGroup at one address.
type fakeNode struct {
	*fakeGroup
	address string
}

func (n fakeNode) Propose(_ context.Context, command []byte) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader != n.address {
		return nil, replica.ErrNotLeader
	}
	result := n.apply(0, command)
	if n.unknownOutcomes > 0 {
		n.unknownOutcomes--
		return nil, replica.ErrOutcomeUnknown
	}
	return result, nil
}

func (n fakeNode) ReadBarrier(context.Context) error {
	if _, ok := n.HoldsLease(); !ok {
		return replica.ErrNotLeader
	}
	return nil
}

func (n fakeNode) Leader() (string, uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader, n.term, n.leader != ""
}

func (n fakeNode) HoldsLease() (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.term, n.leader == n.address
}

func (n fakeNode) Status() *wire.GroupStatus { return &wire.GroupStatus{Leader: n.leader} }

func (g *fakeGroup) elect(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	g.leader = address
}

func (g *fakeGroup) setUnknownOutcomes(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unknownOutcomes = n
}

// testCluster is two control instances, "a" and "b", with two data groups. They run in the
// process of the test.
type testCluster struct {
	clock  timer.Service
	groups []*fakeGroup
	config *state.Config
	tasks  *group.Group

	mu      sync.Mutex
	servers map[string]*drpcserver.Server
	// silent holds the addresses that accept connections and never answer.
	silent map[string]bool
	dials  int // number of connections opened
}

func newTestCluster(t *testing.T, clock timer.Service) *testCluster {
	tc := &testCluster{
		clock: clock, tasks: group.New(context.Background()),
		servers: map[string]*drpcserver.Server{}, silent: map[string]bool{}, config: state.NewConfig(),
	}
	data := []*state.Data{state.NewData(clock.Now), state.NewData(clock.Now)}
	tc.groups = []*fakeGroup{{apply: tc.config.Apply}, {apply: data[0].Apply}, {apply: data[1].Apply}}
	for _, a := range []string{"a", "b"} {
		var nodes []server.Node
		for _, g := range tc.groups {
			g.elect("a")
			nodes = append(nodes, fakeNode{fakeGroup: g, address: a})
		}
		s := server.NewService(server.ServiceOptions{Timer: clock, Log: zap.NewNop(), Address: a, Config: tc.config, Data: data, Nodes: nodes})
		tc.tasks.Go("service "+a, s.Run)
		mux := drpcmux.New()
		if err := wire.DRPCRegisterControl(mux, controlHandler{Service: s}); err != nil {
			t.Fatal(err)
		}
		tc.servers[a] = drpcserver.New(mux)
	}
	t.Cleanup(func() { _ = tc.tasks.Stop() })
	return tc
}

// controlHandler implements the calls that need a data directory as stubs.
type controlHandler struct{ *server.Service }

func (controlHandler) Identify(context.Context, *wire.IdentifyRequest) (*wire.IdentifyReply, error) {
	return &wire.IdentifyReply{}, nil
}

func (controlHandler) Join(context.Context, *wire.JoinRequest) (*wire.JoinReply, error) {
	return &wire.JoinReply{}, nil
}

// dial connects over an in-memory pipe, so that the tests need no ports.
func (tc *testCluster) dial(_ context.Context, address string) (net.Conn, error) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.dials++
	s := tc.servers[address]
	if s == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	if tc.silent[address] {
		tc.tasks.Go("silent", (&silentConn{conn: far}).run)
		return near, nil
	}
	tc.tasks.Go("connection", (&serverConn{server: s, conn: far}).run)
	return near, nil
}

func (tc *testCluster) setSilent(address string, silent bool) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.silent[address] = silent
}

// serverConn is the server's end of a connection.
type serverConn struct {
	server *drpcserver.Server
	conn   net.Conn
}

func (c *serverConn) run(ctx context.Context) error {
	_ = c.server.ServeOne(ctx, c.conn)
	return nil
}

// silentConn reads from a connection and never answers.
type silentConn struct{ conn net.Conn }

func (c *silentConn) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	buffer := make([]byte, 1024)
	for {
		if _, err := c.conn.Read(buffer); err != nil {
			return nil
		}
	}
}

// client returns a client that is not running.
func (tc *testCluster) client(is *is.I, name string) *Client {
	c, err := New(Options{
		Addresses: []string{"a", "b", "down"}, PeerToken: "p", DataGroups: 2, Instance: &wire.Instance{Name: name},
		Epoch: 1, Timer: tc.clock, Random: rand.New(rand.NewPCG(1, 2)), Dial: tc.dial,
	})
	is.NoErr(err)
	return c
}

// newRunningClient returns a cluster on a manual clock whose leader has led for a full lease
// period, and a running client.
func newRunningClient(t *testing.T, is *is.I) (tc *testCluster, m *timer.Manual, c *Client) {
	m = timer.NewManual()
	tc = newTestCluster(t, m)
	c = tc.client(is, "e1")
	tc.tasks.Go("client", c.Run)
	tc.until(t, m, c.HoldsLease)
	m.Advance(server.LeaseDuration)
	tc.until(t, m, c.HoldsLease)
	return tc, m, c
}

// until advances the manual clock in small steps until the condition holds.
func (tc *testCluster) until(t *testing.T, m *timer.Manual, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
		if m != nil {
			m.Advance(5 * time.Millisecond)
		}
	}
	t.Fatal("condition not reached")
}

// documentText returns the text of a document with a model whose name ends in n.
func documentText(n int) []byte {
	return document.Format(&document.Document{
		Service: "pool", Kind: document.KindEngine,
		Models: []document.ModelSpec{{
			Name:     document.Model(fmt.Sprint("m", n)),
			Versions: []document.VersionSpec{{Name: "v1", State: document.StateActive}},
		}},
	})
}

// plainDocument returns the text of a document of the named service.
func plainDocument(service string) []byte {
	return document.Format(&document.Document{
		Service: document.Service(service), Kind: document.KindPlain,
		Calls: []document.CallSpec{{Method: "GET", Path: "/", Idempotent: true}},
	})
}
