package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/state"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// shortCall returns the parameters of a call that the leader answers at once.
func (c *Client) shortCall(group uint32, mutates bool) call {
	return call{group: group, pool: c.calls, timeout: callTimeout, mutates: mutates}
}

// longCall returns the parameters of a call whose reply the leader may hold back for wait
// milliseconds.
func (c *Client) longCall(group uint32, mutates bool, wait uint32) call {
	if wait == 0 {
		return c.shortCall(group, mutates)
	}
	timeout := callTimeout + time.Duration(wait)*time.Millisecond
	return call{group: group, pool: c.polls, timeout: timeout, mutates: mutates}
}

// dataGroup returns the data group that stores the key.
func (c *Client) dataGroup(account, key string) uint32 {
	return state.GroupOf(account, key, c.options.DataGroups)
}

// Apply changes a document. The wait for the change to be in force is split into repeated
// calls, so that a connection that goes silent meanwhile costs only one of them.
func (c *Client) Apply(ctx context.Context, r *wire.ApplyRequest) (*wire.ApplyReply, error) {
	wait := time.Duration(r.Wait) * time.Millisecond
	reply, err := c.applyOnce(ctx, r, wait)
	if err != nil || reply.Inforce || wait <= maxPollWait {
		return reply, err
	}
	// The first call has already waited for maxPollWait after the change was accepted.
	accepted := c.options.Timer.Now().Add(-maxPollWait)
	for {
		elapsed := c.options.Timer.Now().Sub(accepted)
		if elapsed >= wait {
			return reply, nil
		}
		repeated, err := c.applyOnce(ctx, r, wait-elapsed)
		if err != nil {
			// The change was accepted by the first call.
			return reply, nil
		}
		if repeated.Inforce {
			reply.Inforce = true
			reply.Elapsed = uint32(c.options.Timer.Now().Sub(accepted).Milliseconds())
			return reply, nil
		}
	}
}

// applyOnce makes one call of Apply, with a wait of at most maxPollWait.
func (c *Client) applyOnce(ctx context.Context, r *wire.ApplyRequest, wait time.Duration) (*wire.ApplyReply, error) {
	r = proto.CloneOf(r)
	r.Wait = uint32(min(wait, maxPollWait).Milliseconds())
	return invoke(ctx, c, c.longCall(0, true, r.Wait), r, wire.DRPCControlClient.Apply)
}

// Show returns the current documents.
func (c *Client) Show(ctx context.Context, r *wire.ShowRequest) (*wire.ShowReply, error) {
	return invoke(ctx, c, c.shortCall(0, false), r, wire.DRPCControlClient.Show)
}

// History returns earlier revisions of a document.
func (c *Client) History(ctx context.Context, r *wire.HistoryRequest) (*wire.HistoryReply, error) {
	return invoke(ctx, c, c.shortCall(0, false), r, wire.DRPCControlClient.History)
}

// Status returns the state of the control groups.
func (c *Client) Status(ctx context.Context, r *wire.StatusRequest) (*wire.StatusReply, error) {
	return invoke(ctx, c, c.shortCall(0, false), r, wire.DRPCControlClient.Status)
}

// Announce registers an upstream.
func (c *Client) Announce(ctx context.Context, r *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	return invoke(ctx, c, c.shortCall(0, true), r, wire.DRPCControlClient.Announce)
}

// Leave deregisters an upstream.
func (c *Client) Leave(ctx context.Context, r *wire.LeaveRequest) (*wire.LeaveReply, error) {
	return invoke(ctx, c, c.shortCall(0, true), r, wire.DRPCControlClient.Leave)
}

// Drain tells an entry to finish its running requests and accept no new ones.
func (c *Client) Drain(ctx context.Context, r *wire.DrainRequest) (*wire.DrainReply, error) {
	return invoke(ctx, c, c.shortCall(0, true), r, wire.DRPCControlClient.Drain)
}

// Suspect applies one move to the suspicions of requests.
func (c *Client) Suspect(ctx context.Context, r *wire.SuspectRequest) (*wire.SuspectReply, error) {
	return invoke(ctx, c, c.longCall(0, true, r.Wait), r, wire.DRPCControlClient.Suspect)
}

// Claim applies one step of a claim, or reads the claim. All attempts of one call carry the
// same nonce, so that an attempt after a lost reply is recognized as the same call.
func (c *Client) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	group := c.dataGroup(r.Account, r.Key)
	if r.Step == wire.Step_STEP_READ {
		return invoke(ctx, c, c.longCall(group, false, r.Wait), r, wire.DRPCControlClient.Claim)
	}
	r = proto.CloneOf(r)
	if r.Nonce == 0 {
		r.Nonce = c.random(0)
	}
	return invoke(ctx, c, c.shortCall(group, true), r, wire.DRPCControlClient.Claim)
}

// Pin creates or moves the pin of a session. A request without a version reads it.
func (c *Client) Pin(ctx context.Context, r *wire.PinRequest) (*wire.PinReply, error) {
	group := c.dataGroup(r.Account, state.PinKey(r.Service, r.Session))
	return invoke(ctx, c, c.shortCall(group, r.Version != ""), r, wire.DRPCControlClient.Pin)
}

// Charge records the charge of a request. A repeated call does not charge again.
func (c *Client) Charge(ctx context.Context, r *wire.ChargeRequest) (*wire.ChargeReply, error) {
	return invoke(ctx, c, c.shortCall(c.dataGroup(r.Account, r.Request), true), r, wire.DRPCControlClient.Charge)
}

// Ledger returns the totals and the latest charges of all data groups.
func (c *Client) Ledger(ctx context.Context, r *wire.LedgerRequest) (*wire.LedgerReply, error) {
	sum := &wire.LedgerReply{}
	for g := range c.options.DataGroups {
		q := proto.CloneOf(r)
		q.Group = g + 1
		reply, err := invoke(ctx, c, c.shortCall(q.Group, false), q, wire.DRPCControlClient.Ledger)
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

// addTotals adds totals to those of the same account and service.
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
