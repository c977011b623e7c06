package caller

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/fleet/slot"
	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
)

const (
	// maxRoomWait is how long a request waits until a brittle upstream has room for it, a
	// quarter of its remaining time at most.
	maxRoomWait = 150 * time.Millisecond
	// maxWaitingForRoom limits the requests of this instance that wait so: each of them looks for
	// room again whenever a request ends.
	maxWaitingForRoom = 32
	// minLeaseWait is how long a request waits for a lease at least, whatever it has waited before: the leader
	// takes a few milliseconds to answer even if a slot is free.
	minLeaseWait = 30 * time.Millisecond
	// maxLeaseCandidates limits the upstreams that a request names to the leader, which chooses one with a
	// free slot.
	maxLeaseCandidates = 8
)

// leaseSlot waits for a lease of a slot, of the selected upstream or of another one that needs one too, if the
// upstream is brittle. Without a lease, an upstream that needs none is selected if there is one.
func (q *request) leaseSlot(target balancer.Candidate, p permit.Permit, candidates []balancer.Candidate, isCanary bool, excluded []string) (
	c balancer.Candidate, granted permit.Permit, l slot.Lease, ok bool,
) {
	if !q.Balancer.NeedsLease(target, candidates) {
		return target, p, slot.Lease{}, true
	}
	leasable, sound := q.leaseCandidates(target, p, candidates, excluded)
	patience := min(max(q.roomPatience(), minLeaseWait), slot.MaxPatience)
	defer q.waitingForRoom.Add(-1)
	if q.waitingForRoom.Add(1) <= maxWaitingForRoom {
		upstreams := make([]slot.Upstream, 0, len(leasable))
		for _, c := range leasable {
			upstreams = append(upstreams, slot.Upstream{ID: c.ID, Born: c.Born})
		}
		if l, q.leaseWait, ok = q.View.AcquireSlot(q.ctx, upstreams, q.remaining(), patience); ok {
			i := slices.IndexFunc(leasable, func(c balancer.Candidate) bool { return c.ID == l.Upstream.ID })
			return leasable[i], p, l, true
		}
	}
	q.noRoom = true
	if c, ok = q.pick(sound, isCanary, excluded); ok {
		granted, ok = q.View.TakePermit(c.ID, c.Born)
	}
	return c, granted, slot.Lease{}, ok
}

// leaseCandidates returns the selected upstream and others with slots to lease, and those that need no lease. A
// permit is for the selected upstream alone.
func (q *request) leaseCandidates(target balancer.Candidate, p permit.Permit, candidates []balancer.Candidate, excluded []string) (leasable, sound []balancer.Candidate) {
	needed, sound := q.Balancer.SplitByLease(q.Balancer.Available(target, candidates, excluded), candidates)
	for _, c := range needed {
		if c.ID == target.ID || len(leasable) < maxLeaseCandidates && !p.Limited() && !q.View.RateLimited(c.ID, c.Born) {
			leasable = append(leasable, c)
		}
	}
	return leasable, sound
}

// roomPatience returns how long the request still waits for room at brittle upstreams.
func (q *request) roomPatience() time.Duration {
	now := q.Timer.Now()
	if q.roomDeadline == 0 {
		q.roomDeadline = now.Add(min(maxRoomWait, q.remaining()/4))
	}
	return q.roomDeadline.Sub(now)
}

// checkLease checks that the request has a lease that is still valid if its upstream is brittle. After a refusal
// the leader leases fewer slots, so that a lease from before may be one too many.
func (e *exchange) checkLease() error {
	switch {
	case !e.lease.Held():
		if !e.Balancer.NeedsLease(e.target, e.candidates) {
			return nil
		}
	case e.lease.Valid(e.Timer.Now()) && !e.Balancer.RefusedSince(e.target.ID, e.sentAt):
		return nil
	}
	e.placeAgain = true
	return errNoLease
}

// awaitRoom waits until a request to an upstream that is short of room has ended, or until the first
// upstream takes requests again if all pause. It returns false if there is nothing to wait for or
// the request has waited long enough.
func (q *request) awaitRoom(candidates []balancer.Candidate, excluded []string) bool {
	if wait, ok := q.Balancer.PauseEnd(candidates); ok {
		return q.awaitPauseEnd(wait, len(excluded) > 0)
	}
	if q.permitWait > 0 && len(q.cold) > 0 {
		return q.awaitPermit()
	}
	left := slices.DeleteFunc(slices.Clone(candidates), func(c balancer.Candidate) bool { return slices.Contains(excluded, c.ID) })
	if wait, ok := q.Balancer.PauseTurn(left); ok && q.permitWait == 0 && wait < q.turnPatience() {
		return q.awaitTurn(wait)
	}
	if !slices.ContainsFunc(left, q.Balancer.ShortOfRoom) {
		return false
	}
	q.noRoom = true
	patience := q.roomPatience()
	if patience <= 0 {
		return false
	}
	vacated, _ := q.awaitVacated(patience)
	return vacated
}

// awaitVacated waits until a request to any upstream has ended, or for a time. ok is false if too many
// others wait or the request has ended.
func (q *request) awaitVacated(limit time.Duration) (vacated, ok bool) {
	defer q.waitingForRoom.Add(-1)
	if q.waitingForRoom.Add(1) > maxWaitingForRoom {
		return false, false
	}
	ended, expired := q.Balancer.Vacated(), make(chan struct{})
	stop := q.Timer.AfterFunc(limit, func() { close(expired) })
	defer stop()
	select {
	case <-ended:
		return true, true
	case <-expired:
		return false, true
	case <-q.ctx.Done():
		return false, false
	}
}

// readCondition reads whether the upstream is brittle. A response that does not state it ends that
// if the request was sent when it was known.
func (e *exchange) readCondition() {
	if e.response.Status == http.StatusMisdirectedRequest {
		return // of another upstream
	}
	value := e.response.Header.Get(e.Protocol.Brittle)
	if value == "" {
		if e.response.Header.Get(e.Protocol.Signature) != "" {
			e.Balancer.ReportSound(e.target.ID)
		}
		if e.brittle && e.response.Header.Get(e.Protocol.Signature) != "" && e.Balancer.SetBrittle(e.target.ID, false) {
			e.log("upstream is no longer brittle", zap.String("upstream", e.target.ID))
			e.View.RecordCondition(e.target.ID, false, 0, 0)
		}
		return
	}
	tolerated, err := strconv.ParseFloat(value, 64)
	if err != nil || !(tolerated >= 0) {
		e.log("upstream states an invalid number of refusals", zap.String("upstream", e.target.ID), zap.String("value", value))
		return
	}
	changed, refusals := e.Balancer.SetBrittle(e.target.ID, true), 0
	if e.response.Header.Get(e.Protocol.NotExecuted) != "" {
		refusals = 1
	}
	if changed {
		e.log("upstream is brittle", zap.String("upstream", e.target.ID), zap.Float64("tolerated", tolerated))
	}
	if changed || refusals > 0 {
		e.View.RecordCondition(e.target.ID, true, int(min(tolerated, maxTolerated)), refusals)
	}
}

// maxTolerated bounds the number that is passed on to other instances.
const maxTolerated = 1 << 30
