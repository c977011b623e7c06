// Package engine sends orders to engines. Only the leader of group 0 sends, each
// order has a fencing token from the log of the group, and no order is on its way
// while another replica may already send its own.
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
	// MaxDeliveryTime is the longest time that an order may take to arrive. It leaves a leader
	// that hears from a majority at each heartbeat more than half of its lease to send in.
	MaxDeliveryTime = 200 * time.Millisecond
	// NewLeaderDelay is how long a new leader waits before its first order. Votes are denied for
	// longer than a lease already; this covers a former leader whose clock runs slow.
	NewLeaderDelay = replica.LeaseDuration
	// pace is how often the planner looks for an order to send.
	pace = 100 * time.Millisecond
	// tokenLimit bounds the wait for a token.
	tokenLimit = time.Second
)

// Errors of Send.
var (
	// ErrNoLease says that this replica may not send now; nothing was sent.
	ErrNoLease = errors.New("no leader lease to send an order under")
	// ErrStaleToken says that the engine refused the token as old.
	ErrStaleToken = errors.New("engine refused an old fencing token")
)

// Kind tells what an order asks for.
type Kind string

// The kinds of order.
const (
	// KindLoad makes the engine load a version and serve it.
	KindLoad Kind = "load"
	// KindUnload makes the engine drop a version.
	KindUnload Kind = "unload"
)

// Token is a fencing token; it rises with each order.
type Token uint64

// Order is one order as it is sent.
type Order struct {
	ID      string `json:"order"`
	Kind    Kind   `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Token   Token  `json:"token"`
}

// Node is the replica of group 0.
type Node interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	LeaseRemaining() (replica.Term, time.Duration)
}

// Sender delivers an order to the engine at an address. It calls permit immediately
// before it writes anything, and nothing that it wrote may arrive once the context is done.
type Sender interface {
	Send(ctx context.Context, address string, o Order, permit func() error) error
}

// LoadLimiter grants loads within the rate of the weight store.
type LoadLimiter interface {
	// Admit tells whether a load of the version may begin now, and counts it if so.
	Admit(model, version string) bool
}

// Options are the parts that orders are made of. Weights and Log may be nil.
type Options struct {
	Node        Node
	Config      *state.Config
	Sender      Sender
	LoadLimiter LoadLimiter
	Timer       timer.Service
	Log         *zap.Logger
}

// Dispatcher plans and sends orders while its replica leads group 0. Its methods are called
// from one goroutine.
type Dispatcher struct {
	options Options
	term    replica.Term
	since   timer.Instant
	count   uint64
	plan    planner
}

// New returns orders that do nothing until Run.
func New(o Options) *Dispatcher {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.LoadLimiter == nil {
		o.LoadLimiter = &budget{timer: o.Timer}
	}
	return &Dispatcher{options: o, plan: planner{sent: map[string]attempt{}}}
}

// Run sends what the documents call for until the context is done.
func (o *Dispatcher) Run(ctx context.Context) error { return o.loop(ctx) }

func (o *Dispatcher) loop(ctx context.Context) error {
	ticks := o.options.Timer.Subscribe(pace)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			if o.Ready() {
				o.step(ctx)
			}
		}
	}
}

// Ready tells whether this replica leads and the lease of any former leader has run out.
// It is called regularly, since the wait counts from the first call in a term.
func (o *Dispatcher) Ready() bool {
	term, left := o.options.Node.LeaseRemaining()
	if left <= 0 {
		return false
	}
	now := o.options.Timer.Now()
	if term != o.term {
		o.term, o.since = term, now
		// What a former leader sent is not known here; an order that is repeated does no harm.
		o.plan = planner{sent: map[string]attempt{}}
	}
	return now.Sub(o.since) >= NewLeaderDelay
}

// Send gives the order an id and a token and sends it to the address.
func (o *Dispatcher) Send(ctx context.Context, address string, order Order) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "order %s %s@%s to %s", order.Kind, order.Model, order.Version, address)
		}
	}()
	if !o.Ready() {
		return ErrNoLease
	}
	term := o.term
	o.count++
	order.ID = fmt.Sprintf("%d-%d", term, o.count)
	if order.Token, err = o.token(ctx, order.ID); err != nil {
		return err
	}
	permit := func() error { return o.permit(term) }
	if err = permit(); err != nil {
		return err
	}
	ctx, cancel := timer.WithTimeout(ctx, o.options.Timer, MaxDeliveryTime)
	defer cancel()
	return o.options.Sender.Send(ctx, address, order, permit)
}

// permit tells whether what is written now arrives under the lease of the term.
func (o *Dispatcher) permit(term replica.Term) error {
	now, left := o.options.Node.LeaseRemaining()
	if now != term || left <= MaxDeliveryTime {
		return ErrNoLease
	}
	return nil
}

// token takes the fencing token of an order from the log. A command whose outcome is
// unknown is repeated once, since it gets the same token again.
func (o *Dispatcher) token(ctx context.Context, order string) (t Token, err error) {
	command, err := proto.Marshal(&wire.Command{
		Instant: o.options.Timer.Wall().UnixMilli(),
		Body:    &wire.Command_Order{Order: &wire.OrderCommand{Order: order}},
	})
	if err != nil {
		return 0, err
	}
	ctx, cancel := timer.WithTimeout(ctx, o.options.Timer, tokenLimit)
	defer cancel()
	result, err := o.options.Node.Propose(ctx, command)
	if errors.Is(err, replica.ErrOutcomeUnknown) {
		result, err = o.options.Node.Propose(ctx, command)
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
	return Token(reply.Token), nil
}
