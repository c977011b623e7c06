// Package modelselect chooses the model of a request whose caller leaves the choice to the
// gateway. It answers a load that the largest model cannot carry: most requests are
// answered well by the smallest, and its own opinion of the answer, which comes with
// the head, tells the others before the caller has seen anything.
package modelselect

// Confidence is a model's opinion of its answer, 0 to 100.
type Confidence int

// Unreported stands for an answer without an opinion.
const Unreported Confidence = -1

const (
	// accept is the confidence from which an answer is passed on.
	accept Confidence = 55
	// crowded is the pressure, in requests per slot, from which answers of smaller models
	// are accepted with less confidence; at full they are all accepted.
	crowded = 0.7
	full    = 1.6
)

// Initial returns the index of the model that a request begins with, 0 being the smallest.
func Initial(int) int { return 0 }

// Escalate returns the index of the model that answers instead, or ok false to pass the
// answer on. pressure is the mean load per slot of the engines.
func Escalate(index, sizes int, c Confidence, pressure float64) (next int, ok bool) {
	if index >= sizes-1 || c == Unreported {
		return index, false
	}
	limit := float64(accept)
	if pressure > crowded {
		limit *= max(0, 1-(pressure-crowded)/(full-crowded))
	}
	if float64(c) >= limit {
		return index, false
	}
	return sizes - 1, true
}
