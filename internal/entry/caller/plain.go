package caller

import (
	"context"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/entry/route"
	"wisteriakeel.example/wisteriakeel/internal/entry/suspect"
	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// plainCall is a request to a plain service, that is, one without models.
type plainCall struct {
	*request
	service document.Service
	path    string
	// call is what the document declares about this call.
	call document.CallSpec
	// grant holds the account's permissions and limits at the service.
	grant           document.AccountSpec
	upstreamRequest upstream.PlainRequest
}

// plain serves /v1/services/{service}/{path...}.
func (h *Handler) plain(ctx context.Context, q *request) error {
	if err := q.readBody(); err != nil {
		return err
	}
	service := q.httpRequest.PathValue("service")
	p := &plainCall{request: q, service: document.Service(service), path: "/" + q.httpRequest.PathValue("path")}
	escaped := strings.TrimPrefix(q.httpRequest.URL.EscapedPath(), "/v1/services/"+service)
	if clean := path.Clean(p.path); clean != strings.TrimSuffix(p.path, "/") && clean != p.path {
		return invalidRequest("path", "the path is not in its shortest form")
	}
	if !strings.HasPrefix(escaped, "/") {
		return invalidRequest("path", "the service's name must not be escaped")
	}
	if q.httpRequest.URL.RawQuery != "" {
		escaped += "?" + q.httpRequest.URL.RawQuery
	}
	var err error
	if _, p.call, p.grant, err = p.authorize(); err != nil {
		return err
	}
	p.fingerprint = suspect.PlainFingerprint(string(q.account), []byte(service), []byte(q.httpRequest.Method), []byte(escaped), q.body)
	p.upstreamRequest = upstream.PlainRequest{
		Method: q.httpRequest.Method, Path: escaped, Body: q.body, ContentType: q.httpRequest.Header.Get("Content-Type"),
		RequestID: q.upstreamID, IdempotencyKey: q.httpRequest.Header.Get(upstream.HeaderIdempotencyKey), Account: string(q.account),
		Timeout: time.Duration(p.call.TimeoutMillis) * time.Millisecond,
	}
	if p.call.Idempotent {
		return p.serveRetryable(ctx)
	}
	return p.serveOnce(ctx)
}

// authorize checks that the entry holds a lease, that the document declares the
// call, and that the account may make it, by the configuration in force.
func (p *plainCall) authorize() (c *control.Config, call document.CallSpec, grant document.AccountSpec, err error) {
	c, err = p.handler.leasedConfig()
	if err != nil {
		return nil, call, grant, err
	}
	d := c.Documents[p.service]
	if d == nil || d.Kind != document.KindPlain {
		return nil, call, grant, &refusal{
			status: http.StatusNotFound, kind: kindRequest, code: "service",
			message: "no such service", outcome: upstream.NotRun,
		}
	}
	call, ok := d.Call(p.httpRequest.Method, p.path)
	grant, known := d.Account(p.account)
	if !ok || !known || !grant.PermitsPath(p.path) {
		return nil, call, grant, &refusal{
			status: http.StatusForbidden, kind: kindPermission, code: "permission",
			message: "the client account may not make this call", outcome: upstream.NotRun,
		}
	}
	return c, call, grant, nil
}

// pick picks an upstream of the service other than those already tried.
func (p *plainCall) pick(tried []string) (*route.Selection, error) {
	c, err := p.handler.leasedConfig()
	if err != nil {
		return nil, err
	}
	return p.handler.pickUpstream(c, route.Requirements{Service: p.service, Excluded: tried})
}

// checkDispatch checks immediately before the dispatch whatever may have changed
// since the upstream was selected in the given lease period. A trial, or a call that must run
// at most once, is sent only if the lease has not lapsed since. checkDispatch must not modify
// the call, since the goroutine of the connection calls it.
func (p *plainCall) checkDispatch(u *wire.Upstream, trial bool, period uint64) error {
	c, call, _, err := p.authorize()
	if err != nil {
		return err
	}
	if trial || !p.call.Idempotent {
		if err := p.handler.checkLeasePeriod(period); err != nil {
			return err
		}
	}
	if call.Idempotent != p.call.Idempotent {
		return errors.Wrap(errConfigChanged, "the call's declaration")
	}
	if p.suspicionChanged(c, trial) {
		return errors.Wrap(errConfigChanged, "the call is suspected of a crash")
	}
	if !stillRegistered(c, u) {
		return errors.Wrap(route.ErrNoUpstream, "the upstream has left")
	}
	return p.handler.pool.CheckPause(u)
}

// serveRetryable sends the call and retries on other upstreams as far as the retry
// budget allows.
func (p *plainCall) serveRetryable(ctx context.Context) error {
	slot, err := p.acquireSlot(ctx, queueKey{service: p.service}, p.grant, 1)
	if err != nil {
		return err
	}
	defer slot.Release(1)
	p.handler.retryBudget.CountRequest()
	var tried []string
	var failure error
	for {
		period := p.handler.control.LeasePeriod()
		k, run, err := admit(ctx, p.request, func() (*route.Selection, error) { return p.pick(tried) }, selectionTarget)
		if err != nil {
			return finalError(failure, err)
		}
		a, err := p.attempt(ctx, k, run, func(ctx context.Context) (upstream.Response, error) {
			m := p.upstreamRequest
			m.PreSendCheck = p.checkAndMarkSent(run, func() error { return p.checkDispatch(k.Upstream, run.IsTrial(), period) })
			return p.handler.upstreamClient.SendPlain(ctx, k.Upstream, m)
		})
		if err == nil {
			return p.deliver(ctx, a, p.id, p.bodyDigest)
		}
		failure = err
		if !p.allowRetry(ctx, failure) {
			return failure
		}
		tried = append(tried, k.Upstream.Name)
	}
}

// attempt sends the call to one upstream with send and records its cost.
func (p *plainCall) attempt(ctx context.Context, k *route.Selection, run *suspect.Run, send func(ctx context.Context) (upstream.Response, error)) (a upstream.Response, err error) {
	ctx, span := p.handler.options.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream", k.Upstream.Name)))
	defer func() {
		var f *upstream.Failure
		k.Done(errors.As(err, &f) && f.UpstreamFault)
		if err != nil {
			p.recordOutcome(err)
		}
		err = p.endRun(ctx, run, err)
		if err == nil || upstream.OutcomeOf(err) != upstream.NotRun {
			p.costs = append(p.costs, &wire.Cost{Upstream: k.Upstream.Name, Amount: uint64(p.call.Price)})
		}
		endSpan(span, err)
	}()
	return send(ctx)
}

// deliver charges the call under the given request ID and writes the answer to the
// caller. Answers with an error status and calls without a price are not charged.
func (p *plainCall) deliver(ctx context.Context, a upstream.Response, requestID, digest string) error {
	if p.call.Price > 0 && a.Status < http.StatusBadRequest {
		err := p.commitCharge(ctx, &wire.ChargeRequest{
			Account: string(p.account), Service: string(p.service), Request: requestID,
			Digest: digest, Amount: uint64(p.call.Price), Costs: p.costs,
		})
		if err != nil {
			return err
		}
	}
	if a.ContentType != "" {
		p.writer.Header().Set("Content-Type", a.ContentType)
	}
	writeResponse(p.writer, a.Status, a.Body)
	return nil
}
