package permit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against permits for a cold upstream that together exceed its bound, whatever the settings and the rate are,
// with a new leader or a new incarnation each now and then, and against a bound that is not used.
func TestColdBudget(t *testing.T) {
	for _, c := range []struct {
		rate, overrun, slack float64
		used                 float64 // least part of the rate that is lent, or of the bound where that is less
	}{
		{11, 1.5, 5, 0.9},
		{11, 1.5, 0, 0.6},
		{11, 1, 0, 0.6},
		{11, 0, 5, 0.6},
		{11, 0, 1, 0.5},
		{11, 0, 0.5, 0},
		{11, 0, 0, 0},
		{0.1, 1, 0.4, 0},
		{0.1, 1.5, 5, 0}, // a permit takes longer than a leader stays here
		{0.5, 1.5, 1, 0.6},
		{3.7, 1.1, 0.3, 0.6},
		{500, 1.01, 0, 0.6},
		{1e6, 1e6, 1e9, 0},
	} {
		t.Run(fmt.Sprint(c.rate, "x", c.overrun, "+", c.slack), func(t *testing.T) {
			is := is.New(t)
			const played = time.Minute
			bounds, random := ColdBounds{Enabled: true, Overrun: c.overrun, Slack: c.slack}, rand.New(rand.NewPCG(1, 1))
			l, clock, born := NewLender(), timer.NewManual(), int64(1)
			var lent []timer.Instant // one entry for each permit
			for start := clock.Now(); clock.Now().Sub(start) < played && c.rate < 1e5; clock.Advance(5 * time.Millisecond) {
				switch random.IntN(2000) {
				case 0:
					l = NewLender()
				case 1:
					born++
				}
				n, wait := l.LendCold("u", born, 1+random.IntN(40), bounds.Budget(Rate(c.rate)), clock.Now())
				is.True(n > 0 || wait > 0)
				is.True(wait <= maxColdWait)
				for range n {
					lent = append(lent, clock.Now())
				}
			}
			first, allowed := 0, bounds.Allowed(Rate(c.rate))
			for i, at := range lent {
				for at.Sub(lent[first]) > exposure {
					first++
				}
				is.True(float64(i-first+1) <= allowed)
			}
			is.True(float64(len(lent)) >= c.used*min(c.rate, float64(int(allowed)))*played.Seconds())
			b := bounds.Budget(Rate(c.rate))
			is.True(b.Burst == 0 || b.Burst+float64(b.Rate)*exposure.Seconds() < float64(int(allowed))+1)
		})
	}
}

// Guards against a request to a cold upstream on a permit that was lent before the upstream was known to be cold, on
// one that expired while the process stood still, and against a leader of an earlier build that is asked all the time.
func TestColdPermit(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	s := NewStock(clock)
	is.True(!s.Has("u", 1, true))
	_, ok := s.Take("u", 1, true)
	is.True(!ok)
	s.Apply([]Grant{{ID: "u", Born: 1, Count: 1, Limited: true}}, clock.Now())
	_, ok = s.Take("u", 1, true)
	is.True(!ok)
	s.Apply([]Grant{{ID: "u", Born: 1, Count: 2, Cold: true}}, clock.Now())
	is.True(s.Has("u", 1, true))
	p, ok := s.Take("u", 1, true)
	is.True(ok && p.Cold() && p.Valid(clock.Now()))
	clock.Advance(ColdLifetime)
	is.True(!p.Valid(clock.Now()))
	is.True(!s.Has("u", 1, true))
	s.Apply([]Grant{{ID: "u", Born: 1}}, clock.Now())
	s.Request("u", 1, true)
	is.Equal(len(s.TakeWants()), 0)
	_, ok = s.Take("u", 2, true) // a new incarnation
	is.True(!ok)
	_, ok = s.Take("u", 1, true) // an earlier one
	is.True(!ok)
	is.Equal(len(s.Limits()), 0)
	_, ok = s.Take("u", 2, false) // no longer cold
	is.True(ok)
}
