package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/state"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// short is a call that the leader answers at once.
func (c *Client) short(group uint32, changes bool) call {
	return call{group: group, pool: c.calls, limit: attemptLimit, changes: changes}
}

// long is a call that the leader may hold back for the given milliseconds.
func (c *Client) long(group uint32, changes bool, wait uint32) call {
	if wait == 0 {
		return c.short(group, changes)
	}
	limit := attemptLimit + time.Duration(wait)*time.Millisecond
	return call{group: group, pool: c.polls, limit: limit, changes: changes}
}

func (c *Client) group(account, key string) uint32 {
	return state.GroupOf(account, key, c.options.Groups)
}

// Apply changes a document. The wait for the change to be in force is made of
// resends, so that a connection that goes silent meanwhile costs one attempt only.
func (c *Client) Apply(ctx context.Context, r *wire.ApplyRequest) (*wire.ApplyReply, error) {
	left := time.Duration(r.Wait) * time.Millisecond
	first, err := c.applyOnce(ctx, r, left)
	if err != nil || first.Inforce || left <= pollWait {
		return first, err
	}
	accepted := c.options.Timer.Now().Add(-pollWait)
	for {
		passed := c.options.Timer.Now().Sub(accepted)
		if passed >= left {
			return first, nil
		}
		next, err := c.applyOnce(ctx, r, left-passed)
		if err != nil {
			// The change is accepted all the same.
			return first, nil
		}
		if next.Inforce {
			first.Inforce = true
			first.Elapsed = uint32(c.options.Timer.Now().Sub(accepted).Milliseconds())
			return first, nil
		}
	}
}

func (c *Client) applyOnce(ctx context.Context, r *wire.ApplyRequest, wait time.Duration) (*wire.ApplyReply, error) {
	r = proto.CloneOf(r)
	r.Wait = uint32(min(wait, pollWait).Milliseconds())
	return invoke(ctx, c, c.long(0, true, r.Wait), r, wire.DRPCControlClient.Apply)
}

// Show returns documents.
func (c *Client) Show(ctx context.Context, r *wire.ShowRequest) (*wire.ShowReply, error) {
	return invoke(ctx, c, c.short(0, false), r, wire.DRPCControlClient.Show)
}

// History returns the former revisions of a document.
func (c *Client) History(ctx context.Context, r *wire.HistoryRequest) (*wire.HistoryReply, error) {
	return invoke(ctx, c, c.short(0, false), r, wire.DRPCControlClient.History)
}

// Status returns the state of the control groups.
func (c *Client) Status(ctx context.Context, r *wire.StatusRequest) (*wire.StatusReply, error) {
	return invoke(ctx, c, c.short(0, false), r, wire.DRPCControlClient.Status)
}

// Announce registers an upstream.
func (c *Client) Announce(ctx context.Context, r *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	return invoke(ctx, c, c.short(0, true), r, wire.DRPCControlClient.Announce)
}

// Leave ends the registration of an upstream.
func (c *Client) Leave(ctx context.Context, r *wire.LeaveRequest) (*wire.LeaveReply, error) {
	return invoke(ctx, c, c.short(0, true), r, wire.DRPCControlClient.Leave)
}

// Drain tells an entry to finish its work and take no more.
func (c *Client) Drain(ctx context.Context, r *wire.DrainRequest) (*wire.DrainReply, error) {
	return invoke(ctx, c, c.short(0, true), r, wire.DRPCControlClient.Drain)
}

// Suspect makes one move of the suspicion of requests.
func (c *Client) Suspect(ctx context.Context, r *wire.SuspectRequest) (*wire.SuspectReply, error) {
	return invoke(ctx, c, c.long(0, true, r.Wait), r, wire.DRPCControlClient.Suspect)
}

// Claim makes one move of a claim. All attempts of one call carry the same nonce,
// so that a move whose answer was lost is not taken for another owner's.
func (c *Client) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	group := c.group(r.Account, r.Key)
	if r.Step == wire.Step_STEP_READ {
		return invoke(ctx, c, c.long(group, false, r.Wait), r, wire.DRPCControlClient.Claim)
	}
	r = proto.CloneOf(r)
	if r.Nonce == 0 {
		r.Nonce = c.random(0)
	}
	return invoke(ctx, c, c.short(group, true), r, wire.DRPCControlClient.Claim)
}

// Pin creates, moves or, without a version, reads the pin of a session.
func (c *Client) Pin(ctx context.Context, r *wire.PinRequest) (*wire.PinReply, error) {
	group := c.group(r.Account, state.PinKey(r.Service, r.Session))
	return invoke(ctx, c, c.short(group, r.Version != ""), r, wire.DRPCControlClient.Pin)
}

// Charge records the charge of a request once.
func (c *Client) Charge(ctx context.Context, r *wire.ChargeRequest) (*wire.ChargeReply, error) {
	return invoke(ctx, c, c.short(c.group(r.Account, r.Request), true), r, wire.DRPCControlClient.Charge)
}

// Ledger returns the totals and latest charges over all data groups.
func (c *Client) Ledger(ctx context.Context, r *wire.LedgerRequest) (*wire.LedgerReply, error) {
	sum := &wire.LedgerReply{}
	for g := range c.options.Groups {
		q := proto.CloneOf(r)
		q.Group = g + 1
		reply, err := invoke(ctx, c, c.short(q.Group, false), q, wire.DRPCControlClient.Ledger)
		if err != nil {
			return reply, err
		}
		sum.Totals = addTotals(sum.Totals, reply.Totals)
		sum.Charges = append(sum.Charges, reply.Charges...)
	}
	state.SortTotals(sum.Totals)
	if len(sum.Charges) > int(r.Limit) {
		sum.Charges = sum.Charges[:r.Limit]
	}
	return sum, nil
}

func addTotals(sum, add []*wire.Total) []*wire.Total {
next:
	for _, a := range add {
		for _, s := range sum {
			if s.Account == a.Account && s.Service == a.Service {
				s.Requests += a.Requests
				s.Input += a.Input
				s.Output += a.Output
				s.Amount += a.Amount
				s.Cost += a.Cost
				continue next
			}
		}
		sum = append(sum, a)
	}
	return sum
}
