// Package order proves that no order of a former leader reaches an engine after the
// first one of a new leader, though the engine ignores fencing tokens.
package order

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
	orders "wisteriakeel.example/wisteriakeel/internal/control/engine"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/control/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// instance is one control instance: a replica of group 0 that sends orders all the time
// while it may.
type instance struct {
	world  *world
	name   string
	clock  *clock
	self   replica.Member
	node   *replica.Node
	orders *orders.Dispatcher
}

// world is three control instances and an engine that ignores tokens. It runs in a bubble
// of testing/synctest.
type world struct {
	t        *testing.T
	group    *group.Group
	all      []*instance
	engine   *engine.Engine
	mux      *http.ServeMux
	frozen   bool                           // the fault freezes the leader rather than cutting it off
	pause    func(*rand.Rand) time.Duration // how long after its token an order goes on
	connect  func(*rand.Rand) time.Duration // how long a connection takes to open
	flight   func(*rand.Rand) time.Duration // how long what is written takes to arrive
	schedule *rand.Rand                     // of the test

	mu     sync.Mutex
	random *rand.Rand // of the network
	cut    *instance  // nothing passes between it and the others
	armed  *instance  // its next order meets the fault
	struck *instance  // its order has met the fault and is not sent yet
	met    bool
	last   arrival // the newest order that reached the engine
}

// arrival is an order that reached the engine.
type arrival struct {
	term  uint64
	token uint64
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, group: group.New(context.Background()), mux: http.NewServeMux(),
		schedule: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)),
	}
	w.engine = engine.New(engine.Options{Model: "small", Version: "1", LoadDuration: time.Millisecond, Timer: timer.NewSystem()})
	w.engine.Register(w.mux)
	w.group.Go("engine", w.engine.Run)
	for _, n := range []string{"c1", "c2", "c3"} {
		w.add(n)
	}
	var members []replica.Member
	for _, i := range w.all {
		members = append(members, i.self)
	}
	for _, i := range w.all {
		w.must(i.node.Bootstrap(members))
		w.group.Go(i.name, i.node.Run)
		w.group.Go(i.name+" orders", i.loop)
	}
	t.Cleanup(w.end)
	return w
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatalf("%+v", err)
	}
}

func (w *world) add(name string) {
	w.t.Helper()
	d, err := disk.Open(faulty.New(w.schedule.Uint64()).Process(), "data", disk.DefaultReserveBytes)
	w.must(err)
	store, err := d.OpenGroup(0)
	w.must(err)
	i := &instance{
		world: w, name: name, clock: newClock(),
		self: replica.Member{Identity: d.Identity(), Address: replica.Address(name), Voter: true},
	}
	config := state.NewConfig()
	i.node, err = replica.New(replica.Options{
		Self: i.self, StateMachine: config, Store: store, Transport: i, Timer: i.clock,
		Random: rand.New(rand.NewPCG(w.schedule.Uint64(), 3)),
	})
	w.must(err)
	i.orders = orders.New(orders.Options{Node: i, Config: config, Timer: i.clock, Sender: orders.HTTPSender{Dial: i.dial}})
	w.all = append(w.all, i)
}

func (w *world) end() {
	w.mu.Lock()
	w.cut = nil
	w.mu.Unlock()
	for _, i := range w.all {
		i.clock.thaw()
	}
	w.must(w.group.Stop())
	time.Sleep(5 * time.Second) // connections that were given up end
}

// loop sends one order after the other.
func (i *instance) loop(ctx context.Context) error {
	for count := 0; timer.Sleep(ctx, i.clock, 25*time.Millisecond) == nil; count++ {
		if i.orders.Ready() {
			// Most attempts around a fault fail, which is what the rules are for.
			_ = i.orders.Send(ctx, "engine", orders.Order{Kind: orders.KindLoad, Model: "small", Version: fmt.Sprint(count)})
		}
	}
	return nil
}

// leader waits for a leader that has sent an order, other than the given one.
func (w *world) leader(other *instance) (found *instance) {
	w.t.Helper()
	for range 10000 {
		for _, i := range w.all {
			if term, ok := i.node.HoldsLease(); ok && i != other && w.arrived(uint64(term)) {
				return i
			}
		}
		time.Sleep(time.Millisecond)
	}
	w.t.Fatal("no order of a leader arrived within 10 s")
	return nil
}

func (w *world) arrived(term uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last.term == term
}

// arrive records the order that the engine has received last.
func (w *world) arrive() {
	r := w.engine.ReceivedOrders()
	o := r[len(r)-1]
	a := arrival{token: o.FencingToken}
	if _, err := fmt.Sscanf(strings.Split(o.Order.ID, "-")[0], "%d", &a.term); err != nil {
		w.t.Errorf("order %q: %v", o.Order.ID, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.term < w.last.term || a.token <= w.last.token {
		w.t.Errorf("order with token %d of term %d arrived after token %d of term %d", a.token, a.term, w.last.token, w.last.term)
		return
	}
	w.last = a
}

// reach waits until a message from one instance has got to another. What cannot pass is
// lost; what goes to or comes from a frozen process waits.
func (i *instance) reach(ctx context.Context, to replica.Address) (*instance, error) {
	w := i.world
	var o *instance
	for _, o = range w.all {
		if o.self.Address == to {
			break
		}
	}
	return o, i.pass(ctx, o)
}

func (i *instance) pass(ctx context.Context, o *instance) error {
	w := i.world
	w.mu.Lock()
	latency := 300*time.Microsecond + time.Duration(w.random.IntN(1700))*time.Microsecond
	w.mu.Unlock()
	time.Sleep(latency)
	i.clock.wait(ctx)
	o.clock.wait(ctx)
	w.mu.Lock()
	lost := w.cut == i || w.cut == o
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
	}
	return context.Cause(ctx)
}

// exchange carries a call to another instance and its reply back.
func exchange[Q, R any](ctx context.Context, i *instance, to replica.Address, q Q, call func(*replica.Node) func(context.Context, Q) (R, error)) (r R, err error) {
	o, err := i.reach(ctx, to)
	if err != nil {
		return r, err
	}
	if r, err = call(o.node)(ctx, q); err != nil {
		return r, err
	}
	return r, o.pass(ctx, i)
}

func (i *instance) Append(ctx context.Context, to replica.Address, r *wire.AppendRequest) (*wire.AppendReply, error) {
	return exchange(ctx, i, to, r, func(n *replica.Node) func(context.Context, *wire.AppendRequest) (*wire.AppendReply, error) {
		return n.Append
	})
}

func (i *instance) Vote(ctx context.Context, to replica.Address, r *wire.VoteRequest) (*wire.VoteReply, error) {
	return exchange(ctx, i, to, r, func(n *replica.Node) func(context.Context, *wire.VoteRequest) (*wire.VoteReply, error) { return n.Vote })
}

func (i *instance) Install(ctx context.Context, to replica.Address, r *wire.InstallRequest) (*wire.InstallReply, error) {
	return exchange(ctx, i, to, r, func(n *replica.Node) func(context.Context, *wire.InstallRequest) (*wire.InstallReply, error) {
		return n.Install
	})
}
