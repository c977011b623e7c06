package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests during a pause, against a herd right after it, and against a pause that
// outlives the incarnation that asked for it.
func TestPause(t *testing.T) {
	for _, c := range []struct {
		name  string
		born  int64
		after time.Duration
		sent  int
	}{
		{"at once", 1, 0, 0},
		{"before the end", 1, 1999 * time.Millisecond, 0},
		{"at the end", 1, 2 * time.Second, 1},
		{"a little later", 1, 2350 * time.Millisecond, 4},
		{"later", 1, 3 * time.Second, 1000},
		{"a later incarnation", 2, 0, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, clock := newBalancer(1)
			candidates := newCandidates(1)
			candidates[0].Born = c.born
			b.Pause("u0", 1, 2*time.Second)
			b.Pause("u0", 1, time.Second) // does not shorten the longer one
			clock.Advance(c.after)
			is.Equal(fill(b, candidates), c.sent)
			wait, ok := b.PauseEnd(candidates)
			is.Equal(ok, c.sent == 0)
			is.True(!ok || wait == 2*time.Second-c.after)
		})
	}
}

// Guards against requests that wait for their turn after a pause longer than they have to, that try again
// without end, or that wait for the end of a pause beside an upstream that doesn't pause.
func TestPauseTurn(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		wait  time.Duration
		ok    bool
	}{
		{"in the pause", 1500 * time.Millisecond, 0, false},
		{"the first is sent", 2 * time.Second, 100 * time.Millisecond, true},
		{"four are sent", 2350 * time.Millisecond, 50 * time.Millisecond, true},
		{"after the ramp", 3 * time.Second, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, clock := newBalancer(1)
			candidates := newCandidates(2)
			b.Pause("u0", 1, 2*time.Second)
			b.Pause("u1", 1, 10*time.Second)
			candidates[0].Born, candidates[1].Born = 1, 1
			clock.Advance(c.after)
			if wait, ok := b.PauseTurn(candidates); ok {
				is.Equal(wait, pauseRampStep) // the ramp admits one
			}
			fill(b, candidates)
			for n := 1; n <= 2; n++ {
				wait, ok := b.PauseTurn(candidates[:n])
				is.Equal(ok, c.ok)
				is.Equal(wait, c.wait)
			}
		})
	}
}

// Guards against a log without the end of a pause, or with one for each request after it.
func TestPauseOver(t *testing.T) {
	is := is.New(t)
	b, clock := newBalancer(1)
	c := newCandidates(1)[0]
	is.True(!b.PauseOver(c))
	b.Pause(c.ID, c.Born, time.Second)
	is.True(!b.PauseOver(c))
	clock.Advance(time.Minute)
	is.Equal(fill(b, []Candidate{c}), 1000)
	is.True(b.PauseOver(c))
	is.True(!b.PauseOver(c))
	b.Pause(c.ID, c.Born, time.Second)
	clock.Advance(time.Second)
	is.True(b.PauseOver(c))
}

// Guards against requests in the pause of a brittle upstream by an instance without a share of it, which leases
// slots.
func TestPauseWithoutShare(t *testing.T) {
	is := is.New(t)
	b, clock := newBalancer(1)
	b.Share = func(string, int) int { return 0 }
	b.Leased = func() bool { return true }
	c := newCandidates(1)
	b.SetBrittle(c[0].ID, true)
	b.Pause(c[0].ID, c[0].Born, 10*time.Second)
	for range 12 {
		is.Equal(fill(b, c), 0)
		clock.Advance(700 * time.Millisecond)
	}
	clock.Advance(10 * time.Second)
	is.Equal(fill(b, c), 1000)
}

// Guards against a request that was selected before a pause, or before another request took the last
// place at a brittle upstream.
func TestSelectedBeforePause(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(1)
	candidates := newCandidates(1)
	c, ok := b.Pick(candidates, Prefix{}, nil)
	is.True(ok)
	b.Pause(c.ID, c.Born, time.Second)
	is.True(!b.TryRequest(c))
}

// Guards against a late response of a former incarnation that ends the pause of the present one.
func TestPauseOfFormerIncarnation(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(1)
	c := newCandidates(1)
	c[0].Born = 2
	b.Pause(c[0].ID, 2, 2*time.Second)
	b.Pause(c[0].ID, 1, 5*time.Second)
	is.Equal(fill(b, c), 0)
}

// Guards against pauses that are lost when the state of idle upstreams is dropped.
func TestPauseSurvivesEviction(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(1)
	c := newCandidates(1)
	b.Pause(c[0].ID, c[0].Born, 10*time.Second)
	for i := range 3 * maxTracked {
		b.ReportLoad(fmt.Sprint("other", i), 1, 0)
	}
	is.Equal(fill(b, c), 0)
	is.True(len(b.upstreams) <= 2*maxTracked)
}

// Guards against many instances that all return to an upstream at the end of the pause that it asked
// them for, and against instances that do not return.
func TestInstancesReturnAfterPause(t *testing.T) {
	const length = 2 * time.Second
	for _, c := range []struct {
		name      string
		instances int
		after     time.Duration // since the end of the pause
		least     int           // requests at once from all instances
		most      int
	}{
		{"few instances", 3, 100 * time.Millisecond, 3, 16},
		{"many instances, early", 90, 100 * time.Millisecond, 1, 16},
		{"many instances, later", 90, maxReturnSpread, 90, 1000},
		{"more than the spread holds", 840, 100 * time.Millisecond, 1, 100},
		{"more than the spread holds, later", 840, maxReturnSpread, 840, 10000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			candidates, requests := newCandidates(1), 0
			for n := range c.instances {
				b, clock := newBalancer(uint64(n))
				b.Instances = func() int { return c.instances }
				b.Pause(candidates[0].ID, candidates[0].Born, length)
				clock.Advance(length + c.after)
				requests += min(fill(b, candidates), 10)
			}
			t.Logf("%d requests", requests)
			is.True(requests >= c.least)
			is.True(requests <= c.most)
		})
	}
}
