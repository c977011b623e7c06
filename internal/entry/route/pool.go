package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Ejection stops requests to a failing upstream. Three consecutive failures are
// unlikely by chance. The ejection time doubles each time the upstream fails
// again after it came back.
const (
	ejectAfterFailures = 3
	minEjection        = time.Second
	maxEjection        = 30 * time.Second
	// rampUpTime is the time after an ejection over which an upstream's share of
	// requests grows back to the full share.
	rampUpTime = 10 * time.Second
	// pauseRampUpTime is the same after a pause that the upstream asked for.
	pauseRampUpTime = time.Second
	// minRampUpShare is the share with which the growth begins, so that an upstream
	// gets requests that show whether it works again.
	minRampUpShare = 0.05
)

// PoolOptions configure a Pool.
type PoolOptions struct {
	Timer  timer.Service
	Random *rand.Rand
	// Balancer is the name of a registered balancer.
	Balancer string
	// Zone is the entry's availability zone.
	Zone string
}

// Pool picks upstreams for requests. It tracks each upstream's requests in flight
// from this entry, reported load and failures.
type Pool struct {
	timer    timer.Service
	zone     string
	balancer Balancer

	mu     sync.Mutex
	random *rand.Rand
	states map[string]*upstreamState
}

// upstreamState is the state of one incarnation of an upstream.
type upstreamState struct {
	incarnation uint64
	load        *wire.Load
	inFlight    int
	// unreported is the change in this entry's requests in flight since the last
	// load report; it is negative if requests that the report counts have ended.
	unreported          int
	consecutiveFailures int
	// ejections counts the ejections since the upstream last had its full share.
	ejections int
	// ejectedUntil and rampUpUntil are zero while the upstream has its full share.
	ejectedUntil timer.Instant
	rampUpUntil  timer.Instant
	pausedUntil  timer.Instant // the upstream has asked for no requests until then
	pauseOpen    bool          // no request was selected for the upstream since that began
}

// PausedError means that all upstreams that meet the requirements have asked for a pause. It is also
// an ErrNoUpstream.
type PausedError struct {
	Wait time.Duration // until the end of the first pause
}

// Error returns the text for the caller.
func (e *PausedError) Error() string { return "all upstreams asked for a pause" }

// Is makes the error an ErrNoUpstream.
func (e *PausedError) Is(target error) bool { return target == ErrNoUpstream }

// NewPool returns a pool with the named balancer.
func NewPool(o PoolOptions) (p *Pool, err error) {
	factory, err := Balancers.Lookup(o.Balancer)
	if err != nil {
		return nil, err
	}
	return &Pool{
		timer: o.Timer, zone: o.Zone, random: o.Random, states: map[string]*upstreamState{},
		balancer: factory(rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64()))),
	}, nil
}

// Requirements describe which upstreams can serve a request.
type Requirements struct {
	Service document.Service
	// Model and Version are empty for a plain service.
	Model   document.Model
	Version document.Version
	// Feature is a feature that the upstream must support; empty means none.
	Feature string
	// Excluded lists names of upstreams that must not be selected, such as those already tried.
	Excluded []string
}

// Matches reports whether the upstream meets the requirements.
func (r Requirements) Matches(u *wire.Upstream) bool {
	return !u.Left && u.Service == string(r.Service) && u.Model == string(r.Model) &&
		u.Version == string(r.Version) &&
		(r.Feature == "" || slices.Contains(u.Features, r.Feature)) &&
		!slices.Contains(r.Excluded, u.Name)
}

// Selection is the upstream selected for a request; Done must be called when the request has ended.
type Selection struct {
	Upstream *wire.Upstream
	// PauseOver is true for the first request after a pause of the upstream.
	PauseOver bool
	pool      *Pool
	once      sync.Once
}

// Pick picks an upstream of the configuration and counts the request as in flight.
func (p *Pool) Pick(c *control.Config, loads map[string]*wire.Heard, r Requirements) (k *Selection, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(c)
	var available, ejected []Candidate
	now, pauseEnd := p.timer.Now(), timer.Instant(0)
	for _, u := range c.Upstreams {
		if !r.Matches(u) {
			continue
		}
		s := p.state(u)
		if now < s.pausedUntil {
			if pauseEnd == 0 || s.pausedUntil < pauseEnd {
				pauseEnd = s.pausedUntil
			}
			continue
		}
		s.updateLoad(u, loads[u.Name])
		candidate := Candidate{Upstream: u, Load: s.load, UnreportedRequests: s.unreported, SameZone: u.Zone == p.zone}
		if p.admits(s) {
			available = append(available, candidate)
		} else {
			ejected = append(ejected, candidate)
		}
	}
	if len(available) == 0 {
		// If all upstreams are ejected, a request may still succeed on one of them.
		available = ejected
	}
	if len(available) == 0 && pauseEnd > 0 {
		return nil, &PausedError{pauseEnd.Sub(now)}
	}
	if len(available) == 0 {
		return nil, errors.Wrapf(ErrNoUpstream, "%s %s@%s", r.Service, r.Model, r.Version)
	}
	slices.SortFunc(available, func(a, b Candidate) int {
		if a.Upstream.Name < b.Upstream.Name {
			return -1
		}
		return 1
	})
	u := available[p.balancer.Pick(available)].Upstream
	s := p.state(u)
	s.inFlight++
	s.unreported++
	over := s.pauseOpen
	s.pauseOpen = false
	return &Selection{Upstream: u, PauseOver: over, pool: p}, nil
}

