package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// held is a timer service whose callbacks can be held back, as in a paused process.
type held struct {
	*timer.System
	mu    sync.Mutex
	held  bool
	queue []func()
	ended chan struct{}
}

// Subscribe passes ticks on while they are not held back.
func (h *held) Subscribe(d time.Duration) *timer.Subscription {
	s := h.System.Subscribe(d)
	from, to := s.C, make(chan timer.Instant, 1)
	s.C = to
	go func() {
		for {
			select {
			case <-h.ended:
				return
			case t := <-from:
				h.mu.Lock()
				if !h.held {
					select {
					case to <- t:
					default:
					}
				}
				h.mu.Unlock()
			}
		}
	}()
	return s
}

func (h *held) AfterFunc(d time.Duration, f func()) (stop func()) {
	return h.System.AfterFunc(d, func() {
		h.mu.Lock()
		if h.held {
			h.queue = append(h.queue, f)
			h.mu.Unlock()
			return
		}
		h.mu.Unlock()
		f()
	})
}

func (h *held) hold(on bool) {
	h.mu.Lock()
	h.held = on
	queue := h.queue
	if on {
		queue = nil
	} else {
		h.queue = nil
	}
	h.mu.Unlock()
	for _, f := range queue {
		f()
	}
}

type pair struct {
	Index   replica.Index
	Command string
}

// history is what all machines of a cluster must agree on.
type history struct {
	mu      sync.Mutex
	entries map[replica.Index]string
	count   map[string]int
	errs    []string
}

func (h *history) check(i replica.Index, command string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if got, ok := h.entries[i]; ok && got != command {
		h.errs = append(h.errs, fmt.Sprintf("entry %d was %q, now %q", i, got, command))
	} else if !ok {
		h.count[command]++
	}
	h.entries[i] = command
}

// machine records what it applies.
type machine struct {
	history *history
	mu      sync.Mutex
	applied []pair
}

func (m *machine) Apply(i replica.Index, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history.check(i, string(command))
	if n := len(m.applied); n > 0 && m.applied[n-1].Index >= i {
		m.history.check(i, "applied out of order")
	}
	m.applied = append(m.applied, pair{i, string(command)})
	return []byte(fmt.Sprint(len(m.applied)))
}

func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.applied)
}

func (m *machine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = nil
	return json.Unmarshal(b, &m.applied)
}

func (m *machine) list() []pair {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]pair(nil), m.applied...)
}

// instance is one process of the cluster.
type instance struct {
	name    string
	files   *faulty.FileSystem
	self    replica.Member
	timer   *held
	machine *machine
	node    *replica.Node
	cancel  context.CancelFunc
	done    chan error
}

// cluster runs instances over a network with faults.
type cluster struct {
	t       *testing.T
	random  *rand.Rand // of the schedule
	network *rand.Rand // of the network, under mu
	history *history
	all     []*instance
	tune    func(n *replica.Node)

	mu      sync.Mutex
	open    map[string]*instance // by address
	blocked map[[2]string]bool
	drop    float64
	delay   time.Duration
}

func newCluster(t *testing.T, seed uint64, size int) *cluster {
	t.Helper()
	t.Logf("seed %d", seed)
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), network: rand.New(rand.NewPCG(seed, 2)), open: map[string]*instance{}, blocked: map[[2]string]bool{},
		history: &history{entries: map[replica.Index]string{}, count: map[string]int{}},
		tune:    func(*replica.Node) {},
	}
	t.Cleanup(c.verify)
	for i := range size {
		c.add(fmt.Sprint("n", i))
	}
	return c
}

// form bootstraps the cluster with all instances as voters.
func (c *cluster) form() *cluster {
	c.t.Helper()
	var members []replica.Member
	for _, i := range c.all {
		c.start(i)
		members = append(members, i.self)
	}
	for _, i := range c.all {
		c.must(i.node.Bootstrap(members))
	}
	return c
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatalf("%+v", err)
	}
}

// add makes an instance with an empty disk.
func (c *cluster) add(name string) *instance {
	i := &instance{name: name, files: faulty.New(c.random.Uint64())}
	c.all = append(c.all, i)
	return i
}

func (c *cluster) start(i *instance) {
	c.t.Helper()
	c.must(c.tryStart(i))
}

