package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/entry/queue"
	"wisteriakeel.example/wisteriakeel/internal/entry/route"
	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	"wisteriakeel.example/wisteriakeel/internal/gateway/httpserver"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
)

// Headers between callers and entries.
const (
	headerSession = "Wisteriakeel-Session"
	// headerMoved names the version that the session was pinned to until this request.
	headerMoved   = "Wisteriakeel-Session-Moved"
	headerTimeout = "Wisteriakeel-Timeout"
	headerModel   = "Wisteriakeel-Model"
	// headerEntries lists other entries in a refusal of an entry that drains or holds no
	// lease.
	headerEntries = "Wisteriakeel-Entries"
)

// refusal is an error response to a caller.
type refusal struct {
	status     int
	kind       string
	code       string
	message    string
	outcome    upstream.Outcome
	retryAfter time.Duration
}

// Error returns the message sent to the caller.
func (r *refusal) Error() string { return r.message }

// Values of the type field of an error body.
const (
	kindRequest    = "invalid_request_error"
	kindCredential = "authentication_error"
	kindPermission = "permission_error"
	kindCapacity   = "capacity_error"
	kindUpstream   = "upstream_error"
	kindControl    = "control_error"
)

// codeLease is the code of a refusal by an entry without a lease. The outcome describes
// this request only, since the entry cannot find out what happened to earlier ones.
const codeLease = "lease"

// codeMemory is the code of a refusal for want of memory.
const codeMemory = "memory"

// invalidRequest returns the refusal of a malformed request.
func invalidRequest(code, format string, args ...any) *refusal {
	return &refusal{
		status: http.StatusBadRequest, kind: kindRequest, code: code,
		message: fmt.Sprintf(format, args...), outcome: upstream.NotRun,
	}
}

// unavailable returns a refusal of a request that did not run and may succeed later.
func (h *Handler) unavailable(kind, code, message string) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, kind: kind, code: code, message: message,
		outcome: upstream.NotRun, retryAfter: h.retryDelay(),
	}
}

// retryDelay returns a random time between 0.5 and 1.5 seconds, so that refused callers
// don't retry all at once.
func (h *Handler) retryDelay() time.Duration {
	return time.Second/2 + time.Duration(h.randomUint64()%uint64(time.Second))
}

// unknownOutcome returns the refusal of a call that may have run.
func unknownOutcome(code, message string) *refusal {
	return &refusal{
		status: http.StatusBadGateway, kind: kindUpstream, code: code,
		message: message, outcome: upstream.Unknown,
	}
}

// errOtherVersionPinned means that the session is pinned to another version than the
// one that the request names.
var errOtherVersionPinned = errors.New("the session keeps another version of this model")

// toRefusal converts an error into the refusal for the caller. Errors other than
// refusals and upstream failures mean that this attempt did not run; combinedRefusal
// accounts for earlier attempts.
func (h *Handler) toRefusal(err error) *refusal {
	var known *refusal
	var rejection *queue.Rejection
	var failure *upstream.Failure
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &rejection):
		r := &refusal{
			status: http.StatusServiceUnavailable, kind: kindCapacity, code: rejection.Code,
			message: rejection.Reason, outcome: upstream.NotRun, retryAfter: rejection.RetryAfter,
		}
		if rejection.Code == queue.CodeAccountQueueFull {
			r.status = http.StatusTooManyRequests
		}
		return r
	case errors.As(err, &failure) && failure.PreSendCheckFailed:
		return h.toRefusal(failure.Err)
	case errors.As(err, &failure):
		return h.failureRefusal(failure)
	case errors.Is(err, memory.ErrShort):
		return h.unavailable(kindCapacity, codeMemory, "memory is short")
	case errors.Is(err, context.DeadlineExceeded):
		return &refusal{
			status: http.StatusGatewayTimeout, kind: kindCapacity, code: "deadline",
			message: "the deadline passed", outcome: upstream.NotRun,
		}
	}
	return h.selectionRefusal(err)
}

