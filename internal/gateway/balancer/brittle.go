package balancer

import (
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// A brittle upstream fails if it has to refuse more than a few requests in a second, over all
// instances. The leader leases its slots, one for each request (package slot). If the leader does not, each
// instance keeps to its share of the slots, so that all of them together do not fill the upstream, and a
// refusal stops all of them for a while.
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
	since       timer.Instant // when the instance learned of it
	refusedAt   timer.Instant // when the instance learned of the last refusal
	factor      float64       // of the share, at reducedAt
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
	if brittle {
		s.brittle = &brittleState{since: b.timer.Now(), factor: 1}
		b.brittleCount++
	} else {
		s.brittle = nil
		b.brittleCount--
	}
	return true
}

// ReportSound records a response of an upstream that does not state that it is brittle.
func (b *Balancer) ReportSound(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.brittleCount > 0 {
		b.state(id).soundAt = b.timer.Now()
	}
}

// NeedsLease reports whether a request to a candidate needs a lease of one of its slots: if it is brittle, or
// if it has not responded since another one of the service, all of which are among the candidates, became
// brittle. All upstreams of a service are brittle at the same time, and a new one has the lowest load of all.
func (b *Balancer) NeedsLease(c Candidate, all []Candidate) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	since, ok := b.brittleSince(all)
	return ok && b.needsLease(c, since)
}

// SplitByLease returns which of some candidates need a lease, and which do not.
func (b *Balancer) SplitByLease(some, all []Candidate) (needed, notNeeded []Candidate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since, ok := b.brittleSince(all)
	for _, c := range some {
		if ok && b.needsLease(c, since) {
			needed = append(needed, c)
		} else {
			notNeeded = append(notNeeded, c)
		}
	}
	return needed, notNeeded
}

// brittleSince returns when the last of the candidates became brittle, or false if none is or slots are not
// leased. b.mu must be held.
func (b *Balancer) brittleSince(all []Candidate) (since timer.Instant, ok bool) {
	if b.brittleCount == 0 || !b.leased() {
		return 0, false
	}
	for _, c := range all {
		if s := b.upstreams[c.ID]; s != nil && s.brittle != nil {
			since, ok = max(since, s.brittle.since), true
		}
	}
	return since, ok
}

// needsLease reports whether a candidate is brittle or has not responded since an instant. b.mu must be held.
func (b *Balancer) needsLease(c Candidate, since timer.Instant) bool {
	s := b.state(c.ID)
	return s.brittle != nil || s.soundAt == 0 || s.soundAt.Before(since)
}

// RefusedSince reports whether a brittle upstream has refused a request since an instant.
func (b *Balancer) RefusedSince(id string, since timer.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id).brittle
	return s != nil && since.Before(s.refusedAt)
}

// leased reports whether the leader leases the slots of brittle upstreams.
func (b *Balancer) leased() bool { return b.Leased != nil && b.Leased() }

// Available returns the candidates, without the excluded ones, to which requests may be sent if they have a
// slot, the preferred one first, the others in a random order.
func (b *Balancer) Available(preferred Candidate, candidates []Candidate, excluded []string) (out []Candidate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable, _ := b.partition(candidates, excluded, b.timer.Now())
	b.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	out = append(out, preferred)
	for _, c := range usable {
		if c.ID != preferred.ID {
			out = append(out, c)
		}
	}
	return out
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
	if s.refusedAt = now; b.leased() {
		return // the leader leases fewer slots
	}
	s.pausedUntil = max(s.pausedUntil, now.Add(refusalPause+time.Duration(b.random.Int64N(int64(refusalJitter)))))
	if s.reducedAt == 0 || now.Sub(s.reducedAt) >= minReduction {
		s.factor, s.reducedAt = s.currentFactor(now)*refusalFactor, now
	}
}

// currentFactor returns the factor of the share, grown since the last reduction.
func (s *brittleState) currentFactor(now timer.Instant) float64 {
	return min(1, s.factor+(1-s.factor)*float64(now.Sub(s.reducedAt))/float64(shareRecovery))
}

// hasRoom reports whether this instance may send another request to a candidate, with a lease if slots are
// leased. b.mu must be held.
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
	if b.leased() {
		return true
	}
	share := c.Slots
	if b.Share != nil {
		share = b.Share(c.ID, c.Slots)
	}
	return share > 0 && u.inflight < max(1, int(u.brittle.currentFactor(now)*float64(share)))
}

// Vacated returns a channel that is closed when a request ends whose upstream is brittle or has asked
// for a pause.
func (b *Balancer) Vacated() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.vacated
}
