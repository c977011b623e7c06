package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/fleet/coordinator"
	"wisteriakeel.example/wisteriakeel/internal/fleet/slot"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// slotReplyTimeout bounds the wait for the reply to wants. Requests wait for it.
	slotReplyTimeout = 250 * time.Millisecond
	// slotIdleTimeout is how long the stream stays open while nothing is leased or wanted.
	slotIdleTimeout = 5 * time.Second
	// slotCheckInterval is the interval between checks of both.
	slotCheckInterval = 100 * time.Millisecond
)

// slotLeaser keeps a stream to the leader while slots of upstreams are wanted or leased.
type slotLeaser struct{ *Client }

func (l *slotLeaser) loop(ctx context.Context) error {
	stock := l.options.View.Slots()
	for failures := 0; ; {
		if failures == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-stock.Wanted():
			}
		}
		served, err := l.exchange(ctx, stock)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			failures = 0
			continue
		}
		l.options.Log.Debug("stream of slots", journal.Error(err))
		if failures++; served {
			failures = 1
		}
		if failures >= 2 {
			stock.Fail()
		}
		if timer.Sleep(ctx, l.options.Timer, minRetryDelay) != nil {
			return nil
		}
		if stock.Idle() {
			failures = 0
		}
	}
}

// exchange opens a stream to the leader and uses it until it is idle or fails. served tells whether the
// leader answered.
func (l *slotLeaser) exchange(ctx context.Context, stock *slot.Stock) (served bool, err error) {
	var to Address
	defer func() { err = errors.Wrapf(err, "slots from %s", string(to)) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialCtx, cancelDial := timer.WithTimeout(ctx, l.options.Timer, slotReplyTimeout)
	defer cancelDial()
	if to, err = l.awaitLeader(dialCtx); err != nil {
		return false, err
	}
	conn, err := l.connections.dial(dialCtx, string(to))
	if err != nil {
		return false, err
	}
	c := drpcconn.New(conn)
	defer func() { _ = c.Close() }()
	stream, err := wire.NewDRPCFleetClient(c).Slots(replica.WithPeerToken(ctx, l.connections.token))
	if err != nil {
		return false, err
	}
	r := &slotStream{slotLeaser: l, stock: stock, stream: stream, to: to, done: make(chan error, 1)}
	go r.run()
	err = r.send(ctx)
	return r.served.Load(), err
}

// slotStream is one stream to the leader. run receives, and send sends until the stream is of no more use.
type slotStream struct {
	*slotLeaser
	stock  *slot.Stock
	stream wire.DRPCFleet_SlotsClient
	to     Address
	done   chan error // receives the end of the stream
	served atomic.Bool
	// awaitedSince is when the first message was sent that needs a reply and has none; 0 if all have.
	awaitedSince atomic.Int64
}

func (r *slotStream) run() {
	for {
		m, err := r.stream.Recv()
		if err != nil {
			r.done <- err
			return
		}
		if !m.GetGuide().GetServed() {
			r.finder.redirect(r.to, m.GetGuide())
			r.done <- errors.Newf("%s is not the leader", r.to)
			return
		}
		r.awaitedSince.Store(0)
		r.served.Store(true)
		r.stock.Apply(m)
	}
}

// send sends messages until the stream fails, is idle or there is another leader.
func (r *slotStream) send(ctx context.Context) error {
	ticks := r.options.Timer.Subscribe(slotCheckInterval)
	defer ticks.Stop()
	self, usedAt := r.options.DescribeInstance(), r.options.Timer.Now()
	for first := true; ; first = false {
		if m := r.stock.TakeMessage(first); m != nil {
			if first {
				m.Instance, m.Epoch = self.GetName(), self.GetEpoch()
			}
			usedAt = r.options.Timer.Now()
			if len(m.GetWants()) > 0 {
				r.awaitedSince.CompareAndSwap(0, int64(usedAt))
			}
			if err := r.stream.Send(m); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-r.done:
			return err
		case <-r.stock.Reopened():
			return errors.New("the leader has changed")
		case <-r.stock.Wanted():
		case <-ticks.C:
			now := r.options.Timer.Now()
			if since := r.awaitedSince.Load(); since != 0 && now.Sub(timer.Instant(since)) > slotReplyTimeout {
				return errors.New("no reply")
			}
			if r.stock.Idle() && now.Sub(usedAt) > slotIdleTimeout {
				return nil
			}
		}
	}
}

// Slots leases slots of upstreams, or redirects the caller if this instance is not the leader.
func (s *Server) Slots(stream wire.DRPCFleet_SlotsStream) error {
	if err := replica.CheckPeerToken(stream.Context(), s.PeerToken); err != nil {
		return err
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	var session *coordinator.SlotSession
	ok := s.isLeader()
	if ok {
		session, ok = s.Coordinator.OpenSlots(first)
	}
	if !ok {
		return stream.Send(&wire.SlotReply{Guide: s.leaderInfo()})
	}
	defer session.Close()
	w := &slotSender{session: session, stream: stream}
	go w.run()
	for {
		q, err := stream.Recv()
		if err != nil {
			return err
		}
		if !session.Apply(q) {
			return errors.New("not the leader any more, or another stream of the instance was opened")
		}
	}
}

// slotSender sends the replies of one session.
type slotSender struct {
	session *coordinator.SlotSession
	stream  wire.DRPCFleet_SlotsStream
}

func (w *slotSender) run() {
	for range w.session.Ready() {
		r, open := w.session.TakeReply()
		if !open {
			// Ends the call of the other side, which then looks for the leader.
			_ = w.stream.Close()
			return
		}
		if r != nil && w.stream.Send(r) != nil {
			return
		}
	}
}
