package connlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against shares that add up to more than the upstream accepts, also if the instances know of other
// queues and resets or of a fifth of the others less, and against instances without any connection
// although there are enough for all.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		limit, instances, upstreams int
		each                        int // least number of connections of an instance to all upstreams
	}{
		{460, 12, 4, 112}, {460, 67, 4, 20}, {450, 65, 3, 15}, {460, 200, 4, 6}, {460, 840, 4, 1}, {460, 840, 1, 0}, {1, 3, 3, 1}, {1, 1, 1, 1},
	} {
		is, random := is.New(t), rand.New(rand.NewPCG(1, 2))
		of := make([]int, c.instances)
		for u := range c.upstreams {
			sum, mixed, uncertain := 0, 0, 0
			for i := range of {
				s := Scope{Limit: c.limit, Instance: i, Instances: c.instances, Upstream: u, Slots: 6}
				sum, of[i] = sum+s.share(1), of[i]+s.share(1)
				s.Waiting = random.IntN(30)
				mixed += s.share(0.25 + 0.75*random.Float64())
				s.Waiting, s.Instances = 0, c.instances-random.IntN(c.instances/5+1)
				uncertain += s.share(1)
			}
			is.True(sum <= max(1, c.limit*3/4))
			is.True(mixed <= sum)
			is.True(uncertain <= c.limit)
		}
		for _, n := range of {
			is.True(n >= c.each)
		}
	}
}

// Guards against a share that grows at once when instances are lost that may still hold theirs, that stays
// small after a reset, or that is large while few of the others are known.
func TestShareOverTime(t *testing.T) {
	const start = timer.Instant(time.Hour)
	l, is := NewLedger(10), is.New(t)
	for _, c := range []struct {
		at        time.Duration
		instances int
		reset     bool
		share     int
	}{
		{0, 1, false, 75},
		{time.Second, 60, false, 2},
		{5 * time.Second, 60, false, 10},
		{6 * time.Second, 20, false, 10},
		{12 * time.Second, 20, false, 10},
		{21 * time.Second, 20, false, 10},
		{23 * time.Second, 20, false, 30},
		{24 * time.Second, 20, true, 15},
		{24100 * time.Millisecond, 20, true, 15},
		{34 * time.Second, 20, false, 30},
	} {
		now := start.Add(c.at)
		if c.reset {
			l.RecordReset("a", now)
		}
		is.Equal(l.Share("a", Scope{Limit: 800, Instance: 19, Instances: c.instances, Slots: 6}, now), c.share)
	}
}

// Guards against idle connections that are kept beyond the share, and against more connections than the
// process has descriptors for.
func TestAcquire(t *testing.T) {
	now, is := timer.Instant(time.Hour), is.New(t)
	l := NewLedger(4)
	s := Scope{Limit: 16, Instances: 4} // 3 for each, 2 at first
	is.True(l.Acquire("a", s, 0, 0, now).Open)
	is.True(l.Acquire("a", s, 0, 0, now).Open)
	is.Equal(l.Acquire("a", s, 0, 0, now), Verdict{})
	now = now.Add(time.Minute)
	is.Equal(l.Acquire("a", s, 0, 0, now), Verdict{Open: true})
	is.Equal(l.Acquire("a", s, 1, 1, now), Verdict{Open: true, CloseIdle: 1})
	l.Release("a", now)
	is.Equal(l.IdleTime("a", s, 0, 4*time.Second, now), 375*time.Millisecond)
	is.Equal(l.IdleTime("a", s, 1, 4*time.Second, now), time.Duration(0))
	s.Instances = 12
	is.Equal(l.Excess("a", s, 2, now), 2)
	is.Equal(l.IdleTime("a", s, 0, 4*time.Second, now), time.Duration(0))
	is.True(l.Acquire("b", Scope{}, 0, 0, now).Open)
	is.Equal(l.Acquire("c", Scope{}, 0, 0, now), Verdict{})
	is.Equal(l.Acquire("c", Scope{}, 0, 1, now), Verdict{Open: true, CloseAny: 1})
}
