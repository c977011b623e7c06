package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// borrowTimeout bounds a call for permits. Requests wait for it.
const borrowTimeout = 250 * time.Millisecond

// borrower asks the leader for the permits that requests need. One call is made at a time, for
// all requests that came since the last one.
type borrower struct{ *Client }

func (b *borrower) loop(ctx context.Context) error {
	stock := b.options.View.Permits()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-stock.Wanted():
		}
		wants := stock.TakeWants()
		sent := b.options.Timer.Now()
		r, err := b.borrow(ctx, wants)
		if err != nil {
			stock.Fail()
			b.options.Log.Debug("no permits", journal.Error(err))
			continue
		}
		stock.Apply(Grants(r), sent)
	}
}

// borrow makes one call.
func (b *borrower) borrow(ctx context.Context, wants []permit.Want) (*wire.BorrowReply, error) {
	ctx, cancel := timer.WithTimeout(ctx, b.options.Timer, borrowTimeout)
	defer cancel()
	to, err := b.awaitLeader(ctx)
	if err != nil {
		return nil, err
	}
	r, err := call(ctx, b.connections, to, classBorrow, borrowTimeout, func(ctx context.Context, c wire.DRPCFleetClient) (*wire.BorrowReply, error) {
		return c.Borrow(ctx, BorrowRequest(wants))
	})
	if err == nil && !r.GetGuide().GetServed() {
		b.finder.redirect(to, r.GetGuide())
		err = errors.Newf("%s is not the leader", to)
	}
	return r, err
}

// BorrowRequest returns the message for the wanted permits.
func BorrowRequest(wants []permit.Want) *wire.BorrowRequest {
	q := &wire.BorrowRequest{}
	for _, w := range wants {
		q.Wants = append(q.Wants, &wire.Want{Id: w.ID, Born: w.Born, Count: uint32(w.Count)})
	}
	return q
}

// Grants returns the permits of a reply.
func Grants(r *wire.BorrowReply) (out []permit.Grant) {
	for _, g := range r.GetGrants() {
		out = append(out, permit.Grant{
			ID: g.GetId(), Born: g.GetBorn(), Count: int(g.GetCount()), Wait: time.Duration(g.GetWait()) * time.Millisecond, Limited: g.GetLimited(), Cold: g.GetCold(),
		})
	}
	return out
}
