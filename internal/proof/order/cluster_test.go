// Package order proves that no order of a former leader reaches an engine after the first
// order of a new leader, even if the engine ignores fencing tokens.
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

// instance is a control instance: a replica of group 0 that sends orders continuously
// while it leads.
type instance struct {
	cluster    *cluster
	name       string
	clock      *clock
	member     replica.Member
	node       *replica.Node
	dispatcher *orders.Dispatcher
}

// cluster consists of three control instances and an engine that ignores fencing tokens.
// It runs in a bubble of testing/synctest.
type cluster struct {
	t               *testing.T
	group           *group.Group
	instances       []*instance
	engine          *engine.Engine
	mux             *http.ServeMux
	freezeLeader    bool                           // the fault freezes the leader instead of isolating it
	pauseAfterToken func(*rand.Rand) time.Duration // delay of an order once it has its token
	connectDelay    func(*rand.Rand) time.Duration // time to open a connection
	writeDelay      func(*rand.Rand) time.Duration // time for a write to arrive
	testRandom      *rand.Rand                     // randomness of the test schedule

	mu            sync.Mutex
	networkRandom *rand.Rand // randomness of the network
	isolated      *instance  // exchanges no messages with the others
	faultTarget   *instance  // the fault is injected at its next order
	faultPending  *instance  // its order has a token under the fault and is not sent yet
	faultInjected bool       // the fault of this round was injected
	lastArrival   arrival    // newest order that reached the engine
}

// arrival is an order that reached the engine.
type arrival struct {
	term  uint64
	token uint64
}

// newCluster starts the engine and the instances. They stop with the test.
func newCluster(t *testing.T, seed uint64) *cluster {
	cl := &cluster{
		t: t, group: group.New(context.Background()), mux: http.NewServeMux(),
		testRandom: rand.New(rand.NewPCG(seed, 1)), networkRandom: rand.New(rand.NewPCG(seed, 2)),
	}
	cl.engine = engine.New(engine.Options{Model: "small", Version: "1", LoadDuration: time.Millisecond, Timer: timer.NewSystem()})
	cl.engine.Register(cl.mux)
	cl.group.Go("engine", cl.engine.Run)
	for _, n := range []string{"c1", "c2", "c3"} {
		cl.addInstance(n)
	}
	var members []replica.Member
	for _, i := range cl.instances {
		members = append(members, i.member)
	}
	for _, i := range cl.instances {
		cl.must(i.node.Bootstrap(members))
		cl.group.Go(i.name, i.node.Run)
		cl.group.Go(i.name+" orders", i.sendOrders)
	}
	t.Cleanup(cl.stop)
	return cl
}

// must fails the test on an error.
func (cl *cluster) must(err error) {
	cl.t.Helper()
	if err != nil {
		cl.t.Fatalf("%+v", err)
	}
}

// addInstance adds an instance with an empty disk. It is not running yet.
func (cl *cluster) addInstance(name string) {
	cl.t.Helper()
	d, err := disk.Open(faulty.New(cl.testRandom.Uint64()).Process(), "data", disk.DefaultReserveBytes)
	cl.must(err)
	store, err := d.OpenGroup(0)
	cl.must(err)
	i := &instance{
		cluster: cl, name: name, clock: newClock(),
		member: replica.Member{Identity: d.Identity(), Address: replica.Address(name), Voter: true},
	}
	config := state.NewConfig()
	i.node, err = replica.New(replica.Options{
		Self: i.member, StateMachine: config, Store: store, Transport: i, Timer: i.clock,
		Random: rand.New(rand.NewPCG(cl.testRandom.Uint64(), 3)),
	})
	cl.must(err)
	i.dispatcher = orders.New(orders.Options{Node: i, Config: config, Timer: i.clock, Sender: orders.HTTPSender{Dial: i.dial}})
	cl.instances = append(cl.instances, i)
}

// stop ends the fault and stops the engine and the instances.
func (cl *cluster) stop() {
	cl.mu.Lock()
	cl.isolated = nil
	cl.mu.Unlock()
	for _, i := range cl.instances {
		i.clock.thaw()
	}
	cl.must(cl.group.Stop())
	time.Sleep(5 * time.Second) // abandoned connections end meanwhile
}

