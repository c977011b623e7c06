// Package canary decides which share of the traffic the new version of a roll-out gets,
// and when it is promoted or rolled back. It detects versions that fail, that fail on one
// route only, that are slow, and that start to fail late. It does no I/O; the time and the
// observed responses are passed in.
package canary

import (
	"math"
	"time"
)

// Share is a share of the traffic in thousandths.
type Share uint32

// Verdict is the decision on a roll-out.
type Verdict int

// Verdicts.
const (
	// Pending means that the roll-out goes on.
	Pending Verdict = iota
	// Promote means that the new version replaces the former one.
	Promote
	// RollBack means that the former version gets all traffic again.
	RollBack
)

// allTraffic is the share of a version that gets every request.
const allTraffic Share = 1000

// Parts of the exposure limit, which bounds the part of all requests during the roll-out
// that a bad version may get. Some versions fail only once they get all traffic, so the
// limit must hold even if no failure was seen before. The canary phase uses about a third
// of it, and the phase with all traffic about a half, since a burst of requests may fall into
// that phase.
const (
	canaryExposure  = 0.35
	minFullExposure = 0.42
	maxFullExposure = 0.47
	// maxCanaryExposure replaces canaryExposure if a route lacks responses of the new version.
	maxCanaryExposure = 0.5
	// minShareGrowth is the factor from which a larger share is used: each change goes to all instances.
	minShareGrowth = 1.25
)

const (
	// promoteReserve is the time before the end of the roll-out at which it is promoted. The
	// decision, its commit and its way to all instances take up to 400 ms, and an operator who
	// reads the state in intervals must still see it in time.
	promoteReserve = 800 * time.Millisecond
	// minFullTime is how long a version gets all traffic before it is promoted: then the short
	// responses of the former version are complete, and streams can be resumed. A short
	// roll-out keeps at least minFullPart of the phase.
	minFullTime = 450 * time.Millisecond
	minFullPart = 0.35
)

// sessionCollection is the time in which the instances report which sessions within the
// canary share already run on the former version. They stay on it, since a session keeps
// its version.
const sessionCollection = 900 * time.Millisecond

