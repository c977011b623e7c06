// Package balancer chooses the upstream of a request. It answers reports that lag and
// are read by many entries at once, prompt parts that only some upstreams hold, and
// upstreams that fail while they say that they are well. It sends nothing; time
// and randomness are given.
package balancer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// pendingWeight counts a request that this entry sent and that has not answered yet:
	// its prompt is still to be read, which delays all others at the upstream.
	pendingWeight = 2.0
	// waitingWeight counts a request in the upstream's queue.
	waitingWeight = 2.0
	// affinityFactor and affinityMargin bound how much more loaded than the mean an
	// upstream may be that holds the shared part of the prompt.
	affinityFactor = 1.3
	affinityMargin = 3.0
	// leastNear is the number of upstreams in the entry's availability zone from which
	// those are preferred, nearFactor and nearMargin how much more loaded they may be.
	leastNear  = 3
	nearFactor = 1.3
	nearMargin = 2.0
	// fillPart is the part of its slots up to which an upstream is filled by Fill.
	fillPart = 0.6
	// staleAfter is the age from which a stated load counts half, and again for each such span.
	staleAfter = time.Second
	// ownFor is how long a statement to this entry is preferred to those to others, which
	// arrive about a period of reports and a poll later.
	ownFor = 700 * time.Millisecond
	// shunFirst is how long an upstream is avoided after a failed connection; it doubles
	// with each further failure up to shunMost.
	shunFirst = 400 * time.Millisecond
	shunMost  = 8 * time.Second
	// gradeDecay is the weight of the newest result in the rate of failures.
	gradeDecay = 0.08
	// gradeWeight is the load that a failure rate of 1 adds, as a factor. Rates below
	// gradeFloor add nothing: some requests fail anywhere, and at low load the smallest
	// difference would decide every choice.
	gradeWeight = 12.0
	gradeFloor  = 0.15
	// gradeHalf is the time in which a failure rate halves without news, so that an
	// upstream that failed is tried again.
	gradeHalf = 4 * time.Second
	// maxMarks is the number of known upstreams from which those that left are dropped.
	maxMarks = 4096
	// coldFactor is the load factor of an upstream that is slow after its start.
	coldFactor = 1.6
)

// Candidate is one upstream that may serve the request.
type Candidate struct {
	ID      string
	Address string
	Zone    string
	Version string
	Slots   int
	// HeartbeatsMissed upstreams have missed their heartbeats.
	HeartbeatsMissed bool
	Cold             bool
}

// Outcome is what became of a dispatch.
type Outcome int

// Results.
const (
	// Succeeded is an answer.
	Succeeded Outcome = iota
	// Failed is an answer that is no success or cannot be trusted.
	Failed
	// Interrupted is an exchange that broke off.
	Interrupted
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Refused is a refusal by the upstream.
	Refused
	// Inconclusive tells nothing of the upstream, such as a caller that left.
	Inconclusive
)

type mark struct {
	running, waiting float64
	at               timer.Instant
	// base is the number of own requests in flight when the load was stated.
	base     int
	inflight int
	pending  int
	failures float64 // rate of failures, 0 to 1, at graded
	graded   timer.Instant
	misses   int // failed connections in a row
	shunned  timer.Instant
}

// Balancer keeps what one entry knows of the upstreams. It is safe for concurrent use.
type Balancer struct {
	// Zone is the availability zone of the entry.
	Zone string

	timer  timer.Service
	mu     sync.Mutex
	random *rand.Rand
	marks  map[string]*mark
}

// New returns a chooser; random is used by it alone.
func New(zone string, t timer.Service, random *rand.Rand) *Balancer {
	return &Balancer{Zone: zone, timer: t, random: random, marks: map[string]*mark{}}
}

func (c *Balancer) mark(id string) *mark {
	m := c.marks[id]
	if m == nil {
		if len(c.marks) >= maxMarks {
			c.forget()
		}
		m = &mark{}
		c.marks[id] = m
	}
	return m
}

