package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// pausableTimer is a timer service that delivers nothing while it is paused, as in a paused
// process.
type pausableTimer struct {
	*timer.System
	mu      sync.Mutex
	paused  bool
	queue   []func()      // functions that became due while the timer was paused
	stopped chan struct{} // ends the delivery of ticks
}

// Subscribe delivers ticks unless the timer is paused.
func (p *pausableTimer) Subscribe(d time.Duration) *timer.Subscription {
	s := p.System.Subscribe(d)
	from, to := s.C, make(chan timer.Instant, 1)
	s.C = to
	go func() {
		for {
			select {
			case <-p.stopped:
				return
			case t := <-from:
				p.mu.Lock()
				if !p.paused {
					select {
					case to <- t:
					default:
					}
				}
				p.mu.Unlock()
			}
		}
	}()
	return s
}

// AfterFunc calls f after the duration, or when the timer is resumed if it is paused then.
func (p *pausableTimer) AfterFunc(d time.Duration, f func()) (stop func()) {
	return p.System.AfterFunc(d, func() {
		p.mu.Lock()
		if p.paused {
			p.queue = append(p.queue, f)
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		f()
	})
}

// setPaused pauses the timer, or resumes it and calls the functions that became due meanwhile.
func (p *pausableTimer) setPaused(paused bool) {
	p.mu.Lock()
	p.paused = paused
	queue := p.queue
	if paused {
		queue = nil
	} else {
		p.queue = nil
	}
	p.mu.Unlock()
	for _, f := range queue {
		f()
	}
}

// appliedCommand is a command that a state machine applied, and its index.
type appliedCommand struct {
	Index   replica.Index
	Command string
}

// history records the commands that the state machines of a cluster applied and any
// differences between them.
type history struct {
	mu      sync.Mutex
	entries map[replica.Index]string // the command at each index
	count   map[string]int           // number of indexes that hold a command
	errs    []string                 // differences between the state machines
}

func (h *history) record(i replica.Index, command string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if got, ok := h.entries[i]; ok && got != command {
		h.errs = append(h.errs, fmt.Sprintf("entry %d was %q, now %q", i, got, command))
	} else if !ok {
		h.count[command]++
	}
	h.entries[i] = command
}

// machine is a state machine that records the commands that it applies.
type machine struct {
	history *history
	delay   atomic.Int64 // nanoseconds that each command takes
	mu      sync.Mutex
	applied []appliedCommand
}

func (m *machine) Apply(i replica.Index, command []byte) []byte {
	time.Sleep(time.Duration(m.delay.Load()))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history.record(i, string(command))
	if n := len(m.applied); n > 0 && m.applied[n-1].Index >= i {
		m.history.record(i, "applied out of order")
	}
	m.applied = append(m.applied, appliedCommand{i, string(command)})
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

func (m *machine) list() []appliedCommand {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]appliedCommand(nil), m.applied...)
}

// instance is one process of the cluster.
type instance struct {
	name    string
	files   *faulty.FileSystem
	self    replica.Member
	timer   *pausableTimer
	machine *machine
	node    *replica.Node
	cancel  context.CancelFunc
	done    chan error
}

// cluster runs instances over a simulated network with faults.
type cluster struct {
	t         *testing.T
	random    *rand.Rand // for the schedule of faults
	network   *rand.Rand // for the network; guarded by mu
	history   *history
	instances []*instance
	configure func(n *replica.Node)         // called for each node before it runs
	log       *zap.Logger                   // of instances that start; may be nil
	source    func(seed uint64) rand.Source // of the random numbers of an instance that starts

	mu        sync.Mutex
	byAddress map[string]*instance // running instances
	blocked   map[[2]string]bool
	dropRate  float64
	maxDelay  time.Duration
}

func newCluster(t *testing.T, seed uint64, size int) *cluster {
	t.Helper()
	t.Logf("seed %d", seed)
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), network: rand.New(rand.NewPCG(seed, 2)), byAddress: map[string]*instance{}, blocked: map[[2]string]bool{},
		history:   &history{entries: map[replica.Index]string{}, count: map[string]int{}},
		configure: func(*replica.Node) {},
		source:    func(seed uint64) rand.Source { return rand.NewPCG(seed, 3) },
	}
	t.Cleanup(c.verify)
	for i := range size {
		c.add(fmt.Sprint("n", i))
	}
	return c
}

