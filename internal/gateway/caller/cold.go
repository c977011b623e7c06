package caller

import (
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// maxPermitWait is how long a request waits for a permit where all upstreams are cold, a quarter of its
// remaining time at most.
const maxPermitWait = 300 * time.Millisecond

// pickWarming selects a cold upstream for which this instance holds a permit. Permits are valid for a moment
// only: one that the next request leaves is lost, and with it the traffic that a cold upstream may get.
func (q *request) pickWarming(candidates []balancer.Candidate, isCanary bool, excluded []string) (c balancer.Candidate, p permit.Permit, ok bool) {
	if len(q.cold) == 0 {
		return c, p, false
	}
	var permitted []balancer.Candidate
	for _, c := range candidates {
		if q.cold[c.ID] && q.View.HasPermit(c.ID, c.Born) {
			permitted = append(permitted, c)
		}
	}
	if c, ok = q.pick(permitted, isCanary, excluded); ok {
		p, ok = q.View.TakePermit(c.ID, c.Born)
	}
	return c, p, ok
}

// awaitPermit waits until a cold upstream may have a permit again. It returns false if the request has waited
// long enough, or the permit comes too late for it.
func (q *request) awaitPermit() bool {
	now := q.Timer.Now()
	if q.permitDeadline == 0 {
		q.permitDeadline = now.Add(min(maxPermitWait, q.remaining()/4))
	}
	if q.permitWait > q.permitDeadline.Sub(now) {
		return false
	}
	defer q.waitingForRoom.Add(-1)
	if q.waitingForRoom.Add(1) > maxWaitingForRoom {
		return false
	}
	q.metrics.ColdWaits.Add(1)
	q.log("waits for a permit of a cold upstream", zap.Duration("wait", q.permitWait), zap.Int("cold", len(q.cold)))
	return timer.Sleep(q.ctx, q.Timer, q.permitWait) == nil
}

// connectionBroke records that a connection to the upstream has ended before its time.
func (e *exchange) connectionBroke() { e.View.SuspectBroken(e.target.ID, e.target.Born) }
