package balancer

import (
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// pauseRamp is the time after a pause in which requests return a few at a time: one at first,
	// and another one at once for each pauseRampStep.
	pauseRamp     = time.Second
	pauseRampStep = 100 * time.Millisecond
	// Instances that heard of a pause at the same time return one after the other, so that their
	// first requests fill returnFill of the slots in each pauseRampStep, within maxReturnSpread.
	returnFill      = 0.25
	maxReturnSpread = 2 * time.Second
)

// pause is the time in which an incarnation of an upstream wants no requests of this instance.
type pause struct {
	born  int64
	begin timer.Instant
	end   timer.Instant
	// instances is the number of instances that may have been asked, and turn when this one returns
	// after the end, as a fraction of the spread.
	instances int
	turn      float64
	endSeen   bool // PauseOver has reported the end
}

// Pause stops requests to an incarnation of an upstream for some time, unless a longer pause has
// begun or a later incarnation has asked for one. It returns for how long the incarnation has been
// pausing.
func (b *Balancer) Pause(id string, born int64, d time.Duration) (since time.Duration) {
	instances := 1
	if b.Instances != nil {
		instances = b.Instances()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.state(id), b.timer.Now()
	begin, end := now, now.Add(d)
	if p := s.pauseOf(born); p != nil && now.Before(p.end) {
		begin = p.begin
	}
	if p := s.pause; p == nil || p.born < born || p.born == born && p.end.Before(end) {
		s.pause = &pause{born: born, begin: begin, end: end, instances: instances, turn: b.random.Float64()}
	}
	return now.Sub(begin)
}

// pauseOf returns the pause that an incarnation has asked for, or nil.
func (s *upstreamState) pauseOf(born int64) *pause {
	if s.pause == nil || s.pause.born != born {
		return nil
	}
	return s.pause
}

// returnAt returns when requests of this instance return to the candidate that has asked for the pause.
func (p *pause) returnAt(c Candidate) timer.Instant {
	if p.instances < 2 {
		return p.end
	}
	steps := float64(p.instances) / (returnFill * float64(max(c.Slots, 1)))
	spread := min(time.Duration(steps*float64(pauseRampStep)), maxReturnSpread)
	return p.end.Add(time.Duration(p.turn * float64(spread)))
}

// pauseAllows reports whether the pause of a candidate, if there was one, allows another request.
// b.mu must be held.
func (s *upstreamState) pauseAllows(c Candidate, now timer.Instant) bool {
	p := s.pauseOf(c.Born)
	if p == nil {
		return true
	}
	since := now.Sub(p.returnAt(c))
	if since >= pauseRamp {
		if p.endSeen {
			s.pause = nil
		}
		return true
	}
	return since >= 0 && s.inflight <= int(since/pauseRampStep)
}

// Closed returns how long an incarnation of an upstream wants no requests of this instance, whichever
// was selected before: because of a pause or, if it is brittle, of a refusal. 0 means that it takes
// requests.
func (b *Balancer) Closed(id string, born int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.upstreams[id], b.timer.Now()
	if s == nil {
		return 0
	}
	left := time.Duration(0)
	if p := s.pauseOf(born); p != nil {
		left = max(left, p.end.Sub(now))
	}
	if s.brittle != nil {
		left = max(left, s.brittle.pausedUntil.Sub(now))
	}
	return left
}

// PauseEnd returns when the first of the candidates takes requests again, if all of them pause.
func (b *Balancer) PauseEnd(candidates []Candidate) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	for _, c := range candidates {
		p := b.state(c.ID).pauseOf(c.Born)
		if p == nil {
			return 0, false
		}
		left := p.returnAt(c).Sub(now)
		if left <= 0 {
			return 0, false
		}
		if !ok || left < wait {
			wait, ok = left, true
		}
	}
	return wait, ok
}

// PauseTurn returns how long it takes until the ramp of one of the candidates after its pause admits another
// request, if none of its requests ends before. It returns false if none of them is in that ramp. A
// candidate that the ramp admits already was not selected for another reason, which may last: its wait
// is a step, so that a request doesn't try again without end.
func (b *Balancer) PauseTurn(candidates []Candidate) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	for _, c := range candidates {
		s := b.state(c.ID)
		p := s.pauseOf(c.Born)
		if p == nil {
			continue
		}
		back := p.returnAt(c)
		if now.Before(back) || !now.Before(back.Add(pauseRamp)) {
			continue
		}
		left := back.Add(min(time.Duration(s.inflight)*pauseRampStep, pauseRamp)).Sub(now)
		if left <= 0 {
			left = pauseRampStep
		}
		if !ok || left < wait {
			wait, ok = left, true
		}
	}
	return wait, ok
}

// PauseOver reports, once for each pause, that requests return to a candidate after it.
func (b *Balancer) PauseOver(c Candidate) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.state(c.ID).pauseOf(c.Born)
	if p == nil || p.endSeen || b.timer.Now().Before(p.returnAt(c)) {
		return false
	}
	p.endSeen = true
	return true
}
