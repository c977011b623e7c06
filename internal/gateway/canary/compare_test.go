package canary

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against missing a version of which 3 in 10 responses are slow because its upstreams run less than
// those of the former version (seen in bad-versions --vary, seed 647580005597).
func TestSlowResponsesAtLowerLoad(t *testing.T) {
	for _, c := range []struct {
		name    string
		slow    int // of 20 responses of the target
		running int
		verdict Verdict
	}{
		{"a part is slow at a lower load", 6, 2, RollBack},
		{"good at a lower load", 0, 2, Pending},
		{"a part is slow at a higher load", 6, 40, Pending},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, r := is.New(t), New(10*time.Second, 0.15)
			for range 100 {
				r.Observe(Key{Route: "a", Model: "m", Gap: true, Load: ClassifyLoad(10)}, false, Observation(30*time.Millisecond))
			}
			for i := range 20 {
				d := 20 * time.Millisecond
				if i < c.slow {
					d *= 8
				}
				r.Observe(Key{Route: "a", Model: "m", Gap: true, Load: ClassifyLoad(c.running)}, true, Observation(d))
			}
			_, v, _ := r.Decide(5 * time.Second)
			is.Equal(v, c.verdict)
		})
	}
}
