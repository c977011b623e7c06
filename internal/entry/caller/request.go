package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/entry/queue"
	"wisteriakeel.example/wisteriakeel/internal/entry/suspect"
	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	"wisteriakeel.example/wisteriakeel/internal/gateway/httpserver"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// upstreamIDSeparator separates the caller's request ID from the random suffix that
// the entry appends to it.
const upstreamIDSeparator = "~"

// maxIdentifierBytes limits request IDs, session IDs and idempotency keys, which
// callers choose.
const maxIdentifierBytes = 256

// request is the state of one request in progress.
type request struct {
	handler     *Handler
	writer      http.ResponseWriter
	httpRequest *http.Request
	account     document.Account
	// id is the request ID that the caller chose, or a random one.
	id string
	// upstreamID is the request ID sent to upstreams. Two callers may use the same id
	// at once, so an upstream that echoes id could not show that it mixed up their
	// answers.
	upstreamID string
	// session is the caller's session ID; empty for a request without a session.
	session    string
	body       []byte
	bodyDigest string
	deadline   timer.Instant
	// queued is set once a queue has counted the request in the fairness counts.
	queued bool
	// costs lists the costs of the attempts that may have run.
	costs []*wire.Cost
	// worstOutcome is the worst outcome of the failed attempts so far; empty if none
	// failed.
	worstOutcome upstream.Outcome
	// streaming is set once the first event of a stream was written to the caller.
	streaming bool
	// fingerprint identifies the request's content, so that a request that crashes
	// upstreams is recognized when it is sent again. It is set before the dispatch.
	fingerprint suspect.Fingerprint
	// connectionBroke is set once the connection of an attempt broke; the request then
	// needs a trial before it runs again.
	connectionBroke bool
	// nonIdempotent is set when a call that must run at most once is dispatched.
	nonIdempotent bool
	// attemptStart is when the entry began to look for an upstream for the current
	// attempt.
	attemptStart timer.Instant
	// afterResponse holds functions to run once the caller has its answer.
	afterResponse []func()
	// held accounts for what the request holds; nil if nothing does.
	held *memory.Connection
	// cancel ends the request with a cause.
	cancel      context.CancelCauseFunc
	readingBody atomic.Bool
}

// GiveBackMemory ends the request, since others need its memory.
func (q *request) GiveBackMemory() {
	q.cancel(memory.ErrShort)
	// To net/http a read that fails means that the caller has left, which a call that is sent must not be taken for.
	if q.readingBody.Load() {
		httpserver.StopReading(q.writer)
	}
}