// forget drops what is known of upstreams without a request in flight; those that are
// still there state their load again with their next answer.
func (c *Balancer) forget() {
	for id, m := range c.marks {
		if m.inflight == 0 {
			delete(c.marks, id)
		}
	}
}

// ReportLoad takes over a load that an upstream stated.
func (c *Balancer) ReportLoad(id string, running, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mark(id).state(running, waiting, c.timer.Now())
}

// ReportRelayedLoad takes over a load that an upstream stated to another entry a moment ago,
// unless this entry has a recent statement of its own.
func (c *Balancer) ReportRelayedLoad(id string, running, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, m := c.timer.Now(), c.mark(id)
	if m.at != 0 && now.Sub(m.at) < ownFor {
		return
	}
	m.state(running, waiting, now)
}

// state notes a load that the upstream stated.
func (m *mark) state(running, waiting int, now timer.Instant) {
	m.running, m.waiting, m.at, m.base = float64(running), float64(waiting), now, m.inflight
}

// load estimates the requests at an upstream.
func (c *Balancer) load(m *mark, now timer.Instant) float64 {
	own := float64(m.inflight) + pendingWeight*float64(m.pending)
	if m.at == 0 {
		return own
	}
	stated := m.running + waitingWeight*m.waiting
	for age := now.Sub(m.at); age > staleAfter; age -= staleAfter {
		stated /= 2
		if stated < 1 {
			break
		}
	}
	since := float64(m.inflight-m.base) + pendingWeight*float64(m.pending)
	return max(stated+since, own)
}

// rate returns the rate of failures now.
func (m *mark) rate(now timer.Instant) float64 {
	return m.failures * math.Exp2(-float64(now.Sub(m.graded))/float64(gradeHalf))
}

// score is the load with what speaks against the upstream.
func (c *Balancer) score(k Candidate, now timer.Instant) float64 {
	m := c.mark(k.ID)
	s := c.load(m, now)
	if k.Cold {
		s = s*coldFactor + 1
	}
	f := max(m.rate(now)-gradeFloor, 0)
	s = (s + 1) * (1 + gradeWeight*f*f)
	if k.HeartbeatsMissed {
		s += 50
	}
	return s
}

// Utilization returns the mean load per slot of the candidates.
func (c *Balancer) Utilization(candidates []Candidate) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	load, slots := 0.0, 0
	for _, k := range candidates {
		m := c.mark(k.ID)
		if now.Before(m.shunned) {
			continue
		}
		load += c.load(m, now)
		slots += k.Slots
	}
	if slots == 0 {
		return 0
	}
	return load / float64(slots)
}

// Pick chooses among the candidates, or returns false if all are excluded. key is
// the hash of what the request shares with others, 0 for nothing.
func (c *Balancer) Pick(candidates []Candidate, key uint64, excluded []string) (k Candidate, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	usable, shunned := c.split(candidates, excluded, now)
	if len(usable) == 0 {
		usable = shunned
	}
	if len(usable) == 0 {
		return k, false
	}
	usable = c.near(usable, now)
	if key != 0 {
		if k, ok := c.affine(usable, key, now); ok {
			return k, true
		}
	}
	return c.least(usable, now), true
}

// near returns the upstreams of the entry's availability zone if there are a few and
// they are not clearly more loaded than all.
func (c *Balancer) near(usable []Candidate, now timer.Instant) []Candidate {
	var local []Candidate
	all, own := 0.0, 0.0
	for _, k := range usable {
		s := c.score(k, now)
		all += s
		if k.Zone == c.Zone {
			local = append(local, k)
			own += s
		}
	}
	if len(local) < leastNear {
		return usable
	}
	if own/float64(len(local)) > nearFactor*all/float64(len(usable))+nearMargin {
		return usable
	}
	return local
}