// sendOrders sends one order after another while the instance may.
func (i *instance) sendOrders(ctx context.Context) error {
	for count := 0; timer.Sleep(ctx, i.clock, 25*time.Millisecond) == nil; count++ {
		if i.dispatcher.Ready() {
			// Most sends around a fault are expected to fail.
			_ = i.dispatcher.Send(ctx, "engine", orders.Order{Kind: orders.KindLoad, Model: "small", Version: fmt.Sprint(count)})
		}
	}
	return nil
}

// waitForLeader waits until a leader other than the given one has sent an order that arrived.
func (cl *cluster) waitForLeader(other *instance) (found *instance) {
	cl.t.Helper()
	for range 10000 {
		for _, i := range cl.instances {
			if term, ok := i.node.HoldsLease(); ok && i != other && cl.lastArrivedIn(uint64(term)) {
				return i
			}
		}
		time.Sleep(time.Millisecond)
	}
	cl.t.Fatal("no order of a leader reached the engine within 10 s")
	return nil
}

// lastArrivedIn reports whether the newest order at the engine is of the term.
func (cl *cluster) lastArrivedIn(term uint64) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.lastArrival.term == term
}

// recordArrival records the newest order of the engine. It fails the test if that order has
// an older term or token than the previous one.
func (cl *cluster) recordArrival() {
	r := cl.engine.ReceivedOrders()
	o := r[len(r)-1]
	a := arrival{token: o.FencingToken}
	if _, err := fmt.Sscanf(strings.Split(o.Order.ID, "-")[0], "%d", &a.term); err != nil {
		cl.t.Errorf("cannot read the term of order %q: %v", o.Order.ID, err)
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if a.term < cl.lastArrival.term || a.token <= cl.lastArrival.token {
		cl.t.Errorf("order with token %d of term %d arrived after token %d of term %d", a.token, a.term, cl.lastArrival.token, cl.lastArrival.term)
		return
	}
	cl.lastArrival = a
}

// sendTo transmits a message to the instance at the address and returns that instance.
func (i *instance) sendTo(ctx context.Context, to replica.Address) (*instance, error) {
	cl := i.cluster
	var o *instance
	for _, o = range cl.instances {
		if o.member.Address == to {
			break
		}
	}
	return o, i.transmit(ctx, o)
}

// transmit waits until a message from i has arrived at o. A message to or from an isolated
// instance is lost; one to or from a frozen process waits for the thaw.
func (i *instance) transmit(ctx context.Context, o *instance) error {
	cl := i.cluster
	cl.mu.Lock()
	latency := 300*time.Microsecond + time.Duration(cl.networkRandom.IntN(1700))*time.Microsecond
	cl.mu.Unlock()
	time.Sleep(latency)
	i.clock.waitUntilThawed(ctx)
	o.clock.waitUntilThawed(ctx)
	cl.mu.Lock()
	lost := cl.isolated == i || cl.isolated == o
	cl.mu.Unlock()
	if lost {
		<-ctx.Done()
	}
	return context.Cause(ctx)
}

// exchange calls a method of another instance over the simulated network.
func exchange[Q, R any](ctx context.Context, i *instance, to replica.Address, q Q, call func(*replica.Node) func(context.Context, Q) (R, error)) (r R, err error) {
	o, err := i.sendTo(ctx, to)
	if err != nil {
		return r, err
	}
	if r, err = call(o.node)(ctx, q); err != nil {
		return r, err
	}
	return r, o.transmit(ctx, i)
}

// Append is part of replica.Transport.
func (i *instance) Append(ctx context.Context, to replica.Address, r *wire.AppendRequest) (*wire.AppendReply, error) {
	return exchange(ctx, i, to, r, func(n *replica.Node) func(context.Context, *wire.AppendRequest) (*wire.AppendReply, error) {
		return n.Append
	})
}

// Vote is part of replica.Transport.
func (i *instance) Vote(ctx context.Context, to replica.Address, r *wire.VoteRequest) (*wire.VoteReply, error) {
	return exchange(ctx, i, to, r, func(n *replica.Node) func(context.Context, *wire.VoteRequest) (*wire.VoteReply, error) { return n.Vote })
}

// Install is part of replica.Transport.
func (i *instance) Install(ctx context.Context, to replica.Address, r *wire.InstallRequest) (*wire.InstallReply, error) {
	return exchange(ctx, i, to, r, func(n *replica.Node) func(context.Context, *wire.InstallRequest) (*wire.InstallReply, error) {
		return n.Install
	})
}