const (
	// minFailures is the number of failures of the new version below which no failure rates
	// are compared, and minFailuresByChance the same for the comparison by maxChance.
	minFailures         = 4
	minFailuresByChance = 2
	// minOpenFailures is the same for the comparison by openChance.
	minOpenFailures = 1
	// minResponseShare is the share of the responses to be expected from the traffic share below
	// which a version is not promoted: the responses of a slow one have not ended yet. Sessions
	// that stay on the former version take more than half of them.
	minResponseShare = 0.15
	// minRouteResponses is the number of responses on each route below which a version is not promoted if
	// its share lets expect as many. One that fails in 3 of 10 requests of one route was promoted without
	// a response on that route.
	minRouteResponses = 3.0
	// minRouteShare is the part of the expected responses that is required instead if that is less.
	minRouteShare = 1.0 / 3
	// minRateIncrease is the increase of the failure rate up to which a version is not rolled
	// back, even if chance does not explain it.
	minRateIncrease = 0.1
	// maxRateAlone is the failure rate up to which a version is not rolled back if there are
	// no responses of the former one to compare with.
	maxRateAlone = 0.25
	// minLatencies is the number of latencies of each version from which these are compared.
	minLatencies = 8
	// slowLatencyFactor is the ratio of latencies from which a version is too slow. It is
	// well above expectedLatencyFactor, the most that an empty prompt cache and the load of
	// a canary on few upstreams account for.
	slowLatencyFactor     = 3.5
	expectedLatencyFactor = 2.4
	// slowGapFactor and expectedGapFactor are the same for the gaps between events, which an
	// empty cache does not lengthen. A bad version had gaps 3.5 times as long, a good one
	// whose canary filled one upstream up to 2.9 times.
	slowGapFactor     = 3.0
	expectedGapFactor = 2.0
	// slowFactorAtSameLoad and expectedFactorAtSameLoad are the same for latencies that do not
	// depend on the prompt cache, compared at the same load. Within a class the load differs by a
	// factor of less than 2, and the latency by less.
	slowFactorAtSameLoad     = 2.0
	expectedFactorAtSameLoad = 1.5
	minLatenciesAtSameLoad   = 5
	// slowFactorAtLowerLoad is the ratio of latencies from which a version seems slow whose upstreams run less
	// than those of the former one. Good versions took 0.6 times as long then, and one of which 3 in 10
	// requests are slow 1.3 times.
	slowFactorAtLowerLoad = 1.2
	// minOpenLatencies is the number of latencies from which a version that seems slow is not
	// promoted, although chance may explain it.
	minOpenLatencies = 2
	// A part of the responses may be slow: those that take outlierFactor times the former
	// version's mean are compared with the share of such ones of the former version. Without
	// latencies of that one, outlierRate is assumed, with the weight of outlierRateWeight latencies.
	outlierFactor     = 3.0
	outlierRate       = 0.02
	outlierRateWeight = 50.0
	minOutliers       = 2
	// maxChance is the chance up to which few failures or slow responses of a good version count
	// as a regression.
	maxChance = 1e-4
	// openChance is the same for a version that is to be promoted: if it was worse by less chance,
	// it is rolled back at the end, although no regression is certain. Without it, most of the short
	// roll-outs of a version that is slow in 3 of 10 requests were promoted.
	openChance = 0.03
	// openDeviations is the same in standard errors of a mean.
	openDeviations = 1.9
	// latencyDeviations is by how many standard errors the logarithm of the ratio of
	// latencies must exceed that of the expected factor.
	latencyDeviations = 3.0
	// firstByteDeviations and gapDeviations are the same for first bytes and gaps of any load. These are compared
	// whenever new ones are known, and with 3 a good version went back by chance after 13 to 29 of them. 3.7 is
	// maxChance in standard errors; with more than 3.2 a bad version with gaps 3.5 times as long was missed.
	firstByteDeviations = 3.7
	gapDeviations       = 3.2
	// minVariance is the least variance of the logarithms that is assumed, so that a few
	// equal latencies do not count as certain.
	minVariance = 0.25
	// failureDeviations is the difference of failure rates, in standard errors, that is not
	// explained by chance.
	failureDeviations = 3.5
	// halvingInterval is how often the statistics are halved, so that early responses do not
	// hide late failures.
	halvingInterval = 10 * time.Second
)

// Rollout is a roll-out in progress. It is not safe for concurrent use.
type Rollout struct {
	duration    time.Duration
	canaryShare Share
	// share is the present share of the canary, at most maxCanaryShare.
	share, maxCanaryShare Share
	// exposure is the part of the requests that a bad version may get.
	exposure float64
	// formerResponses and targetResponses are the numbers of responses, never halved.
	formerResponses, targetResponses float64
	// allTrafficAt and promoteAt are times since the start of the roll-out.
	allTrafficAt   time.Duration
	promoteAt      time.Duration
	former, target map[Key]*Stats
	halvedAt       time.Duration // of the statistics, since the start of the roll-out
}

// New returns a roll-out that must end within the duration. exposure is the part of the
// requests during that time that a bad version may get.
func New(duration time.Duration, exposure float64) *Rollout {
	limit := exposure * float64(duration)
	allTrafficTime := min(max(promoteReserve+minFullTime, time.Duration(minFullExposure*limit)), time.Duration(maxFullExposure*limit))
	reserve := min(promoteReserve, time.Duration((1-minFullPart)*float64(allTrafficTime)))
	r := &Rollout{
		duration: duration, canaryShare: Share(canaryExposure * exposure * float64(allTraffic)), exposure: exposure,
		allTrafficAt: duration - allTrafficTime, promoteAt: duration - reserve,
		former: map[Key]*Stats{}, target: map[Key]*Stats{},
	}
	r.share = r.canaryShare
	// The canary and the time after the promotion stay within the limit even if no response of the
	// target shows what it got; it gets all traffic before the promotion only if there are some.
	rest := limit - float64(reserve) - canaryExposure*exposure*float64(duration)/2
	r.maxCanaryShare = max(r.canaryShare, Share(rest/float64(r.allTrafficAt-duration/2)*float64(allTraffic)))
	return r
}