// admits reports whether the upstream may get the request: never while it is
// ejected, and after that with a probability that grows to one.
func (p *Pool) admits(s *upstreamState) bool {
	now := p.timer.Now()
	if s.ejectedUntil == 0 {
		return true
	}
	if now < s.ejectedUntil {
		return false
	}
	if now >= s.rampUpUntil {
		s.ejectedUntil, s.rampUpUntil, s.ejections = 0, 0, 0
		return true
	}
	share := float64(now.Sub(s.ejectedUntil)) / float64(s.rampUpUntil.Sub(s.ejectedUntil))
	return p.random.Float64() < max(share, minRampUpShare)
}

// Done ends the request; failed is true if the upstream caused it to fail.
// Further calls do nothing.
func (k *Selection) Done(failed bool) { k.once.Do(func() { k.pool.done(k, failed) }) }

func (p *Pool) done(k *Selection, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(k.Upstream)
	if s.incarnation != k.Upstream.Incarnation {
		return
	}
	s.inFlight--
	s.unreported--
	if !failed {
		s.consecutiveFailures = 0
		return
	}
	s.consecutiveFailures++
	now := p.timer.Now()
	if s.consecutiveFailures < ejectAfterFailures || now < s.ejectedUntil {
		return
	}
	// The inner limit keeps the shift from overflowing.
	d := min(minEjection<<min(s.ejections, 10), maxEjection)
	s.ejections++
	s.ejectedUntil, s.rampUpUntil = now.Add(d), now.Add(d+rampUpTime)
	// A single failure after the ejection ejects the upstream again.
	s.consecutiveFailures = ejectAfterFailures - 1
}

// Pause stops requests of this entry to an incarnation of an upstream for some time, unless a longer
// pause has begun. Its share grows back afterwards. It returns false if nothing changed.
func (p *Pool) Pause(name string, incarnation uint64, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[name]
	if s == nil || s.incarnation != incarnation {
		return false
	}
	end := p.timer.Now().Add(d)
	if end <= s.pausedUntil {
		return false
	}
	s.pausedUntil, s.pauseOpen = end, true
	s.ejectedUntil, s.rampUpUntil = max(s.ejectedUntil, end), max(s.rampUpUntil, end.Add(pauseRampUpTime))
	return true
}

// CheckPause returns a PausedError while an upstream that was selected before wants no requests.
func (p *Pool) CheckPause(u *wire.Upstream) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, now := p.states[u.Name], p.timer.Now(); s != nil && s.incarnation == u.Incarnation && now < s.pausedUntil {
		return &PausedError{s.pausedUntil.Sub(now)}
	}
	return nil
}

// ReportLoad records a load that an upstream reported to this entry, unless the
// report is of another incarnation or older than the last one.
func (p *Pool) ReportLoad(name string, incarnation uint64, load *wire.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[name]
	if s == nil || s.incarnation != incarnation {
		return
	}
	if s.load != nil && load.Sequence != 0 && load.Sequence < s.load.Sequence {
		return
	}
	s.setLoad(load)
}

// FreeSlots returns the estimated number of free slots of a service's model, and
// the number of all its slots. An upstream that reports no slots counts with assumedSlots.
func (p *Pool) FreeSlots(c *control.Config, loads map[string]*wire.Heard, service document.Service, model document.Model, assumedSlots int) (free, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range c.Upstreams {
		if u.Left || u.Service != string(service) || u.Model != string(model) {
			continue
		}
		n, used := assumedSlots, 0
		s := p.state(u)
		s.updateLoad(u, loads[u.Name])
		if l := s.load; l != nil && l.Slots > 0 {
			n, used = int(l.Slots), int(l.Running+l.Waiting)
		}
		slots += n
		free += max(n-max(used+s.unreported, 0), 0)
	}
	return free, slots
}

// state returns the state of the upstream's present incarnation, and creates it if needed.
func (p *Pool) state(u *wire.Upstream) *upstreamState {
	s := p.states[u.Name]
	if s == nil || s.incarnation < u.Incarnation {
		s = &upstreamState{incarnation: u.Incarnation}
		p.states[u.Name] = s
	}
	return s
}

// prune removes the state of upstreams that left the configuration, once there are many of them.
func (p *Pool) prune(c *control.Config) {
	if len(p.states) <= 2*len(c.Upstreams)+64 {
		return
	}
	for n, s := range p.states {
		if c.Upstreams[n] == nil && s.inFlight == 0 {
			delete(p.states, n)
		}
	}
}

// updateLoad records the load in heard, or else the one in the upstream's
// registration, if it is newer than the last report.
func (s *upstreamState) updateLoad(u *wire.Upstream, heard *wire.Heard) {
	l := u.Load
	if heard != nil && heard.Incarnation == u.Incarnation && heard.Load != nil {
		l = heard.Load
	}
	if l != nil && (s.load == nil || l.Sequence > s.load.Sequence) {
		s.setLoad(l)
	}
}

func (s *upstreamState) setLoad(l *wire.Load) {
	s.load, s.unreported = l, 0
}
