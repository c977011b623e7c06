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
)

// Headers between callers and entries.
const (
	headerSession = "Wisteriakeel-Session"
	headerMoved   = "Wisteriakeel-Session-Moved"
	headerTimeout = "Wisteriakeel-Timeout"
	headerModel   = "Wisteriakeel-Model"
	// headerEntries names other entries in a refusal for want of a lease.
	headerEntries = "Wisteriakeel-Entries"
)

// refusal is an error as a caller sees it.
type refusal struct {
	status  int
	kind    string
	code    string
	message string
	outcome upstream.Outcome
	retry   time.Duration
}

// Error returns the message.
func (r *refusal) Error() string { return r.message }

// The types of errors.
const (
	kindRequest    = "invalid_request_error"
	kindCredential = "authentication_error"
	kindPermission = "permission_error"
	kindCapacity   = "capacity_error"
	kindUpstream   = "upstream_error"
	kindControl    = "control_error"
)

// codeLease marks a refusal of an entry without a lease. It speaks of this request
// only: the entry cannot ask for what became of earlier ones.
const codeLease = "lease"

func invalid(code, format string, args ...any) *refusal {
	return &refusal{
		status: http.StatusBadRequest, kind: kindRequest, code: code,
		message: fmt.Sprintf(format, args...), outcome: upstream.NotRun,
	}
}

// busy is a refusal for which a later attempt may succeed.
func (h *Handler) busy(kind, code, message string) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, kind: kind, code: code, message: message,
		outcome: upstream.NotRun, retry: h.pause(),
	}
}

// pause is a random time from half a second to one and a half, so that refused
// callers do not come back together.
func (h *Handler) pause() time.Duration {
	return time.Second/2 + time.Duration(h.number()%uint64(time.Second))
}

// unknown says that the call may have run.
func unknown(code, message string) *refusal {
	return &refusal{
		status: http.StatusBadGateway, kind: kindUpstream, code: code,
		message: message, outcome: upstream.Unknown,
	}
}

// errPinned means that the session holds another version than the request names.
var errPinned = errors.New("the session keeps another version of this model")

// refuse turns an error into what the caller is told. Everything up to the
// first dispatch did not run; the caller raises the outcome after that.
func (h *Handler) refuse(err error) *refusal {
	var own *refusal
	var full *queue.Rejection
	var failure *upstream.Failure
	switch {
	case errors.As(err, &own):
		return own
	case errors.As(err, &full):
		r := &refusal{
			status: http.StatusServiceUnavailable, kind: kindCapacity, code: full.Code,
			message: full.Reason, outcome: upstream.NotRun, retry: full.RetryAfter,
		}
		if full.Code == queue.CodeAccountQueueFull {
			r.status = http.StatusTooManyRequests
		}
		return r
	case errors.As(err, &failure) && failure.PreSendCheckFailed:
		return h.refuse(failure.Err)
	case errors.As(err, &failure):
		return h.refuseFailure(failure)
	case errors.Is(err, context.DeadlineExceeded):
		return &refusal{
			status: http.StatusGatewayTimeout, kind: kindCapacity, code: "deadline",
			message: "the deadline passed", outcome: upstream.NotRun,
		}
	}
	return h.refuseSelection(err)
}

func (h *Handler) refuseFailure(f *upstream.Failure) *refusal {
	r := &refusal{
		status: http.StatusBadGateway, kind: kindUpstream, code: "upstream",
		message: f.Reason, outcome: f.Outcome,
	}
	switch {
	case f.Outcome == upstream.NotRun:
		return h.busy(kindUpstream, "upstream", f.Reason)
	case f.Status >= 400 && f.Status < 500 && f.Outcome == upstream.Failed:
		r.status, r.kind = f.Status, kindRequest
	case errors.Is(f.Err, context.DeadlineExceeded), errors.Is(f.Err, upstream.ErrCallTimeout),
		errors.Is(f.Err, upstream.ErrHeaderTimeout):
		r.status, r.code = http.StatusGatewayTimeout, "deadline"
	}
	return r
}

// refuseSelection covers errors of the choice of model, version and upstream
// and of control calls before the first dispatch.
func (h *Handler) refuseSelection(err error) *refusal {
	r := &refusal{kind: kindRequest, message: err.Error(), outcome: upstream.NotRun}
	switch {
	case errors.Is(err, route.ErrModelNotFound):
		r.status, r.code = http.StatusNotFound, "model_not_found"
	case errors.Is(err, route.ErrForbidden):
		r.status, r.code, r.kind = http.StatusForbidden, "permission", kindPermission
	case errors.Is(err, route.ErrAmbiguous):
		r.status, r.code = http.StatusBadRequest, "ambiguous"
	case errors.Is(err, errPinned):
		r.status, r.code = http.StatusConflict, "session"
	case errors.Is(err, route.ErrNoVersion):
		return h.busy(kindCapacity, "version", err.Error())
	case errors.Is(err, route.ErrNoUpstream):
		return h.busy(kindCapacity, "upstream", err.Error())
	case errors.Is(err, control.ErrNoLease):
		return h.busy(kindControl, codeLease, "this entry has no valid configuration lease; use another one")
	default:
		return h.busy(kindControl, "control", err.Error())
	}
	return r
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string           `json:"message"`
	Type    string           `json:"type"`
	Code    string           `json:"code"`
	Outcome upstream.Outcome `json:"outcome"`
	Retry   int64            `json:"retry"`
}

func (r *refusal) body() []byte {
	b, err := json.Marshal(errorBody{errorDetail{
		Message: r.message, Type: r.kind, Code: r.code,
		Outcome: r.outcome, Retry: r.retry.Milliseconds(),
	}})
	if err != nil {
		// A struct of strings and a number always encodes.
		panic(err)
	}
	return b
}

// sendRefusal sends the refusal and names other entries where that helps.
func (q *request) sendRefusal(r *refusal) {
	if r.code == codeLease || r.code == "draining" {
		q.writer.Header().Set(headerEntries, q.handler.others())
	}
	r.send(q.writer)
}

// send sends the refusal as a whole answer.
func (r *refusal) send(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(upstream.HeaderOutcome, string(r.outcome))
	if r.retry > 0 {
		header.Set("Retry-After", strconv.FormatInt(int64((r.retry+time.Second-1)/time.Second), 10))
	}
	whole(w, r.status, r.body())
}

// others lists the addresses of the other entries.
func (h *Handler) others() string {
	var list []string
	for _, e := range h.control.Entries() {
		if !e.Draining && e.Name != h.options.Self.GetName() {
			list = append(list, e.Address)
		}
	}
	return strings.Join(list, ", ")
}