// CanaryShare returns the share that the target version gets in the canary phase.
func (r *Rollout) CanaryShare() Share { return r.canaryShare }

// NextStage returns when the target is to get all traffic or to be promoted next, as a time since the start of
// the roll-out. ok is false if neither is ahead of the elapsed time.
func (r *Rollout) NextStage(elapsed time.Duration) (at time.Duration, ok bool) {
	if elapsed < r.allTrafficAt {
		return r.allTrafficAt, true
	}
	return r.promoteAt, elapsed < r.promoteAt
}

// Observe adds statistics of the target version, or of the former one if target is false.
func (r *Rollout) Observe(k Key, target bool, s Stats) {
	m := r.former
	if target {
		m = r.target
	}
	sum := m[k]
	if sum == nil {
		sum = &Stats{}
		m[k] = sum
	}
	sum.add(s, 1)
	if target {
		r.targetResponses += s.total()
	} else {
		r.formerResponses += s.total()
	}
}

// growShare returns the share of the canary. In the second half of the roll-out, in which sessions may
// move to the target, the share grows if the target got fewer responses than planned, or too few on one
// route: most of the sessions within the share may have stayed on the former version.
func (r *Rollout) growShare(elapsed time.Duration) Share {
	if elapsed < r.duration/2 {
		return r.share
	}
	part := canaryExposure
	if r.findUnseenRoute() != "" {
		part = maxCanaryExposure
	}
	// Planned are the responses of the target until it gets all traffic.
	total := r.formerResponses + r.targetResponses
	perTime := total / float64(elapsed)
	planned := part * r.exposure * perTime * float64(r.allTrafficAt-sessionCollection)
	rest := max(perTime*float64(r.allTrafficAt-elapsed), 1)
	wanted := Share(max(0, (planned-r.targetResponses)/rest) * float64(allTraffic))
	if wanted = min(wanted, r.maxCanaryShare); float64(wanted) > minShareGrowth*float64(r.share) {
		r.share = wanted
	}
	return r.share
}

// findUnseenRoute returns a route on which the target has too few responses although its share lets
// expect more, or "".
func (r *Rollout) findUnseenRoute() string {
	target := byRoute(r.target, false)
	share := float64(r.canaryShare) / float64(allTraffic)
	for route, f := range byRoute(r.former, false) {
		t, expected := target[route], f.total()*share
		if expected >= minRouteResponses && t.total() < min(minRouteResponses, minRouteShare*expected) {
			return route
		}
	}
	return ""
}

// Decide returns the share of the target version at a time since the start of the
// roll-out, and the verdict with its reason.
func (r *Rollout) Decide(elapsed time.Duration) (s Share, v Verdict, reason string) {
	if reason := r.findRegression(); reason != "" {
		return 0, RollBack, reason
	}
	r.halveStats(elapsed)
	switch {
	case elapsed < sessionCollection:
		return 0, Pending, ""
	case elapsed < r.allTrafficAt:
		return r.growShare(elapsed), Pending, ""
	}
	reason = r.unproven()
	beforeEnd := elapsed < r.promoteAt
	if route := r.findUnseenRoute(); reason == "" && !beforeEnd && route != "" {
		reason = "few responses on route " + route
	}
	switch {
	case reason != "" && beforeEnd:
		return r.growShare(elapsed), Pending, ""
	case reason != "":
		return 0, RollBack, reason
	case beforeEnd:
		return allTraffic, Pending, ""
	}
	return allTraffic, Promote, "no regression until the end of the schedule"
}

