// Package balancer selects the upstream of each request. It accounts for load reports
// that are delayed and read by many instances at once, for prompt prefixes that
// only some upstreams have cached, and for upstreams that fail while they report to be
// healthy. It does no I/O; the time and the source of randomness are passed in.
package balancer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Loads are weighted numbers of requests, and scores are loads with penalties.
const (
	// pendingWeight is the load of a request of this instance whose response has not
	// started: its prompt is still to be processed, which delays all others at the upstream.
	pendingWeight = 2.0
	// queuedWeight is the load of a request in the upstream's queue.
	queuedWeight = 2.0
	// An upstream is selected because it has the prompt prefix cached only if its score is
	// at most affinityLoadFactor times the mean plus affinityLoadMargin.
	affinityLoadFactor = 1.3
	affinityLoadMargin = 3.0
	// minLocalCandidates is the number of upstreams in the instance's availability zone
	// from which these are preferred, unless their mean score exceeds localLoadFactor times
	// that of all upstreams plus localLoadMargin.
	minLocalCandidates = 3
	localLoadFactor    = 1.3
	localLoadMargin    = 2.0
	// An upstream of another zone is selected if the score of the best local one exceeds
	// remoteLoadFactor times its own plus remoteLoadMargin.
	remoteLoadFactor = 1.25
	remoteLoadMargin = 2.0
	// longPrefixTokens is the length from which a shared prompt prefix has its place among the
	// upstreams of all zones. Reading that many tokens again takes an upstream longer than the
	// way to another zone, and costs more than the bytes of the request.
	longPrefixTokens = 2000
	// canaryFillRatio is the part of its slots up to which PickForCanary fills an upstream.
	canaryFillRatio = 0.6
	// reportHalfLife is the age from which a reported load counts half, and half again for
	// each further period.
	reportHalfLife = time.Second
	// ownReportPriority is how long a load reported to this instance is preferred to one
	// relayed from another instance. Relayed loads arrive about a reporting period and a
	// poll later.
	ownReportPriority = 700 * time.Millisecond
	// initialBackoff is how long an upstream is avoided after a failed connection. It
	// doubles with each further failure, up to maxBackoff.
	initialBackoff = 400 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// failureSmoothing is the weight of the newest outcome in the moving average of failures.
	failureSmoothing = 0.08
	// failurePenalty is how steeply the score of an upstream rises with the square of its
	// failure rate above minFailureRate. Lower rates add nothing: some requests fail at any
	// upstream, and at low load the smallest difference would decide every selection.
	failurePenalty = 12.0
	minFailureRate = 0.15
	// failureHalfLife is the time in which a failure rate halves without new outcomes, so
	// that an upstream that failed is tried again.
	failureHalfLife = 4 * time.Second
	// maxTracked is the number of tracked upstreams at which the idle ones are evicted first,
	// since some of them may no longer exist.
	maxTracked = 4096
	// coldLoadFactor scales the load of an upstream that is slow after its start.
	coldLoadFactor = 1.6
	// missedHeartbeatPenalty is the load added to an upstream that missed its heartbeats.
	missedHeartbeatPenalty = 50
	// refusalQueueGrowth scales the queue length assumed of an upstream that refused a request.
	refusalQueueGrowth = 1.5
)

// Candidate is one upstream that may serve the request.
type Candidate struct {
	ID      string
	Born    int64 // incarnation
	Address string
	Zone    string // availability zone
	Version string // software version
	Slots   int    // number of requests that the upstream runs at once
	// HeartbeatsMissed is true if recent heartbeats of the upstream did not arrive.
	HeartbeatsMissed bool
	// Cold is true if the upstream is still slow after its start.
	Cold bool

	score float64 // while one is selected; see rate
}

// Outcome is the result of a request sent to an upstream.
type Outcome int

