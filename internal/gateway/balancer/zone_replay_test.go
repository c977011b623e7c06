package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load pattern: 65 instances in three zones that send the same load each, with reports of 100 to 500 ms ago. Guards
// against requests that stay in a zone that can't serve them, and against bodies that are moved between equal zones.
func TestZoneSpillover(t *testing.T) {
	const stays = 1e9 // size of requests that never leave
	for _, c := range []struct {
		name        string
		zones       []int // upstreams
		lost        func(c Candidate) bool
		bytes       float64
		maxLeft     float64 // part of the requests that leaves its zone
		gains       bool    // the late responses halve at least
		utilization float64
	}{
		{"equal", []int{30, 30, 30}, nil, 50_000, 0.02, false, 0.6},
		{"too small by a third", []int{20, 35, 35}, nil, 50_000, 0.25, true, 0.7},
		{"loses half", []int{30, 30, 30}, func(c Candidate) bool { return c.Zone == "z0" && (c.ID[len(c.ID)-1]-'0')%2 == 0 }, 50_000, 0.3, true, 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			lates := map[bool]float64{}
			for _, mayLeave := range []bool{false, true} {
				if !mayLeave && !c.gains {
					continue
				}
				r := newEngineReplay(65, 90, c.utilization, true, 3)
				i := 0
				for zone, n := range c.zones {
					for range n {
						r.candidates[i].Zone = fmt.Sprint("z", zone)
						i++
					}
				}
				if r.bytes = stays; mayLeave {
					r.bytes = c.bytes
				}
				if c.lost != nil {
					r.after(r.from-time.Second, func() { r.lose(c.lost) })
				}
				r.run()
				p99 := time.Duration(0)
				p99, lates[mayLeave] = r.summary(r.light)
				heavy, _ := r.summary(r.heavy)
				left := float64(r.left) / float64(r.placed)
				t.Logf("may leave %t: left %.3f, light p99 %v late %.4f, heavy p99 %v", mayLeave, left, p99, lates[mayLeave], heavy)
				is.True(left <= c.maxLeft)
			}
			is.True(!c.gains || lates[true] < lates[false]/2)
		})
	}
}

// Load pattern: a prompt part that a fifth of the requests shares. Guards against upstreams that get all
// of them because they have the part cached.
func TestHotPartAtEngines(t *testing.T) {
	is := is.New(t)
	r := newEngineReplay(65, 90, 0.6, true, 4)
	r.bytes, r.prefix = 50_000, Prefix{Key: 77, Tokens: 3000}
	r.run()
	counts := []int{}
	for _, n := range r.perUpstream {
		counts = append(counts, n)
	}
	most, mean := slices.Max(counts), float64(r.placed)/90
	p99, late := r.summary(r.light)
	t.Logf("most %d, mean %.1f, left %d of %d, light p99 %v late %.4f", most, mean, r.left, r.placed, p99, late)
	is.True(float64(most) < 6*mean)
	is.True(late < 0.1)
}
