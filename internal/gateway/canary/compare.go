package canary

import "math"

// latenciesSlower compares the gaps between events, or else the times to the first byte.
func (r *Rollout) latenciesSlower(eventGaps bool) bool {
	c := r.compareLatencies(eventGaps)
	if c.Samples < minLatencies {
		return false
	}
	slow, expected, deviations := slowLatencyFactor, expectedLatencyFactor, firstByteDeviations
	if eventGaps {
		slow, expected, deviations = slowGapFactor, expectedGapFactor, gapDeviations
	}
	return c.logRatio() > math.Log(slow) && c.logRatio()-math.Log(expected) > deviations*c.deviation()
}

// Comparison compares the latencies of the versions.
type Comparison struct {
	// Samples is the number of latencies of the target that could be compared.
	Samples float64
	// logSum is the sum of the logarithms of their ratios to the former version's mean, and variance
	// that of the sum.
	logSum, variance float64
	// outliers are the latencies of the target that are outlierFactor times the former version's mean
	// or more, and expectedOutliers how many of outlierSamples would be as the former version has them.
	outliers, expectedOutliers, outlierSamples float64
}

// logRatio returns the mean of the logarithms of the ratios, and deviation its standard error.
func (c Comparison) logRatio() float64  { return c.logSum / max(c.Samples, 1) }
func (c Comparison) deviation() float64 { return math.Sqrt(c.variance) / max(c.Samples, 1) }

// Ratio returns how many times as long the target's responses take.
func (c Comparison) Ratio() float64 { return math.Exp(c.logRatio()) }

// Outliers returns the number of latencies that are several times the former version's mean.
func (c Comparison) Outliers() float64 { return c.outliers }

// compareLatencies takes the mean over all routes of how much the logarithm of each latency of the
// target exceeds the former version's mean on that route.
func (r *Rollout) compareLatencies(eventGaps bool) (c Comparison) {
	former := byRoute(r.former, eventGaps)
	for route, t := range byRoute(r.target, eventGaps) {
		if f := former[route]; f.Latencies >= minLatencies {
			c.add(f, t)
		}
	}
	return c
}

// add adds the latencies of a target whose mean is compared with that of the former version.
func (c *Comparison) add(former, target Stats) {
	mean, variance := former.logMean()
	c.Samples += target.Latencies
	c.logSum += target.LogSum - target.Latencies*mean
	c.variance += target.Latencies*variance + target.Latencies*target.Latencies*variance/former.Latencies
	c.addOutliers(former, target)
}

// addOutliers adds the latencies of a target to the comparison of outliers only.
func (c *Comparison) addOutliers(former, target Stats) {
	mean, _ := former.logMean()
	limit := mean + math.Log(outlierFactor)
	c.outlierSamples += target.Latencies
	c.outliers += target.above(limit)
	// Few latencies of the former version say little about its rate.
	rate := (former.above(limit) + outlierRate*outlierRateWeight) / (former.Latencies + outlierRateWeight)
	c.expectedOutliers += target.Latencies * rate
}

// slowerAtSameLoad reports whether the target's responses take longer than the former's of upstreams
// with the same load, either all of them or a part several times as long. Responses whose latency
// depends on what the prompt cache holds are left out.
func (r *Rollout) slowerAtSameLoad() bool {
	c, _ := r.compareByLoad()
	if c.Samples >= minLatenciesAtSameLoad && c.logRatio() > math.Log(slowFactorAtSameLoad) &&
		c.logRatio()-math.Log(expectedFactorAtSameLoad) > latencyDeviations*c.deviation() {
		return true
	}
	return c.hasOutliers(maxChance)
}

// hasOutliers reports whether the target has more responses that take several times as long than
// the former version, beyond a chance.
func (c Comparison) hasOutliers(chance float64) bool {
	return c.outliers >= minOutliers && binomialTail(c.outlierSamples, c.outliers, c.expectedOutliers/c.outlierSamples) < chance
}

// compareByLoad compares the latencies of the same route and model at the same load, and those of the target
// with the former version's at the next higher load if there are none at the same. Upstreams that run less do
// not take longer. A response that takes several times as long as those at a higher load is slow too, so that
// outliers of both count as those at the same load.
func (r *Rollout) compareByLoad() (same, lower Comparison) {
	for k, t := range r.target {
		if k.Load == UnknownLoad || !k.Gap && k.Model != "" {
			continue
		}
		switch former, load := r.formerAt(k); {
		case former == nil:
		case load == k.Load:
			same.add(*former, *t)
		default:
			same.addOutliers(*former, *t)
			lower.add(*former, *t)
		}
	}
	return same, lower
}

// seemsSlowerAtLowerLoad reports whether the target's responses take longer than the former's of upstreams
// that run more, beyond the chance for an open verdict.
func (c Comparison) seemsSlowerAtLowerLoad() bool {
	return c.Samples >= minLatenciesAtSameLoad && c.Ratio() > slowFactorAtLowerLoad && c.logRatio() > openDeviations*c.deviation()
}

// formerAt returns the former version's statistics for a key, or else those at the next higher load of which
// there are enough, and that load. It returns nil if there are none.
func (r *Rollout) formerAt(k Key) (*Stats, LoadClass) {
	for ; k.Load <= maxLoadClass; k.Load++ {
		if f := r.former[k]; f != nil && f.Latencies >= minLatencies {
			return f, k.Load
		}
	}
	return nil, UnknownLoad
}

// binomialTail returns the chance of k or more out of n events with a probability. The numbers are
// rounded to whole ones.
func binomialTail(n, k, probability float64) (p float64) {
	n, k = math.Round(n), math.Round(k)
	for i := k; i <= n; i++ {
		a, _ := math.Lgamma(n + 1)
		b, _ := math.Lgamma(i + 1)
		c, _ := math.Lgamma(n - i + 1)
		p += math.Exp(a - b - c + i*math.Log(probability) + (n-i)*math.Log1p(-probability))
	}
	return min(p, 1)
}

// Evidence is what a verdict is based on.
type Evidence struct {
	// Former and Target are the responses of the versions on all routes.
	Former, Target Stats
	FirstByte      Comparison
	EventGap       Comparison
	// SameLoad compares latencies at the same load, and LowerLoad those of the target with the former
	// version's at a higher load.
	SameLoad, LowerLoad Comparison
}

// Evidence returns what was observed so far. Older observations count less.
func (r *Rollout) Evidence() (e Evidence) {
	for _, s := range r.former {
		e.Former.add(*s, 1)
	}
	for _, s := range r.target {
		e.Target.add(*s, 1)
	}
	e.FirstByte, e.EventGap = r.compareLatencies(false), r.compareLatencies(true)
	e.SameLoad, e.LowerLoad = r.compareByLoad()
	return e
}
