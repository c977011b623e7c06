package sizeclass

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

func newUpstreams(n int) (out []Upstream) {
	for i := range n {
		out = append(out, Upstream{ID: fmt.Sprint("u", i), Zone: fmt.Sprint("z", i%3)})
	}
	return out
}

// record records requests at a rate that a classifier of one of 65 instances sees.
func record(c *Classifier, clock *timer.Manual, random *rand.Rand, requests int, work func() Work) {
	for range requests {
		clock.Advance(200 * time.Millisecond)
		c.Record("s", work()*Work(0.5+random.Float64()))
	}
}

// Guards against parts where they cannot help, and against parts that are of the wrong size.
func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name        string
		requests    int
		heavy       float64 // chance of a heavy request of 100 times the work
		upstreams   int
		utilization float64
		share       float64 // expected, 0 for no parts
	}{
		{"heavy-tailed", 600, 0.015, 90, 0.3, 0.6},
		{"too few requests", 40, 0.1, 90, 0.3, 0},
		{"all alike", 600, 0, 90, 0.3, 0},
		{"few upstreams", 600, 0.015, 6, 0.3, 0},
		{"low load", 600, 0.015, 90, 0.02, 0},
		{"almost all work is heavy", 600, 0.3, 90, 0.3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock, random := timer.NewManual(), rand.New(rand.NewPCG(1, 1))
			clock.Advance(time.Minute)
			classifier := New(clock)
			record(classifier, clock, random, c.requests, func() Work {
				if random.Float64() < c.heavy {
					return 100_000
				}
				return 1000
			})
			upstreams := newUpstreams(c.upstreams)
			p, changed := classifier.Update("s", upstreams, c.utilization)
			is.Equal(changed, p != nil)
			if p == nil {
				is.Equal(c.share, 0.0)
				return
			}
			is.True(c.share > 0 && p.Share > c.share-0.15 && p.Share < c.share+0.15)
			is.True(p.IsHeavy(60_000) && !p.IsHeavy(1400))
			heavy := 0
			for _, u := range upstreams {
				if p.Heavy(u.ID, u.Zone) {
					heavy++
				}
			}
			is.True(float64(heavy) > p.Share*float64(c.upstreams)-1 && float64(heavy) < p.Share*float64(c.upstreams)+1)
		})
	}
}

// Guards against parts that swing: instances with the same load and table must agree on almost all upstreams,
// and an upstream must not change its part all the time.
func TestPartsAreSteady(t *testing.T) {
	is := is.New(t)
	const instances, rounds = 20, 60
	upstreams := newUpstreams(90)
	votes, moves := map[string]int{}, 0
	for n := range instances {
		clock, random := timer.NewManual(), rand.New(rand.NewPCG(uint64(n), 3))
		clock.Advance(time.Minute)
		c := New(clock)
		var before *Plan
		for round := range rounds + 60 {
			record(c, clock, random, 5, func() Work {
				if random.Float64() < 0.1 {
					return 120_000
				}
				return 10_000
			})
			p, _ := c.Update("s", upstreams, 0.3)
			if round < 60 {
				continue
			}
			is.True(p != nil)
			for _, u := range upstreams {
				if before != nil && before.Heavy(u.ID, u.Zone) != p.Heavy(u.ID, u.Zone) {
					moves++
				}
			}
			before = p
		}
		for _, u := range upstreams {
			if before.Heavy(u.ID, u.Zone) {
				votes[u.ID]++
			}
		}
	}
	disputed := 0
	for _, v := range votes {
		if v > instances/10 && v < instances*9/10 {
			disputed++
		}
	}
	t.Logf("%d moves a minute of an instance, %d of %d upstreams disputed", moves/instances, disputed, len(upstreams))
	is.True(moves/instances < 30)
	is.True(disputed < len(upstreams)/3)
}
