package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/entry/route"
	"wisteriakeel.example/wisteriakeel/internal/entry/suspect"
	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// assumedOutputTokens is the length assumed for an answer whose request sets no limit.
const assumedOutputTokens = 256

// bytesPerToken is used to estimate token counts that no engine reported.
const bytesPerToken = 4

// ratingTimeout limits a rating, so that a slow rating service leaves time for the
// more capable model.
const ratingTimeout = 2 * time.Second

// completionRequest is the body of a chat completion request. Fields that the entry
// doesn't know are passed on unchanged.
type completionRequest struct {
	fields map[string]json.RawMessage
	model  string
	stream bool
	// includeUsage is true if the caller asked for the event with the usage.
	includeUsage bool
	// maxTokens limits the answer; assumedOutputTokens if the caller sets no limit.
	maxTokens uint64
}

const (
	// chatCopies is how often a body is held besides itself: as the values of its fields, and encoded for the engine
	// and for the rating service, which takes room to grow.
	chatCopies = 4
	// fieldBytes is what a field of the body takes in the maps of fields, and while they are encoded.
	fieldBytes = 512
)

// reserveDecoded accounts for what the body takes once it is decoded, and encoded for engines.
func (q *request) reserveDecoded() error {
	n := memory.Bytes(chatCopies*len(q.body) + fieldBytes*countFields(q.body))
	err := q.held.ReserveDecoded(memory.Body, q.body, n)
	if errors.Is(err, memory.ErrNeverFits) {
		r := invalidRequest("body", "the body has too many fields")
		r.status = http.StatusRequestEntityTooLarge
		return r
	}
	return err
}

// countFields returns the number of fields of a JSON object, or an upper bound if it is not valid.
func countFields(body []byte) (n int) {
	depth, quoted := 0, false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case c == '"':
			quoted = !quoted
		case quoted && c == '\\':
			i++
		case quoted:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		case c == ':' && depth <= 1:
			n++
		}
	}
	return n
}

// parseCompletion decodes the body and checks the fields that the entry uses.
func parseCompletion(body []byte) (c *completionRequest, err error) {
	c = &completionRequest{}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, invalidRequest("body", "the body is not a JSON object")
	}
	var options struct {
		Usage bool `json:"include_usage"`
	}
	var legacyMaxTokens uint64
	for _, f := range []struct {
		name  string
		value any
	}{
		{"model", &c.model},
		{"stream", &c.stream},
		{"stream_options", &options},
		{"max_tokens", &legacyMaxTokens},
		{"max_completion_tokens", &c.maxTokens},
	} {
		raw, ok := c.fields[f.name]
		if ok && json.Unmarshal(raw, f.value) != nil {
			return nil, invalidRequest("body", "%s has the wrong type", f.name)
		}
	}
	if c.model == "" {
		return nil, invalidRequest("model", "model is missing")
	}
	c.includeUsage = options.Usage
	if c.maxTokens == 0 {
		c.maxTokens = legacyMaxTokens
	}
	if c.maxTokens == 0 {
		c.maxTokens = assumedOutputTokens
	}
	return c, nil
}