// serve returns an HTTP handler that does the work common to all requests around f:
// tracing, admission, credential check, deadline and error responses.
func (h *Handler) serve(f func(ctx context.Context, q *request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		metric.Int("caller.requests").Add(1)
		q := &request{handler: h, writer: w, httpRequest: r, held: memory.FromContext(r.Context())}
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, q.cancel = context.WithCancelCause(ctx)
		defer q.cancel(nil)
		q.held.Begin(q)
		ctx, span := h.options.Tracer.Start(ctx, r.Pattern, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		if !h.drainState.beginRequest() {
			w.Header().Set("Connection", "close")
			q.sendRefusal(h.unavailable(kindCapacity, "draining", "this entry is shutting down; use another one"))
			return
		}
		defer h.drainState.endRequest()
		if h.drainState.isDraining() {
			w.Header().Set("Connection", "close")
		}
		err := q.prepare()
		q.held.SetAccount(string(q.account))
		if err == nil && !h.openRequests.acquire(q.account) {
			err = h.tooManyOpenRequests()
		} else if err == nil {
			defer h.openRequests.release(q.account)
			var cancel context.CancelFunc
			ctx, cancel = timer.WithTimeout(ctx, h.timer, q.deadline.Sub(h.timer.Now()))
			defer cancel()
			defer q.enforceDeadline()()
			span.SetAttributes(attribute.String("request", q.id), attribute.String("account", string(q.account)))
			err = f(ctx, q)
			if err != nil && errors.Is(context.Cause(ctx), memory.ErrShort) && q.combinedRefusal(err).outcome == upstream.NotRun {
				err = memory.ErrShort
			}
		}
		q.complete(span, err)
		for _, f := range q.afterResponse {
			f()
		}
	}
}

// checkIdentifier checks an identifier of the caller, which is sent to the control group as text.
func checkIdentifier(code, header, value string) error {
	switch {
	case len(value) > maxIdentifierBytes:
		return invalidRequest(code, "%s is longer than %d bytes", header, maxIdentifierBytes)
	case !utf8.ValidString(value):
		return invalidRequest(code, "%s is not UTF-8", header)
	}
	return nil
}

// prepare reads the headers common to all requests and checks the credential.
func (q *request) prepare() error {
	h, header := q.handler, q.httpRequest.Header
	q.id = header.Get(upstream.HeaderRequestID)
	if q.id == "" {
		q.id = h.newRequestID()
	}
	if err := checkIdentifier("request_id", upstream.HeaderRequestID, q.id); err != nil {
		return err
	}
	q.upstreamID = q.id + upstreamIDSeparator + h.newRequestID()
	q.writer.Header().Set(upstream.HeaderRequestID, q.id)
	token, ok := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if ok {
		q.account, ok = h.options.Credentials.Account(token)
	}
	if !ok {
		return &refusal{
			status: http.StatusUnauthorized, kind: kindCredential, code: "credential",
			message: "no valid credential", outcome: upstream.NotRun,
		}
	}
	q.session = header.Get(headerSession)
	if err := checkIdentifier("session", headerSession, q.session); err != nil {
		return err
	}
	timeout := h.options.DefaultTimeout
	if t := header.Get(headerTimeout); t != "" {
		ms, err := strconv.ParseUint(t, 10, 32)
		if err != nil || ms == 0 {
			return invalidRequest("timeout", "%s is not a number of milliseconds", headerTimeout)
		}
		timeout = min(time.Duration(ms)*time.Millisecond, h.options.MaxRequestTimeout)
	}
	q.deadline = h.timer.Now().Add(timeout)
	return nil
}

// responseGrace is the time after the deadline in which the outcome may still be
// written to the caller.
const responseGrace = time.Second

// enforceDeadline aborts reads from and writes to a caller that stalls beyond the
// deadline.
func (q *request) enforceDeadline() (stop func()) {
	return q.handler.timer.AfterFunc(q.remaining()+responseGrace, func() {
		c := http.NewResponseController(q.writer)
		past := time.Unix(1, 0)
		// An error means that the writer doesn't support deadlines. Its reads and writes
		// then end only when the connection closes.
		_ = c.SetReadDeadline(past)
		_ = c.SetWriteDeadline(past)
	})
}

// complete counts the request's result and writes the refusal if it failed.
func (q *request) complete(span trace.Span, err error) {
	if err == nil {
		metric.Int("caller.answered").Add(1)
		return
	}
	r := q.combinedRefusal(err)
	span.SetStatus(codes.Error, r.message)
	metric.Int("caller.outcome." + strings.ReplaceAll(string(r.outcome), " ", "")).Add(1)
	q.handler.log.Debug("request refused", zap.String("request", q.id),
		zap.String("account", string(q.account)), zap.String("code", r.code),
		zap.String("outcome", string(r.outcome)), zap.Error(err))
	// The context of the request also ends when its body cannot be read, and net/http would then send status 200.
	if q.streaming {
		_ = q.writeEvent(r.body())
	} else {
		q.sendRefusal(r)
	}
}

// combinedRefusal returns the refusal for err with the worst outcome of all attempts.
func (q *request) combinedRefusal(err error) *refusal {
	r := *q.handler.toRefusal(err)
	if worseOutcome(q.worstOutcome, r.outcome) {
		r.outcome = q.worstOutcome
	}
	return &r
}

// worseOutcome reports whether a leaves more doubt than b that the call had no effect.
func worseOutcome(a, b upstream.Outcome) bool {
	rank := map[upstream.Outcome]int{upstream.NotRun: 1, upstream.Failed: 2, upstream.Unknown: 3}
	return rank[a] > rank[b]
}

// recordOutcome updates worstOutcome with the outcome of a failed attempt.
func (q *request) recordOutcome(err error) {
	o := upstream.OutcomeOf(err)
	if worseOutcome(o, q.worstOutcome) {
		q.worstOutcome = o
	}
}

// remaining returns the time left until the deadline.
func (q *request) remaining() time.Duration { return q.deadline.Sub(q.handler.timer.Now()) }

// readBody reads the body, up to the size limit, and computes its digest.
func (q *request) readBody() error {
	q.readingBody.Store(true)
	defer q.readingBody.Store(false)
	limit := q.handler.options.MaxBodyBytes
	b, err := q.held.ReadWhole(memory.Body, http.MaxBytesReader(q.writer, q.httpRequest.Body, limit), q.httpRequest.ContentLength, limit)
	if errors.Is(err, memory.ErrShort) {
		return err
	}
	if err != nil {
		r := invalidRequest("body", "the body could not be read")
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) || errors.Is(err, memory.ErrTooLong) {
			r.status, r.message = http.StatusRequestEntityTooLarge, "the body is too large"
		}
		return r
	}
	q.body = b
	q.httpRequest.Trailer = nil // is not passed on, and not accounted for
	sum := sha256.Sum256(b)
	q.bodyDigest = hex.EncodeToString(sum[:])
	return nil
}

// leasedConfig returns the configuration in force, or ErrNoLease unless this entry
// holds a valid lease on it now.
func (h *Handler) leasedConfig() (*control.Config, error) {
	if c := h.control.LeasedConfig(); c != nil {
		return c, nil
	}
	return nil, control.ErrNoLease
}

// checkLeasePeriod returns ErrNoLease if the lease has lapsed since the period, even if it was
// renewed in between.
func (h *Handler) checkLeasePeriod(period uint64) error {
	if h.control.LeasePeriod() != period {
		return errors.Wrap(control.ErrNoLease, "the lease lapsed since the attempt began")
	}
	return nil
}

// acquireSlot waits in the queue of the key until the request may run.
func (q *request) acquireSlot(ctx context.Context, k queueKey, a document.AccountSpec, tokens uint64) (slot *queue.Slot, err error) {
	ctx, span := q.handler.options.Tracer.Start(ctx, "queue")
	defer func() { endSpan(span, err) }()
	if a.Limit.MaxConcurrentRequests == 0 {
		a.Limit.MaxConcurrentRequests = uint32(q.handler.options.MaxConcurrentRequests)
	}
	slot, err = q.handler.queue(k.service, k.model).Acquire(ctx, queue.Request{
		Account: q.account, Weight: a.Weight, EstimatedTokens: tokens,
		Limit: a.Limit, Deadline: q.deadline, AlreadyCounted: q.queued,
	})
	q.queued = true
	return slot, err
}

// endSpan ends a span and marks it as failed if err is not nil.
func endSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
