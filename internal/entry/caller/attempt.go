package caller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/entry/route"
	"wisteriakeel.example/wisteriakeel/internal/entry/suspect"
	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// changeLimit bounds how often a request is placed anew because the
// configuration changed between its placement and its dispatch.
const changeLimit = 5

// priority is the engine priority of all requests; 0 goes first.
const priority = 5

// errChanged means that the configuration changed after the placement.
var errChanged = errors.New("the configuration changed")

// placement is where an attempt goes.
type placement struct {
	version document.Version
	pick    *route.Selection
}

func (p placement) chosen() (*wire.Upstream, func()) { return chosen(p.pick) }

// chosen returns the upstream and what gives it back unused.
func chosen(k *route.Selection) (*wire.Upstream, func()) {
	return k.Upstream, func() { k.Done(false) }
}

func (h *Handler) within(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return timer.WithTimeout(ctx, h.timer, d)
}

// step gets one model's answer and retries on other upstreams.
func (j *job) step(ctx context.Context, model document.Model, o *output) (a answered, err error) {
	body, err := j.chat.body(model)
	if err != nil {
		return a, invalid("body", "the body cannot be passed on")
	}
	size := uint64(len(j.body))/bytesPerToken + j.chat.most
	t, err := j.enter(ctx, placeKey{j.plan.Document.Service, model}, j.plan.Account, size)
	if err != nil {
		return a, err
	}
	j.tokens = 0
	defer func() { t.Release(j.tokens) }()
	j.handler.budget.CountRequest()
	a = answered{model: model, output: o}
	var tried []string
	var failure error
	changes := 0
	for {
		p, run, err := admit(ctx, j.request, func() (placement, error) { return j.place(ctx, model, a.version, o, tried) }, placement.chosen)
		if errors.Is(err, errChanged) && changes < changeLimit {
			changes++
			continue
		}
		if err != nil {
			return a, worst(failure, err)
		}
		before := a.version
		a.version = p.version
		a.result, err = j.attempt(ctx, a, p, run, body)
		if err == nil {
			return a, nil
		}
		if errors.Is(err, errChanged) && changes < changeLimit {
			// Nothing was sent, so this is no retry.
			changes++
			a.version = before
			continue
		}
		failure = err
		if !j.again(ctx, failure) {
			return a, failure
		}
		tried = append(tried, p.pick.Upstream.Name)
		o.restart()
		if !o.begun() {
			a.version = ""
		}
	}
}

// again tells whether another upstream may get the request.
func (q *request) again(ctx context.Context, err error) bool {
	var f *upstream.Failure
	if ctx.Err() != nil || !errors.As(err, &f) || f.PreSendCheckFailed {
		return false
	}
	if f.Outcome == upstream.Failed && f.Status >= 400 && f.Status < 500 {
		return false // the engine found the request itself wrong
	}
	if !q.handler.budget.AllowRetry() {
		metric.Int("caller.budget").Add(1)
		return false
	}
	metric.Int("caller.retries").Add(1)
	return true
}

// place selects the version and the upstream. A begun stream stays with its
// version and needs an upstream that resumes.
func (j *job) place(ctx context.Context, model document.Model, begun document.Version, o *output, tried []string) (p placement, err error) {
	h := j.handler
	c, err := h.config()
	if err != nil {
		return p, err
	}
	plan, err := route.Resolve(c, j.account, j.chat.model)
	if err != nil {
		return p, err
	}
	j.plan = plan
	want := route.Requirements{Service: plan.Document.Service, Model: model, Excluded: tried}
	var versions []document.Version
	switch {
	case begun != "":
		versions = []document.Version{begun}
		if o.contents > 0 {
			want.Feature = upstream.FeatureResume
		}
	case j.session != "":
		v, err := j.sessionVersion(ctx, c, &plan, model)
		if err != nil {
			return p, err
		}
		versions = []document.Version{v}
	default:
		if versions, err = plan.EligibleVersions(model, j.key()); err != nil {
			return p, err
		}
	}
	for _, v := range versions {
		want.Version = v
		if p.pick, err = h.pool.Pick(c, h.control.Loads(), want); err == nil {
			p.version = v
			o.model = string(model) + "@" + string(v)
			return p, nil
		}
	}
	return p, err
}

// clear checks the lease, the permission, the version and the upstream against
// the configuration in force, immediately before the dispatch.
func (j *job) clear(model document.Model, p placement, pinned, trial bool) error {
	c, err := j.handler.config()
	if err != nil {
		return err
	}
	plan, err := route.Resolve(c, j.account, j.chat.model)
	if err != nil {
		return err
	}
	if !plan.Accepts(model, p.version, j.key(), pinned) || !registered(c, p.pick.Upstream) || !trial && j.suspected(c) {
		return errChanged
	}
	return nil
}

// registered tells whether the upstream's incarnation is still in force.
func registered(c *control.Config, u *wire.Upstream) bool {
	now := c.Upstreams[u.Name]
	return now != nil && !now.Left && now.Incarnation == u.Incarnation && now.Address == u.Address
}

// attempt sends the request to one upstream and records the cost.
func (j *job) attempt(ctx context.Context, a answered, p placement, run *suspect.Run, body []byte) (res upstream.ChatResult, err error) {
	u := p.pick.Upstream
	ctx, span := j.handler.options.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream", u.Name), attribute.String("version", u.Version)))
	defer func() {
		var f *upstream.Failure
		p.pick.Done(errors.As(err, &f) && f.UpstreamFault)
		if err != nil {
			j.attempted(err)
		}
		err = j.settle(ctx, run, err)
		end(span, err)
	}()
	o := a.output
	before := o.contents
	q := upstream.ChatRequest{
		Body: body, RequestID: j.outward, Version: string(p.version), Priority: priority,
		Stream: j.chat.stream, OnChunk: o.take,
	}
	pinned := j.session != "" || o.begun()
	q.PreSendCheck = sending(run, func() error { return j.clear(a.model, p, pinned, run.IsTrial()) })
	if o.begun() {
		q.ResumeAfter = o.contents
	}
	res, err = j.handler.dispatcher.SendChat(ctx, u, q)
	j.spend(a, u, &res, err, before)
	return res, err
}

// spend adds the attempt to the costs and completes the usage.
func (j *job) spend(a answered, u *wire.Upstream, res *upstream.ChatResult, err error, before int) {
	if err != nil && upstream.OutcomeOf(err) == upstream.NotRun {
		return
	}
	if !res.UsageReported {
		res.Usage.InputTokens = uint64(len(j.body)) / bytesPerToken
		res.Usage.OutputTokens = max(uint64(res.ContentChunks), uint64(len(res.Text))/bytesPerToken)
	}
	j.costs = append(j.costs, &wire.Cost{
		Model: string(a.model), Version: string(a.version), Upstream: u.Name,
		Input: res.Usage.InputTokens, Output: res.Usage.OutputTokens, Amount: j.price(a.model, res.Usage),
	})
	j.tokens += res.Usage.InputTokens + res.Usage.OutputTokens
	// An engine that resumes may count only its own part.
	res.Usage.OutputTokens = max(res.Usage.OutputTokens, uint64(before+res.ContentChunks))
}
