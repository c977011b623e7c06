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
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	// trialPollInterval is the pause before control group 0 is asked for a trial again.
	trialPollInterval = 20 * time.Millisecond
	// maxTrialWait limits the wait for another trial of the same request to end.
	maxTrialWait = 2 * time.Second
	// reportTimeout limits a report to control group 0, which keeps the suspicions. It
	// allows for a leader election and for the wait until all entries know of a crash.
	reportTimeout = 6 * time.Second
	// crashConfirmationDelay is the time within which most crashes are confirmed: the
	// default lease of an upstream.
	crashConfirmationDelay = 5 * time.Second
)

// Tracker tracks which requests run on which upstreams. A request that was running on
// an upstream when it crashed is suspected of the crash. It runs again only as a trial
// that control group 0 grants, and is quarantined if that upstream crashes too.
type Tracker interface {
	Begin(f suspect.Fingerprint, account string, u *wire.Upstream) *suspect.Run
	RequestTrial(ctx context.Context, f suspect.Fingerprint, account string, u *wire.Upstream) (*suspect.Run, wire.Standing, *wire.Trial, error)
}

// codeQuarantined is the code of the refusal of a quarantined request.
const codeQuarantined = "quarantined"

// newTracker returns the tracker of this entry's requests.
func (h *Handler) newTracker() Tracker {
	return suspect.New(suspect.Options{
		Timer: h.timer, Control: h.control, RefusesConnections: h.refusesConnections,
		Owner: h.options.Self.GetName(), Epoch: h.options.Epoch,
	})
}

// refusesConnections reports whether the address refuses connections, that is, nothing
// listens there.
func (h *Handler) refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := h.withTimeout(ctx, time.Second)
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

// quarantineRefusal returns the final refusal of a request that crashed upstreams.
func (q *request) quarantineRefusal() error {
	r := &refusal{
		status: http.StatusUnprocessableEntity, kind: kindRequest, code: codeQuarantined,
		message: "two upstreams crashed while they ran this request; it is not run again (fingerprint " + string(q.fingerprint) + ")",
		outcome: upstream.NotRun,
	}
	if q.worstOutcome != "" && q.worstOutcome != upstream.NotRun {
		// The upstream crashed, and whatever the request had begun ended with it.
		r.outcome, q.worstOutcome = upstream.Failed, upstream.Failed
	}
	metric.Int("caller.quarantined").Add(1)
	return r
}

// checkQuarantine returns a refusal if the request is quarantined.
func (q *request) checkQuarantine(c *control.Config) error {
	if c.Suspicions[string(q.fingerprint)].GetQuarantined() {
		return q.quarantineRefusal()
	}
	return nil
}

// needsTrial reports whether the request is suspected of a crash and may run only as a
// trial.
func (q *request) needsTrial(c *control.Config) bool {
	return q.connectionBroke || c.Suspicions[string(q.fingerprint)] != nil
}

// suspicionChanged reports whether the request has become suspected or quarantined since its
// run, a trial or not, was admitted.
func (q *request) suspicionChanged(c *control.Config, trial bool) bool {
	return c.Suspicions[string(q.fingerprint)].GetQuarantined() || !trial && q.needsTrial(c)
}

// beginRun begins a run on the upstream, as a trial if the request is suspected. On
// errTrialPending the caller pauses and selects an upstream again.
func (q *request) beginRun(ctx context.Context, u *wire.Upstream) (*suspect.Run, error) {
	c, err := q.handler.leasedConfig()
	if err != nil {
		return nil, err
	}
	if err := q.checkQuarantine(c); err != nil {
		return nil, err
	}
	if !q.needsTrial(c) {
		return q.handler.tracker.Begin(q.fingerprint, string(q.account), u), nil
	}
	r, standing, trial, err := q.handler.tracker.RequestTrial(ctx, q.fingerprint, string(q.account), u)
	switch {
	case err != nil:
		q.afterResponse = append(q.afterResponse, func() { q.endTrial(ctx, r) })
		return nil, err
	case r != nil:
		return r, nil
	case standing == wire.Standing_STANDING_QUARANTINED:
		return nil, q.quarantineRefusal()
	case standing == wire.Standing_STANDING_WAIT && trial == nil:
		r := q.handler.unavailable(kindUpstream, "suspected", "the upstreams that ran this request lost their connections; it waits until the cause is known")
		r.retryAfter += crashConfirmationDelay
		return nil, r
	case standing == wire.Standing_STANDING_WAIT && q.handler.timer.Now() > q.attemptStart.Add(maxTrialWait):
		return nil, q.handler.unavailable(kindUpstream, "suspected", "an upstream crashed while it ran this request, and another attempt is in progress")
	}
	return nil, errTrialPending
}

