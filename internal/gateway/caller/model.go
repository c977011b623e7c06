package caller

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/gateway/modelselect"
	"wisteriakeel.example/wisteriakeel/internal/gateway/retrybudget"
)

// minFailureAttempts is the number of attempts of a route from which a second escalation leaves one for a
// failure of an upstream.
const minFailureAttempts = 3

// modelChoice is the state of a request whose model the gateway selects.
type modelChoice struct {
	modelRequest modelselect.Request
	// before is the run whose answer was dropped for that of a larger model, nil if none was.
	before *modelselect.Run
}

// gatewaySelectsModel reports whether the caller leaves the choice of the model to the gateway.
func (q *request) gatewaySelectsModel() bool {
	return string(q.model) == q.Protocol.AutoModel && len(q.route.Models) > 0
}

// readModelRequest reads what the choice of the model depends on. lastPart is the last part of the prompt.
func (q *request) readModelRequest(lastPart string) {
	if !q.gatewaySelectsModel() {
		return
	}
	usage, ok := parseUsage(q.httpRequest.Header.Get(q.Protocol.TokenUsage))
	if !ok {
		q.Log.Debug("no valid size of the request, a default is assumed", zap.String("request", q.id))
	}
	q.modelRequest = modelselect.Request{
		Service: q.service, Route: q.route.Name, Models: q.route.Models, Usage: usage,
		Objective: q.route.LatencyObjective, Timeout: q.timeout,
	}
	if q.client != nil {
		q.modelRequest.Account = q.client.Name
	}
	if p := q.layout.Pool(q.service); p != nil && p.Engine != nil {
		q.modelRequest.Costs = p.Engine.Costs
	}
	if id := promptPartID(lastPart); id != "" {
		q.modelRequest.Part = xxhash.Sum64String(id)
	}
}

// parseUsage parses the number of tokens in and the maximum number of tokens out, separated by a comma.
// It returns a default and false for anything else.
func parseUsage(text string) (u modelselect.Usage, ok bool) {
	first, second, _ := strings.Cut(text, ",")
	in, inErr := strconv.ParseFloat(strings.TrimSpace(first), 64)
	out, outErr := strconv.ParseFloat(strings.TrimSpace(second), 64)
	// The negated comparisons are false for NaN as well.
	if inErr != nil || outErr != nil || !(in >= 0 && out >= 1) {
		return modelselect.DefaultUsage, false
	}
	return modelselect.Usage{In: int(math.Round(min(in, modelselect.MaxTokens))), MaxOut: int(math.Round(min(out, modelselect.MaxTokens)))}, true
}

// parseConfidence parses a model's confidence. Anything but a number of 0 or more counts as not reported.
func parseConfidence(text string) modelselect.Confidence {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0) {
		return modelselect.Unreported
	}
	return modelselect.Confidence(math.Round(min(v, modelselect.MaxConfidence)))
}

// modelConditions returns the conditions of a choice of the model now. wait is that for a slot.
func (q *request) modelConditions(wait time.Duration) modelselect.Conditions {
	return modelselect.Conditions{Utilization: q.utilization, Elapsed: q.Timer.Now().Sub(q.arrived), Wait: wait}
}

// selectModel selects the model of the next dispatch, on which the choice of the upstream depends. Once the
// request has run, it keeps its model until it escalates.
func (q *request) selectModel(candidates []balancer.Candidate) {
	if !q.gatewaySelectsModel() {
		return
	}
	q.utilization = q.Balancer.Utilization(candidates)
	switch {
	case !q.mayRunAgain(1):
		q.modelIndex = q.models.Only(&q.modelRequest, q.modelConditions(0)).Index
	case q.executions == 0:
		d := q.models.Initial(&q.modelRequest, q.modelConditions(0))
		if q.modelIndex = d.Index; d.Index > 0 {
			q.metrics.LargerStarts.Add(1)
			q.log("starts at a larger model", append(decisionFields(d), zap.Float64("pressure", q.utilization))...)
		}
	}
	q.upstreamHeader.Set(q.Protocol.Model, string(q.route.Models[q.modelIndex]))
}

// decisionFields returns the log fields with the inputs that decided on a model.
func decisionFields(d modelselect.Decision) []zap.Field {
	return []zap.Field{
		zap.Int("size", d.Index), zap.Float64("chance", d.Chance), zap.Float64("value", d.Value), zap.Float64("price", d.Price),
		zap.Float64("slot", d.SlotCost), zap.Float64("gain", d.Net),
	}
}

// escalate selects a larger model and returns true if the response should be discarded for
// one of that model. Nothing has been sent to the caller yet in that case.
func (e *exchange) escalate() bool {
	if !e.gatewaySelectsModel() || e.responseStarted {
		return false
	}
	confidence := parseConfidence(e.response.Header.Get(e.Protocol.Confidence))
	e.slotWait = e.models.RecordFirst(&e.modelRequest, e.modelIndex, e.headerAt.Sub(e.sentAt), e.queueReported())
	e.models.RecordConfidence(&e.modelRequest, e.modelIndex, confidence, e.before)
	if e.remaining() < minRemaining || !e.mayEscalate() {
		return false
	}
	if left, _ := e.request.candidates(); len(left) == 0 {
		return false // an answer is better than none
	}
	d, ok := e.models.Escalate(&e.modelRequest, e.modelIndex, confidence, e.modelConditions(e.slotWait))
	if !ok {
		return false
	}
	if !e.Budget.AllowRetry(string(e.service), retrybudget.LowConfidence, e.View.InstanceCount()) {
		e.metrics.RefusedEscalations.Add(1)
		return false
	}
	e.log("larger model", append(decisionFields(d), zap.Int("confidence", int(confidence)), zap.Float64("pressure", e.utilization),
		zap.String("upstream", e.target.ID), zap.String("limit", e.response.Header.Get(e.Protocol.RateLimit)))...)
	e.before = &modelselect.Run{Index: e.modelIndex, Confidence: confidence}
	e.modelIndex = d.Index
	e.metrics.Escalations.Add(1)
	if d.Index < len(e.route.Models)-1 {
		e.metrics.MiddleEscalations.Add(1)
	}
	return true
}

// mayEscalate reports whether the request may run again. A second escalation must leave an attempt for a
// failure of an upstream.
func (e *exchange) mayEscalate() bool {
	run := e.executions + 1
	if e.before != nil && e.route.MaxAttempts >= minFailureAttempts {
		run++
	}
	return e.mayRunAgain(run)
}

// queueReported reports whether the upstream states that requests wait for its slots.
func (e *exchange) queueReported() bool {
	fields := strings.Split(e.response.Header.Get(e.Protocol.Load), ",")
	return len(fields) >= 2 && strings.TrimSpace(fields[1]) != "0"
}

// recordModelEnd learns how long the rest of a complete response took.
func (e *exchange) recordModelEnd(discarded bool) {
	if e.gatewaySelectsModel() && e.outcome == balancer.Succeeded && !discarded && !e.resumed {
		e.models.RecordEnd(&e.modelRequest, e.modelIndex, e.Timer.Now().Sub(e.headerAt))
	}
}

// modelFields returns the log fields of the model that answered.
func (e *exchange) modelFields() []zap.Field {
	if !e.gatewaySelectsModel() {
		return nil
	}
	return []zap.Field{zap.String("model", string(e.route.Models[e.modelIndex])), zap.Float64("pressure", e.utilization)}
}
