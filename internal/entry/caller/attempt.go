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
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// maxConfigChanges limits how often an upstream is selected again because the
// configuration changed between the selection and the dispatch.
const maxConfigChanges = 5

// enginePriority is the scheduling priority that engines are given for every
// request; 0 is the highest.
const enginePriority = 5

// errConfigChanged means that the configuration, or what the upstream asks for, changed after the
// upstream was selected.
var errConfigChanged = errors.New("the configuration changed")

// placement is the version and the upstream selected for an attempt.
type placement struct {
	version   document.Version
	selection *route.Selection
	// period is the lease period in which the attempt began.
	period uint64
}

// target returns the upstream and a function that releases it unused.
func (p placement) target() (*wire.Upstream, func()) { return selectionTarget(p.selection) }

// selectionTarget returns the selected upstream and a function that releases it unused.
func selectionTarget(k *route.Selection) (*wire.Upstream, func()) {
	return k.Upstream, func() { k.Done(false) }
}

// withTimeout is like context.WithTimeout, but measures d with the handler's timer.
func (h *Handler) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return timer.WithTimeout(ctx, h.timer, d)
}

// runStep gets the answer of one model of a cascade. It retries failed attempts on other
// upstreams.
func (j *chatJob) runStep(ctx context.Context, model document.Model, o *streamRelay) (a stepResult, err error) {
	body, err := j.chat.body(model)
	if err != nil {
		return a, invalidRequest("body", "the body cannot be passed on")
	}
	estimatedTokens := uint64(len(j.body))/bytesPerToken + j.chat.maxTokens
	slot, err := j.acquireSlot(ctx, queueKey{j.plan.Document.Service, model}, j.plan.Account, estimatedTokens)
	if err != nil {
		return a, err
	}
	j.tokens = 0
	defer func() { slot.Release(j.tokens) }()
	j.handler.retryBudget.CountRequest()
	a = stepResult{model: model, relay: o}
	var tried []string
	var failure error
	changes := 0
	for {
		p, run, err := admit(ctx, j.request, func() (placement, error) { return j.selectUpstream(ctx, model, a.version, o, tried) }, placement.target)
		if errors.Is(err, errConfigChanged) && changes < maxConfigChanges {
			changes++
			continue
		}
		if err != nil {
			return a, finalError(failure, err)
		}
		previous := a.version
		a.version = p.version
		a.result, err = j.attempt(ctx, a, p, run, body)
		if err == nil {
			return a, nil
		}
		if errors.Is(err, errConfigChanged) && changes < maxConfigChanges {
			// Nothing was sent, so this doesn't count as a retry.
			changes++
			a.version = previous
			continue
		}
		failure = err
		if !j.allowRetry(ctx, failure) {
			return a, failure
		}
		tried = append(tried, p.selection.Upstream.Name)
		o.restart()
		if !o.started() {
			a.version = ""
		}
	}
}

// allowRetry reports whether the request may be sent to another upstream after err,
// and takes the retry out of the budget.
func (q *request) allowRetry(ctx context.Context, err error) bool {
	var f *upstream.Failure
	if ctx.Err() != nil || !errors.As(err, &f) || f.PreSendCheckFailed || errors.Is(err, memory.ErrShort) {
		return false
	}
	if f.Outcome == upstream.Failed && f.Status >= 400 && f.Status < 500 {
		return false // the engine rejected the request itself
	}
	if !q.handler.retryBudget.AllowRetry() {
		metric.Int("caller.budget").Add(1)
		return false
	}
	metric.Int("caller.retries").Add(1)
	return true
}