// Outcomes.
const (
	// Succeeded means that the upstream returned a valid response.
	Succeeded Outcome = iota
	// Failed means that the upstream returned an error response.
	Failed
	// Interrupted means that the request was sent and no complete, valid response arrived.
	Interrupted
	// Unreachable means that no connection could be opened, or that another upstream uses
	// the address now.
	Unreachable
	// Refused means that the upstream refused to run the request.
	Refused
	// Inconclusive means that the result says nothing about the upstream, for example
	// because the caller disconnected.
	Inconclusive
)

// upstreamState is what one instance knows about an upstream.
type upstreamState struct {
	// running and waiting are the load of the last report, and reportedAt its time, or 0 if
	// there was none.
	running, waiting float64
	reportedAt       timer.Instant
	// inflightAtReport is the value of inflight when the load was reported.
	inflightAtReport int
	inflight         int // requests of this instance that are not done
	pending          int // those of them whose response has not started
	// reading is the delay by the prompts of these, and readingAtReport that of those that the last
	// report counts; see Request.Reading.
	reading, readingAtReport float64
	slowdownExcess           float64 // of the time that work takes, relative to the usual one, at slowdownAt
	slowdownAt               timer.Instant
	failureRate              float64 // 0 to 1, at failureRateAt
	failureRateAt            timer.Instant
	connectFailures          int // failed connections in a row
	backoffUntil             timer.Instant
	brittle                  *brittleState // nil unless the upstream is brittle
	soundAt                  timer.Instant // last response without that statement while others made it
	pause                    *pause        // nil unless the upstream asked for one recently
}

// Balancer tracks the load and the health of upstreams as one instance sees them.
// It is safe for concurrent use.
type Balancer struct {
	// Zone is the availability zone of the instance.
	Zone string
	// Share returns how many of the slots of an upstream this instance may use while the upstream
	// is brittle. If nil, it may use all.
	Share func(upstream string, slots int) int
	// Leased reports whether the leader leases the slots of brittle upstreams, so that the shares do not
	// count. If nil, it does not.
	Leased func() bool
	// Instances returns the number of instances that may have been asked for the same pause. It is not
	// called with the mutex held. If nil, this is the only one.
	Instances func() int

	vacated   chan struct{} // closed and replaced when a request ends whose upstream may be short of room
	timer     timer.Service
	mu        sync.Mutex
	random    *rand.Rand
	upstreams map[string]*upstreamState
	// brittleCount is the number of brittle upstreams.
	brittleCount int
	evictAt      int // number of tracked upstreams at which the idle ones are evicted
}

// New returns a balancer, which must be the only user of random.
func New(zone string, t timer.Service, random *rand.Rand) *Balancer {
	return &Balancer{Zone: zone, timer: t, random: random, upstreams: map[string]*upstreamState{}, evictAt: maxTracked, vacated: make(chan struct{})}
}

// state returns the state of an upstream, a new one if the upstream is not tracked yet.
func (b *Balancer) state(id string) *upstreamState {
	s := b.upstreams[id]
	if s == nil {
		if len(b.upstreams) >= b.evictAt {
			b.evictIdle()
		}
		s = &upstreamState{}
		b.upstreams[id] = s
	}
	return s
}

// evictIdle drops the state of upstreams without a request in flight and without a time in which they
// want none. Those that still exist report their load again with their next response.
func (b *Balancer) evictIdle() {
	now := b.timer.Now()
	for id, s := range b.upstreams {
		if s.inflight == 0 && s.brittle == nil && (s.pause == nil || !now.Before(s.pause.end)) {
			delete(b.upstreams, id)
		}
	}
	b.evictAt = max(maxTracked, 2*len(b.upstreams))
}

// ReportLoad records a load that an upstream reported to this instance.
func (b *Balancer) ReportLoad(id string, running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.setLoad(running, waiting, b.timer.Now())
	s.readingAtReport = s.reading
}

// ReportRelayedLoad records a load that an upstream recently reported to another
// instance, unless this instance got a recent report itself.
func (b *Balancer) ReportRelayedLoad(id string, running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).setRelayedLoad(running, waiting, b.timer.Now())
}

