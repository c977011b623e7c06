package operator

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/problem"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
)

// The outcomes of a refused request.
const (
	outcomeNotRun  = "not run"
	outcomeFailed  = "failed"
	outcomeUnknown = "unknown"
)

// The types of an error, as callers get them, too.
const (
	typeRequest     = "invalid_request_error"
	typeCredential  = "authentication_error"
	typePermission  = "permission_error"
	typeUnavailable = "control_error"
)

// fault is the error of a request in the form that is sent.
type fault struct {
	status int

	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	// Retry is the time in milliseconds after which the request may succeed; 0
	// means that it will not succeed as it is.
	Retry uint32 `json:"retry"`
	// Revision is the current revision after a conflict.
	Revision uint64 `json:"revision,omitempty"`
	// Problems lists what is wrong with a document.
	Problems []problem.Problem `json:"problems,omitempty"`
}

// Error returns the message.
func (f *fault) Error() string { return f.Message }

// refusal is the error of a request that was not carried out and cannot succeed as it is.
func refusal(status int, code, message string) *fault {
	f := &fault{status: status, Message: message, Type: typeRequest, Code: code, Outcome: outcomeNotRun}
	switch status {
	case http.StatusUnauthorized:
		f.Type = typeCredential
	case http.StatusForbidden:
		f.Type = typePermission
	}
	return f
}

// asFault maps the errors of the control client.
func asFault(err error) *fault {
	var f *fault
	if errors.As(err, &f) {
		return f
	}
	f = &fault{Message: err.Error(), Type: typeRequest, Outcome: outcomeNotRun}
	switch {
	case errors.Is(err, control.ErrConflict):
		f.status, f.Code = http.StatusConflict, "conflict"
	case errors.Is(err, control.ErrInvalid):
		f.status, f.Code = http.StatusUnprocessableEntity, "invalid"
	case errors.Is(err, control.ErrNotFound):
		f.status, f.Code = http.StatusNotFound, "missing"
	case errors.Is(err, control.ErrStorageFull):
		f.status, f.Code, f.Type = http.StatusInsufficientStorage, "full", typeUnavailable
	case errors.Is(err, control.ErrUnavailable), errors.Is(err, control.ErrNoLease):
		f.status, f.Code, f.Type = http.StatusServiceUnavailable, "unavailable", typeUnavailable
	case errors.Is(err, control.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		f.status, f.Code, f.Type = http.StatusGatewayTimeout, "unknown", typeUnavailable
		f.Outcome = outcomeUnknown
	default:
		f.status, f.Code, f.Type = http.StatusInternalServerError, "internal", "internal"
		f.Outcome = outcomeFailed
	}
	return f
}

// refuse sends the error. An operator that may succeed later is told when to
// come back, spread over half a second so that several do not return together.
func (s *Server) refuse(w http.ResponseWriter, f *fault) {
	if f.Type == typeUnavailable && f.Retry == 0 {
		s.mu.Lock()
		f.Retry = 500 + s.Random.Uint32N(500)
		s.mu.Unlock()
	}
	if f.Retry > 0 {
		w.Header().Set("Retry-After", strconv.FormatUint(uint64(f.Retry+999)/1000, 10))
	}
	w.Header().Set(headerOutcome, f.Outcome)
	_ = answer(w, f.status, map[string]any{"error": f})
}
