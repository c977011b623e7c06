package caller

import (
	"math"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/gateway/sizeclass"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// readingCostExponent is how the reading time per token of a model follows from its price, if it
	// is not known otherwise: a model of 15 times the price was seen to take about 10 times as long.
	readingCostExponent = 0.85
	// maxPromptTokens bounds the size that a caller states.
	maxPromptTokens = 4 << 20
	// maxReading bounds the delay that a prompt is expected to cause, in units of balancer.RunningDelay.
	maxReading = 200
	// slowdownField is the index of the field of the load header that tells how long work takes.
	slowdownField = 3
	// commonPrefixTokens is the length below which the shared part of a prompt is expected in the cache of
	// every upstream.
	commonPrefixTokens = 2000
	// eventBytes is the size of an event with one token.
	eventBytes = 200
)

// placement is the state of a request whose upstreams are inference engines.
type placement struct {
	work    sizeclass.Work // with the selected model; 0 if the upstreams are no engines or it is not known
	reading float64        // see balancer.Request
	// prefixReading is the part of it that is saved where the prompt's shared prefix is cached.
	prefixReading float64
	plan          *sizeclass.Plan
	responseBytes float64      // at most
	placedModel   layout.Model // for which the work was computed
	placed        balancer.Placement
}

// prepare decides what the choice of the upstream for the request and its current model depends on.
func (q *request) prepare(candidates []balancer.Candidate) {
	p := q.layout.Pool(q.service)
	if p == nil || p.Engine == nil {
		return
	}
	if model := q.selectedModel(); q.work == 0 || model != q.placedModel {
		q.placedModel = model
		q.measureWork(p.Engine, model)
	}
	if !q.SeparateHeavy {
		return
	}
	plan, isDue := q.sizes.Plan(q.service)
	if isDue {
		plan = q.updatePlan(candidates)
	}
	q.plan = plan
}

// measureWork computes the reading work of the request with a model.
func (q *request) measureWork(e *layout.Engine, model layout.Model) {
	if out, ok := parseTokens(q.httpRequest.Header.Get(q.Protocol.TokenUsage), 1); ok {
		q.responseBytes = eventBytes * out
	}
	total, shared, ok := q.promptTokens()
	q.reading = balancer.MeanReading
	if !ok {
		return
	}
	relative := q.relativeReadingTime(e, model)
	q.work = max(sizeclass.Work(total*relative), 1)
	q.reading = balancer.MeanReading * q.sizes.Record(q.service, q.work)
	if shared > 0 {
		q.prefixReading = min(q.reading, maxReading) * min(shared/max(total, 1), 1)
	}
	q.reading = min(q.reading, maxReading)
}

// promptTokens returns the tokens of the prompt that are not expected in the cache of every upstream, and
// those of its longest shared prefix that only some upstreams have cached.
func (q *request) promptTokens() (total, shared float64, ok bool) {
	total, ok = parseTokens(q.httpRequest.Header.Get(q.Protocol.TokenUsage), 0)
	if !ok {
		return 0, 0, false
	}
	shared = float64(q.prefix.Tokens)
	if shared < commonPrefixTokens {
		return max(total-shared, 0), 0, true
	}
	return total, shared, true
}

// parseTokens returns one of the numbers of the size of a request, tokens in and maximum tokens out.
func parseTokens(usage string, field int) (tokens float64, ok bool) {
	fields := strings.Split(usage, ",")
	if len(fields) <= field {
		return 0, false
	}
	tokens, err := strconv.ParseFloat(strings.TrimSpace(fields[field]), 64)
	// The negated comparison is false for NaN as well.
	if err != nil || !(tokens >= 0) {
		return 0, false
	}
	return min(tokens, maxPromptTokens), true
}

// selectedModel returns the model that the request is sent to.
func (q *request) selectedModel() layout.Model {
	if q.gatewaySelectsModel() {
		return q.route.Models[q.modelIndex]
	}
	return q.model
}

