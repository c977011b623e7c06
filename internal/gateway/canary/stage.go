// Package canary decides how a roll-out goes on: which part of the traffic the new
// version gets, and whether it has proved good or bad. It answers versions that
// fail, that fail on one route only, that are slow, and that turn bad late. It
// reads no clock and sends nothing.
package canary

import (
	"math"
	"strings"
	"time"
)

// Share is a part of the traffic in thousandths.
type Share uint32

// Verdict is the outcome of a roll-out.
type Verdict int

// Outcomes.
const (
	Pending Verdict = iota
	Promote
	RollBack
)

// whole is the share of all traffic.
const whole Share = 1000

// Parts of the exposure limit, which is the part of the requests of the whole duration
// that a version may get which turns out bad. Some versions never show trouble before
// they get everything, so the limit must hold without any trouble seen: the canary takes
// up to a third of it, and the time in which all requests go to the new version less
// than a half, since a burst may fall into that time.
const (
	canaryPart = 0.35
	wholePart  = 0.42
)

// endPart is the part of the time with all requests after which the former version is
// no longer needed: its short answers have ended, and streams can be resumed.
const endPart = 0.55

// collect is the time in which the instances say which sessions of the canary run on
// the former version already. They stay there: a session keeps its version.
const collect = 900 * time.Millisecond

const (
	// leastBad is the number of failures below which a version is never called bad.
	leastBad = 4
	// leastSlow is the number of answers of the target from which times are compared.
	leastSlow = 8
	// slowFactor is well above what an empty prompt cache and the load on few upstreams
	// cost; coldFactor is what these cost at most.
	slowFactor = 3.5
	coldFactor = 2.4
	// paceFactor and warmFactor are the same for the pauses within answers, which an empty
	// cache does not lengthen. A bad version was seen with pauses 3.5 times as long, a good
	// one whose canary filled one upstream with up to 2.9.
	paceFactor = 3.0
	warmFactor = 2.0
	// slowDeviations is the distance of mean times beyond coldFactor or warmFactor, in
	// standard errors.
	slowDeviations = 3.0
	// leastVariance keeps a few equal times from looking certain.
	leastVariance = 0.25
	// deviations is the distance of two failure rates, in standard errors, that luck does not explain.
	deviations = 3.5
	// window is how often counts are halved, so that early answers do not hide late trouble.
	window = 10 * time.Second
)

// Stats adds up the answers of one version on one route.
type Stats struct {
	Successes, Failures float64
	// Latencies is the number of times to the first byte, Logs and Squares the sums of their
	// logarithms and of the squares of these, since times spread over orders of magnitude.
	Latencies, LogSum, LogSquareSum float64
}

func (c Stats) total() float64 { return c.Successes + c.Failures }

// mean returns the mean logarithm of the times and the variance of one of them.
func (c Stats) mean() (m, variance float64) {
	if c.Latencies <= 1 {
		return 0, 1
	}
	m = c.LogSum / c.Latencies
	return m, max(c.LogSquareSum/c.Latencies-m*m, leastVariance)
}

// Rollout is one roll-out under way. It is not safe for concurrent use.
type Rollout struct {
	duration time.Duration
	canary   Share
	// wholeAt and endAt are times after the order.
	wholeAt time.Duration
	endAt   time.Duration
	former  map[string]*Stats
	target  map[string]*Stats
	halved  time.Duration
}

// New returns a roll-out that must end within the duration. exposure is the part of
// the requests of that time that a bad version may get.
func New(duration time.Duration, exposure float64) *Rollout {
	left := time.Duration(wholePart * exposure * float64(duration))
	return &Rollout{
		duration: duration, canary: Share(canaryPart * exposure * float64(whole)),
		wholeAt: duration - left, endAt: duration - left + time.Duration(endPart*float64(left)),
		former: map[string]*Stats{}, target: map[string]*Stats{},
	}
}

// CanaryShare returns the share that the target gets first.
func (r *Rollout) CanaryShare() Share { return r.canary }

