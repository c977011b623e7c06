package permit

import (
	"math"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// ColdLifetime is how long a permit for a cold upstream is valid, from before the instance asked
	// for it. It covers a reply of the leader that takes borrowTimeout (package peer); a longer one
	// would cost more of the rate, see ColdBounds.Budget.
	ColdLifetime = 250 * time.Millisecond
	// MaxTransit is how long after the check of its permit a request may reach its upstream: the way
	// between zones, or the delay in a tunnel.
	MaxTransit = 100 * time.Millisecond
	// exposure is the time in which the requests were permitted that arrive within a second.
	exposure = time.Second + ColdLifetime + MaxTransit
	// coldBurst is the time for which permits accumulate while nobody asks. What the bound allows
	// beyond is left for requests sent before their instance knew that the upstream is cold.
	coldBurst = 250 * time.Millisecond
	// coldBurstShare is the part of the bound that accumulates so where the bound leaves no room for the rate.
	coldBurstShare = 0.125
	// belowNext keeps the number of permits below the next whole number in spite of rounding.
	belowNext = 0.999
	// maxColdWait limits the time that the leader names for another attempt. Upstreams are cold for
	// a few seconds.
	maxColdWait = time.Second
)

// ColdBounds are the settings that bound the requests to a cold upstream: in no second more than its rate
// times Overrun, plus Slack.
type ColdBounds struct {
	Enabled        bool
	Overrun, Slack float64
}

// ColdBudget says how permits for one cold upstream accumulate.
type ColdBudget struct {
	Rate  Rate    // permits a second
	Burst float64 // most permits that accumulate; none are lent if it is below 1
}

// Allowed returns the number of requests that may arrive in a second at a cold upstream with a rate.
func (b ColdBounds) Allowed(rate Rate) float64 { return float64(rate)*b.Overrun + b.Slack }

// Budget returns the budget for an upstream with a rate. What arrives within a second was permitted in
// a time of exposure, in which Burst + Rate x exposure permits are lent at most. That is within the
// bound for all values. The rate is that of the upstream if the bound leaves room for it.
func (b ColdBounds) Budget(rate Rate) ColdBudget {
	allowed := b.Allowed(rate)
	if !(allowed >= 1) {
		return ColdBudget{}
	}
	if burst := allowed - float64(rate)*exposure.Seconds(); burst >= 1 {
		return ColdBudget{Rate: rate, Burst: math.Min(burst, math.Max(1, float64(rate)*coldBurst.Seconds()))}
	}
	// Fewer than one more than the whole number that is allowed are lent.
	whole := math.Floor(allowed)
	burst := math.Max(1, whole*coldBurstShare)
	return ColdBudget{Rate: min(rate, Rate((whole+belowNext-burst)/exposure.Seconds())), Burst: burst}
}

// coldBucket holds the permits of one cold upstream that are not lent yet.
type coldBucket struct {
	born      int64
	permits   float64
	updatedAt timer.Instant
	// promisedUntil is the last time that an instance without a permit was told to ask again.
	promisedUntil timer.Instant
}

// LendCold returns how many of the wanted permits for a cold upstream are lent, and after which time it is
// worth asking again if there are fewer. A bucket starts empty: what a former leader has lent, or this one
// for an earlier incarnation, and what is lent from it stay within one budget together. Callers without a
// permit are told different times, at which permits become available.
func (l *Lender) LendCold(id string, born int64, wanted int, budget ColdBudget, now timer.Instant) (lent int, wait time.Duration) {
	if budget.Burst < 1 || budget.Rate <= 0 {
		return 0, maxColdWait
	}
	b := l.cold[id]
	if b == nil || b.born != born {
		b = &coldBucket{born: born, updatedAt: now, promisedUntil: now}
		l.cold[id] = b
	}
	rate := float64(budget.Rate)
	b.permits = math.Min(budget.Burst, b.permits+rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	lent = min(wanted, int(b.permits))
	b.permits -= float64(lent)
	if lent == wanted {
		return lent, 0
	}
	interval := time.Duration(math.Min(float64(time.Second)/rate, float64(maxColdWait)))
	next := max(b.promisedUntil.Add(interval), now.Add(time.Duration(math.Min((1-b.permits)/rate, maxColdWait.Seconds())*float64(time.Second))))
	if wait = next.Sub(now); wait > maxColdWait {
		return lent, maxColdWait
	}
	b.promisedUntil = next
	return lent, max(wait, time.Millisecond)
}

// DropCold forgets the permits of an upstream that is no longer cold.
func (l *Lender) DropCold(id string) { delete(l.cold, id) }