// endTrial ends a trial that may have been granted although the reply was lost.
func (q *request) endTrial(ctx context.Context, r *suspect.Run) {
	ctx, cancel := q.handler.withTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	if err := r.End(ctx); err != nil {
		q.handler.log.Warn("could not end the trial of a suspected request", zap.String("request", q.id), zap.Error(err))
	}
}

// errTrialPending means that a suspected request must wait until another trial of it
// has ended.
var errTrialPending = errors.New("the trial of a suspected request must wait")

// admit begins a run on the upstream that pick selects. It waits while a suspected
// request may not run; target returns the upstream of a pick and a function that
// releases it unused.
func admit[P any](ctx context.Context, q *request, pick func() (P, error), target func(P) (*wire.Upstream, func())) (p P, r *suspect.Run, err error) {
	q.attemptStart = q.handler.timer.Now()
	for {
		if p, err = pick(); err != nil {
			return p, nil, err
		}
		u, release := target(p)
		r, err = q.beginRun(ctx, u)
		if err == nil {
			return p, r, nil
		}
		release()
		if !errors.Is(err, errTrialPending) {
			return p, nil, err
		}
		if err = timer.Sleep(ctx, q.handler.timer, trialPollInterval); err != nil {
			return p, nil, err
		}
	}
}

// checkAndMarkSent returns a function to call before the first byte is sent: if check
// passes and the deadline has not, it marks the run as in flight. The timer that cancels the
// request at its deadline may run late after the process was paused.
func (q *request) checkAndMarkSent(r *suspect.Run, check func() error) func() error {
	return func() error {
		if q.remaining() <= 0 {
			return context.DeadlineExceeded
		}
		err := check()
		if err == nil {
			r.MarkSent()
			q.held.SetPhase(memory.Running)
		}
		return err
	}
}

// endRun tells the tracker how the run ended. It returns err, or the error that replaces
// it if the request must not run on another upstream.
func (q *request) endRun(ctx context.Context, r *suspect.Run, err error) error {
	ctx, cancel := q.handler.withTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	var f *upstream.Failure
	switch {
	case err == nil:
		// If this fails, the only effect is that a resend needs a trial.
		_ = r.Complete(ctx)
		return nil
	case errors.As(err, &f) && !f.ConnectionBroken && f.Status == 0 && (r.IsTrial() || q.httpRequest.Context().Err() != nil):
		_ = r.Abandon(ctx)
		return err
	case !errors.As(err, &f) || !f.ConnectionBroken:
		_ = r.End(ctx)
		return err
	}
	if q.nonIdempotent {
		// The call is not run again in any case, so its caller needn't wait for the report.
		q.afterResponse = append(q.afterResponse, func() { q.reportBroken(ctx, r) })
		return err
	}
	q.connectionBroke = true
	standing, reportErr := r.ReportBrokenConnection(ctx)
	switch {
	case reportErr != nil:
		unrecorded := unknownOutcome("suspect", "the upstream's connection broke, and this could not be recorded")
		return errors.CombineErrors(unrecorded, reportErr)
	case standing == wire.Standing_STANDING_QUARANTINED:
		return q.quarantineRefusal()
	}
	return err
}

// reportBroken reports the broken connection of a call that must run at most once.
func (q *request) reportBroken(ctx context.Context, r *suspect.Run) {
	ctx, cancel := q.handler.withTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	if _, err := r.ReportBrokenConnection(ctx); err != nil {
		q.handler.log.Warn("could not report a broken connection", zap.String("request", q.id), zap.Error(err))
	}
}

// finalError returns the error to report when no further attempt could begin because of
// err: err itself if it is a refusal of this request, else the failure of the last
// attempt, which says more than that no upstream is left.
func finalError(failure, err error) error {
	var r *refusal
	if errors.As(err, &r) {
		return errors.CombineErrors(err, failure)
	}
	return errors.CombineErrors(failure, err)
}