// Observe adds answers of the target version or of the former one.
func (r *Rollout) Observe(route string, target bool, c Stats) {
	m := r.former
	if target {
		m = r.target
	}
	have := m[route]
	if have == nil {
		have = &Stats{}
		m[route] = have
	}
	have.Successes += c.Successes
	have.Failures += c.Failures
	have.Latencies += c.Latencies
	have.LogSum += c.LogSum
	have.LogSquareSum += c.LogSquareSum
}

// Decide returns the share of the target version at a time after the order, or the
// end of the roll-out and its reason.
func (r *Rollout) Decide(elapsed time.Duration) (s Share, e Verdict, reason string) {
	if reason := r.bad(); reason != "" {
		return 0, RollBack, reason
	}
	r.fade(elapsed)
	switch {
	case elapsed < collect:
		return 0, Pending, ""
	case elapsed < r.wholeAt:
		return r.canary, Pending, ""
	case r.answers() == 0:
		// A version that has not answered anything must not get everything.
		if elapsed >= r.duration {
			return 0, RollBack, "no answer of the new version"
		}
		return r.canary, Pending, ""
	case elapsed < r.endAt:
		return whole, Pending, ""
	}
	return whole, Promote, "no trouble until the end of the schedule"
}

func (r *Rollout) answers() (n float64) {
	for _, c := range r.target {
		n += c.total()
	}
	return n
}

// fade halves the counts from time to time.
func (r *Rollout) fade(elapsed time.Duration) {
	if elapsed-r.halved < window {
		return
	}
	r.halved = elapsed
	for _, m := range []map[string]*Stats{r.former, r.target} {
		for _, c := range m {
			c.Successes, c.Failures, c.Latencies, c.LogSum, c.LogSquareSum = c.Successes/2, c.Failures/2, c.Latencies/2, c.LogSum/2, c.LogSquareSum/2
		}
	}
}

// bad returns why the target version is bad, or "".
func (r *Rollout) bad() string {
	var former, target Stats
	for route, t := range r.target {
		f := r.former[route]
		if f == nil {
			f = &Stats{}
		}
		if worse(*f, *t) {
			return "failures on route " + route
		}
		former.Successes, former.Failures = former.Successes+f.Successes, former.Failures+f.Failures
		target.Successes, target.Failures = target.Successes+t.Successes, target.Failures+t.Failures
	}
	if worse(former, target) {
		return "failures on all routes together"
	}
	if r.slower() {
		return "answers take several times as long"
	}
	return ""
}

// worse tells whether the target fails more often than luck explains.
func worse(former, target Stats) bool {
	if target.Failures < leastBad {
		return false
	}
	rate := target.Failures / target.total()
	base := (former.Failures + 0.5) / (former.total() + 10)
	pooled := (former.Failures + target.Failures) / (former.total() + target.total())
	if former.total() == 0 {
		return rate > 0.25
	}
	e := math.Sqrt(pooled * (1 - pooled) * (1/former.total() + 1/target.total()))
	return rate > base+0.1 && rate-base > deviations*e
}

// EventGapSuffix ends the route of an observation that holds the pauses within answers instead of
// the times to their first byte.
const EventGapSuffix = " pace"

// slower tells whether the target's answers take several times as long as the former's,
// over all routes: until their first byte, or from event to event.
func (r *Rollout) slower() bool { return r.slowerIn(false) || r.slowerIn(true) }

func (r *Rollout) slowerIn(pace bool) bool {
	n, sum, variance := 0.0, 0.0, 0.0
	for route, t := range r.target {
		f := r.former[route]
		if strings.HasSuffix(route, EventGapSuffix) != pace || f == nil || f.Latencies < leastSlow || t.Latencies == 0 {
			continue
		}
		former, spread := f.mean()
		sum += t.LogSum - t.Latencies*former
		variance += t.Latencies*spread + t.Latencies*t.Latencies*spread/f.Latencies
		n += t.Latencies
	}
	if n < leastSlow {
		return false
	}
	slow, luck := slowFactor, coldFactor
	if pace {
		slow, luck = paceFactor, warmFactor
	}
	factor, deviation := sum/n, math.Sqrt(variance)/n
	return factor > math.Log(slow) && factor-math.Log(luck) > slowDeviations*deviation
}
