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

// Ejection: three failures in a row are unlikely by chance; the time doubles
// while the upstream fails again after its return.
const (
	ejectAfter = 3
	ejectFirst = time.Second
	ejectMost  = 30 * time.Second
	// returnTime is how long an upstream takes back its full share after an ejection.
	returnTime = 10 * time.Second
)

// PoolOptions are what a Pool needs.
type PoolOptions struct {
	Timer  timer.Service
	Random *rand.Rand
	// Balancer names a registered chooser.
	Balancer string
	// Zone is the entry's availability zone.
	Zone string
}

// Pool knows this entry's view of the upstreams: requests in flight, reported
// load and failures.
type Pool struct {
	timer   timer.Service
	zone    string
	chooser Balancer

	mu     sync.Mutex
	random *rand.Rand
	known  map[string]*standing
}

// standing is what the entry knows of one upstream.
type standing struct {
	incarnation uint64
	load        *wire.Load
	flight      int
	// since is how many more of this entry's requests are in flight than at the
	// last load report; it is negative if some that the report counts have ended.
	since    int
	failures int
	rounds   int
	ejected  timer.Instant
	back     timer.Instant
}

// NewPool returns a pool with the named chooser.
func NewPool(o PoolOptions) (p *Pool, err error) {
	factory, err := Balancers.Lookup(o.Balancer)
	if err != nil {
		return nil, err
	}
	return &Pool{
		timer: o.Timer, zone: o.Zone, random: o.Random, known: map[string]*standing{},
		chooser: factory(rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64()))),
	}, nil
}

// Requirements describes the upstreams that can serve a call.
type Requirements struct {
	Service document.Service
	// Model and Version are empty for a plain service.
	Model   document.Model
	Version document.Version
	// Feature is a feature that the upstream must have; empty means none.
	Feature string
	// Excluded names the upstreams that are left out.
	Excluded []string
}

// Matches tells whether the upstream can serve the call.
func (w Requirements) Matches(u *wire.Upstream) bool {
	return !u.Left && u.Service == string(w.Service) && u.Model == string(w.Model) &&
		u.Version == string(w.Version) &&
		(w.Feature == "" || slices.Contains(u.Features, w.Feature)) &&
		!slices.Contains(w.Excluded, u.Name)
}

// Selection is a chosen upstream; Done must be called when the call has ended.
type Selection struct {
	Upstream *wire.Upstream
	pool     *Pool
	once     sync.Once
}

// Pick chooses an upstream of the configuration and counts the call as in flight.
func (p *Pool) Pick(c *control.Config, loads map[string]*wire.Heard, w Requirements) (k *Selection, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c)
	var open, out []Candidate
	for _, u := range c.Upstreams {
		if !w.Matches(u) {
			continue
		}
		s := p.standing(u)
		s.refresh(u, loads[u.Name])
		o := Candidate{Upstream: u, Load: s.load, UnreportedRequests: s.since, SameZone: u.Zone == p.zone}
		if p.takes(s) {
			open = append(open, o)
		} else {
			out = append(out, o)
		}
	}
	if len(open) == 0 {
		// With all upstreams ejected a failing one is still better than none.
		open = out
	}
	if len(open) == 0 {
		return nil, errors.Wrapf(ErrNoUpstream, "%s %s@%s", w.Service, w.Model, w.Version)
	}
	slices.SortFunc(open, func(a, b Candidate) int {
		if a.Upstream.Name < b.Upstream.Name {
			return -1
		}
		return 1
	})
	u := open[p.chooser.Pick(open)].Upstream
	s := p.standing(u)
	s.flight++
	s.since++
	return &Selection{Upstream: u, pool: p}, nil
}

// takes tells whether the upstream gets work: not while ejected, and after
// that with a probability that grows to one.
func (p *Pool) takes(s *standing) bool {
	now := p.timer.Now()
	if s.ejected == 0 {
		return true
	}
	if now < s.ejected {
		return false
	}
	if now >= s.back {
		s.ejected, s.back, s.rounds = 0, 0, 0
		return true
	}
	share := float64(now.Sub(s.ejected)) / float64(s.back.Sub(s.ejected))
	return p.random.Float64() < max(share, 0.05)
}

// Done ends the call. Blame is true if the upstream failed.
func (k *Selection) Done(blame bool) { k.once.Do(func() { k.pool.done(k, blame) }) }

func (p *Pool) done(k *Selection, blame bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.standing(k.Upstream)
	if s.incarnation != k.Upstream.Incarnation {
		return
	}
	s.flight--
	s.since--
	if !blame {
		s.failures = 0
		return
	}
	s.failures++
	now := p.timer.Now()
	if s.failures < ejectAfter || now < s.ejected {
		return
	}
	d := min(ejectFirst<<min(s.rounds, 10), ejectMost)
	s.rounds++
	s.ejected, s.back = now.Add(d), now.Add(d+returnTime)
	// One more failure after the return ejects again.
	s.failures = ejectAfter - 1
}

// ReportLoad takes a load that an upstream reported to this entry.
func (p *Pool) ReportLoad(name string, incarnation uint64, load *wire.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[name]
	if s == nil || s.incarnation != incarnation {
		return
	}
	if s.load != nil && load.Sequence != 0 && load.Sequence < s.load.Sequence {
		return
	}
	s.report(load)
}

// FreeSlots returns the slots of a service's model that seem free, and all its
// slots. A silent upstream counts with the given number of slots.
func (p *Pool) FreeSlots(c *control.Config, loads map[string]*wire.Heard, service document.Service, model document.Model, silent int) (free, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range c.Upstreams {
		if u.Left || u.Service != string(service) || u.Model != string(model) {
			continue
		}
		n, used := silent, 0
		s := p.standing(u)
		s.refresh(u, loads[u.Name])
		if l := s.load; l != nil && l.Slots > 0 {
			n, used = int(l.Slots), int(l.Running+l.Waiting)
		}
		slots += n
		free += max(n-max(used+s.since, 0), 0)
	}
	return free, slots
}

// standing returns the entry's view of the upstream's present incarnation.
func (p *Pool) standing(u *wire.Upstream) *standing {
	s := p.known[u.Name]
	if s == nil || s.incarnation < u.Incarnation {
		s = &standing{incarnation: u.Incarnation}
		p.known[u.Name] = s
	}
	return s
}

// forget drops upstreams that are gone once many have piled up.
func (p *Pool) forget(c *control.Config) {
	if len(p.known) <= 2*len(c.Upstreams)+64 {
		return
	}
	for n, s := range p.known {
		if c.Upstreams[n] == nil && s.flight == 0 {
			delete(p.known, n)
		}
	}
}

// refresh takes the report that came with the registry if it is newer than the own one.
func (s *standing) refresh(u *wire.Upstream, heard *wire.Heard) {
	l := u.Load
	if heard != nil && heard.Incarnation == u.Incarnation && heard.Load != nil {
		l = heard.Load
	}
	if l != nil && (s.load == nil || l.Sequence > s.load.Sequence) {
		s.report(l)
	}
}

func (s *standing) report(l *wire.Load) {
	s.load, s.since = l, 0
}
