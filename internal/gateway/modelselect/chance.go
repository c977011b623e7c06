package modelselect

import (
	"math"
	"math/bits"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Confidence is a model's rating of its own answer, 0 to 100.
type Confidence int

// MaxConfidence is the highest confidence. Unreported stands for an answer without a confidence.
const (
	MaxConfidence            = 100
	Unreported    Confidence = -1
)

const (
	// evenConfidence is the confidence of an answer that is as likely good as not. Confidences scatter by
	// about 10 points around how far the model's ability exceeds the difficulty; confidenceScale is the
	// scale of the logistic curve of that spread.
	evenConfidence  = 50.0
	confidenceScale = 6.0

	// bins is the number of bins of confidences, each of binWidth points.
	bins     = 20
	binWidth = 5
	// Confidences end at 0, so those below cutConfidence stand for any distance below the model's ability.
	// In 14,000 responses the largest model answered about three quarters of these well.
	cutConfidence = 10
	cutCenter     = -5.0
	cutScale      = 15.0
	// What a model is expected to add to the confidence of the smallest one before anything is learned,
	// in points: the largest model, and each step between.
	largestAbility = 72.0
	stepAbility    = 15.0
	// priorWeight is the number of observations that the expectation counts for.
	priorWeight = 4.0
	// priorUsefulness is the expected share of good answers of the smallest model: confidences are spread
	// evenly until something else is known.
	priorUsefulness = 0.5

	// maxUsual bounds what the usual share of good answers says of a single one.
	maxUsual = 0.9

	// Some tens of observations arrive in halfLife, in which an observation loses half of its weight.
	halfLife = 30 * time.Second
	// An account's observations count up to accountWeight for others, half of what the expectation counts,
	// and up to ownWeight for itself.
	accountWeight = priorWeight / 2
	ownWeight     = 64.0
	// maxAccounts limits the accounts of an average, and maxAverages the averages of a kind.
	maxAccounts = 16
	maxAverages = 1024
)

// chanceGood returns the chance that an answer with a confidence is good.
func chanceGood(c Confidence) float64 {
	return logistic((float64(c) - evenConfidence) / confidenceScale)
}

func logistic(x float64) float64 { return 1 / (1 + math.Exp(-x)) }

// bin is an interval of confidences.
type bin int

func binOf(c Confidence) bin { return bin(min(max(int(c)/binWidth, 0), bins-1)) }

// pair identifies what is learned of an escalation: by service, both models and the confidence of the first.
type pair struct {
	service  layout.Service
	from, to layout.Model
	bin      bin
}

// class identifies requests of a route of similar size: token counts within a factor of four.
type class struct {
	service layout.Service
	route   string
	in, out int
}

// classModel is a model, by its index, for requests of a class.
type classModel struct {
	class
	index int
}

func classOf(r *Request) class {
	return class{r.Service, r.Route, bits.Len(uint(r.Usage.In)) / 2, bits.Len(uint(r.Usage.MaxOut)) / 2}
}

// ability returns the expected ability of a model above the smallest one, in points of confidence.
func ability(index, models int) float64 {
	if index > 0 && index == models-1 {
		return largestAbility
	}
	return min(stepAbility*float64(index), largestAbility)
}

// priorChance returns the chance that model to answers well after an answer of model from, before
// anything is learned.
func priorChance(from, to, models int, b bin) float64 {
	lift := ability(to, models) - ability(from, models)
	if b*binWidth < cutConfidence {
		return logistic((cutCenter + lift - evenConfidence) / cutScale)
	}
	return logistic((float64(b*binWidth) + binWidth/2.0 + lift - evenConfidence) / confidenceScale)
}

// chance returns the chance that a larger model answers well after an answer with a confidence.
func (s *Selector) chance(r *Request, from, to int, c Confidence, now timer.Instant) float64 {
	b := binOf(c)
	return s.chances[pair{r.Service, r.Models[from], r.Models[to], b}].mean(r.Account, priorChance(from, to, len(r.Models), b), now)
}

// chanceAfterLow returns the chance that a model answers well what the smallest one does not.
func (s *Selector) chanceAfterLow(r *Request, to int, now timer.Instant) float64 {
	sum, n := 0.0, 0
	for b := binOf(0); b < binOf(evenConfidence); b++ {
		sum += priorChance(0, to, len(r.Models), b)
		n++
	}
	return s.secondRuns[classModel{classOf(r), to}].mean(r.Account, sum/float64(n), now)
}

// firstChance returns the chance that a model answers a request well in the first run.
func (s *Selector) firstChance(r *Request, index int, now timer.Instant) float64 {
	k := classOf(r)
	smallest := s.firstRuns[classModel{k, 0}].mean(r.Account, priorUsefulness, now)
	if index == 0 {
		return smallest
	}
	return s.firstRuns[classModel{k, index}].mean(r.Account, smallest+(1-smallest)*s.chanceAfterLow(r, index, now), now)
}

// keptChance returns the chance that an answer with a confidence is good. The confidence scatters, so what
// a class usually gets counts too: a low confidence where nearly all answers are good is likely an error.
func (s *Selector) keptChance(r *Request, index int, c Confidence, now timer.Instant) float64 {
	good := chanceGood(c)
	if index > 0 {
		return good
	}
	usual := min(max(s.firstChance(r, 0, now), 1-maxUsual), maxUsual)
	return good * usual / (good*usual + (1-good)*(1-usual))
}

// average is a mean of observations that age, to which no client account contributes more than a
// bounded weight.
type average struct {
	accounts map[layout.Account]*observations
	last     timer.Instant // of the last observation
}

// observations are those of one account, weighted by their age at the time of the last one.
type observations struct {
	weight, sum float64
	last        timer.Instant
}

// age returns the factor by which the weights have fallen since the last observation.
func (o *observations) age(now timer.Instant) float64 {
	return math.Exp(-math.Ln2 * float64(now.Sub(o.last)) / float64(halfLife))
}

// record adds an observation to an average of a map. In a full map it replaces the average that has been
// without observations for the longest time.
func record[K comparable](averages map[K]*average, k K, a layout.Account, v float64, now timer.Instant) {
	if averages[k] == nil {
		if len(averages) >= maxAverages {
			evictIdle(averages)
		}
		averages[k] = &average{}
	}
	averages[k].add(a, v, now)
}

// evictIdle deletes the average whose last observation is the oldest.
func evictIdle[K comparable](averages map[K]*average) {
	var idle K
	last := timer.Instant(math.MaxInt64)
	for k, v := range averages {
		if v.last < last {
			idle, last = k, v.last
		}
	}
	delete(averages, idle)
}

// add adds an observation of an account. Of too many accounts, the one with the least weight is forgotten.
func (v *average) add(a layout.Account, value float64, now timer.Instant) {
	if v.accounts == nil {
		v.accounts = map[layout.Account]*observations{}
	}
	o := v.accounts[a]
	if o == nil {
		if len(v.accounts) >= maxAccounts {
			v.evict(now)
		}
		o = &observations{last: now}
		v.accounts[a] = o
	}
	v.last = now
	f := o.age(now)
	o.weight, o.sum, o.last = o.weight*f+1, o.sum*f+value, now
}

// evict forgets the account with the least weight.
func (v *average) evict(now timer.Instant) {
	var least layout.Account
	weight := math.Inf(1)
	for a, o := range v.accounts {
		if w := o.weight * o.age(now); w < weight {
			least, weight = a, w
		}
	}
	delete(v.accounts, least)
}

// total returns the weight and the weighted sum of the observations as they count for an account.
func (v *average) total(a layout.Account, now timer.Instant) (weight, sum float64) {
	if v == nil {
		return 0, 0
	}
	for k, o := range v.accounts {
		limit := accountWeight
		if k == a {
			limit = ownWeight
		}
		w := min(o.weight*o.age(now), limit)
		weight += w
		sum += w * o.sum / o.weight
	}
	return weight, sum
}

// mean returns the mean as it counts for an account, together with the expectation before it.
func (v *average) mean(a layout.Account, prior float64, now timer.Instant) float64 {
	weight, sum := v.total(a, now)
	return (sum + priorWeight*prior) / (weight + priorWeight)
}