// relativeReadingTime returns the reading time per token of a model relative to the smallest one.
func (q *request) relativeReadingTime(e *layout.Engine, model layout.Model) float64 {
	if q.ReadingTime != nil {
		if relative, ok := q.ReadingTime(q.service, model); ok {
			return max(relative, 1)
		}
	}
	lowest := math.Inf(1)
	for _, c := range e.Costs {
		if c > 0 {
			lowest = min(lowest, c)
		}
	}
	if c := e.Costs[model]; c > lowest {
		return math.Pow(c/lowest, readingCostExponent)
	}
	return 1
}

// updatePlan decides anew whether heavy requests of the service get upstreams of their own.
func (q *request) updatePlan(candidates []balancer.Candidate) *sizeclass.Plan {
	all := q.View.Table().Services[q.service]
	upstreams := make([]sizeclass.Upstream, 0, len(all))
	for _, u := range all {
		if u.GetStage() != wire.Stage_STAGE_SILENT {
			upstreams = append(upstreams, sizeclass.Upstream{ID: u.GetId(), Zone: u.GetZone()})
		}
	}
	utilization := q.Balancer.Utilization(candidates)
	plan, changed := q.sizes.Update(q.service, upstreams, utilization)
	switch {
	case changed && plan != nil:
		q.log("heavy requests get upstreams of their own", zap.String("service", string(q.service)), zap.Float64("boundary", float64(plan.Boundary)),
			zap.Float64("share", plan.Share), zap.Float64("pressure", utilization), zap.Int("upstreams", len(upstreams)))
	case changed:
		q.log("heavy requests share all upstreams again", zap.String("service", string(q.service)), zap.Float64("pressure", utilization), zap.Int("upstreams", len(upstreams)))
	}
	return plan
}

// balancerRequest returns what the choice of the upstream depends on.
func (q *request) balancerRequest() balancer.Request {
	r := balancer.Request{Prefix: q.prefix, Reading: q.reading, PrefixReading: q.prefixReading, Bytes: float64(len(q.body)) + q.responseBytes}
	if q.plan != nil {
		r.Parts, r.Heavy = q.plan, q.plan.IsHeavy(q.work)
	}
	return r
}

// parseSlowdown returns how long work takes at an upstream, 100 as usual, from the fields of its load header. It
// returns 0 if the upstream does not state it.
func parseSlowdown(fields []string) int {
	if len(fields) <= slowdownField {
		return 0
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(fields[slowdownField]), 64)
	// The negated comparison is false for NaN as well.
	if err != nil || !(v >= 1 && v <= math.MaxInt32) {
		return 0
	}
	return int(math.Round(v))
}

// beginReading records that the prompt is about to be sent.
func (e *exchange) beginReading() {
	if e.readingSent = e.reading; e.readingSent > 0 {
		e.Balancer.BeginReading(e.target.ID, e.readingSent)
	}
	switch {
	case !e.placed.Parted:
	case e.placed.Overflow:
		e.metrics.OverflowPlacements.Add(1)
	case e.plan.IsHeavy(e.work):
		e.metrics.HeavyPlacements.Add(1)
	default:
		e.metrics.LightPlacements.Add(1)
	}
}

// endReading records that the response has started, or that the exchange has ended without one.
func (e *exchange) endReading() {
	if e.readingSent > 0 {
		e.Balancer.EndReading(e.target.ID, e.readingSent)
		e.readingSent = 0
	}
}

// placementFields returns the log fields of the choice of the upstream.
func (e *exchange) placementFields() []zap.Field {
	if e.reading == 0 {
		return nil
	}
	class := "all"
	switch {
	case !e.placed.Parted:
	case e.placed.Overflow:
		class = "overflow"
	case e.plan.IsHeavy(e.work):
		class = "heavy"
	default:
		class = "light"
	}
	return []zap.Field{zap.Float64("work", math.Round(float64(e.work))), zap.String("class", class), zap.Duration("expected", e.placed.Expected)}
}
