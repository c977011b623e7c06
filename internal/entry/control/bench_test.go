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

// replicas is a group whose instances share one state machine; one of them leads.
type replicas struct {
	mu     sync.Mutex
	apply  func(replica.Index, []byte) []byte
	term   uint64
	leader string
	// lost makes the group commit that many commands whose outcome it then does not know.
	lost int
}

// seat is the replica of a group at one address.
type seat struct {
	*replicas
	address string
}

func (s seat) Propose(_ context.Context, command []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != s.address {
		return nil, replica.ErrNotLeader
	}
	result := s.apply(0, command)
	if s.lost > 0 {
		s.lost--
		return nil, replica.ErrOutcomeUnknown
	}
	return result, nil
}

func (s seat) ReadBarrier(context.Context) error {
	if _, ok := s.HoldsLease(); !ok {
		return replica.ErrNotLeader
	}
	return nil
}

func (s seat) Leader() (string, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader, s.term, s.leader != ""
}

func (s seat) HoldsLease() (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term, s.leader == s.address
}

func (s seat) Status() *wire.GroupStatus { return &wire.GroupStatus{Leader: s.leader} }

func (r *replicas) elect(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.term++
	r.leader = address
}

func (r *replicas) lose(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = n
}

// bench is two control instances, "a" and "b", with two data groups in one process.
type bench struct {
	clock  timer.Service
	groups []*replicas
	config *state.Config
	run    *group.Group

	mu      sync.Mutex
	servers map[string]*drpcserver.Server
	// silent addresses accept connections and never answer.
	silent map[string]bool
	dials  int
}

func newBench(t *testing.T, clock timer.Service) *bench {
	b := &bench{
		clock: clock, run: group.New(context.Background()),
		servers: map[string]*drpcserver.Server{}, silent: map[string]bool{}, config: state.NewConfig(),
	}
	data := []*state.Data{state.NewData(clock.Now), state.NewData(clock.Now)}
	b.groups = []*replicas{{apply: b.config.Apply}, {apply: data[0].Apply}, {apply: data[1].Apply}}
	for _, a := range []string{"a", "b"} {
		var nodes []server.Node
		for _, g := range b.groups {
			g.elect("a")
			nodes = append(nodes, seat{replicas: g, address: a})
		}
		s := server.NewService(server.ServiceOptions{Timer: clock, Log: zap.NewNop(), Address: a, Config: b.config, Data: data, Nodes: nodes})
		b.run.Go("service "+a, s.Run)
		mux := drpcmux.New()
		if err := wire.DRPCRegisterControl(mux, served{Service: s}); err != nil {
			t.Fatal(err)
		}
		b.servers[a] = drpcserver.New(mux)
	}
	t.Cleanup(func() { _ = b.run.Stop() })
	return b
}

// served leaves the calls out that need disks.
type served struct{ *server.Service }

func (served) Identify(context.Context, *wire.IdentifyRequest) (*wire.IdentifyReply, error) {
	return &wire.IdentifyReply{}, nil
}

func (served) Join(context.Context, *wire.JoinRequest) (*wire.JoinReply, error) {
	return &wire.JoinReply{}, nil
}

// dial connects through memory, so that the tests need no ports.
func (b *bench) dial(_ context.Context, address string) (net.Conn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dials++
	s := b.servers[address]
	if s == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	if b.silent[address] {
		b.run.Go("silent", (&sink{conn: far}).run)
		return near, nil
	}
	b.run.Go("connection", (&link{server: s, conn: far}).run)
	return near, nil
}

func (b *bench) silence(address string, silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent[address] = silent
}

type link struct {
	server *drpcserver.Server
	conn   net.Conn
}

func (l *link) run(ctx context.Context) error {
	_ = l.server.ServeOne(ctx, l.conn)
	return nil
}

// sink reads and never answers.
type sink struct{ conn net.Conn }

func (s *sink) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, 1024)
	for {
		if _, err := s.conn.Read(buffer); err != nil {
			return nil
		}
	}
}

// client returns a client whose Run has not begun.
func (b *bench) client(is *is.I, name string) *Client {
	c, err := New(Options{
		Addresses: []string{"a", "b", "down"}, PeerToken: "p", Groups: 2, Instance: &wire.Instance{Name: name},
		Epoch: 1, Timer: b.clock, Random: rand.New(rand.NewPCG(1, 2)), Dial: b.dial,
	})
	is.NoErr(err)
	return c
}

// settled returns a bench on manual time whose leader has served a full lease
// period, and a client that runs.
func settled(t *testing.T, is *is.I) (b *bench, m *timer.Manual, c *Client) {
	m = timer.NewManual()
	b = newBench(t, m)
	c = b.client(is, "e1")
	b.run.Go("client", c.Run)
	b.until(t, m, c.HoldsLease)
	m.Advance(server.LeaseDuration)
	b.until(t, m, c.HoldsLease)
	return b, m, c
}

// until moves manual time on in small steps until the condition holds.
func (b *bench) until(t *testing.T, m *timer.Manual, condition func() bool) {
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

// text is a document that differs by n.
func text(n int) []byte {
	return document.Format(&document.Document{
		Service: "pool", Kind: document.KindEngine,
		Models: []document.ModelSpec{{
			Name:     document.Model(fmt.Sprint("m", n)),
			Versions: []document.VersionSpec{{Name: "v1", State: document.StateActive}},
		}},
	})
}

// named is a document of a service of that name.
func named(service string) []byte {
	return document.Format(&document.Document{
		Service: document.Service(service), Kind: document.KindPlain,
		Calls: []document.CallSpec{{Method: "GET", Path: "/", Idempotent: true}},
	})
}