// bootstrap starts all instances and creates a group with them as voters.
func (c *cluster) bootstrap() *cluster {
	c.t.Helper()
	var members []replica.Member
	for _, i := range c.instances {
		c.start(i)
		members = append(members, i.self)
	}
	for _, i := range c.instances {
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

// add adds an instance with an empty disk. It is not started.
func (c *cluster) add(name string) *instance {
	i := &instance{name: name, files: faulty.New(c.random.Uint64())}
	c.instances = append(c.instances, i)
	return i
}

func (c *cluster) start(i *instance) {
	c.t.Helper()
	c.must(c.tryStart(i))
}

// tryStart starts an instance from its disk. It returns an error if the disk cannot be read.
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
	i.timer = &pausableTimer{System: timer.NewSystem(), stopped: make(chan struct{})}
	i.machine = &machine{history: c.history}
	node, err := replica.New(replica.Options{
		Self: i.self, StateMachine: i.machine, Store: store, Transport: &simTransport{c, i}, Timer: i.timer,
		Random: rand.New(c.source(c.random.Uint64())), Log: c.log,
	})
	if err != nil {
		return err
	}
	c.configure(node)
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel, i.done = cancel, make(chan error, 1)
	go func(done chan error) { done <- node.Run(ctx) }(i.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	i.node = node
	c.byAddress[i.name] = i
	return nil
}

// stop stops an instance. A crash loses all writes that are not synced.
func (c *cluster) stop(i *instance, crash bool) {
	c.end(i, func() {
		if crash {
			i.files.Crash()
		}
	})
}

// end stops an instance that is running, after a call of cut, which may cut off its files.
func (c *cluster) end(i *instance, cut func()) {
	c.mu.Lock()
	running := c.byAddress[i.name] == i
	if running {
		delete(c.byAddress, i.name)
	}
	c.mu.Unlock()
	if !running {
		return
	}
	cut()
	i.cancel()
	<-i.done
	close(i.timer.stopped)
}

func (c *cluster) running() (out []*instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.instances {
		if c.byAddress[i.name] == i {
			out = append(out, i)
		}
	}
	return out
}

// block blocks or unblocks the messages from one instance to another.
func (c *cluster) block(from, to *instance, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked[[2]string{from.name, to.name}] = on
}

// isolate cuts an instance off from all others in both directions, or reconnects it.
func (c *cluster) isolate(i *instance, on bool) {
	for _, o := range c.instances {
		if o != i {
			c.block(i, o, on)
			c.block(o, i, on)
		}
	}
}

// leaseHolders returns the running instances that hold a leader lease now.
func (c *cluster) leaseHolders() (out []*instance) {
	for _, i := range c.running() {
		if _, ok := i.node.HoldsLease(); ok {
			out = append(out, i)
		}
	}
	return out
}

// sleep lets simulated time pass and checks meanwhile that no two replicas hold a lease.
func (c *cluster) sleep(d time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if l := c.leaseHolders(); len(l) > 1 {
			c.t.Fatalf("%s and %s both hold a lease", l[0].name, l[1].name)
		}
	}
}

// waitFor waits in simulated time until a condition holds.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for range 4000 {
		if condition() {
			return
		}
		c.sleep(5 * time.Millisecond)
	}
	c.t.Fatalf("timed out after 20 s waiting for %s", what)
}

// leader waits until an instance holds a lease and returns it.
func (c *cluster) leader() (l *instance) {
	c.t.Helper()
	c.waitFor("a leader", func() bool {
		holders := c.leaseHolders()
		if len(holders) > 0 {
			l = holders[0]
		}
		return l != nil
	})
	return l
}

// propose retries a command until a proposal of it succeeds. The command may be committed
// more than once.
func (c *cluster) propose(command string) {
	c.t.Helper()
	c.waitFor("commit of "+command, func() bool {
		for _, l := range c.leaseHolders() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := l.node.Propose(ctx, []byte(command))
			cancel()
			return err == nil
		}
		return false
	})
}

// converge waits until all running instances have applied the same commands.
func (c *cluster) converge() {
	c.t.Helper()
	c.propose("converge")
	c.waitFor("all replicas to apply the same commands", func() bool {
		running := c.running()
		for _, i := range running {
			if len(i.machine.list()) != len(running[0].machine.list()) {
				return false
			}
		}
		return true
	})
	want := c.running()[0].machine.list()
	for _, i := range c.running() {
		for k, p := range i.machine.list() {
			if p != want[k] {
				c.t.Fatalf("%s: %v instead of %v", i.name, p, want[k])
			}
		}
	}
}

// verify stops all instances and reports where their state machines differed.
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

// simTransport is the transport of one instance over the simulated network.
type simTransport struct {
	c *cluster
	i *instance
}

var errLost = errors.New("message lost")

// transmit simulates the transfer of a message. It returns the node at the destination, or
// an error if the message is lost.
func (p *simTransport) transmit(ctx context.Context, from, to string) (*replica.Node, error) {
	c := p.c
	c.mu.Lock()
	lost := c.blocked[[2]string{from, to}] || c.network.Float64() < c.dropRate
	delay := time.Duration(0)
	if c.maxDelay > 0 {
		delay = time.Duration(c.network.Int64N(int64(c.maxDelay)))
	}
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, errLost
	}
	select {
	case <-time.After(delay + 100*time.Microsecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i, ok := c.byAddress[to]
	if !ok {
		return nil, errLost
	}
	return i.node, nil
}

// deliver simulates a call: it transmits the request, handles it at the receiver and transmits
// the reply.
func deliver[Q, R proto.Message](
	ctx context.Context, p *simTransport, to replica.Address, r Q,
	handle func(*replica.Node, context.Context, Q) (R, error),
) (reply R, err error) {
	r = proto.Clone(r).(Q)
	node, err := p.transmit(ctx, p.i.name, string(to))
	if err != nil {
		return reply, err
	}
	// The receiver completes the call even if the sender has given up.
	got, err := handle(node, context.WithoutCancel(ctx), r)
	if err != nil {
		return reply, err
	}
	if _, err := p.transmit(ctx, string(to), p.i.name); err != nil {
		return reply, err
	}
	return proto.Clone(got).(R), nil
}

func (p *simTransport) Append(ctx context.Context, to replica.Address, r *wire.AppendRequest) (*wire.AppendReply, error) {
	return deliver(ctx, p, to, r, (*replica.Node).Append)
}

func (p *simTransport) Vote(ctx context.Context, to replica.Address, r *wire.VoteRequest) (*wire.VoteReply, error) {
	return deliver(ctx, p, to, r, (*replica.Node).Vote)
}

func (p *simTransport) Install(ctx context.Context, to replica.Address, r *wire.InstallRequest) (*wire.InstallReply, error) {
	return deliver(ctx, p, to, r, (*replica.Node).Install)
}
