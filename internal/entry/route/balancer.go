package route

import (
	"math/rand/v2"
	"sync"

	"wisteriakeel.example/wisteriakeel/internal/kernel/plugin"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Candidate is an upstream that a Balancer can pick.
type Candidate struct {
	Upstream *wire.Upstream
	// Load is the last load report, or nil.
	Load *wire.Load
	// UnreportedRequests is the number of this entry's requests in flight that Load
	// doesn't count; it is negative if requests that Load counts have ended.
	UnreportedRequests int
	// SameZone is true if the upstream is in the entry's availability zone.
	SameZone bool
}

// Utilization returns the estimated load per slot of the upstream.
func (c Candidate) Utilization() float64 {
	used, slots := float64(c.UnreportedRequests), 1.0
	if c.Load != nil {
		used += float64(c.Load.Running) + float64(c.Load.Waiting)
		slots = float64(max(c.Load.Slots, 1))
	}
	return max(used, 0) / slots
}

// Balancer picks one of the candidates, of which there is at least one, and returns its index.
type Balancer interface {
	Pick(candidates []Candidate) int
}

// Balancers is the registry of functions that create a balancer; r becomes the balancer's
// own source of random numbers. Each function is registered in init.
var Balancers = plugin.NewRegistry[func(r *rand.Rand) Balancer]("chooser")

func init() {
	Balancers.Register("least", func(r *rand.Rand) Balancer { return &leastLoaded{random: r} })
	Balancers.Register("round", func(*rand.Rand) Balancer { return &roundRobin{} })
}

// leastLoaded picks the less utilized of two random upstreams with a free slot,
// in the entry's availability zone if that has one. Always taking the least
// utilized upstream would send the requests of all entries whose reports are
// equally old to the same one.
type leastLoaded struct {
	mu     sync.Mutex
	random *rand.Rand
}

// Pick implements Balancer.
func (l *leastLoaded) Pick(candidates []Candidate) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := filterIndexes(candidates, func(c Candidate) bool { return c.SameZone && c.Utilization() < 1 })
	if len(list) == 0 {
		list = filterIndexes(candidates, func(c Candidate) bool { return c.Utilization() < 1 })
	}
	if len(list) == 0 {
		list = filterIndexes(candidates, func(Candidate) bool { return true })
	}
	a := l.random.IntN(len(list))
	if len(list) == 1 {
		return list[a]
	}
	b := l.random.IntN(len(list) - 1)
	if b >= a {
		b++
	}
	if candidates[list[b]].Utilization() < candidates[list[a]].Utilization() {
		return list[b]
	}
	return list[a]
}

// filterIndexes returns the indexes of the candidates for which keep returns true.
func filterIndexes(candidates []Candidate, keep func(c Candidate) bool) (list []int) {
	for i, c := range candidates {
		if keep(c) {
			list = append(list, i)
		}
	}
	return list
}

// roundRobin picks the upstreams in turn.
type roundRobin struct {
	mu   sync.Mutex
	next int
}

// Pick implements Balancer.
func (r *roundRobin) Pick(candidates []Candidate) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return (r.next - 1) % len(candidates)
}
