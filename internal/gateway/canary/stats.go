package canary

import (
	"math"
	"math/bits"
	"time"
)

// Key identifies the observations that are summarized together for each version.
type Key struct {
	Route string
	// Gap is true for the gaps between the events of responses, and false for the outcomes and
	// the times to the first byte.
	Gap bool
	// Model is the model that responded, or empty if the route has none.
	Model string
	// Load is the load of the upstreams.
	Load LoadClass
}

// LoadClass is a range of the number of requests that an upstream runs: the logarithm to base 2,
// plus 1.
type LoadClass uint8

// UnknownLoad is the load of an upstream that does not state it.
const UnknownLoad LoadClass = 0

// maxLoadClass is the class of all higher loads.
const maxLoadClass LoadClass = 16

// ClassifyLoad returns the class of a number of running requests.
func ClassifyLoad(running int) LoadClass {
	return min(LoadClass(bits.Len(uint(max(running, 0))))+1, maxLoadClass)
}

// Histogram counts latencies in ranges that are a factor of the square root of 2 wide, from
// firstRange on.
type Histogram [24]float64

// firstRange is the upper bound of the first range of a Histogram.
const firstRange = 2 * time.Millisecond

// rangeOf returns the range of a histogram in which a latency falls, given its logarithm in seconds.
func rangeOf(log float64) int {
	n := math.Ceil((log - math.Log(firstRange.Seconds())) / (math.Ln2 / 2))
	return int(min(max(n, 0), float64(len(Histogram{})-1)))
}

// Observation returns the statistics of one latency.
func Observation(d time.Duration) (s Stats) {
	l := math.Log(max(d.Seconds(), 1e-4))
	s.Latencies, s.LogSum, s.LogSquareSum = 1, l, l*l
	s.Histogram[rangeOf(l)] = 1
	return s
}

// Stats summarizes the responses of one version.
type Stats struct {
	// Successes and Failures are numbers of responses; halving makes them fractions.
	Successes, Failures float64
	// Latencies is the number of latencies (times to the first byte, or event gaps), LogSum
	// the sum of their logarithms and LogSquareSum that of the squares of these. Logarithms
	// are used because latencies spread over orders of magnitude.
	Latencies, LogSum, LogSquareSum float64
	Histogram                       Histogram
}

// add adds other observations, with a weight.
func (s *Stats) add(o Stats, weight float64) {
	s.Successes += o.Successes * weight
	s.Failures += o.Failures * weight
	s.Latencies += o.Latencies * weight
	s.LogSum += o.LogSum * weight
	s.LogSquareSum += o.LogSquareSum * weight
	for i, n := range o.Histogram {
		s.Histogram[i] += n * weight
	}
}

// above returns the number of latencies that are clearly longer than one with this logarithm.
func (s Stats) above(log float64) (n float64) {
	for _, count := range s.Histogram[min(rangeOf(log)+1, len(s.Histogram)):] {
		n += count
	}
	return n
}

func (s Stats) total() float64 { return s.Successes + s.Failures }

// logMean returns the mean and the variance of the logarithms of the latencies.
func (s Stats) logMean() (m, variance float64) {
	if s.Latencies <= 1 {
		return 0, 1
	}
	m = s.LogSum / s.Latencies
	return m, max(s.LogSquareSum/s.Latencies-m*m, minVariance)
}
