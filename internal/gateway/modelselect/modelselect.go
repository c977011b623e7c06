// Package modelselect selects the model of a request whose caller leaves the choice to
// the gateway. The upstreams cannot run every request on the largest model. Since the
// smallest answers most requests well, each request starts there and escalates if the
// model's confidence, which arrives with the response header, is low. At that point
// nothing has been passed on to the caller. A request that may run only once can't escalate:
// its model is selected by the load alone.
package modelselect

import "math"

// Confidence is a model's rating of its own answer, 0 to 100.
type Confidence int

// Unreported stands for an answer without a confidence.
const Unreported Confidence = -1

const (
	// minConfidence is the confidence from which an answer is always passed on.
	minConfidence Confidence = 55
	// Above busyUtilization, in requests per slot, answers are passed on with less confidence
	// the higher the load is, and from saturatedUtilization with any confidence.
	busyUtilization      = 0.7
	saturatedUtilization = 1.6
)

// Initial returns the index of the model that a request starts with. It is 0, the smallest,
// whatever the number of models, which is the argument.
func Initial(int) int { return 0 }

// Escalate decides whether an answer of the model with the given index is passed on. If not,
// it returns true and the index of the largest model, to which the request is sent instead.
// models is the number of models, and utilization the mean load per slot of the upstreams.
func Escalate(index, models int, c Confidence, utilization float64) (next int, ok bool) {
	if index >= models-1 || c == Unreported {
		return index, false
	}
	threshold := float64(minConfidence)
	if utilization > busyUtilization {
		threshold *= max(0, 1-(utilization-busyUtilization)/(saturatedUtilization-busyUtilization))
	}
	if float64(c) >= threshold {
		return index, false
	}
	return models - 1, true
}

// Only returns the index of the model for a request that can't escalate, since it may run only
// once: the largest one while the upstreams have capacity for it, and a smaller one the busier
// they are. models is the number of models, and utilization the mean load per slot of the
// upstreams.
func Only(models int, utilization float64) int {
	spare := (saturatedUtilization - utilization) / (saturatedUtilization - busyUtilization)
	return int(math.Round(float64(models-1) * min(max(spare, 0), 1)))
}
