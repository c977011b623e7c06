package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/relay"
	"wisteriakeel.example/wisteriakeel/internal/fleet/view"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// network connects a client to instances in this process.
type network struct {
	mu        sync.Mutex
	instances map[string]*fakeInstance
	leader    string
	calls     map[string]int // polls answered, by address
	// pollTime and proposeTime are how long the leader takes to answer, beyond the wait of a poll.
	pollTime    time.Duration
	proposeTime time.Duration
	lastServed  time.Time // last poll that a leader answered
	longestGap  time.Duration
	ended       chan struct{}
	generation  int // connections of former generations lose all bytes
	dials       map[string]int
	// layouts holds the newest layout of all instances, and digest is that of its version.
	layouts *relay.Store
	digest  uint64
	records []*wire.Instance // sent with each answer of the leader
}

// fakeInstance answers calls as the instance at an address does.
type fakeInstance struct {
	wire.DRPCFleetUnimplementedServer
	*network
	address string
	// silent instances accept bytes and dials and answer nothing, like a lost host.
	silent bool
	// names is the leader that the instance names to others; empty for the leader in force.
	names   string
	members []string
	served  *drpcserver.Server
}

func newNetwork(t *testing.T) *network {
	n := &network{
		instances: map[string]*fakeInstance{}, calls: map[string]int{}, lastServed: time.Now(), ended: make(chan struct{}),
		dials: map[string]int{}, layouts: relay.NewStore(timer.NewSystem(), zap.NewNop()),
	}
	t.Cleanup(func() { close(n.ended) })
	return n
}

func (n *network) add(addresses ...string) {
	for _, a := range addresses {
		i := &fakeInstance{network: n, address: a}
		mux := drpcmux.New()
		if err := wire.DRPCRegisterFleet(mux, i); err != nil {
			panic(err)
		}
		i.served = drpcserver.New(mux)
		n.instances[a] = i
	}
}

func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// silence makes instances lose everything that is sent to them.
func (n *network) silence(addresses ...string) {
	n.change(func() {
		for _, a := range addresses {
			n.instances[a].silent = true
		}
	})
}

// dial connects to an instance. A dial to a silent or an unknown one hangs.
func (n *network) dial(ctx context.Context, to string) (net.Conn, error) {
	n.mu.Lock()
	i, generation := n.instances[to], n.generation
	n.dials[to]++
	n.mu.Unlock()
	if i == nil || i.isSilent() {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	near, far := net.Pipe()
	c := &fakeConnection{instance: i, far: far}
	go c.run()
	return &generationConn{Conn: near, network: n, generation: generation}, nil
}

// loseConnections makes all open connections lose everything that is sent over them, without an
// error. New ones work.
func (n *network) loseConnections() { n.change(func() { n.generation++ }) }

// generationConn is a connection that loses all bytes once its generation is over.
type generationConn struct {
	net.Conn
	*network
	generation int
}

func (c *generationConn) isLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation < c.network.generation
}

// Write sends bytes.
func (c *generationConn) Write(b []byte) (int, error) {
	if c.isLost() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read receives bytes.
func (c *generationConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isLost() {
			return n, err
		}
	}
}

// fakeConnection is the far end of a connection to a fake instance.
type fakeConnection struct {
	instance *fakeInstance
	far      net.Conn
}

func (c *fakeConnection) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = c.far.Close() })
	defer stop()
	_ = c.instance.served.ServeOne(ctx, c.far)
}

func (i *fakeInstance) isSilent() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.silent
}

// guide answers at once, or hangs if the instance is silent.
func (i *fakeInstance) guide(ctx context.Context) (*wire.Guide, error) {
	if i.isSilent() {
		select {
		case <-ctx.Done():
		case <-i.ended:
		}
		return nil, context.Canceled
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.leader == i.address {
		return &wire.Guide{Served: true, Voters: i.members}, nil
	}
	named := i.names
	if named == "" {
		named = i.leader
	}
	return &wire.Guide{Leader: named, Voters: i.members}, nil
}

// Sync answers a poll.
func (i *fakeInstance) Sync(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	g, err := i.guide(ctx)
	if err != nil {
		return nil, err
	}
	if g.GetServed() {
		time.Sleep(i.pollTime)
	}
	if g.GetServed() && q.GetTerm() == 1 {
		select {
		case <-time.After(time.Duration(q.GetWait()) * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if i.isSilent() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.calls[i.address]++
	if g.GetServed() {
		i.longestGap = max(i.longestGap, time.Since(i.lastServed))
		i.lastServed = time.Now()
	}
	r := &wire.SyncReply{Guide: g, Term: 1}
	if t := i.layouts.Current(); g.GetServed() && t != nil && t.Version > q.GetLayout() {
		r.Layout = &wire.Layout{Version: t.Version, Digest: i.digest}
	}
	if g.GetServed() {
		r.Instances = i.records
	}
	return r, nil
}

// Fetch answers a request for a piece of the newest layout.
func (i *fakeInstance) Fetch(ctx context.Context, q *wire.FetchRequest) (*wire.FetchReply, error) {
	if _, err := i.guide(ctx); err != nil {
		return nil, err
	}
	return i.layouts.Serve(ctx, q), nil
}

// Read answers a read.
func (i *fakeInstance) Read(ctx context.Context, _ *wire.ReadRequest) (*wire.ReadReply, error) {
	g, err := i.guide(ctx)
	return &wire.ReadReply{Guide: g}, err
}

// Propose answers a proposal after proposeTime.
func (i *fakeInstance) Propose(ctx context.Context, _ *wire.ProposeRequest) (*wire.ProposeReply, error) {
	g, err := i.guide(ctx)
	select {
	case <-time.After(i.proposeTime):
	case <-ctx.Done():
	}
	return &wire.ProposeReply{Guide: g}, err
}

// startClient runs a client until the test ends.
func (n *network) startClient(t *testing.T, o Options) *Client {
	system := timer.NewSystem()
	o.View = view.New(view.Options{
		Name: "me", Timer: system, Log: zap.NewNop(), LeaseDuration: leaseDuration, MaxLayoutLag: time.Second,
		Decode: func(v layout.Version, _ []byte) (*layout.Layout, error) { return &layout.Layout{Version: v}, nil },
	})
	o.Self, o.PeerToken, o.Timer, o.Dial = "me", "t", system, n.dial
	o.Random = rand.New(rand.NewPCG(1, 2))
	o.DescribeInstance = func() *wire.Instance { return &wire.Instance{Name: "me", Peer: "me"} }
	o.Layouts = relay.NewStore(system, zap.NewNop())
	o.CommittedLayout = func() *wire.Layout { return nil }
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.KnownLeader == nil {
		o.KnownLeader = func() (string, []string) { return "", nil }
	}
	c := NewClient(o)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningClient{client: c, ended: make(chan error, 1)}
	go r.run(ctx)
	t.Cleanup(func() {
		cancel()
		if err := <-r.ended; err != nil {
			t.Error(err)
		}
	})
	return c
}

type runningClient struct {
	client *Client
	ended  chan error
}

func (r *runningClient) run(ctx context.Context) { r.ended <- r.client.Run(ctx) }

// awaitPoll waits until a leader answers a poll that was sent after now, and returns how long
// that took.
func (n *network) awaitPoll(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) < limit {
		n.mu.Lock()
		served := n.lastServed.After(start)
		n.mu.Unlock()
		if served {
			return time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no leader answered a poll within %v", limit)
	return 0
}
