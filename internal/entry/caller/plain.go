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

// plainCall is a call of a plain service on its way.
type plainCall struct {
	*request
	service document.Service
	path    string
	call    document.CallSpec
	// grant is what the account may use.
	grant   document.AccountSpec
	message upstream.PlainRequest
}

// plain serves /v1/services/{service}/{path...}.
func (h *Handler) plain(ctx context.Context, q *request) error {
	if err := q.read(); err != nil {
		return err
	}
	service := q.http.PathValue("service")
	p := &plainCall{request: q, service: document.Service(service), path: "/" + q.http.PathValue("path")}
	escaped := strings.TrimPrefix(q.http.URL.EscapedPath(), "/v1/services/"+service)
	if clean := path.Clean(p.path); clean != strings.TrimSuffix(p.path, "/") && clean != p.path {
		return invalid("path", "the path is not in its shortest form")
	}
	if !strings.HasPrefix(escaped, "/") {
		return invalid("path", "the service's name must not be escaped")
	}
	if q.http.URL.RawQuery != "" {
		escaped += "?" + q.http.URL.RawQuery
	}
	var err error
	if _, p.call, p.grant, err = p.permitted(); err != nil {
		return err
	}
	p.print = suspect.PlainFingerprint(string(q.account), []byte(service), []byte(q.http.Method), []byte(escaped), q.body)
	p.message = upstream.PlainRequest{
		Method: q.http.Method, Path: escaped, Body: q.body, ContentType: q.http.Header.Get("Content-Type"),
		RequestID: q.outward, IdempotencyKey: q.http.Header.Get(upstream.HeaderIdempotencyKey), Account: string(q.account),
		Timeout: time.Duration(p.call.TimeoutMillis) * time.Millisecond,
	}
	if p.call.Idempotent {
		return p.repeatable(ctx)
	}
	return p.once(ctx)
}

// permitted checks the lease, the declaration of the call and the account's
// permission against the configuration in force.
func (p *plainCall) permitted() (c *control.Config, call document.CallSpec, grant document.AccountSpec, err error) {
	c, err = p.handler.config()
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
	call, ok := d.Call(p.http.Method, p.path)
	grant, known := d.Account(p.account)
	if !ok || !known || !grant.PermitsPath(p.path) {
		return nil, call, grant, &refusal{
			status: http.StatusForbidden, kind: kindPermission, code: "permission",
			message: "the client account may not make this call", outcome: upstream.NotRun,
		}
	}
	return c, call, grant, nil
}

// pick chooses an upstream of the service.
func (p *plainCall) pick(tried []string) (*route.Selection, error) {
	c, err := p.handler.config()
	if err != nil {
		return nil, err
	}
	return p.handler.pool.Pick(c, p.handler.control.Loads(), route.Requirements{Service: p.service, Excluded: tried})
}

// clear checks everything that may have changed, immediately before the
// dispatch. It changes nothing, since the connection's own goroutine calls it.
func (p *plainCall) clear(u *wire.Upstream, trial bool) error {
	c, call, _, err := p.permitted()
	if err != nil {
		return err
	}
	if call.Idempotent != p.call.Idempotent {
		return errors.Wrap(errChanged, "the call's declaration")
	}
	if !trial && p.suspected(c) {
		return errors.Wrap(errChanged, "the call is suspected of a crash")
	}
	if !registered(c, u) {
		return errors.Wrap(route.ErrNoUpstream, "the upstream has left")
	}
	return nil
}

// repeatable sends the call and retries on other upstreams within the budget.
func (p *plainCall) repeatable(ctx context.Context) error {
	t, err := p.enter(ctx, placeKey{service: p.service}, p.grant, 1)
	if err != nil {
		return err
	}
	defer t.Release(1)
	p.handler.budget.CountRequest()
	var tried []string
	var failure error
	for {
		k, run, err := admit(ctx, p.request, func() (*route.Selection, error) { return p.pick(tried) }, chosen)
		if err != nil {
			return worst(failure, err)
		}
		a, err := p.attempt(ctx, k, run, func(ctx context.Context) (upstream.Response, error) {
			m := p.message
			m.PreSendCheck = sending(run, func() error { return p.clear(k.Upstream, run.IsTrial()) })
			return p.handler.dispatcher.SendPlain(ctx, k.Upstream, m)
		})
		if err == nil {
			return p.deliver(ctx, a, p.id, p.digest)
		}
		failure = err
		if !p.again(ctx, failure) {
			return failure
		}
		tried = append(tried, k.Upstream.Name)
	}
}

// attempt sends the call to one upstream.
func (p *plainCall) attempt(ctx context.Context, k *route.Selection, run *suspect.Run, send func(ctx context.Context) (upstream.Response, error)) (a upstream.Response, err error) {
	ctx, span := p.handler.options.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream", k.Upstream.Name)))
	defer func() {
		var f *upstream.Failure
		k.Done(errors.As(err, &f) && f.UpstreamFault)
		if err != nil {
			p.attempted(err)
		}
		err = p.settle(ctx, run, err)
		if err == nil || upstream.OutcomeOf(err) != upstream.NotRun {
			p.costs = append(p.costs, &wire.Cost{Upstream: k.Upstream.Name, Amount: uint64(p.call.Price)})
		}
		end(span, err)
	}()
	return send(ctx)
}

// deliver charges the call under the identity and passes the answer on.
// Answers with an error status and calls without a price are not charged.
func (p *plainCall) deliver(ctx context.Context, a upstream.Response, identity, digest string) error {
	if p.call.Price > 0 && a.Status < http.StatusBadRequest {
		err := p.commit(ctx, &wire.ChargeRequest{
			Account: string(p.account), Service: string(p.service), Request: identity,
			Digest: digest, Amount: uint64(p.call.Price), Costs: p.costs,
		})
		if err != nil {
			return err
		}
	}
	if a.ContentType != "" {
		p.writer.Header().Set("Content-Type", a.ContentType)
	}
	whole(p.writer, a.Status, a.Body)
	return nil
}