// failureRefusal converts the failure of an attempt at an upstream.
func (h *Handler) failureRefusal(f *upstream.Failure) *refusal {
	r := &refusal{
		status: http.StatusBadGateway, kind: kindUpstream, code: "upstream",
		message: f.Reason, outcome: f.Outcome,
	}
	switch {
	case f.Outcome == upstream.NotRun:
		return h.unavailable(kindUpstream, "upstream", f.Reason)
	case f.Status >= 400 && f.Status < 500 && f.Outcome == upstream.Failed:
		r.status, r.kind = f.Status, kindRequest
	case errors.Is(f.Err, context.DeadlineExceeded), errors.Is(f.Err, upstream.ErrRequestTimeout),
		errors.Is(f.Err, upstream.ErrHeaderTimeout):
		r.status, r.code = http.StatusGatewayTimeout, "deadline"
	}
	return r
}

// selectionRefusal converts errors that precede the dispatch: those of selecting the
// model, version and upstream, and those of calls to the control group.
func (h *Handler) selectionRefusal(err error) *refusal {
	r := &refusal{kind: kindRequest, message: err.Error(), outcome: upstream.NotRun}
	var paused *route.PausedError
	switch {
	case errors.As(err, &paused):
		r := h.unavailable(kindCapacity, "upstream", err.Error())
		r.retryAfter += paused.Wait
		return r
	case errors.Is(err, route.ErrModelNotFound):
		r.status, r.code = http.StatusNotFound, "model_not_found"
	case errors.Is(err, route.ErrForbidden):
		r.status, r.code, r.kind = http.StatusForbidden, "permission", kindPermission
	case errors.Is(err, route.ErrAmbiguous):
		r.status, r.code = http.StatusBadRequest, "ambiguous"
	case errors.Is(err, errOtherVersionPinned):
		r.status, r.code = http.StatusConflict, "session"
	case errors.Is(err, route.ErrNoVersion):
		return h.unavailable(kindCapacity, "version", err.Error())
	case errors.Is(err, route.ErrNoUpstream):
		return h.unavailable(kindCapacity, "upstream", err.Error())
	case errors.Is(err, control.ErrNoLease):
		return h.unavailable(kindControl, codeLease, "this entry has no valid configuration lease; use another one")
	default:
		return h.unavailable(kindControl, "control", err.Error())
	}
	return r
}

// errorBody is the JSON body of a refusal, in the form of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail extends an error of the OpenAI API by the outcome and the time in
// milliseconds after which a retry may succeed; zero means that the body names no time.
type errorDetail struct {
	Message string           `json:"message"`
	Type    string           `json:"type"`
	Code    string           `json:"code"`
	Outcome upstream.Outcome `json:"outcome"`
	Retry   int64            `json:"retry"`
}

// body returns the JSON body of the refusal.
func (r *refusal) body() []byte {
	b, err := json.Marshal(errorBody{errorDetail{
		Message: r.message, Type: r.kind, Code: r.code,
		Outcome: r.outcome, Retry: r.retryAfter.Milliseconds(),
	}})
	if err != nil {
		// Encoding strings and a number can't fail.
		panic(err)
	}
	return b
}

// sendRefusal sends the refusal. If this entry drains or has no lease, it lists the
// other entries in a header.
func (q *request) sendRefusal(r *refusal) {
	if q.httpRequest.ContentLength != 0 {
		httpserver.LimitRest(q.writer) // net/http reads the rest of a body before it writes the response
	}
	if r.code == codeMemory {
		metric.Int("caller.memory").Add(1)
		// net/http would read on to use the connection again.
		q.writer.Header().Set("Connection", "close")
		defer httpserver.StopReading(q.writer)
	}
	if r.code == codeLease || r.code == "draining" || r.code == codeMemory {
		q.writer.Header().Set(headerEntries, q.handler.otherEntries())
	}
	r.send(q.writer)
}

// send writes the refusal as a complete HTTP response.
func (r *refusal) send(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(upstream.HeaderOutcome, string(r.outcome))
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(int64((r.retryAfter+time.Second-1)/time.Second), 10))
	}
	writeResponse(w, r.status, r.body())
}

// otherEntries returns the addresses of the other entries that don't drain, separated
// by commas.
func (h *Handler) otherEntries() string {
	var list []string
	for _, e := range h.control.Entries() {
		if !e.Draining && e.Name != h.options.Self.GetName() {
			list = append(list, e.Address)
		}
	}
	return strings.Join(list, ", ")
}
