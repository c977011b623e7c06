package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

func newCandidates(n int) (out []Candidate) {
	for i := range n {
		out = append(out, Candidate{ID: fmt.Sprintf("u%d", i), Zone: fmt.Sprintf("z%d", i%3), Slots: 16})
	}
	return out
}

func newBalancer(seed uint64) (*Balancer, *timer.Manual) {
	clock := timer.NewManual()
	clock.Advance(time.Minute)
	return New("z0", clock, rand.New(rand.NewPCG(seed, 2))), clock
}

// Guards against overloading one upstream when a burst reaches many instances just
// after all of them have read the same report that it is idle, whether the report came
// with a response or was relayed by the leader.
func TestStaleReportDoesNotOverloadIdleUpstream(t *testing.T) {
	t.Run("own", func(t *testing.T) { testBurst(t, (*Balancer).ReportLoad) })
	t.Run("shared", func(t *testing.T) { testBurst(t, (*Balancer).ReportRelayedLoad) })
}

// testBurst sends requests from many instances that have recorded the same loads with report.
func testBurst(t *testing.T, report func(b *Balancer, id string, running, waiting int)) {
	is := is.New(t)
	candidates := newCandidates(12)
	counts := map[string]int{}
	const instances, burst = 60, 4
	for n := range instances {
		b, _ := newBalancer(uint64(n))
		b.Zone = fmt.Sprintf("z%d", n%3) // instances run in all availability zones
		for i, c := range candidates {
			report(b, c.ID, min(i, 1)*8, 0)
		}
		for range burst {
			c, ok := b.Pick(candidates, Prefix{}, nil)
			is.True(ok)
			b.RequestSent(c.ID)
			counts[c.ID]++
		}
	}
	is.True(counts["u0"] < instances*burst*2/5)
}

// Guards against ignoring a queue that only other instances have seen, which happens where
// each instance calls an upstream rarely, and against a relayed report that replaces a
// newer own one.
func TestRelayedLoad(t *testing.T) {
	is := is.New(t)
	candidates := newCandidates(2)
	picksOfU1 := func(b *Balancer) (n int) {
		for range 100 {
			if c, _ := b.Pick(candidates, Prefix{}, nil); c.ID == "u1" {
				n++
			}
		}
		return n
	}
	b, clock := newBalancer(5)
	b.ReportRelayedLoad("u1", 16, 9)
	is.Equal(picksOfU1(b), 0)
	b.ReportLoad("u0", 8, 0)
	b.ReportLoad("u1", 0, 0)
	b.ReportRelayedLoad("u1", 16, 9)
	is.Equal(picksOfU1(b), 100) // the own report is newer
	clock.Advance(time.Second)
	b.ReportRelayedLoad("u1", 26, 9)
	is.Equal(picksOfU1(b), 0)
}

// Guards against memory that grows with every upstream that ever existed.
func TestDepartedUpstreamsAreEvicted(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(6)
	b.RequestSent("busy")
	for i := range 3 * maxTracked {
		b.ReportRelayedLoad(fmt.Sprint(i), 1, 0)
	}
	is.True(len(b.upstreams) <= maxTracked)
	is.Equal(b.upstreams["busy"].inflight, 1)
}

// Guards against overloading the two upstreams that have a prompt prefix cached when much
// of the traffic shares that prefix.
func TestHotPrefixSpreads(t *testing.T) {
	is := is.New(t)
	candidates := newCandidates(12)
	b, _ := newBalancer(1)
	counts := map[string]int{}
	for range 240 {
		c, _ := b.Pick(candidates, Prefix{Key: 77}, nil)
		b.RequestSent(c.ID)
		b.ResponseStarted(c.ID)
		counts[c.ID]++
	}
	for _, n := range counts {
		is.True(n <= 40) // the mean is 20
	}
	is.True(len(counts) == 12)
}

// Guards against requests that miss the upstream which has their prefix cached, also when
// another instance sends them or another upstream is removed.
func TestAffinity(t *testing.T) {
	is := is.New(t)
	candidates := newCandidates(12)
	a, _ := newBalancer(1)
	b, _ := newBalancer(2)
	moved := 0
	for key := range uint64(200) {
		x, _ := a.Pick(candidates, Prefix{Key: key + 1}, nil)
		y, _ := b.Pick(candidates, Prefix{Key: key + 1}, nil)
		is.Equal(x.ID, y.ID)
		z, _ := b.Pick(candidates[:11], Prefix{Key: key + 1}, nil)
		if z.ID != x.ID {
			moved++
		}
	}
	is.True(moved < 40) // a twelfth of 200 is 17
}

// Guards against sending full traffic to an upstream that fails while it reports to be
// healthy, and against sending it little traffic after it has recovered.
func TestFailingUpstream(t *testing.T) {
	is := is.New(t)
	candidates := newCandidates(4)
	b, _ := newBalancer(3)
	runRequests := func(failing bool) (share float64) {
		n := 0
		for range 400 {
			c, _ := b.Pick(candidates, Prefix{}, nil)
			b.RequestSent(c.ID)
			b.ResponseStarted(c.ID)
			o := Succeeded
			if c.ID == "u0" {
				n++
				if failing {
					o = Failed
				}
			}
			b.RequestDone(c.ID, o, true)
		}
		return float64(n) / 400
	}
	is.True(runRequests(true) < 0.1)
	for range 60 {
		b.RequestSent("u0")
		b.ResponseStarted("u0")
		b.RequestDone("u0", Succeeded, true)
	}
	is.True(runRequests(false) > 0.15)
}