// setRelayedLoad stores a load that was reported to another instance, unless there is a recent own report.
func (s *upstreamState) setRelayedLoad(running, waiting int, now timer.Instant) {
	if s.reportedAt != 0 && now.Sub(s.reportedAt) < ownReportPriority {
		return
	}
	s.setLoad(running, waiting, now)
	s.readingAtReport = 0 // the load is older than the prompts that are being read
}

// setLoad stores a reported load.
func (s *upstreamState) setLoad(running, waiting int, now timer.Instant) {
	s.running, s.waiting, s.reportedAt, s.inflightAtReport = float64(running), float64(waiting), now, s.inflight
}

// estimateLoad estimates the weighted number of requests at an upstream from its last
// report and from the requests that this instance has sent since.
func (b *Balancer) estimateLoad(s *upstreamState, now timer.Instant) float64 {
	own := float64(s.inflight) + pendingWeight*float64(s.pending)
	if s.reportedAt == 0 {
		return own
	}
	reported := agedLoad(s.running+queuedWeight*s.waiting, now.Sub(s.reportedAt))
	sinceReport := float64(s.inflight-s.inflightAtReport) + pendingWeight*float64(s.pending)
	return max(reported+sinceReport, own)
}

// currentFailureRate returns the failure rate, decayed since its last update.
func (s *upstreamState) currentFailureRate(now timer.Instant) float64 {
	return s.failureRate * math.Exp2(-float64(now.Sub(s.failureRateAt))/float64(failureHalfLife))
}

// score returns the estimated load of a candidate, for an engine the expected time to the first event,
// raised by penalties for failures, missed heartbeats and a recent start. Lower is better.
func (b *Balancer) score(c *Candidate, engine bool, now timer.Instant) float64 {
	s := b.state(c.ID)
	score := 0.0
	if engine {
		score = s.expectedDelay(now)
	} else {
		score = b.estimateLoad(s, now)
	}
	if c.Cold {
		score = score*coldLoadFactor + 1
	}
	excess := max(s.currentFailureRate(now)-minFailureRate, 0)
	score = (score + 1) * (1 + failurePenalty*excess*excess)
	if c.HeartbeatsMissed {
		score += missedHeartbeatPenalty
	}
	return score
}

// Utilization returns the mean load per slot of the candidates that are not backed off.
func (b *Balancer) Utilization(candidates []Candidate) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	load, slots := 0.0, 0
	for _, c := range candidates {
		s := b.state(c.ID)
		if now.Before(s.backoffUntil) {
			continue
		}
		load += b.estimateLoad(s, now)
		slots += c.Slots
	}
	if slots == 0 {
		return 0
	}
	return load / float64(slots)
}

// Prefix is the prompt prefix that a request shares with others.
type Prefix struct {
	Key    uint64 // hash of the prefix, or 0 if the request shares none
	Tokens int
}

// Pick is PickFor for a request of which only the prefix counts.
func (b *Balancer) Pick(candidates []Candidate, prefix Prefix, excluded []string) (c Candidate, ok bool) {
	c, _, ok = b.PickFor(candidates, Request{Prefix: prefix}, excluded)
	return c, ok
}

// rate sets the scores of the candidates.
func (b *Balancer) rate(usable []Candidate, engine bool, now timer.Instant) {
	for i := range usable {
		usable[i].score = b.score(&usable[i], engine, now)
	}
}

// pickWithin selects one of the upstreams of the request's part.
func (b *Balancer) pickWithin(usable []Candidate, r Request) Candidate {
	if r.usesEngine() {
		return b.pickEngine(usable, r)
	}
	local := b.preferLocal(usable)
	if r.Prefix.Key != 0 {
		near := local
		if r.Prefix.Tokens >= longPrefixTokens {
			near = usable
		}
		if c, ok := b.pickByAffinity(near, r); ok {
			return c
		}
	}
	best := b.pickByLoad(local)
	if len(local) == len(usable) {
		return best
	}
	if remote := b.pickByLoad(usable); best.score > remoteLoadFactor*remote.score+remoteLoadMargin {
		return remote
	}
	return best
}

