package route

import (
	"math/rand/v2"
	"sync"

	"wisteriakeel.example/wisteriakeel/internal/kernel/plugin"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Option is one upstream that may be chosen.
type Option struct {
	Upstream *wire.Upstream
	// Load is the last report; it may be nil.
	Load *wire.Load
	// Own is how many more of this entry's requests are in flight than the report counts.
	Own int
	// Near is true in the entry's own availability zone.
	Near bool
}

// Busy returns the expected share of the upstream's slots that are in use.
func (o Option) Busy() float64 {
	used, slots := float64(o.Own), 1.0
	if o.Load != nil {
		used += float64(o.Load.Running) + float64(o.Load.Waiting)
		slots = float64(max(o.Load.Slots, 1))
	}
	return max(used, 0) / slots
}

// Chooser selects one of several upstreams; there is always at least one.
type Chooser interface {
	Choose(options []Option) int
}

// Choosers holds the choosers that register themselves in init.
var Choosers = plugin.NewRegistry[func(r *rand.Rand) Chooser]("chooser")

func init() {
	Choosers.Register("least", func(r *rand.Rand) Chooser { return &least{random: r} })
	Choosers.Register("round", func(*rand.Rand) Chooser { return &round{} })
}

// least compares two random upstreams with a free slot, of the same
// availability zone as long as it has one. Two choices keep entries whose reports are
// equally old from all sending to the same upstream.
type least struct {
	mu     sync.Mutex
	random *rand.Rand
}

// Choose implements Chooser.
func (l *least) Choose(options []Option) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := filter(options, func(o Option) bool { return o.Near && o.Busy() < 1 })
	if len(list) == 0 {
		list = filter(options, func(o Option) bool { return o.Busy() < 1 })
	}
	if len(list) == 0 {
		list = filter(options, func(Option) bool { return true })
	}
	a := l.random.IntN(len(list))
	if len(list) == 1 {
		return list[a]
	}
	b := l.random.IntN(len(list) - 1)
	if b >= a {
		b++
	}
	if options[list[b]].Busy() < options[list[a]].Busy() {
		return list[b]
	}
	return list[a]
}

// filter returns the indexes of the options that are kept.
func filter(options []Option, keep func(o Option) bool) (list []int) {
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

// Choose implements Chooser.
func (r *round) Choose(options []Option) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return (r.next - 1) % len(options)
}