// selectUpstream selects a version of the model and an upstream that serves it. A
// stream that the caller has seen part of stays with its version (startedVersion);
// after the first content it needs an upstream that can resume it.
func (j *chatJob) selectUpstream(ctx context.Context, model document.Model, startedVersion document.Version, o *streamRelay, tried []string) (p placement, err error) {
	h := j.handler
	p.period = h.control.LeasePeriod()
	c, err := h.leasedConfig()
	if err != nil {
		return p, err
	}
	plan, err := route.Resolve(c, j.account, j.chat.model)
	if err != nil {
		return p, err
	}
	j.plan = plan
	requirements := route.Requirements{Service: plan.Document.Service, Model: model, Excluded: tried}
	var versions []document.Version
	switch {
	case startedVersion != "":
		versions = []document.Version{startedVersion}
		if o.contentEvents > 0 {
			requirements.Feature = upstream.FeatureResume
		}
	case j.session != "":
		v, err := j.sessionVersion(ctx, c, &plan, model)
		if err != nil {
			return p, err
		}
		versions = []document.Version{v}
	default:
		if versions, err = plan.EligibleVersions(model, j.rolloutKey()); err != nil {
			return p, err
		}
	}
	for _, v := range versions {
		requirements.Version = v
		if p.selection, err = h.pickUpstream(c, requirements); err == nil {
			p.version = v
			o.modelVersion = string(model) + "@" + string(v)
			return p, nil
		}
	}
	return p, err
}

// checkDispatch checks the lease, the permission, the version and the upstream against
// the configuration in force, immediately before the dispatch. It returns errConfigChanged
// if the selection must be repeated.
func (j *chatJob) checkDispatch(model document.Model, p placement, pinned, trial bool) error {
	c, err := j.handler.leasedConfig()
	if err != nil {
		return err
	}
	plan, err := route.Resolve(c, j.account, j.chat.model)
	if err != nil {
		return err
	}
	if !plan.Accepts(model, p.version, j.rolloutKey(), pinned) || !stillRegistered(c, p.selection.Upstream) || j.suspicionChanged(c, trial) {
		return errConfigChanged
	}
	if trial && j.handler.checkLeasePeriod(p.period) != nil {
		return errConfigChanged // group 0 may have ended the trial meanwhile and granted another one
	}
	if err := j.handler.pool.CheckPause(p.selection.Upstream); err != nil {
		return errors.CombineErrors(errConfigChanged, err)
	}
	return nil
}

// stillRegistered reports whether the same incarnation of the upstream is still
// registered, at the same address.
func stillRegistered(c *control.Config, u *wire.Upstream) bool {
	current := c.Upstreams[u.Name]
	return current != nil && !current.Left && current.Incarnation == u.Incarnation && current.Address == u.Address
}

// attempt sends the request to one upstream and records its cost.
func (j *chatJob) attempt(ctx context.Context, a stepResult, p placement, run *suspect.Run, body []byte) (res upstream.ChatResult, err error) {
	u := p.selection.Upstream
	ctx, span := j.handler.options.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream", u.Name), attribute.String("version", u.Version)))
	defer func() {
		var f *upstream.Failure
		p.selection.Done(errors.As(err, &f) && f.UpstreamFault)
		if err != nil {
			j.recordOutcome(err)
		}
		err = j.endRun(ctx, run, err)
		endSpan(span, err)
	}()
	o := a.relay
	eventsBefore := o.contentEvents
	q := upstream.ChatRequest{
		Body: body, RequestID: j.upstreamID, Version: string(p.version), Priority: enginePriority,
		Stream: j.chat.stream, OnChunk: o.handleChunk,
	}
	pinned := j.session != "" || o.started()
	q.PreSendCheck = j.checkAndMarkSent(run, func() error { return j.checkDispatch(a.model, p, pinned, run.IsTrial()) })
	if o.started() {
		q.ResumeAfter = o.contentEvents
	}
	res, err = j.handler.upstreamClient.SendChat(ctx, u, q)
	j.recordCost(a, u, &res, err, eventsBefore)
	return res, err
}

// recordCost adds the cost of an attempt and fills in the usage where the engine
// reported none. eventsBefore is the number of content events that the relay had
// received before the attempt.
func (j *chatJob) recordCost(a stepResult, u *wire.Upstream, res *upstream.ChatResult, err error, eventsBefore int) {
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
	// An engine that resumes a stream may count only the part that it generated.
	res.Usage.OutputTokens = max(res.Usage.OutputTokens, uint64(eventsBefore+res.ContentChunks))
}
