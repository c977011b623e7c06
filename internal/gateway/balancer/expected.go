package balancer

import (
	"math"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Where upstreams are inference engines, the score of an upstream is the expected time until it emits the
// first event of a request, in units of RunningDelay.
const (
	// RunningDelay is by how much each running request delays the first event of another one: measured on
	// engines of 16 slots.
	RunningDelay = 20 * time.Millisecond
	// firstWaiting and furtherWaiting are the delays of prompts that wait to be read: measured as 330 ms
	// for the first, since one that is being read and not counted is ahead of it, and 80 ms for each further.
	firstWaiting   = 16.0
	furtherWaiting = 4.0
	// MeanReading is the delay of a prompt of mean length that this instance has sent since the report.
	MeanReading = furtherWaiting
	// slowdownSmoothing is the weight of the newest report of how long work takes, which changes many
	// times a second, and slowdownHalfLife the age at which it counts half.
	slowdownSmoothing = 0.25
	slowdownHalfLife  = 5 * time.Second
	// usualSlowdown is the report of an upstream on which work takes as long as usual. Reports outside of
	// the bounds are not believed.
	usualSlowdown = 100
	minSlowdown   = 20
	maxSlowdown   = 2000
	// A light request goes to the heavy part if the mean score of its own part exceeds overflowFactor times
	// that of the heavy one plus overflowMargin, and the upstream there has reported within
	// overflowReportAge that nothing waits: while it reads a long prompt, it sends no report.
	overflowFactor    = 1.5
	overflowMargin    = firstWaiting / 2
	overflowReportAge = 300 * time.Millisecond
	// maxUnreachable is the number of unreachable upstreams after which a request goes to any part:
	// its own may be lost, and it has few tries.
	maxUnreachable = 2
)

// Parts separates the upstreams for requests that take long to read from those for all others.
type Parts interface {
	// Heavy reports whether an upstream is for the requests that take long to read.
	Heavy(id, zone string) bool
}

// Request is what the choice of an upstream depends on.
type Request struct {
	Prefix Prefix
	// Reading is the delay of other requests while an engine reads the prompt, in units of RunningDelay, and
	// PrefixReading the part of it that is saved where the prefix is cached. Reading is 0 if the upstreams
	// are no engines.
	Reading, PrefixReading float64
	// Bytes is the size of the request and its response.
	Bytes float64
	// Parts is nil if all upstreams are for all requests. Heavy tells whether the request takes long to read.
	Parts Parts
	Heavy bool
}

// usesEngine reports whether the upstreams are inference engines.
func (r *Request) usesEngine() bool { return r.Reading > 0 }

// Placement tells why an upstream was selected.
type Placement struct {
	// Expected is the expected time to the first event, 0 if the upstreams are no engines.
	Expected time.Duration
	// Parted is true if the upstreams were separated, and Overflow if the upstream is of the other part.
	Parted, Overflow bool
}

// PickFor selects one of the candidates. It returns false if all are excluded.
func (b *Balancer) PickFor(candidates []Candidate, r Request, excluded []string) (c Candidate, p Placement, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	usable, backedOff := b.partition(candidates, excluded, now)
	if len(usable) == 0 {
		usable = backedOff
	}
	if len(usable) == 0 {
		return c, p, false
	}
	b.rate(usable, r.usesEngine(), now)
	own, others := b.separate(usable, r, excluded, now)
	c = b.pickWithin(own, r)
	p.Parted = len(others) > 0
	if p.Parted && !r.Heavy {
		var other Candidate
		if other, p.Overflow = b.overflow(own, others, now); p.Overflow {
			c = other
		}
	}
	if r.usesEngine() {
		p.Expected = time.Duration(c.score * float64(RunningDelay))
	}
	c.score = 0
	return c, p, true
}

// separate reorders the candidates and returns those of the request's part and the others. If no upstream
// of the part is heard of, or the request found maxUnreachable of the excluded ones unreachable, all
// candidates are returned as the part.
func (b *Balancer) separate(usable []Candidate, r Request, excluded []string, now timer.Instant) (own, others []Candidate) {
	unreachable := 0
	for _, id := range excluded {
		if now.Before(b.state(id).backoffUntil) {
			unreachable++
		}
	}
	if r.Parts == nil || unreachable >= maxUnreachable {
		return usable, nil
	}
	n, heard := 0, false
	for i := range usable {
		if r.Parts.Heavy(usable[i].ID, usable[i].Zone) == r.Heavy {
			heard = heard || !usable[i].HeartbeatsMissed
			usable[n], usable[i] = usable[i], usable[n]
			n++
		}
	}
	if !heard {
		return usable, nil
	}
	return usable[:n], usable[n:]
}

// overflow returns an upstream of the heavy part in the zone for a light request whose part is clearly more loaded
// there.
func (b *Balancer) overflow(own, others []Candidate, now timer.Instant) (c Candidate, ok bool) {
	if local, _ := b.splitByZone(others); len(local) > 0 {
		others = local
	}
	if local, _ := b.splitByZone(own); len(local) > 0 {
		own = local
	}
	if meanScore(own) <= overflowFactor*meanScore(others)+overflowMargin {
		return c, false
	}
	c = b.pickByLoad(others)
	s := b.state(c.ID)
	idle := s.waiting == 0 && s.reading == 0 && s.reportedAt != 0 && now.Sub(s.reportedAt) <= overflowReportAge
	return c, idle && !c.HeartbeatsMissed
}

// meanScore returns the mean score of candidates.
func meanScore(candidates []Candidate) float64 {
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].score
	}
	return sum / float64(len(candidates))
}

