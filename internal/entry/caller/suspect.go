package caller

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/entry/suspect"
	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	// tryPause is the time between two requests for a trial.
	tryPause = 20 * time.Millisecond
	// tryLimit bounds the wait for another run of the same request to end.
	tryLimit = 2 * time.Second
	// reportLimit bounds a report to group 0; it covers an election and the wait
	// until all entries know of a crash.
	reportLimit = 6 * time.Second
	// settleTime is after what time crashes are confirmed in most cases: the default
	// lease of an upstream.
	settleTime = 5 * time.Second
)

// Tracker follows the runs of requests and settles their suspicion.
type Tracker interface {
	Begin(f suspect.Fingerprint, account string, u *wire.Upstream) *suspect.Run
	RequestTrial(ctx context.Context, f suspect.Fingerprint, account string, u *wire.Upstream) (*suspect.Run, wire.Standing, *wire.Trial, error)
}

// codeQuarantined marks the final answer to a request in quarantine.
const codeQuarantined = "quarantined"

// newTracker returns the tracker of this entry.
func (h *Handler) newTracker() Tracker {
	return suspect.New(suspect.Options{
		Timer: h.timer, Control: h.control, RefusesConnections: h.refuses,
		Owner: h.options.Self.GetName(), Epoch: h.options.Epoch,
	})
}

// refuses tells whether nothing listens at the address.
func (h *Handler) refuses(ctx context.Context, address string) bool {
	ctx, cancel := h.within(ctx, time.Second)
	defer cancel()
	dial := h.options.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	c, err := dial(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// quarantined is the final answer to a request that crashed upstreams.
func (q *request) quarantined() error {
	r := &refusal{
		status: http.StatusUnprocessableEntity, kind: kindRequest, code: codeQuarantined,
		message: "two upstreams crashed while they ran this request; it is not run again (fingerprint " + string(q.print) + ")",
		outcome: upstream.NotRun,
	}
	if q.ran != "" && q.ran != upstream.NotRun {
		// The upstream is gone, and with it what the request may have begun.
		r.outcome, q.ran = upstream.Failed, upstream.Failed
	}
	metric.Int("caller.quarantined").Add(1)
	return r
}

// screen refuses a request that is in quarantine.
func (q *request) screen(c *control.Config) error {
	if c.Suspicions[string(q.print)].GetQuarantined() {
		return q.quarantined()
	}
	return nil
}

// suspected tells whether the request needs a trial.
func (q *request) suspected(c *control.Config) bool {
	return q.struck || c.Suspicions[string(q.print)] != nil
}

// venture begins a run on the upstream. errOccupied means that the request may
// be placed anew after a pause.
func (q *request) venture(ctx context.Context, u *wire.Upstream) (*suspect.Run, error) {
	c, err := q.handler.config()
	if err != nil {
		return nil, err
	}
	if err := q.screen(c); err != nil {
		return nil, err
	}
	if !q.suspected(c) {
		return q.handler.tracker.Begin(q.print, string(q.account), u), nil
	}
	r, standing, trial, err := q.handler.tracker.RequestTrial(ctx, q.print, string(q.account), u)
	switch {
	case err != nil:
		q.after = append(q.after, func() { q.endTrial(ctx, r) })
		return nil, err
	case r != nil:
		return r, nil
	case standing == wire.Standing_STANDING_QUARANTINED:
		return nil, q.quarantined()
	case standing == wire.Standing_STANDING_WAIT && trial == nil:
		r := q.handler.busy(kindUpstream, "suspected", "the upstreams that ran this request lost their connections; it waits until the cause is known")
		r.retry += settleTime
		return nil, r
	case standing == wire.Standing_STANDING_WAIT && q.handler.timer.Now() > q.tried.Add(tryLimit):
		return nil, q.handler.busy(kindUpstream, "suspected", "an upstream crashed while it ran this request, and another attempt is in progress")
	}
	return nil, errOccupied
}

// endTrial ends a trial that may have been granted although the answer was lost.
func (q *request) endTrial(ctx context.Context, r *suspect.Run) {
	ctx, cancel := q.handler.within(context.WithoutCancel(ctx), reportLimit)
	defer cancel()
	if err := r.End(ctx); err != nil {
		q.handler.log.Warn("trial not ended", zap.String("request", q.id), zap.Error(err))
	}
}

// errOccupied means that a suspected request must wait for its trial.
var errOccupied = errors.New("the trial of a suspected request must wait")

// admit begins a run on the upstream that pick chooses, once a suspected request may run there.
func admit[P any](ctx context.Context, q *request, pick func() (P, error), of func(P) (*wire.Upstream, func())) (p P, r *suspect.Run, err error) {
	q.tried = q.handler.timer.Now()
	for {
		if p, err = pick(); err != nil {
			return p, nil, err
		}
		u, done := of(p)
		r, err = q.venture(ctx, u)
		if err == nil {
			return p, r, nil
		}
		done()
		if !errors.Is(err, errOccupied) {
			return p, nil, err
		}
		if err = timer.Sleep(ctx, q.handler.timer, tryPause); err != nil {
			return p, nil, err
		}
	}
}

// sending returns a check before the first byte that also counts the run as in flight.
func sending(r *suspect.Run, check func() error) func() error {
	return func() error {
		err := check()
		if err == nil {
			r.MarkSent()
		}
		return err
	}
}

// settle tells what the end of a run says about the request. The returned error
// replaces that of the run if no other upstream may get the request.
func (q *request) settle(ctx context.Context, r *suspect.Run, err error) error {
	ctx, cancel := q.handler.within(context.WithoutCancel(ctx), reportLimit)
	defer cancel()
	var f *upstream.Failure
	switch {
	case err == nil:
		// A record that stays behind costs the next resend a trial only.
		_ = r.Complete(ctx)
		return nil
	case errors.As(err, &f) && !f.ConnectionBroken && f.Status == 0 && (r.IsTrial() || q.http.Context().Err() != nil):
		_ = r.Abandon(ctx)
		return err
	case !errors.As(err, &f) || !f.ConnectionBroken:
		_ = r.End(ctx)
		return err
	}
	if q.single {
		// It is not run again in any case, so that its caller need not wait for the report.
		q.after = append(q.after, func() { q.report(ctx, r) })
		return err
	}
	q.struck = true
	standing, failed := r.ReportBrokenConnection(ctx)
	switch {
	case failed != nil:
		x := unknown("suspect", "the upstream's connection broke, and this could not be recorded")
		return errors.CombineErrors(x, failed)
	case standing == wire.Standing_STANDING_QUARANTINED:
		return q.quarantined()
	}
	return err
}

// report reports the broken connection of a call that may not be repeated.
func (q *request) report(ctx context.Context, r *suspect.Run) {
	ctx, cancel := q.handler.within(context.WithoutCancel(ctx), reportLimit)
	defer cancel()
	if _, err := r.ReportBrokenConnection(ctx); err != nil {
		q.handler.log.Warn("broken connection not reported", zap.String("request", q.id), zap.Error(err))
	}
}

// worst returns the error to tell after a failed attempt: a refusal that is the
// request's own, else the failure, which says more than that no upstream is left.
func worst(failure, err error) error {
	var own *refusal
	if errors.As(err, &own) {
		return errors.CombineErrors(err, failure)
	}
	return errors.CombineErrors(failure, err)
}