// PickForCanary returns the first of the candidates whose load is below a part of its slots, or
// the least loaded. A new version that gets a small share is thus seen under a load
// that its upstreams will carry later.
func (c *Balancer) PickForCanary(candidates []Candidate, excluded []string) (k Candidate, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	usable, _ := c.split(candidates, excluded, now)
	if len(usable) == 0 {
		return k, false
	}
	for _, k := range usable {
		if c.load(c.mark(k.ID), now) < fillPart*float64(k.Slots) {
			return k, true
		}
	}
	return c.least(usable, now), true
}

// split separates the candidates that are avoided for now.
func (c *Balancer) split(candidates []Candidate, excluded []string, now timer.Instant) (usable, shunned []Candidate) {
	usable = make([]Candidate, 0, len(candidates))
	for _, k := range candidates {
		skip := false
		for _, id := range excluded {
			skip = skip || id == k.ID
		}
		switch {
		case skip:
		case now.Before(c.mark(k.ID).shunned):
			shunned = append(shunned, k)
		default:
			usable = append(usable, k)
		}
	}
	return usable, shunned
}

// affine returns the less loaded of the two upstreams that requests with the key
// prefer, unless both are well above the mean.
func (c *Balancer) affine(usable []Candidate, key uint64, now timer.Instant) (Candidate, bool) {
	var first, second Candidate
	var high, next uint64
	sum := 0.0
	for _, k := range usable {
		sum += c.score(k, now)
		h := mix(key ^ xxhash.Sum64String(k.ID))
		switch {
		case h > high:
			second, next = first, high
			first, high = k, h
		case h > next:
			second, next = k, h
		}
	}
	best, score := first, c.score(first, now)
	if next > 0 {
		// The first is kept unless the second is clearly less loaded, since a part that
		// two upstreams hold takes twice the memory.
		if s := c.score(second, now); s+affinityMargin < score {
			best, score = second, s
		}
	}
	return best, score <= sum/float64(len(usable))*affinityFactor+affinityMargin
}

// least returns the less loaded of two drawn at random. The same availability zone
// breaks ties.
func (c *Balancer) least(usable []Candidate, now timer.Instant) Candidate {
	i := c.random.IntN(len(usable))
	if len(usable) == 1 {
		return usable[0]
	}
	j := c.random.IntN(len(usable) - 1)
	if j >= i {
		j++
	}
	a, b := usable[i], usable[j]
	x, y := c.score(a, now), c.score(b, now)
	switch {
	case x < y:
		return a
	case y < x:
		return b
	case a.Zone != c.Zone && b.Zone == c.Zone:
		return b
	}
	return a
}

// mix spreads the bits of a hash (the finalizer of splitmix64).
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// RequestSent notes that a request is sent.
func (c *Balancer) RequestSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.mark(id)
	m.inflight++
	m.pending++
}

// ResponseStarted notes that the answer has begun.
func (c *Balancer) ResponseStarted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mark(id).pending--
}

// RequestDone notes the result of a request; began says whether First was called.
func (c *Balancer) RequestDone(id string, r Outcome, began bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.mark(id)
	m.inflight--
	if !began {
		m.pending--
	}
	if m.base > m.inflight {
		m.base = m.inflight
		m.running = max(m.running-1, 0)
	}
	now := c.timer.Now()
	m.failures, m.graded = m.rate(now), now
	switch r {
	case Succeeded:
		m.misses = 0
		m.failures *= 1 - gradeDecay
	case Failed:
		m.failures += gradeDecay * (1 - m.failures)
	case Interrupted:
		m.failures += 2 * gradeDecay * (1 - m.failures)
	case Unreachable:
		m.misses++
		pause := min(shunFirst<<min(m.misses-1, 5), shunMost)
		m.shunned = now.Add(pause)
	case Refused:
		m.waiting, m.at = max(m.waiting, 1)*1.5, now
	case Inconclusive:
	}
}
