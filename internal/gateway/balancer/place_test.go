package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

func pool(n int) (out []Candidate) {
	for i := range n {
		out = append(out, Candidate{ID: fmt.Sprintf("u%d", i), Zone: fmt.Sprintf("z%d", i%3), Slots: 16})
	}
	return out
}

func chooser(seed uint64) (*Balancer, *timer.Manual) {
	clock := timer.NewManual()
	clock.Advance(time.Minute)
	return New("z0", clock, rand.New(rand.NewPCG(seed, 2))), clock
}

// Replays a burst that reaches many entries just after all have read the same report,
// in which one upstream is idle: it must not get most of the burst, whether the report
// came with an answer or through the leader.
func TestStaleReportDoesNotHerd(t *testing.T) {
	t.Run("own", func(t *testing.T) { testHerd(t, (*Balancer).ReportLoad) })
	t.Run("shared", func(t *testing.T) { testHerd(t, (*Balancer).ReportRelayedLoad) })
}

func testHerd(t *testing.T, report func(c *Balancer, id string, running, waiting int)) {
	is := is.New(t)
	candidates := pool(12)
	counts := map[string]int{}
	const entries, burst = 60, 4
	for e := range entries {
		c, _ := chooser(uint64(e))
		c.Zone = fmt.Sprintf("z%d", e%3) // entries stand in all availability zones
		for i, k := range candidates {
			report(c, k.ID, min(i, 1)*8, 0)
		}
		for range burst {
			k, ok := c.Pick(candidates, 0, nil)
			is.True(ok)
			c.RequestSent(k.ID)
			counts[k.ID]++
		}
	}
	is.True(counts["u0"] < entries*burst*2/5)
}

// Replays entries that see each upstream seldom: one whose queue is known through others
// only must be avoided, and an old report must not replace a newer one of its own.
func TestStated(t *testing.T) {
	is := is.New(t)
	candidates := pool(2)
	busy := func(c *Balancer) (n int) {
		for range 100 {
			if k, _ := c.Pick(candidates, 0, nil); k.ID == "u1" {
				n++
			}
		}
		return n
	}
	c, clock := chooser(5)
	c.ReportRelayedLoad("u1", 16, 9)
	is.Equal(busy(c), 0)
	c.ReportLoad("u0", 8, 0)
	c.ReportLoad("u1", 0, 0)
	c.ReportRelayedLoad("u1", 16, 9)
	is.Equal(busy(c), 100) // its own report is newer
	clock.Advance(time.Second)
	c.ReportRelayedLoad("u1", 26, 9)
	is.Equal(busy(c), 0)
}

// Guards against memory that grows with each upstream that ever was.
func TestDepartedUpstreamsAreForgotten(t *testing.T) {
	is := is.New(t)
	c, _ := chooser(6)
	c.RequestSent("busy")
	for i := range 3 * maxMarks {
		c.ReportRelayedLoad(fmt.Sprint(i), 1, 0)
	}
	is.True(len(c.marks) <= maxMarks)
	is.Equal(c.marks["busy"].inflight, 1)
}

// Replays one key that gets much of the traffic: the upstreams that hold its part of
// the prompt must not be loaded far above the mean.
func TestHotKeySpreads(t *testing.T) {
	is := is.New(t)
	candidates := pool(12)
	c, _ := chooser(1)
	counts := map[string]int{}
	for range 240 {
		k, _ := c.Pick(candidates, 77, nil)
		c.RequestSent(k.ID)
		c.ResponseStarted(k.ID)
		counts[k.ID]++
	}
	for _, n := range counts {
		is.True(n <= 40) // the mean is 20
	}
	is.True(len(counts) == 12)
}

