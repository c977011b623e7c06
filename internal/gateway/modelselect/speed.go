package modelselect

import (
	"math"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// speedCostExponent is how the time per token of a model that has not run yet follows from its price:
	// a model of 15 times the price was seen to take about 10 times as long.
	speedCostExponent = 0.85
	// assumedReadRate and assumedWriteRate are the times per token, in seconds, that the smallest model is
	// assumed to take until a model has run.
	assumedReadRate  = 20e-6
	assumedWriteRate = 200e-6
	// minReadTokens is the size that a shorter prompt counts as, since each run has a fixed part.
	minReadTokens = 200
	// minRate is the shortest time per token, in seconds, that counts.
	minRate = 1e-9
)

// served identifies a model of a service.
type served struct {
	service layout.Service
	model   layout.Model
}

// RecordFirst learns from the time from sending a request to the first byte of its response, and returns
// how much longer that took than usual. queued tells whether the upstream had a queue: the time is an upper
// bound then.
func (s *Selector) RecordFirst(r *Request, index int, took time.Duration, queued bool) (wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	usual, _ := s.slotTime(r, index, now)
	v, k := took.Seconds(), served{r.Service, r.Models[index]}
	if queued && s.readRates[k] != nil {
		v = min(v, usual.Seconds())
	}
	record(s.readRates, k, r.Account, math.Log(max(v/readTokens(r), minRate)), now)
	return max(took-usual, 0)
}

// RecordEnd learns from the time from the first byte of a response to its end.
func (s *Selector) RecordEnd(r *Request, index int, took time.Duration) {
	if r.Usage.MaxOut <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := math.Log(max(took.Seconds()/float64(r.Usage.MaxOut), minRate))
	record(s.writeRates, served{r.Service, r.Models[index]}, r.Account, v, s.timer.Now())
}

func readTokens(r *Request) float64 { return float64(max(r.Usage.In, minReadTokens)) }

// slotTime returns the time that a run is expected to take a slot: until its first event, and from there
// to its end.
func (s *Selector) slotTime(r *Request, index int, now timer.Instant) (read, write time.Duration) {
	readRate := rate(s.readRates, r, index, assumedReadRate, now)
	writeRate := rate(s.writeRates, r, index, assumedWriteRate, now)
	return seconds(readRate * readTokens(r)), seconds(writeRate * float64(r.Usage.MaxOut))
}

// rate returns the time per token of a model. That of a model without runs follows by their prices from
// that of the largest model that has run, or from what is assumed of the smallest one.
func rate(rates map[served]*average, r *Request, index int, assumed float64, now timer.Instant) float64 {
	find := func(i int) (v float64, ok bool) {
		weight, sum := rates[served{r.Service, r.Models[i]}].total(r.Account, now)
		return math.Exp(sum / weight), weight > 0
	}
	if v, ok := find(index); ok {
		return v
	}
	for i := len(r.Models) - 1; i >= 0; i-- {
		if v, ok := find(i); ok {
			return v * math.Pow(relativeCost(r, index)/relativeCost(r, i), speedCostExponent)
		}
	}
	return assumed * math.Pow(relativeCost(r, index)/relativeCost(r, 0), speedCostExponent)
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
