package balancer

import (
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// A brittle upstream fails if it has to refuse more than a few requests in a second, over all
// instances. Each instance therefore keeps to its share of the slots, so that all of them together
// do not fill the upstream, and a refusal stops all of them for a while.
const (
	// refusalPause is how long no request is sent to a brittle upstream after a refusal, and
	// refusalJitter the largest random addition, so that instances do not return at once.
	refusalPause  = time.Second
	refusalJitter = 2 * time.Second
	// refusalFactor scales the share after a refusal. It grows back to 1 in shareRecovery: some
	// upstreams have room for fewer requests than they have slots.
	refusalFactor = 0.5
	shareRecovery = 10 * time.Second
	// minReduction is the time between two reductions, since one refusal is heard of several times.
	minReduction = 500 * time.Millisecond
)

// brittleState is what an instance knows about a brittle upstream.
type brittleState struct {
	factor      float64 // of the share, at reducedAt
	reducedAt   timer.Instant
	pausedUntil timer.Instant
}

// SetBrittle records whether an upstream is brittle, and reports whether that is new.
func (b *Balancer) SetBrittle(id string, brittle bool) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	if (s.brittle != nil) == brittle {
		return false
	}
	s.brittle = nil
	if brittle {
		s.brittle = &brittleState{factor: 1}
	}
	return true
}

// ShortOfRoom reports whether a candidate is brittle or returns from a pause.
func (b *Balancer) ShortOfRoom(c Candidate) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(c.ID)
	return s.brittle != nil || s.pauseOf(c.Born) != nil
}

// Brittle reports whether an upstream is brittle.
func (b *Balancer) Brittle(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(id).brittle != nil
}

// ReportCondition records what another instance has heard: whether an upstream is brittle, and
// whether it has refused requests.
func (b *Balancer) ReportCondition(id string, brittle, refused bool) {
	b.SetBrittle(id, brittle)
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.state(id).brittle; s != nil && refused {
		b.reduce(s)
	}
}

// reduce pauses a brittle upstream and reduces the share of this instance. b.mu must be held.
func (b *Balancer) reduce(s *brittleState) {
	now := b.timer.Now()
	s.pausedUntil = max(s.pausedUntil, now.Add(refusalPause+time.Duration(b.random.Int64N(int64(refusalJitter)))))
	if s.reducedAt == 0 || now.Sub(s.reducedAt) >= minReduction {
		s.factor, s.reducedAt = s.currentFactor(now)*refusalFactor, now
	}
}

// currentFactor returns the factor of the share, grown since the last reduction.
func (s *brittleState) currentFactor(now timer.Instant) float64 {
	return min(1, s.factor+(1-s.factor)*float64(now.Sub(s.reducedAt))/float64(shareRecovery))
}

// hasRoom reports whether this instance may send another request to a candidate. The share is
// rounded up, so that some instance always finds out whether there is room again. b.mu must be held.
func (b *Balancer) hasRoom(c Candidate, now timer.Instant) bool {
	u := b.state(c.ID)
	if !u.pauseAllows(c, now) {
		return false
	}
	if u.brittle == nil {
		return true
	}
	if now.Before(u.brittle.pausedUntil) {
		return false
	}
	share := c.Slots
	if b.Share != nil {
		share = b.Share(c.ID, c.Slots)
	}
	return share > 0 && u.inflight < max(1, int(u.brittle.currentFactor(now)*float64(share)))
}

// spare returns the candidate for an instance that has no share of any, because there are more
// instances than slots: a random one, for one request at a time. b.mu must be held.
func (b *Balancer) spare(candidates []Candidate, now timer.Instant) (out []Candidate) {
	for _, c := range candidates {
		if !b.hasNoShare(c) || b.state(c.ID).inflight > 0 {
			return nil
		}
		if b.isSpare(c, now) {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return nil
	}
	i := b.random.IntN(len(out))
	return out[i : i+1]
}

// hasNoShare reports whether a candidate is brittle and this instance has no share of it. b.mu must
// be held.
func (b *Balancer) hasNoShare(c Candidate) bool {
	return b.state(c.ID).brittle != nil && b.Share != nil && b.Share(c.ID, c.Slots) <= 0
}

// isSpare reports whether a candidate takes the one request of an instance without a share of it.
// b.mu must be held.
func (b *Balancer) isSpare(c Candidate, now timer.Instant) bool {
	u := b.state(c.ID)
	return b.hasNoShare(c) && u.inflight == 0 && !now.Before(u.brittle.pausedUntil) && u.pauseAllows(c, now)
}

// Vacated returns a channel that is closed when a request ends whose upstream is brittle or has asked
// for a pause.
func (b *Balancer) Vacated() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.vacated
}
