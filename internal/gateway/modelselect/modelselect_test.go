package modelselect

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against escalation that never ends, that drops an answer without a confidence, or
// that adds load when the upstreams have no capacity for larger models.
func TestEscalate(t *testing.T) {
	for _, c := range []struct {
		name        string
		index       int
		confidence  Confidence
		utilization float64
		next        int
		ok          bool
	}{
		{"confident", 0, 90, 0, 0, false},
		{"low confidence", 0, 20, 0, 2, true},
		{"low confidence, largest model", 2, 20, 0, 2, false},
		{"confidence not reported", 0, Unreported, 0, 0, false},
		{"low confidence, upstreams saturated", 0, 20, saturatedUtilization, 0, false},
		{"fairly low confidence, upstreams busy", 0, 45, (busyUtilization + saturatedUtilization) / 2, 0, false},
		{"very low confidence, upstreams busy", 0, 10, (busyUtilization + saturatedUtilization) / 2, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			next, ok := Escalate(c.index, 3, c.confidence, c.utilization)
			is.Equal(ok, c.ok)
			if ok {
				is.Equal(next, c.next)
			}
		})
	}
}

// Guards against escalation that costs as much as the largest model alone, or that answers
// clearly fewer requests well, on a mix of easy and hard requests.
func TestEscalationCost(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	// By model: the difficulty up to which it answers well, and the cost of one answer.
	quality, cost := []float64{0.56, 0.65, 1}, []float64{0.017, 0.12, 0.25}
	totalCost, answeredWell := 0.0, 0
	const requests = 10_000
	for range requests {
		difficulty := random.Float64()
		index := Initial(len(quality))
		for {
			totalCost += cost[index]
			confidence := Confidence(min(max(50+100*(quality[index]-difficulty)+20*random.NormFloat64(), 0), 100))
			next, ok := Escalate(index, len(quality), confidence, 0)
			if !ok {
				break
			}
			index = next
		}
		if difficulty < quality[index] {
			answeredWell++
		}
	}
	is.True(totalCost < 0.7*requests*cost[2])
	is.True(answeredWell > 0.9*requests)
}

// Guards against a request that may run only once and gets the smallest model although the
// upstreams have capacity, or the largest one although they have none.
func TestOnly(t *testing.T) {
	for _, c := range []struct {
		models      int
		utilization float64
		index       int
	}{
		{3, 0, 2},
		{3, busyUtilization, 2},
		{3, (busyUtilization + saturatedUtilization) / 2, 1},
		{3, saturatedUtilization, 0},
		{3, 9, 0},
		{1, 0, 0},
	} {
		is.New(t).Equal(Only(c.models, c.utilization), c.index)
	}
}
