package route

import (
	"math/rand/v2"
	"sync"

	"wisteriakeel.example/wisteriakeel/internal/kernel/plugin"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Candidate is one upstream that may be chosen.
type Candidate struct {
	Upstream *wire.Upstream
	// Load is the last report; it may be nil.
	Load *wire.Load
	// UnreportedRequests is how many more of this entry's requests are in flight than the report counts.
	UnreportedRequests int
	// SameZone is true in the entry's own availability zone.
	SameZone bool
}

// Utilization returns the expected share of the upstream's slots that are in use.
func (o Candidate) Utilization() float64 {
	used, slots := float64(o.UnreportedRequests), 1.0
	if o.Load != nil {
		used += float64(o.Load.Running) + float64(o.Load.Waiting)
		slots = float64(max(o.Load.Slots, 1))
	}
	return max(used, 0) / slots
}

// Balancer selects one of several upstreams; there is always at least one.
type Balancer interface {
	Pick(options []Candidate) int
}

// Balancers holds the choosers that register themselves in init.
var Balancers = plugin.NewRegistry[func(r *rand.Rand) Balancer]("chooser")

func init() {
	Balancers.Register("least", func(r *rand.Rand) Balancer { return &least{random: r} })
	Balancers.Register("round", func(*rand.Rand) Balancer { return &round{} })
}

// least compares two random upstreams with a free slot, of the same
// availability zone as long as it has one. Two choices keep entries whose reports are
// equally old from all sending to the same upstream.
type least struct {
	mu     sync.Mutex
	random *rand.Rand
}

// Pick implements Chooser.
func (l *least) Pick(options []Candidate) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := filter(options, func(o Candidate) bool { return o.SameZone && o.Utilization() < 1 })
	if len(list) == 0 {
		list = filter(options, func(o Candidate) bool { return o.Utilization() < 1 })
	}
	if len(list) == 0 {
		list = filter(options, func(Candidate) bool { return true })
	}
	a := l.random.IntN(len(list))
	if len(list) == 1 {
		return list[a]
	}
	b := l.random.IntN(len(list) - 1)
	if b >= a {
		b++
	}
	if options[list[b]].Utilization() < options[list[a]].Utilization() {
		return list[b]
	}
	return list[a]
}

// filter returns the indexes of the options that are kept.
func filter(options []Candidate, keep func(o Candidate) bool) (list []int) {
	for i, o := range options {
		if keep(o) {
			list = append(list, i)
		}
	}
	return list
}

// round takes the upstreams in turn.
type round struct {
	mu   sync.Mutex
	next int
}

// Pick implements Chooser.
func (r *round) Pick(options []Candidate) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return (r.next - 1) % len(options)
}
