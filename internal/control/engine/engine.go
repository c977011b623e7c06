// Package engine sends orders to load and unload model versions to inference engines. Only
// the leader of group 0 sends orders. Each order has a fencing token from the log of the
// group, and the leader lease ensures that no order is in transit once another replica may
// send orders.
package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/control/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	// MaxDeliveryTime is the longest time that an order may take to arrive. A leader that a
	// majority confirms at each heartbeat can start to send during more than half of its
	// lease.
	MaxDeliveryTime = 200 * time.Millisecond
	// NewLeaderDelay is how long a new leader waits before its first order. Replicas already
	// deny votes for longer than a lease; the delay covers a former leader whose clock runs
	// slow.
	NewLeaderDelay = replica.LeaseDuration
	// planInterval is the interval at which the dispatcher looks for an order to send.
	planInterval = 100 * time.Millisecond
	// tokenTimeout limits the wait for a fencing token.
	tokenTimeout = time.Second
)

// Errors of Send.
var (
	// ErrNoLease is returned if this replica may not send now. Nothing was sent.
	ErrNoLease = errors.New("no valid leader lease to send an order")
	// ErrStaleToken is returned if the engine refused an order because it has seen a higher
	// token.
	ErrStaleToken = errors.New("engine refused a stale fencing token")
)

// Kind is the kind of an order.
type Kind string

// Kinds of orders.
const (
	// KindLoad makes the engine load a version and serve it.
	KindLoad Kind = "load"
	// KindUnload makes the engine drop a version.
	KindUnload Kind = "unload"
)

// FencingToken increases with each order, so that an engine can refuse an order that was
// delayed until after a later one.
type FencingToken uint64

// Order is an order in the form in which it is sent. ID is unique in the group.
type Order struct {
	ID           string       `json:"order"`
	Kind         Kind         `json:"kind"`
	Model        string       `json:"model"`
	Version      string       `json:"version"`
	FencingToken FencingToken `json:"token"`
}

// Node is this instance's replica of group 0.
type Node interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	LeaseRemaining() (replica.Term, time.Duration)
}

// Sender delivers an order to the engine at an address. It calls permit immediately before
// each write and doesn't write if that fails. Nothing that it wrote may arrive after the
// context is done.
type Sender interface {
	Send(ctx context.Context, address string, o Order, permit func() error) error
}

// LoadLimiter limits loads to the rate that the weight store allows.
type LoadLimiter interface {
	// Admit reports whether a load of the version may start now, and counts it if so.
	Admit(model, version string) bool
}

// Options configures a Dispatcher. LoadLimiter and Log may be nil.
type Options struct {
	Node        Node
	Config      *state.Config
	Sender      Sender
	LoadLimiter LoadLimiter
	Timer       timer.Service
	Log         *zap.Logger
}

// Dispatcher plans and sends orders while its replica leads group 0. Its methods must be
// called from one goroutine.
type Dispatcher struct {
	options     Options
	term        replica.Term  // last term in which Ready found that this replica leads
	leaderSince timer.Instant // when Ready first did so in that term
	orderCount  uint64        // number of orders so far; part of their IDs
	planner     planner
}

// New returns a dispatcher, which is started by Run.
func New(o Options) *Dispatcher {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.LoadLimiter == nil {
		o.LoadLimiter = &intervalLimiter{timer: o.Timer}
	}
	return &Dispatcher{options: o, planner: planner{attempts: map[string]attempt{}}}
}

// Run sends the orders that the service documents require until the context is done.
func (d *Dispatcher) Run(ctx context.Context) error { return d.loop(ctx) }

func (d *Dispatcher) loop(ctx context.Context) error {
	ticks := d.options.Timer.Subscribe(planInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			if d.Ready() {
				d.sendNext(ctx)
			}
		}
	}
}

// Ready reports whether this replica is the leader and the lease of any former leader has
// expired. It must be called regularly, since the wait counts from the first call in a term.
func (d *Dispatcher) Ready() bool {
	term, remaining := d.options.Node.LeaseRemaining()
	if remaining <= 0 {
		return false
	}
	now := d.options.Timer.Now()
	if term != d.term {
		d.term, d.leaderSince = term, now
		// The orders that a former leader sent aren't known here. Repeating one does no harm.
		d.planner = planner{attempts: map[string]attempt{}}
	}
	return now.Sub(d.leaderSince) >= NewLeaderDelay
}

// Send assigns an ID and a fencing token to the order and sends it to the address.
func (d *Dispatcher) Send(ctx context.Context, address string, order Order) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "order %s %s@%s to %s", order.Kind, order.Model, order.Version, address)
		}
	}()
	if !d.Ready() {
		return ErrNoLease
	}
	term := d.term
	d.orderCount++
	order.ID = fmt.Sprintf("%d-%d", term, d.orderCount)
	if order.FencingToken, err = d.issueToken(ctx, order.ID); err != nil {
		return err
	}
	permit := func() error { return d.checkLease(term) }
	if err = permit(); err != nil {
		return err
	}
	ctx, cancel := timer.WithTimeout(ctx, d.options.Timer, MaxDeliveryTime)
	defer cancel()
	return d.options.Sender.Send(ctx, address, order, permit)
}

// checkLease returns an error unless an order that is written now arrives while the lease of
// the term is held.
func (d *Dispatcher) checkLease(term replica.Term) error {
	current, remaining := d.options.Node.LeaseRemaining()
	if current != term || remaining <= MaxDeliveryTime {
		return ErrNoLease
	}
	return nil
}

// issueToken gets the fencing token of an order from the log of the group. If the outcome of
// the command is unknown, it is proposed once more; the order gets the same token then.
func (d *Dispatcher) issueToken(ctx context.Context, orderID string) (t FencingToken, err error) {
	command, err := proto.Marshal(&wire.Command{
		Instant: d.options.Timer.Wall().UnixMilli(),
		Body:    &wire.Command_Order{Order: &wire.OrderCommand{Order: orderID}},
	})
	if err != nil {
		return 0, err
	}
	ctx, cancel := timer.WithTimeout(ctx, d.options.Timer, tokenTimeout)
	defer cancel()
	result, err := d.options.Node.Propose(ctx, command)
	if errors.Is(err, replica.ErrOutcomeUnknown) {
		result, err = d.options.Node.Propose(ctx, command)
	}
	if err != nil {
		return 0, err
	}
	var reply wire.OrderReply
	if err = proto.Unmarshal(result, &reply); err != nil {
		return 0, err
	}
	if reply.Fault != nil {
		return 0, errors.New(reply.Fault.Text)
	}
	return FencingToken(reply.Token), nil
}
