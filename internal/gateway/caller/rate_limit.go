package caller

import (
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
)

const (
	// maxBorrows limits the upstreams from which a request without another one asks for a permit,
	// one after the other.
	maxBorrows = 4
	// minPermitRetry is the shortest Retry-After of a request that found no permit.
	minPermitRetry = 100 * time.Millisecond
)

// pickPermitted selects an upstream to which the request may be sent now. If the preferred one
// states a limit and this instance holds no permit, another one is taken, and a permit is asked
// for, for a later request. Without another one the request waits for the leader's answer.
func (q *request) pickPermitted(candidates []balancer.Candidate, isCanary bool, excluded []string) (c balancer.Candidate, p permit.Permit, ok bool) {
	q.permitWait = 0
	if c, p, ok = q.pickWarming(candidates, isCanary, excluded); ok {
		return c, p, true
	}
	preferred, ok := q.pick(candidates, isCanary, excluded)
	if !ok {
		return preferred, permit.Permit{}, false
	}
	if p, ok = q.View.TakePermit(preferred.ID, preferred.Born); ok {
		return preferred, p, true
	}
	var permitted []balancer.Candidate
	for _, c := range candidates {
		if q.View.HasPermit(c.ID, c.Born) {
			permitted = append(permitted, c)
		}
	}
	if c, ok = q.pick(permitted, isCanary, excluded); ok {
		if p, ok = q.View.TakePermit(c.ID, c.Born); ok {
			q.View.RequestPermit(preferred.ID, preferred.Born)
			return c, p, true
		}
	}
	return q.borrowPermit(candidates, isCanary, excluded)
}

// borrowPermit asks for a permit for one upstream after the other, the preferred ones first.
func (q *request) borrowPermit(candidates []balancer.Candidate, isCanary bool, excluded []string) (c balancer.Candidate, p permit.Permit, ok bool) {
	excluded = slices.Clone(excluded)
	for range maxBorrows {
		if c, ok = q.pick(candidates, isCanary, excluded); !ok || q.ctx.Err() != nil {
			break
		}
		wait := q.View.BorrowPermit(q.ctx, c.ID, c.Born)
		if p, ok = q.View.TakePermit(c.ID, c.Born); ok {
			return c, p, true
		}
		if q.permitWait == 0 || wait < q.permitWait {
			q.permitWait = max(wait, 1)
		}
		excluded = append(excluded, c.ID)
	}
	return balancer.Candidate{}, permit.Permit{}, false
}

// pick selects an upstream that is not excluded, whatever it limits.
func (q *request) pick(candidates []balancer.Candidate, isCanary bool, excluded []string) (c balancer.Candidate, ok bool) {
	r := q.balancerRequest()
	if isCanary {
		if c, ok = q.Balancer.PickForCanary(candidates, r, excluded); ok {
			q.placed = balancer.Placement{}
			return c, true
		}
	}
	c, q.placed, ok = q.Balancer.PickFor(candidates, r, excluded)
	return c, ok
}

// readLimit reads the limit that the upstream states in the head of its response. A response
// without one lifts the limit if the request was sent when the limit was known.
func (e *exchange) readLimit() {
	if e.response.Status == http.StatusMisdirectedRequest {
		return // of another upstream
	}
	value := e.response.Header.Get(e.Protocol.RateLimit)
	if value == "" {
		if e.limited && e.response.Header.Get(e.Protocol.Signature) != "" {
			e.View.LiftLimit(e.target.ID, e.target.Born)
		}
		return
	}
	rate, err := permit.ParseRate(value)
	if err != nil {
		e.log("upstream states an invalid limit", zap.String("upstream", e.target.ID), journal.Error(err))
		return
	}
	e.View.RecordLimit(e.target.ID, permit.Limit{Born: e.target.Born, Rate: rate})
}
