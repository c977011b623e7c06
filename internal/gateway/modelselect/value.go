package modelselect

import (
	"math"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Usage is the size of a request as its caller states it, in tokens.
type Usage struct {
	In, MaxOut int
}

// DefaultUsage is assumed of a request whose caller states no size.
var DefaultUsage = Usage{In: 1000, MaxOut: 256}

// MaxTokens limits both counts of a usage.
const MaxTokens = 1 << 20

const (
	// valueMultiple is what a good answer is worth to its caller, as a multiple of the price of as many
	// tokens of the largest model as the caller allows: who asks for more text values it more.
	valueMultiple = 12.0
	// readPrice is the price of a token read, as a part of that of a token generated.
	readPrice = 0.25
	// outputShare is the part of the allowed tokens that an answer has on average.
	outputShare = 1.0 / 3
	// lateShare is what a good answer is worth after its objective: measured 12 to 50 in 100.
	lateShare = 0.3
	// minSlotTime is the shortest time, in seconds, for which a run counts as taking a slot.
	minSlotTime = 0.001
	// assumedCostRatio is the ratio of the prices of two models in a row if the configuration states none.
	assumedCostRatio = 4.0

	// Slot time is free up to freeUtilization, in requests per slot, and at fullUtilization it is worth what
	// the largest model usually earns in it. Between them and beyond, its worth rises with the power
	// worthExponent, so that escalations with the least value per slot time end first. With
	// 0.6 and 1.2 requests per slot and the third power, TestReplay earned 1 in 100 less.
	freeUtilization = 0.4
	fullUtilization = 1.5
	worthExponent   = 1.5
)

// value returns what a good answer in time is worth, in prices of a thousand tokens of the largest model.
func (*Selector) value(r *Request) float64 { return valueMultiple * float64(r.Usage.MaxOut) / 1000 }

// relativeCost returns the price of a model's tokens relative to the largest one's.
func relativeCost(r *Request, index int) float64 {
	last := len(r.Models) - 1
	cost, largest := r.Costs[r.Models[index]], r.Costs[r.Models[last]]
	if cost <= 0 || largest <= 0 {
		return math.Pow(assumedCostRatio, float64(index-last))
	}
	return cost / largest
}

// terms are the conditions of a choice and what follows from them for all models.
type terms struct {
	Conditions
	now timer.Instant
	// slotWorth is what a second of slot time is worth.
	slotWorth float64
}

func (s *Selector) terms(r *Request, c Conditions) terms {
	now := s.timer.Now()
	return terms{c, now, s.slotWorth(r, c.Utilization, now)}
}

// price returns the decision for a model with its price, slot cost and the value of its answer, which
// is 0 if it can't come before the deadline. The chance is left to the caller.
func (s *Selector) price(r *Request, index int, t terms) Decision {
	tokens := readPrice*float64(r.Usage.In) + outputShare*float64(r.Usage.MaxOut)
	d := Decision{Index: index, Price: relativeCost(r, index) * tokens / 1000}
	read, write := s.slotTime(r, index, t.now)
	d.SlotCost = (read + write).Seconds() * t.slotWorth
	if first := t.Wait + read; r.Timeout == 0 || t.Elapsed+first+write < r.Timeout {
		d.Value = s.value(r) * inTimeFactor(r, t.Elapsed, first)
	}
	return d
}

// inTimeFactor returns the part of its value that an answer keeps whose first event is expected after
// the given time. One that is expected in two thirds of the time left or less is on time, and one that
// is expected in twice that time or more is late.
func inTimeFactor(r *Request, elapsed, first time.Duration) float64 {
	left := r.Objective - elapsed
	onTime := 1.0
	switch {
	case r.Objective == 0:
	case left <= 0:
		onTime = 0
	case first > 0:
		onTime = min(max(left.Seconds()/first.Seconds()-0.5, 0), 1)
	}
	return onTime + (1-onTime)*lateShare
}

// earning returns the value that the largest model earns per second of slot time if it answers well.
func (s *Selector) earning(r *Request, now timer.Instant) float64 {
	read, write := s.slotTime(r, len(r.Models)-1, now)
	return s.value(r) / max((read+write).Seconds(), minSlotTime)
}

// slotWorth returns what a second of slot time is worth at a load. The request itself counts as an
// observation, so that it is compared with its own kind until others are known.
func (s *Selector) slotWorth(r *Request, utilization float64, now timer.Instant) float64 {
	if utilization <= freeUtilization || r.Usage.MaxOut <= 0 {
		return 0
	}
	usual := math.Exp(s.earnings.mean(r.Account, math.Log(s.earning(r, now)), now))
	return usual * math.Pow((utilization-freeUtilization)/(fullUtilization-freeUtilization), worthExponent)
}

// recordEarning learns what the largest model would earn with a request that a smaller one does not answer
// well. The mean is that of logarithms, so that one account that states absurd sizes moves it little.
func (s *Selector) recordEarning(r *Request, now timer.Instant) {
	if r.Usage.MaxOut > 0 {
		s.earnings.add(r.Account, math.Log(s.earning(r, now)), now)
	}
}