func (c *cluster) tryStart(i *instance) error {
	d, err := disk.Open(i.files.Process(), "data", disk.DefaultReserveBytes)
	if err != nil {
		return err
	}
	store, err := d.OpenGroup(0)
	if err != nil {
		return err
	}
	i.self = replica.Member{Identity: d.Identity(), Address: replica.Address(i.name), Voter: true}
	i.timer = &held{System: timer.NewSystem(), ended: make(chan struct{})}
	i.machine = &machine{history: c.history}
	node, err := replica.New(replica.Options{
		Self: i.self, StateMachine: i.machine, Store: store, Transport: &port{c, i}, Timer: i.timer,
		Random: rand.New(rand.NewPCG(c.random.Uint64(), 3)),
	})
	if err != nil {
		return err
	}
	c.tune(node)
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel, i.done = cancel, make(chan error, 1)
	go func(done chan error) { done <- node.Run(ctx) }(i.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	i.node = node
	c.open[i.name] = i
	return nil
}

// stop ends an instance; crash loses what was not synced.
func (c *cluster) stop(i *instance, crash bool) {
	c.mu.Lock()
	running := c.open[i.name] == i
	if running {
		delete(c.open, i.name)
	}
	c.mu.Unlock()
	if !running {
		return
	}
	if crash {
		i.files.Crash()
	}
	i.cancel()
	<-i.done
	close(i.timer.ended)
}

func (c *cluster) running() (out []*instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.all {
		if c.open[i.name] == i {
			out = append(out, i)
		}
	}
	return out
}

// block cuts one direction between two instances.
func (c *cluster) block(from, to *instance, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked[[2]string{from.name, to.name}] = on
}

// isolate cuts an instance off in both directions, or reconnects it.
func (c *cluster) isolate(i *instance, on bool) {
	for _, o := range c.all {
		if o != i {
			c.block(i, o, on)
			c.block(o, i, on)
		}
	}
}

// leading returns the instances that hold a lease now.
func (c *cluster) leading() (out []*instance) {
	for _, i := range c.running() {
		if _, ok := i.node.HoldsLease(); ok {
			out = append(out, i)
		}
	}
	return out
}

// sleep lets simulated time pass and checks on the way that no two replicas lead.
func (c *cluster) sleep(d time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if l := c.leading(); len(l) > 1 {
			c.t.Fatalf("%s and %s both hold a lease", l[0].name, l[1].name)
		}
	}
}

// until waits in simulated time for a condition.
func (c *cluster) until(what string, f func() bool) {
	c.t.Helper()
	for range 4000 {
		if f() {
			return
		}
		c.sleep(5 * time.Millisecond)
	}
	c.t.Fatalf("not reached within 20 s: %s", what)
}

// leader waits until one instance leads.
func (c *cluster) leader() (l *instance) {
	c.t.Helper()
	c.until("a leader", func() bool {
		leading := c.leading()
		if len(leading) > 0 {
			l = leading[0]
		}
		return l != nil
	})
	return l
}

// propose retries a command until it is certainly committed; it may be committed twice.
func (c *cluster) propose(command string) {
	c.t.Helper()
	c.until("commit of "+command, func() bool {
		for _, l := range c.leading() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := l.node.Propose(ctx, []byte(command))
			cancel()
			return err == nil
		}
		return false
	})
}

// converge waits until all running instances have applied the same.
func (c *cluster) converge() {
	c.t.Helper()
	c.propose("converge")
	c.until("the same state everywhere", func() bool {
		running := c.running()
		for _, i := range running {
			if len(i.machine.list()) != len(running[0].machine.list()) {
				return false
			}
		}
		return true
	})
	first := c.running()[0].machine.list()
	for _, i := range c.running() {
		for k, p := range i.machine.list() {
			if p != first[k] {
				c.t.Fatalf("%s: %v instead of %v", i.name, p, first[k])
			}
		}
	}
}

// verify stops all and reports what the machines disagreed on.
func (c *cluster) verify() {
	for _, i := range c.running() {
		c.stop(i, false)
	}
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	for _, e := range c.history.errs {
		c.t.Error(e)
	}
}

// port is the transport of one instance.
type port struct {
	c *cluster
	i *instance
}

var errLost = errors.New("message lost")

// pass waits for the way of a message and tells where it arrives.
func (p *port) pass(ctx context.Context, from, to string) (*replica.Node, error) {
	c := p.c
	c.mu.Lock()
	lost := c.blocked[[2]string{from, to}] || c.network.Float64() < c.drop
	wait := time.Duration(0)
	if c.delay > 0 {
		wait = time.Duration(c.network.Int64N(int64(c.delay)))
	}
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, errLost
	}
	select {
	case <-time.After(wait + 100*time.Microsecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i, ok := c.open[to]
	if !ok {
		return nil, errLost
	}
	return i.node, nil
}

func deliver[Q, R proto.Message](
	ctx context.Context, p *port, to replica.Address, r Q,
	handle func(*replica.Node, context.Context, Q) (R, error),
) (reply R, err error) {
	r = proto.Clone(r).(Q)
	node, err := p.pass(ctx, p.i.name, string(to))
	if err != nil {
		return reply, err
	}
	// The receiver finishes the call even if the sender has given up.
	got, err := handle(node, context.WithoutCancel(ctx), r)
	if err != nil {
		return reply, err
	}
	if _, err := p.pass(ctx, string(to), p.i.name); err != nil {
		return reply, err
	}
	return proto.Clone(got).(R), nil
}

func (p *port) Append(ctx context.Context, to replica.Address, r *wire.AppendRequest) (*wire.AppendReply, error) {
	return deliver(ctx, p, to, r, (*replica.Node).Append)
}

func (p *port) Vote(ctx context.Context, to replica.Address, r *wire.VoteRequest) (*wire.VoteReply, error) {
	return deliver(ctx, p, to, r, (*replica.Node).Vote)
}

func (p *port) Install(ctx context.Context, to replica.Address, r *wire.InstallRequest) (*wire.InstallReply, error) {
	return deliver(ctx, p, to, r, (*replica.Node).Install)
}
