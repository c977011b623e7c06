package canary

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// play runs a roll-out of 24 s at 80 requests/s; fail is the failure rate of the new
// version at a time, slow the factor on its times.
func play(seed uint64, base float64, fail func(at time.Duration) float64, slow float64) (e Verdict, at time.Duration, exposed float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	r := New(24*time.Second, 0.15)
	var share Share
	requests, target := 0.0, 0.0
	for at = 0; at < 30*time.Second; at += 200 * time.Millisecond {
		for range 16 {
			requests++
			isTarget := random.Uint32N(1000) < uint32(share)
			rate, seconds := base, 0.3*random.ExpFloat64()
			if isTarget {
				target++
				rate = max(base, fail(at))
				seconds *= slow
			}
			l := math.Log(max(seconds, 1e-4))
			c := Stats{Successes: 1, Latencies: 1, LogSum: l, LogSquareSum: l * l}
			if random.Float64() < rate {
				c = Stats{Failures: 1}
			}
			r.Observe("r", isTarget, c)
		}
		if share, e, _ = r.Decide(at); e != Pending {
			break
		}
	}
	return e, at, target / (24 * 80)
}

// Guards against a bad version that gets too much of the traffic, and a good one that is taken back.
func TestRollout(t *testing.T) {
	never := func(time.Duration) float64 { return 0 }
	for _, c := range []struct {
		name string
		base float64
		fail func(time.Duration) float64
		slow float64
		end  Verdict
	}{
		{"good", 0.002, never, 1, Promote},
		{"good, with failures of its own", 0.14, never, 1, Promote},
		{"good, with a cold cache", 0, never, 2, Promote},
		{"bad at once", 0.002, func(time.Duration) float64 { return 0.3 }, 1, RollBack},
		{"bad beside other failures", 0.14, func(time.Duration) float64 { return 0.6 }, 1, RollBack},
		{"slow", 0.002, never, 8, RollBack},
		{"slow by a little", 0.002, never, 2.2, Promote},
		{"late", 0.002, func(at time.Duration) float64 { return map[bool]float64{at > 9*time.Second: 0.5}[true] }, 1, RollBack},
		{"later", 0.002, func(at time.Duration) float64 { return map[bool]float64{at > 15*time.Second: 0.5}[true] }, 1, RollBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				e, at, exposed := play(seed, c.base, c.fail, c.slow)
				is.Equal(e, c.end)
				is.True(at < 24*time.Second)
				is.True(c.end == Promote || exposed < 0.15)
			}
		})
	}
}

// Guards against a version that fails only once it has everything: the limit of
// exposure must hold although nothing was seen before, also if a burst comes then.
func TestExposureWithoutTrouble(t *testing.T) {
	for _, c := range []struct {
		name     string
		duration time.Duration
		exposure float64
		burst    float64
	}{
		{"long", 24 * time.Second, 0.15, 1},
		{"short", 12 * time.Second, 0.15, 1},
		{"burst at the end", 24 * time.Second, 0.15, 1.7},
		{"lower limit", 24 * time.Second, 0.0975, 1.7},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := New(c.duration, c.exposure)
			r.Observe("r", true, Stats{Successes: 1})
			requests, target, ended := 0.0, 0.0, time.Duration(0)
			for at := time.Duration(0); at < c.duration; at += 10 * time.Millisecond {
				rate := 0.8
				if at > c.duration*85/100 {
					rate *= c.burst
				}
				share, end, _ := r.Decide(at)
				if end == Promote && ended == 0 {
					ended = at
				}
				requests += rate
				target += rate * float64(share) / 1000
			}
			is.True(ended > 0)
			is.True(target <= c.exposure*requests+30)
		})
	}
}

// Guards against a version that begins its answers in time and goes on slowly.
func TestSlowPace(t *testing.T) {
	is := is.New(t)
	r := New(24*time.Second, 0.15)
	random := rand.New(rand.NewPCG(3, 3))
	observe := func(route string, target bool, seconds float64) {
		l := math.Log(seconds * (0.5 + random.Float64()))
		r.Observe(route, target, Stats{Latencies: 1, LogSum: l, LogSquareSum: l * l})
	}
	for range 30 {
		for _, target := range []bool{false, true} {
			observe("a", target, 0.1)
			observe("a"+EventGapSuffix, target, map[bool]float64{false: 0.02, true: 0.16}[target])
		}
	}
	_, end, _ := r.Decide(5 * time.Second)
	is.Equal(end, RollBack)
}

// Replays a short canary of a version whose pauses within answers are 3.5 times as long,
// as gnsw-frostline showed it (rollouts --vary, seed 43550033605): it must be seen
// before it gets everything. A good version whose canary fills one upstream is up
// to 2.9 times as slow and must not go back.
func TestSlowPaceOfFewAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		factor  float64
		answers int
		want    Verdict
	}{
		{"slow", 3.55, 21, RollBack},
		{"full upstream", 2.85, 21, Pending},
		{"full upstream, many answers", 2.85, 300, Pending},
		{"too few answers", 8, leastSlow - 1, Pending},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := New(12*time.Second, 0.15)
			// The logarithms of the pauses spread by 0.78, as there.
			observe := func(target bool, n int, mean float64) {
				for i := range n {
					l := math.Log(mean) + 0.78*float64(2*(i%2)-1)
					if n%2 == 1 && i == n-1 {
						l = math.Log(mean)
					}
					r.Observe("a"+EventGapSuffix, target, Stats{Latencies: 1, LogSum: l, LogSquareSum: l * l})
				}
			}
			observe(false, 400, 0.02)
			observe(true, c.answers, 0.02*c.factor)
			_, end, _ := r.Decide(8 * time.Second)
			is.Equal(end, c.want)
		})
	}
}
