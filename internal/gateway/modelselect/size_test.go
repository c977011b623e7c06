package modelselect

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against a cascade that never ends, that drops an answer without an opinion,
// or that goes on to larger models when the engines cannot carry them.
func TestNext(t *testing.T) {
	for _, c := range []struct {
		name       string
		index      int
		confidence Confidence
		pressure   float64
		next       int
		ok         bool
	}{
		{"sure", 0, 90, 0, 0, false},
		{"unsure", 0, 20, 0, 2, true},
		{"unsure, the largest", 2, 20, 0, 2, false},
		{"no opinion", 0, Unreported, 0, 0, false},
		{"unsure, engines full", 0, 20, full, 0, false},
		{"rather unsure, engines crowded", 0, 45, (crowded + full) / 2, 0, false},
		{"very unsure, engines crowded", 0, 10, (crowded + full) / 2, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			next, ok := Escalate(c.index, 3, c.confidence, c.pressure)
			is.Equal(ok, c.ok)
			if ok {
				is.Equal(next, c.next)
			}
		})
	}
}

// Replays a mix of easy and hard requests: the cascade must cost well under the
// largest model alone and answer nearly as many well.
func TestCascade(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	quality, cost := []float64{0.56, 0.65, 1}, []float64{0.017, 0.12, 0.25}
	spent, good := 0.0, 0
	const requests = 10_000
	for range requests {
		hard := random.Float64()
		index := Initial(len(quality))
		for {
			spent += cost[index]
			opinion := Confidence(min(max(50+100*(quality[index]-hard)+20*random.NormFloat64(), 0), 100))
			next, ok := Escalate(index, len(quality), opinion, 0)
			if !ok {
				break
			}
			index = next
		}
		if hard < quality[index] {
			good++
		}
	}
	is.True(spent < 0.7*requests*cost[2])
	is.True(good > 0.9*requests)
}