// BeginReading records that a prompt was sent to an engine, with the Reading of its request. EndReading
// must follow when its response has started or its request is done.
func (b *Balancer) BeginReading(id string, reading float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).reading += reading
}

// EndReading records that an engine has read a prompt. An engine reads in the order of arrival, so
// that the prompt is one of those that a report counts, if it counts any.
func (b *Balancer) EndReading(id string, reading float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.reading -= reading
	s.readingAtReport = max(s.readingAtReport-reading, 0)
	if s.pending == 0 || s.reading < 0 {
		s.reading, s.readingAtReport = 0, 0 // drops rounding errors
	}
}

// ReportRelayed records a load that an upstream reported to another instance, and how long work takes there.
func (b *Balancer) ReportRelayed(id string, running, waiting, slowdown int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, s := b.timer.Now(), b.state(id)
	s.setRelayedLoad(running, waiting, now)
	s.setSlowdown(slowdown, now)
}

// ReportSlowdown records how long work takes at an upstream, 100 as usual. Other values than plausible ones
// count as that.
func (b *Balancer) ReportSlowdown(id string, slowdown int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).setSlowdown(slowdown, b.timer.Now())
}

// setSlowdown stores a reported slowdown.
func (s *upstreamState) setSlowdown(slowdown int, now timer.Instant) {
	if slowdown < minSlowdown || slowdown > maxSlowdown {
		slowdown = usualSlowdown
	}
	excess := s.currentSlowdown(now) - 1
	s.slowdownExcess = excess + slowdownSmoothing*(float64(slowdown)/usualSlowdown-1-excess)
	s.slowdownAt = now
}

// currentSlowdown returns how long work takes at the upstream relative to the usual time.
func (s *upstreamState) currentSlowdown(now timer.Instant) float64 {
	if s.slowdownExcess == 0 {
		return 1
	}
	return 1 + s.slowdownExcess*math.Exp2(-float64(now.Sub(s.slowdownAt))/float64(slowdownHalfLife))
}

// expectedDelay estimates the time to the first event at an engine from its last report and from the requests
// that this instance has sent since.
func (s *upstreamState) expectedDelay(now timer.Instant) float64 {
	own := float64(s.inflight) + s.reading
	if s.reportedAt == 0 {
		return own * s.currentSlowdown(now)
	}
	queue := firstWaiting * s.waiting
	if s.waiting > 1 {
		queue = firstWaiting + furtherWaiting*(s.waiting-1)
	}
	reported := agedLoad(s.running+queue, now.Sub(s.reportedAt))
	sinceReport := float64(s.inflight-s.inflightAtReport) + s.reading - s.readingAtReport
	return max(reported+sinceReport, own) * s.currentSlowdown(now)
}

// agedLoad returns how much of a reported load still counts.
func agedLoad(reported float64, age time.Duration) float64 {
	for ; age > reportHalfLife; age -= reportHalfLife {
		reported /= 2
		if reported < 1 {
			break
		}
	}
	return reported
}
