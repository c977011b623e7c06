package modelselect

import (
	"math"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
)

const (
	// speedSmoothing is the weight of the newest run in the moving average of a model's speed.
	speedSmoothing = 0.05
	// speedCostExponent is how the time per token of a model that has not run yet follows from its price:
	// a model of 15 times the price was seen to take about 10 times as long.
	speedCostExponent = 0.85
	// assumedReadRate and assumedWriteRate are the times per token, in seconds, that the smallest model is
	// assumed to take until a model has run.
	assumedReadRate  = 20e-6
	assumedWriteRate = 200e-6
	// minReadTokens is the size that a shorter prompt counts as, since each run has a fixed part.
	minReadTokens = 200
	// maxSpeeds limits the models whose speed is known.
	maxSpeeds = 256
)

// served identifies a model of a service.
type served struct {
	service layout.Service
	model   layout.Model
}

// speed is the time that a model takes, in seconds per token read and per token allowed to be written.
type speed struct {
	read, write movingAverage
}

// movingAverage is an average in which each new value counts for speedSmoothing, the first ones for more.
type movingAverage struct {
	value float64
	count int
}

func (m *movingAverage) add(v float64) {
	m.count++
	m.value += (v - m.value) * max(speedSmoothing, 1/float64(m.count))
}

// RecordFirst learns from the time from sending a request to the first byte of its response, and returns
// how much longer that took than usual. queued tells whether the upstream had a queue, in which case the
// time does not count, unless nothing else is known.
func (s *Selector) RecordFirst(r *Request, index int, took time.Duration, queued bool) (wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.speedOf(served{r.Service, r.Models[index]})
	if !queued || v.read.count == 0 {
		v.read.add(took.Seconds() / readTokens(r))
	}
	read, _ := s.slotTime(r, index)
	return max(took-read, 0)
}

// RecordEnd learns from the time from the first byte of a response to its end.
func (s *Selector) RecordEnd(r *Request, index int, took time.Duration) {
	if r.Usage.MaxOut <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speedOf(served{r.Service, r.Models[index]}).write.add(took.Seconds() / float64(r.Usage.MaxOut))
}

func (s *Selector) speedOf(k served) *speed {
	if s.speeds[k] == nil {
		if len(s.speeds) >= maxSpeeds {
			clear(s.speeds)
		}
		s.speeds[k] = &speed{}
	}
	return s.speeds[k]
}

func readTokens(r *Request) float64 { return float64(max(r.Usage.In, minReadTokens)) }

// slotTime returns the time that a run is expected to take a slot: until its first event, and from there
// to its end.
func (s *Selector) slotTime(r *Request, index int) (read, write time.Duration) {
	readRate := s.rate(r, index, assumedReadRate, func(v *speed) movingAverage { return v.read })
	writeRate := s.rate(r, index, assumedWriteRate, func(v *speed) movingAverage { return v.write })
	return seconds(readRate * readTokens(r)), seconds(writeRate * float64(r.Usage.MaxOut))
}

// rate returns the time per token of a model. That of a model without runs follows by their prices from
// that of the largest model that has run, or from what is assumed of the smallest one.
func (s *Selector) rate(r *Request, index int, assumed float64, pick func(*speed) movingAverage) float64 {
	if v := s.speeds[served{r.Service, r.Models[index]}]; v != nil && pick(v).count > 0 {
		return pick(v).value
	}
	for i := len(r.Models) - 1; i >= 0; i-- {
		if v := s.speeds[served{r.Service, r.Models[i]}]; v != nil && pick(v).count > 0 {
			return pick(v).value * math.Pow(relativeCost(r, index)/relativeCost(r, i), speedCostExponent)
		}
	}
	return assumed * math.Pow(relativeCost(r, index)/relativeCost(r, 0), speedCostExponent)
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