// preferLocal returns the upstreams in the instance's availability zone if there are at
// least minLocalCandidates and they are not clearly more loaded than the average.
func (b *Balancer) preferLocal(usable []Candidate) []Candidate {
	var local []Candidate
	total, localTotal := 0.0, 0.0
	for _, c := range usable {
		total += c.score
		if c.Zone == b.Zone {
			local = append(local, c)
			localTotal += c.score
		}
	}
	if len(local) < minLocalCandidates {
		return usable
	}
	if localTotal/float64(len(local)) > localLoadFactor*total/float64(len(usable))+localLoadMargin {
		return usable
	}
	return local
}

// PickForCanary returns the first candidate of the request's part that is filled to less than
// canaryFillRatio, or else one with little load. It concentrates the small traffic share of a new version
// on few upstreams, so that the version is observed under the load it will carry later.
func (b *Balancer) PickForCanary(candidates []Candidate, r Request, excluded []string) (c Candidate, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	usable, _ := b.partition(candidates, excluded, now)
	if len(usable) == 0 {
		return c, false
	}
	own, _ := b.separate(usable, r, excluded, now)
	for _, c := range own {
		if b.estimateLoad(b.state(c.ID), now) < canaryFillRatio*float64(c.Slots) {
			return c, true
		}
	}
	b.rate(own, r.usesEngine(), now)
	c = b.pickByLoad(own)
	c.score = 0
	return c, true
}

// partition drops the excluded candidates and separates those that are backed off.
func (b *Balancer) partition(candidates []Candidate, excluded []string, now timer.Instant) (usable, backedOff []Candidate) {
	usable = make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		skip := false
		for _, id := range excluded {
			skip = skip || id == c.ID
		}
		switch {
		case skip || !b.hasRoom(c, now):
		case now.Before(b.state(c.ID).backoffUntil):
			backedOff = append(backedOff, c)
		default:
			usable = append(usable, c)
		}
	}
	return usable, backedOff
}

// pickByAffinity ranks the candidates for the key by rendezvous hashing and returns one of
// the two highest, or false if its load is well above the mean.
func (b *Balancer) pickByAffinity(usable []Candidate, r Request) (Candidate, bool) {
	var first, second Candidate
	var firstHash, secondHash uint64
	sum := 0.0
	for _, c := range usable {
		sum += c.score
		h := mixHash(r.Prefix.Key ^ xxhash.Sum64String(c.ID))
		switch {
		case h > firstHash:
			second, secondHash = first, firstHash
			first, firstHash = c, h
		case h > secondHash:
			second, secondHash = c, h
		}
	}
	best := first
	if secondHash > 0 {
		// The second is used only if it is clearly less loaded, since a prefix cached at two
		// upstreams takes twice the memory.
		if second.score+affinityLoadMargin < first.score {
			best = second
		}
	}
	return best, best.score <= sum/float64(len(usable))*affinityLoadFactor+max(affinityLoadMargin, r.PrefixReading)
}

// pickByLoad draws two candidates at random and returns the less loaded, so that
// instances with the same stale reports do not all select the same upstream. On a tie,
// one in the instance's availability zone is preferred.
func (b *Balancer) pickByLoad(usable []Candidate) Candidate {
	i := b.random.IntN(len(usable))
	if len(usable) == 1 {
		return usable[0]
	}
	j := b.random.IntN(len(usable) - 1)
	if j >= i {
		j++
	}
	first, second := usable[i], usable[j]
	x, y := first.score, second.score
	switch {
	case x < y:
		return first
	case y < x:
		return second
	case first.Zone != b.Zone && second.Zone == b.Zone:
		return second
	}
	return first
}

// mixHash spreads the bits of a hash (the finalizer of splitmix64).
func mixHash(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