// unproven describes why the target must not get all traffic although no regression is certain.
// It returns "" if the observations speak for the target.
func (r *Rollout) unproven() string {
	e := r.Evidence()
	share := float64(r.canaryShare) / float64(allTraffic)
	switch {
	case e.Target.total() == 0:
		return "no response from the new version"
	case e.Target.total() < minResponseShare*share/(1-share)*e.Former.total():
		return "few responses for the share of the traffic"
	case e.FirstByte.Samples >= minOpenLatencies && e.FirstByte.Ratio() > slowLatencyFactor,
		e.EventGap.Samples >= minOpenLatencies && e.EventGap.Ratio() > slowGapFactor,
		e.SameLoad.Samples >= minOpenLatencies && e.SameLoad.Ratio() > slowFactorAtSameLoad,
		e.SameLoad.Samples >= minLatenciesAtSameLoad && e.SameLoad.Ratio() > expectedFactorAtSameLoad,
		e.SameLoad.hasOutliers(openChance):
		return "responses seem to take several times as long"
	case e.LowerLoad.seemsSlowerAtLowerLoad():
		return "responses seem to take longer than those of upstreams that run more"
	}
	return r.findFailures(openChance, minOpenFailures)
}

// halveStats halves all statistics once per halvingInterval.
func (r *Rollout) halveStats(elapsed time.Duration) {
	if elapsed-r.halvedAt < halvingInterval {
		return
	}
	r.halvedAt = elapsed
	for _, m := range []map[Key]*Stats{r.former, r.target} {
		for _, s := range m {
			s.add(*s, -0.5)
		}
	}
}

// findRegression describes in what the target version is worse than the former one. It
// returns "" if it is not worse.
func (r *Rollout) findRegression() string {
	if reason := r.findFailures(maxChance, minFailuresByChance); reason != "" {
		return reason
	}
	if r.latenciesSlower(false) || r.latenciesSlower(true) {
		return "responses take several times as long"
	}
	if r.slowerAtSameLoad() {
		return "responses take longer than those of upstreams with the same load"
	}
	return ""
}

// findFailures describes where the target version fails more often than the former one, or returns
// "". chance is the chance up to which few failures count, and least the number of failures from which
// they do.
func (r *Rollout) findFailures(chance, least float64) string {
	former, target := byRoute(r.former, false), byRoute(r.target, false)
	var allFormer, allTarget Stats
	for route, t := range target {
		f := former[route]
		if failsMoreOften(f, t, chance, least) {
			return "failures on route " + route
		}
		allFormer.add(f, 1)
		allTarget.add(t, 1)
	}
	if failsMoreOften(allFormer, allTarget, chance, least) {
		return "failures on all routes together"
	}
	return ""
}

// byRoute sums statistics over models and loads: those of the gaps between events, or the others.
func byRoute(stats map[Key]*Stats, gaps bool) map[string]Stats {
	out := map[string]Stats{}
	for k, s := range stats {
		if k.Gap == gaps {
			sum := out[k.Route]
			sum.add(*s, 1)
			out[k.Route] = sum
		}
	}
	return out
}

// failsMoreOften reports whether the target fails more often than chance explains. Few failures are
// explained by chance if it exceeds the given one, and if they are less than least.
func failsMoreOften(former, target Stats, chance, least float64) bool {
	if target.Failures < least {
		return false
	}
	rate := target.Failures / target.total()
	// Without this smoothing, a few responses without a failure would count as a rate of 0.
	base := (former.Failures + 0.5) / (former.total() + 10)
	if former.total() > 0 && rate > base+minRateIncrease && binomialTail(target.total(), target.Failures, base) < chance {
		return true
	}
	if target.Failures < minFailures {
		return false
	}
	pooled := (former.Failures + target.Failures) / (former.total() + target.total())
	if former.total() == 0 {
		return rate > maxRateAlone
	}
	e := math.Sqrt(pooled * (1 - pooled) * (1/former.total() + 1/target.total()))
	return rate > base+minRateIncrease && rate-base > failureDeviations*e
}
