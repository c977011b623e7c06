package control

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// claimModel is the sequential model of claims, partitioned by key, without takeovers.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(*wire.ClaimRequest).Key
			byKey[k] = append(byKey[k], o)
		}
		var out [][]porcupine.Operation
		for _, h := range byKey {
			out = append(out, h)
		}
		return out
	},
	Init: func() any { return claimState{} },
	Step: func(state, input, output any) (bool, any) {
		s, r := state.(claimState), input.(*wire.ClaimRequest)
		next, won := s.next(r)
		reply := output.(*wire.ClaimReply)
		// A call whose outcome is unknown may take effect at any later time.
		return reply == nil || reply.Won == won && reply.Phase == next.phase && reply.Owner == next.owner, next
	},
}

// claimState is the state of one claim.
type claimState struct {
	phase wire.Phase
	owner string
}

func (s claimState) next(r *wire.ClaimRequest) (next claimState, won bool) {
	switch {
	case r.Step == wire.Step_STEP_OPEN && s.phase == wire.Phase_PHASE_NONE:
		return claimState{wire.Phase_PHASE_OPEN, r.Owner}, true
	case r.Step == wire.Step_STEP_DISPATCH && s == claimState{wire.Phase_PHASE_OPEN, r.Owner}:
		return claimState{wire.Phase_PHASE_DISPATCHING, r.Owner}, true
	case r.Step == wire.Step_STEP_FINISH && s == claimState{wire.Phase_PHASE_DISPATCHING, r.Owner}:
		return claimState{wire.Phase_PHASE_DONE, r.Owner}, true
	}
	return s, false
}

// claimer makes claim calls until the end and records their outcomes.
type claimer struct {
	client  *Client
	clock   timer.Service
	id      int
	history []porcupine.Operation
	end     timer.Instant
}

// run competes with the other claimers for one key after the other.
func (c *claimer) run() {
	for n := 0; c.clock.Now().Before(c.end); n++ {
		key := fmt.Sprint("k", int64(c.clock.Now())/int64(20*time.Millisecond))
		owner := fmt.Sprint("o", c.id, "-", n)
		for _, s := range []wire.Step{wire.Step_STEP_OPEN, wire.Step_STEP_DISPATCH, wire.Step_STEP_READ, wire.Step_STEP_FINISH, wire.Step_STEP_DISPATCH} {
			c.call(&wire.ClaimRequest{Account: "acme", Key: key, Owner: owner, Epoch: 1, Step: s})
		}
	}
}

func (c *claimer) call(r *wire.ClaimRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	began := int64(c.clock.Now())
	reply, err := c.client.Claim(ctx, r)
	ended := int64(c.clock.Now())
	switch {
	case errors.Is(err, ErrUnavailable):
		return // nothing was done
	case errors.Is(err, ErrOutcomeUnknown):
		reply, ended = nil, math.MaxInt64
	}
	c.history = append(c.history, porcupine.Operation{ClientId: c.id, Input: r, Output: reply, Call: began, Return: ended})
}

// Guards against a claim that two requests win, a claim that is lost, and a stale read from a
// former leader, while instances stop and restart.
func TestClaimsAreLinearizable(t *testing.T) {
	is := is.New(t)
	dc := newDiskCluster(t)
	dc.start(dc.addresses...)
	clock := timer.NewSystem()
	var claimers []*claimer
	var g sync.WaitGroup
	for id := range 6 {
		c := &claimer{client: dc.client(is, "secret"), clock: clock, id: id, end: timer.Instant(6 * time.Second)}
		claimers = append(claimers, c)
		g.Go(c.run)
	}
	for _, a := range dc.addresses {
		time.Sleep(1200 * time.Millisecond)
		dc.stop(a)
		time.Sleep(200 * time.Millisecond)
		dc.start(a)
	}
	g.Wait()
	var history []porcupine.Operation
	for _, c := range claimers {
		history = append(history, c.history...)
	}
	t.Log(len(history), "calls")
	is.True(len(history) > 100)
	is.Equal(porcupine.CheckOperationsTimeout(claimModel, history, 30*time.Second), porcupine.Ok)
}