// Guards against an unreachable upstream that is selected over and over, and against one
// that is never tried again.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	candidates := newCandidates(2)
	b, clock := newBalancer(4)
	b.RequestSent("u0")
	b.RequestDone("u0", Unreachable, false)
	for range 20 {
		c, _ := b.Pick(candidates, Prefix{}, nil)
		is.Equal(c.ID, "u1")
	}
	c, ok := b.Pick(candidates, Prefix{}, []string{"u1"})
	is.True(ok) // an upstream that is backed off is better than none
	is.Equal(c.ID, "u0")
	clock.Advance(initialBackoff)
	found := false
	for range 50 {
		c, _ := b.Pick(candidates, Prefix{}, nil)
		found = found || c.ID == "u0"
	}
	is.True(found)
}

// Guards against needless traffic between availability zones at an even load, and against
// staying in a zone whose upstreams are clearly more loaded than the others.
func TestZonePreference(t *testing.T) {
	is := is.New(t)
	candidates := newCandidates(12)
	b, _ := newBalancer(8)
	for key := range uint64(100) {
		c, _ := b.Pick(candidates, Prefix{Key: key}, nil)
		is.Equal(c.Zone, "z0")
	}
	for _, c := range candidates {
		if c.Zone == "z0" {
			b.ReportLoad(c.ID, 40, 4)
		}
	}
	away := 0
	for key := range uint64(100) {
		if c, _ := b.Pick(candidates, Prefix{Key: key}, nil); c.Zone != "z0" {
			away++
		}
	}
	is.True(away > 60)
}

// Guards against a small canary share that is spread over all upstreams of the new
// version: failures that only occur under load would show after the promotion.
func TestPickForCanary(t *testing.T) {
	is := is.New(t)
	candidates := newCandidates(4)
	b, _ := newBalancer(9)
	counts := map[string]int{}
	for range 15 {
		c, ok := b.PickForCanary(candidates, Request{}, nil)
		is.True(ok)
		b.RequestSent(c.ID)
		b.ResponseStarted(c.ID)
		counts[c.ID]++
	}
	is.Equal(counts, map[string]int{"u0": 10, "u1": 5})
	b.RequestSent("u0")
	b.RequestDone("u0", Unreachable, false)
	c, ok := b.PickForCanary(candidates, Request{}, []string{"u1"})
	is.True(ok)
	is.Equal(c.ID, "u2")
}

// Guards against selecting an upstream although there is none or all are excluded.
func TestNoCandidates(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(5)
	_, ok := b.Pick(nil, Prefix{Key: 1}, nil)
	is.True(!ok)
	_, ok = b.Pick(newCandidates(1), Prefix{Key: 1}, []string{"u0"})
	is.True(!ok)
}

// Guards against a long prompt prefix that every availability zone reads for itself: callers
// of all zones share it, and reading it takes longer than the way to another zone. Short
// prefixes stay in the zone.
func TestLongPrefixIsSharedByZones(t *testing.T) {
	for _, c := range []struct {
		name           string
		tokens         int
		upstreams      int // that read the prefix
		stayInOwnZones bool
	}{
		{"long", longPrefixTokens, 1, false},
		{"short", longPrefixTokens - 1, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			candidates := newCandidates(24)
			for key := range uint64(50) {
				readers := map[string]bool{}
				for n := range 12 {
					b, _ := newBalancer(uint64(n))
					b.Zone = fmt.Sprintf("z%d", n%3)
					u, ok := b.Pick(candidates, Prefix{Key: key + 1, Tokens: c.tokens}, nil)
					is.True(ok)
					readers[u.ID] = true
					is.True(!c.stayInOwnZones || u.Zone == b.Zone)
				}
				is.Equal(len(readers), c.upstreams)
			}
		})
	}
}

// Guards against a zone whose upstreams queue requests while those of other zones are idle:
// the callers of one zone send twice as many requests as those of the others. Every instance
// sees the loads of the former round only.
func TestUnevenZones(t *testing.T) {
	is := is.New(t)
	candidates := newCandidates(24)
	var instances []*Balancer
	var clocks []*timer.Manual
	for n := range 60 {
		b, clock := newBalancer(uint64(n))
		b.Zone = fmt.Sprintf("z%d", n%3)
		instances, clocks = append(instances, b), append(clocks, clock)
	}
	running := map[string][]int{} // remaining rounds of each request
	busiest, total := 0, 0        // requests running in zone z0 and in all zones, over the rounds
	const warmUp, rounds = 10, 50
	for round := range warmUp + rounds {
		loads := map[string]int{}
		for id, list := range running {
			var left []int
			for _, r := range list {
				if r > 1 {
					left = append(left, r-1)
				}
			}
			running[id], loads[id] = left, len(left)
		}
		for n, b := range instances {
			clocks[n].Advance(time.Second)
			for _, c := range candidates {
				b.ReportRelayedLoad(c.ID, min(loads[c.ID], c.Slots), max(loads[c.ID]-c.Slots, 0))
			}
			requests := 1
			if n%3 == 0 {
				requests = 2
			}
			for range requests {
				c, _ := b.Pick(candidates, Prefix{}, nil)
				b.RequestSent(c.ID)
				b.ResponseStarted(c.ID)
				b.RequestDone(c.ID, Inconclusive, true)
				running[c.ID] = append(running[c.ID], 3)
			}
		}
		if round < warmUp {
			continue
		}
		for _, c := range candidates {
			if c.Zone == "z0" {
				busiest += len(running[c.ID])
			}
			total += len(running[c.ID])
		}
	}
	const upstreamsPerZone = 8
	mean := float64(total) / rounds / float64(len(candidates))
	load := float64(busiest) / rounds / upstreamsPerZone
	t.Logf("requests at an upstream of the busiest zone: %.1f, mean: %.1f", load, mean)
	is.True(load <= remoteLoadFactor*mean+remoteLoadMargin) // 15 if every zone keeps its requests
}
