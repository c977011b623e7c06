package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

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
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// outwardSeparator stands between the identity of a caller and the random part of
// the entry.
const outwardSeparator = "~"

// textLimit bounds the identities that callers choose.
const textLimit = 256

// request is one request in progress.
type request struct {
	handler *Handler
	writer  http.ResponseWriter
	http    *http.Request
	account document.Account
	id      string
	// outward is the identity towards upstreams. Callers choose id, so two of them
	// may use the same one at once; an echo of id could not tell their answers apart.
	outward  string
	session  string
	body     []byte
	digest   string
	deadline timer.Instant
	// queued is true once the request was counted by a queue.
	queued bool
	costs  []*wire.Cost
	// ran is the worst outcome of the attempts so far; empty before the first.
	ran upstream.Outcome
	// events is true once an event stream has begun.
	events bool
	// print identifies the content; it is set before the request is dispatched.
	print suspect.Fingerprint
	// struck is true once the connection of an attempt broke; tried is when the
	// present attempt was first placed.
	struck bool
	// single is true for a call that may not be repeated.
	single bool
	tried  timer.Instant
	// after is what remains to be done once the caller has its answer.
	after []func()
}

// serve wraps what all requests have in common.
func (h *Handler) serve(f func(ctx context.Context, q *request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		metric.Int("caller.requests").Add(1)
		q := &request{handler: h, writer: w, http: r}
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := h.options.Tracer.Start(ctx, r.Pattern, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		if !h.drain.enter() {
			w.Header().Set("Connection", "close")
			q.sendRefusal(h.busy(kindCapacity, "draining", "this entry is shutting down; use another one"))
			return
		}
		defer h.drain.leave()
		if h.drain.state() {
			w.Header().Set("Connection", "close")
		}
		err := q.begin()
		if err == nil && !h.open.enter(q.account) {
			err = h.crowded()
		} else if err == nil {
			defer h.open.leave(q.account)
			var cancel context.CancelFunc
			ctx, cancel = timer.WithTimeout(ctx, h.timer, q.deadline.Sub(h.timer.Now()))
			defer cancel()
			defer q.watch()()
			span.SetAttributes(attribute.String("request", q.id), attribute.String("account", string(q.account)))
			err = f(ctx, q)
		}
		q.conclude(span, err)
		for _, f := range q.after {
			f()
		}
	}
}

// begin reads the headers that all requests have and checks the credential.
func (q *request) begin() error {
	h, header := q.handler, q.http.Header
	q.id = header.Get(upstream.HeaderRequestID)
	if q.id == "" {
		q.id = h.identity()
	}
	if len(q.id) > textLimit {
		return invalid("request_id", "%s is longer than %d bytes", upstream.HeaderRequestID, textLimit)
	}
	q.outward = q.id + outwardSeparator + h.identity()
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
	if len(q.session) > textLimit {
		return invalid("session", "%s is longer than %d bytes", headerSession, textLimit)
	}
	timeout := h.options.DefaultTimeout
	if t := header.Get(headerTimeout); t != "" {
		ms, err := strconv.ParseUint(t, 10, 32)
		if err != nil || ms == 0 {
			return invalid("timeout", "%s is not a number of milliseconds", headerTimeout)
		}
		timeout = min(time.Duration(ms)*time.Millisecond, h.options.MaxTimeout)
	}
	q.deadline = h.timer.Now().Add(timeout)
	return nil
}

// grace is the time after the deadline that is left for telling the outcome.
const grace = time.Second

// watch ends reads and writes of a caller that stalls beyond the deadline.
func (q *request) watch() (stop func()) {
	return q.handler.timer.AfterFunc(q.left()+grace, func() {
		c := http.NewResponseController(q.writer)
		past := time.Unix(1, 0)
		// A writer without deadlines ends with its connection.
		_ = c.SetReadDeadline(past)
		_ = c.SetWriteDeadline(past)
	})
}

// conclude reports the end of the request and writes the refusal, if any.
func (q *request) conclude(span trace.Span, err error) {
	if err == nil {
		metric.Int("caller.answered").Add(1)
		return
	}
	r := q.outcome(err)
	span.SetStatus(codes.Error, r.message)
	metric.Int("caller.outcome." + strings.ReplaceAll(string(r.outcome), " ", "")).Add(1)
	q.handler.log.Debug("request refused", zap.String("request", q.id),
		zap.String("account", string(q.account)), zap.String("code", r.code),
		zap.String("outcome", string(r.outcome)), zap.Error(err))
	switch {
	case q.http.Context().Err() != nil:
	case q.events:
		q.event(r.body())
	default:
		q.sendRefusal(r)
	}
}

// outcome turns an error into a refusal that is true for all attempts together.
func (q *request) outcome(err error) *refusal {
	r := *q.handler.refuse(err)
	if worse(q.ran, r.outcome) {
		r.outcome = q.ran
	}
	return &r
}

// worse tells whether a says less about the call than b.
func worse(a, b upstream.Outcome) bool {
	rank := map[upstream.Outcome]int{upstream.NotRun: 1, upstream.Failed: 2, upstream.Unknown: 3}
	return rank[a] > rank[b]
}

// attempted notes the outcome of an attempt.
func (q *request) attempted(err error) {
	o := upstream.OutcomeOf(err)
	if worse(o, q.ran) {
		q.ran = o
	}
}

func (q *request) left() time.Duration { return q.deadline.Sub(q.handler.timer.Now()) }

// read takes the bounded body and its digest.
func (q *request) read() error {
	b, err := io.ReadAll(http.MaxBytesReader(q.writer, q.http.Body, q.handler.options.MaxBodyBytes))
	if err != nil {
		r := invalid("body", "the body could not be read")
		var big *http.MaxBytesError
		if errors.As(err, &big) {
			r.status, r.message = http.StatusRequestEntityTooLarge, "the body is too large"
		}
		return r
	}
	q.body = b
	sum := sha256.Sum256(b)
	q.digest = hex.EncodeToString(sum[:])
	return nil
}

// config returns the configuration in force if the lease on it is valid now.
func (h *Handler) config() (*control.Config, error) {
	if c := h.control.LeasedConfig(); c != nil {
		return c, nil
	}
	return nil, control.ErrNoLease
}

// enter waits for a place in the queue of the service's model.
func (q *request) enter(ctx context.Context, k placeKey, a document.AccountSpec, tokens uint64) (t *queue.Slot, err error) {
	ctx, span := q.handler.options.Tracer.Start(ctx, "queue")
	defer func() { end(span, err) }()
	if a.Limit.MaxConcurrentRequests == 0 {
		a.Limit.MaxConcurrentRequests = uint32(q.handler.options.MaxConcurrentRequests)
	}
	t, err = q.handler.queue(k.service, k.model).Acquire(ctx, queue.Request{
		Account: q.account, Weight: a.Weight, EstimatedTokens: tokens,
		Limit: a.Limit, Deadline: q.deadline, AlreadyCounted: q.queued,
	})
	q.queued = true
	return t, err
}

// end closes a span with the error, if any.
func end(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