// body returns the body to send to an engine that serves the model. It always asks
// for the usage of a stream, which the charge needs.
func (c *completionRequest) body(model document.Model) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(c.fields)+1)
	for n, v := range c.fields {
		fields[n] = v
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, err
	}
	fields["model"] = name
	if c.stream {
		options := map[string]json.RawMessage{}
		if raw, ok := c.fields["stream_options"]; ok {
			if err := json.Unmarshal(raw, &options); err != nil {
				return nil, err
			}
		}
		if options == nil {
			options = map[string]json.RawMessage{}
		}
		options["include_usage"] = json.RawMessage("true")
		if fields["stream_options"], err = json.Marshal(options); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

// chatJob is a chat completion request that runs through the steps of its cascade.
type chatJob struct {
	*request
	chat *completionRequest
	plan route.Plan
	// tokens counts the input and output tokens of all attempts of the current step.
	tokens uint64
}

// stepResult is the complete answer of one step.
type stepResult struct {
	model   document.Model
	version document.Version
	result  upstream.ChatResult
	relay   *streamRelay
}

// chat serves POST /v1/chat/completions.
func (h *Handler) chat(ctx context.Context, q *request) (err error) {
	if err := q.readBody(); err != nil {
		return err
	}
	if err := q.reserveDecoded(); err != nil {
		return err
	}
	c, err := parseCompletion(q.body)
	if err != nil {
		return err
	}
	config, err := h.leasedConfig()
	if err != nil {
		return err
	}
	q.fingerprint = suspect.ChatFingerprint(string(q.account), c.fields)
	if err := q.checkQuarantine(config); err != nil {
		return err
	}
	j := &chatJob{request: q, chat: c}
	if j.plan, err = route.Resolve(config, q.account, c.model); err != nil {
		return err
	}
	a, err := j.runCascade(ctx)
	if err != nil {
		return err
	}
	return j.deliver(ctx, a)
}

// runCascade tries the models of the cascade from the cheapest to the most capable
// one until an answer's rating reaches the plan's minimum rating.
func (j *chatJob) runCascade(ctx context.Context) (a stepResult, err error) {
	last := len(j.plan.Steps) - 1
	if j.handler.options.Rater != nil {
		for _, step := range j.plan.Steps[:last] {
			a, err := j.runStep(ctx, step, newStreamRelay(j, false))
			if ctx.Err() != nil {
				return a, context.Cause(ctx)
			}
			var r *refusal
			if errors.As(err, &r) && r.code == codeQuarantined {
				return a, err
			}
			if err != nil {
				metric.Int("cascade.failed").Add(1)
				continue
			}
			rating, err := j.rate(ctx, a)
			if err != nil {
				// Unrated answers are not delivered; the most capable model needs no rating.
				metric.Int("cascade.unrated").Add(1)
				break
			}
			if rating >= j.plan.MinRating {
				metric.Int("cascade.ended").Add(1)
				return a, nil
			}
		}
	}
	return j.runStep(ctx, j.plan.Steps[last], newStreamRelay(j, true))
}

// rate returns the rating of a step's answer.
func (j *chatJob) rate(ctx context.Context, a stepResult) (rating float64, err error) {
	ctx, span := j.handler.options.Tracer.Start(ctx, "rating")
	defer func() { endSpan(span, err) }()
	ctx, cancel := j.handler.withTimeout(ctx, ratingTimeout)
	defer cancel()
	text := []byte(a.result.Text)
	if j.chat.stream {
		text = a.relay.text
	}
	rating, err = j.handler.options.Rater.Rate(ctx, j.plan.Document.Service, a.model, j.body, text)
	span.SetAttributes(attribute.Float64("rating", rating))
	return rating, err
}

// deliver charges the request and then sends the answer, or the rest of a stream that
// was held back until the charge was committed.
func (j *chatJob) deliver(ctx context.Context, a stepResult) error {
	j.writer.Header().Set(headerModel, string(a.model)+"@"+string(a.version))
	if err := j.charge(ctx, a); err != nil {
		return err
	}
	if j.chat.stream {
		a.relay.finish()
		return nil
	}
	j.writer.Header().Set("Content-Type", "application/json")
	writeResponse(j.writer, http.StatusOK, a.result.Body)
	return nil
}

// charge commits the charge for the answer.
func (j *chatJob) charge(ctx context.Context, a stepResult) error {
	u := a.result.Usage
	return j.commitCharge(ctx, &wire.ChargeRequest{
		Account: string(j.account), Service: string(j.plan.Document.Service),
		Request: j.id, Digest: j.bodyDigest, Model: string(a.model), Version: string(a.version),
		Input: u.InputTokens, Output: u.OutputTokens,
		Amount: j.price(a.model, u),
		Costs:  j.costs,
	})
}

// price returns the price of the usage by the model's prices in the request's document.
func (j *chatJob) price(model document.Model, u upstream.Usage) uint64 {
	m, _ := j.plan.Document.Model(model)
	return u.InputTokens*uint64(m.Price.Input) + u.OutputTokens*uint64(m.Price.Output)
}

// commitCharge records a charge. A caller gets no complete answer unless its charge
// was committed.
func (q *request) commitCharge(ctx context.Context, r *wire.ChargeRequest) (err error) {
	ctx, span := q.handler.options.Tracer.Start(ctx, "control charge")
	defer func() { endSpan(span, err) }()
	if _, err := q.handler.control.Charge(ctx, r); err != nil {
		metric.Int("caller.uncharged").Add(1)
		return unknownOutcome("charge", "the charge could not be committed")
	}
	return nil
}