// Guards against requests with one shared part that miss the upstream which holds it,
// also when other entries ask, and when an unrelated upstream leaves.
func TestAffinity(t *testing.T) {
	is := is.New(t)
	candidates := pool(12)
	a, _ := chooser(1)
	b, _ := chooser(2)
	moved := 0
	for key := range uint64(200) {
		x, _ := a.Pick(candidates, key+1, nil)
		y, _ := b.Pick(candidates, key+1, nil)
		is.Equal(x.ID, y.ID)
		z, _ := b.Pick(candidates[:11], key+1, nil)
		if z.ID != x.ID {
			moved++
		}
	}
	is.True(moved < 40) // a twelfth of 200 is 17
}

// Guards against an upstream that says it is well and fails: it gets less, but is
// tried again, and recovers.
func TestFailingUpstream(t *testing.T) {
	is := is.New(t)
	candidates := pool(4)
	c, _ := chooser(3)
	play := func(broken bool) (share float64) {
		n := 0
		for range 400 {
			k, _ := c.Pick(candidates, 0, nil)
			c.RequestSent(k.ID)
			c.ResponseStarted(k.ID)
			r := Succeeded
			if k.ID == "u0" {
				n++
				if broken {
					r = Failed
				}
			}
			c.RequestDone(k.ID, r, true)
		}
		return float64(n) / 400
	}
	is.True(play(true) < 0.1)
	for range 60 {
		c.RequestSent("u0")
		c.ResponseStarted("u0")
		c.RequestDone("u0", Succeeded, true)
	}
	is.True(play(false) > 0.15)
}

// Guards against a dead upstream that is asked again and again, and against one that
// is never asked again.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	candidates := pool(2)
	c, clock := chooser(4)
	c.RequestSent("u0")
	c.RequestDone("u0", Unreachable, false)
	for range 20 {
		k, _ := c.Pick(candidates, 0, nil)
		is.Equal(k.ID, "u1")
	}
	k, ok := c.Pick(candidates, 0, []string{"u1"})
	is.True(ok) // better a doubtful upstream than none
	is.Equal(k.ID, "u0")
	clock.Advance(shunFirst)
	found := false
	for range 50 {
		k, _ := c.Pick(candidates, 0, nil)
		found = found || k.ID == "u0"
	}
	is.True(found)
}

// Replays an even load: requests stay in the availability zone of their entry, and
// leave it when its upstreams are clearly more loaded than the others.
func TestZone(t *testing.T) {
	is := is.New(t)
	candidates := pool(12)
	c, _ := chooser(8)
	for key := range uint64(100) {
		k, _ := c.Pick(candidates, key, nil)
		is.Equal(k.Zone, "z0")
	}
	for _, k := range candidates {
		if k.Zone == "z0" {
			c.ReportLoad(k.ID, 40, 4)
		}
	}
	away := 0
	for key := range uint64(100) {
		if k, _ := c.Pick(candidates, key, nil); k.Zone != "z0" {
			away++
		}
	}
	is.True(away > 60)
}

// Replays the small share of a new version: its upstreams must be filled one after the
// other, so that trouble which load brings about shows before all requests go there.
func TestFill(t *testing.T) {
	is := is.New(t)
	candidates := pool(4)
	c, _ := chooser(9)
	counts := map[string]int{}
	for range 15 {
		k, ok := c.PickForCanary(candidates, nil)
		is.True(ok)
		c.RequestSent(k.ID)
		c.ResponseStarted(k.ID)
		counts[k.ID]++
	}
	is.Equal(counts, map[string]int{"u0": 10, "u1": 5})
	c.RequestSent("u0")
	c.RequestDone("u0", Unreachable, false)
	k, ok := c.PickForCanary(candidates, []string{"u1"})
	is.True(ok)
	is.Equal(k.ID, "u2")
}

// Guards against a choice among nothing.
func TestNone(t *testing.T) {
	is := is.New(t)
	c, _ := chooser(5)
	_, ok := c.Pick(nil, 1, nil)
	is.True(!ok)
	_, ok = c.Pick(pool(1), 1, []string{"u0"})
	is.True(!ok)
}
