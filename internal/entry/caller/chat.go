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
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// answerEstimate is the size of an answer, in tokens, whose request bounds none.
const answerEstimate = 256

// bytesPerToken estimates token counts that no engine reported.
const bytesPerToken = 4

// rateTimeout leaves the capable model its time when the rating service is slow.
const rateTimeout = 2 * time.Second

// completion is the body of a chat request; fields that the entry does not
// know are passed on as they are.
type completion struct {
	fields map[string]json.RawMessage
	model  string
	stream bool
	// usage is true if the caller wants the event with the usage.
	usage bool
	most  uint64
}

func parseCompletion(body []byte) (c *completion, err error) {
	c = &completion{}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, invalid("body", "the body is not a JSON object")
	}
	var options struct {
		Usage bool `json:"include_usage"`
	}
	var older uint64
	for _, f := range []struct {
		name  string
		value any
	}{
		{"model", &c.model},
		{"stream", &c.stream},
		{"stream_options", &options},
		{"max_tokens", &older},
		{"max_completion_tokens", &c.most},
	} {
		raw, ok := c.fields[f.name]
		if ok && json.Unmarshal(raw, f.value) != nil {
			return nil, invalid("body", "%s has the wrong type", f.name)
		}
	}
	if c.model == "" {
		return nil, invalid("model", "model is missing")
	}
	c.usage = options.Usage
	if c.most == 0 {
		c.most = older
	}
	if c.most == 0 {
		c.most = answerEstimate
	}
	return c, nil
}

// body returns the body for an engine that serves the model.
func (c *completion) body(model document.Model) ([]byte, error) {
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

// job is a chat request on its way through the steps of its cascade.
type job struct {
	*request
	chat *completion
	plan route.Plan
	// tokens counts what the attempts of the present step read and generated.
	tokens uint64
}

// answered is a complete answer of one step.
type answered struct {
	model   document.Model
	version document.Version
	result  upstream.ChatResult
	output  *output
}

func (h *Handler) chat(ctx context.Context, q *request) (err error) {
	if err := q.read(); err != nil {
		return err
	}
	c, err := parseCompletion(q.body)
	if err != nil {
		return err
	}
	config, err := h.config()
	if err != nil {
		return err
	}
	q.print = suspect.ChatFingerprint(string(q.account), c.fields)
	if err := q.screen(config); err != nil {
		return err
	}
	j := &job{request: q, chat: c}
	if j.plan, err = route.Resolve(config, q.account, c.model); err != nil {
		return err
	}
	a, err := j.cascade(ctx)
	if err != nil {
		return err
	}
	return j.deliver(ctx, a)
}

// cascade goes from the cheap to the capable model until an answer is good enough.
func (j *job) cascade(ctx context.Context) (a answered, err error) {
	last := len(j.plan.Steps) - 1
	if j.handler.options.Rater != nil {
		for _, step := range j.plan.Steps[:last] {
			a, err := j.step(ctx, step, newOutput(j, false))
			if ctx.Err() != nil {
				return a, context.Cause(ctx)
			}
			var own *refusal
			if errors.As(err, &own) && own.code == codeQuarantined {
				return a, err
			}
			if err != nil {
				metric.Int("cascade.failed").Add(1)
				continue
			}
			rating, err := j.rate(ctx, a)
			if err != nil {
				// Unrated answers are not given out; the most capable model needs no rating.
				metric.Int("cascade.unrated").Add(1)
				break
			}
			if rating >= j.plan.MinRating {
				metric.Int("cascade.ended").Add(1)
				return a, nil
			}
		}
	}
	return j.step(ctx, j.plan.Steps[last], newOutput(j, true))
}

func (j *job) rate(ctx context.Context, a answered) (rating float64, err error) {
	ctx, span := j.handler.options.Tracer.Start(ctx, "rating")
	defer func() { end(span, err) }()
	ctx, cancel := j.handler.within(ctx, rateTimeout)
	defer cancel()
	text := []byte(a.result.Text)
	if j.chat.stream {
		text = a.output.text
	}
	rating, err = j.handler.options.Rater.Rate(ctx, j.plan.Document.Service, a.model, j.body, text)
	span.SetAttributes(attribute.Float64("rating", rating))
	return rating, err
}

// deliver charges the request and sends what was held back until then.
func (j *job) deliver(ctx context.Context, a answered) error {
	j.writer.Header().Set(headerModel, string(a.model)+"@"+string(a.version))
	if err := j.charge(ctx, a); err != nil {
		return err
	}
	if j.chat.stream {
		a.output.finish()
		return nil
	}
	j.writer.Header().Set("Content-Type", "application/json")
	whole(j.writer, http.StatusOK, a.result.Body)
	return nil
}

// charge commits the charge of the answer.
func (j *job) charge(ctx context.Context, a answered) error {
	u := a.result.Usage
	return j.commit(ctx, &wire.ChargeRequest{
		Account: string(j.account), Service: string(j.plan.Document.Service),
		Request: j.id, Digest: j.digest, Model: string(a.model), Version: string(a.version),
		Input: u.InputTokens, Output: u.OutputTokens,
		Amount: j.price(a.model, u),
		Costs:  j.costs,
	})
}

// price returns what the usage of the model costs by the document in force.
func (j *job) price(model document.Model, u upstream.Usage) uint64 {
	m, _ := j.plan.Document.Model(model)
	return u.InputTokens*uint64(m.Price.Input) + u.OutputTokens*uint64(m.Price.Output)
}

// commit records a charge. Without it the caller gets no complete answer.
func (q *request) commit(ctx context.Context, r *wire.ChargeRequest) (err error) {
	ctx, span := q.handler.options.Tracer.Start(ctx, "control charge")
	defer func() { end(span, err) }()
	if _, err := q.handler.control.Charge(ctx, r); err != nil {
		metric.Int("caller.uncharged").Add(1)
		return unknown("charge", "the charge could not be committed")
	}
	return nil
}
