package operator

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/problem"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
)

// The outcomes of a request that got an error response.
const (
	outcomeNotRun  = "not run"
	outcomeFailed  = "failed"
	outcomeUnknown = "unknown"
)

// The error types. They are the same as in error responses to callers.
const (
	typeRequest     = "invalid_request_error"
	typeCredential  = "authentication_error"
	typePermission  = "permission_error"
	typeUnavailable = "control_error"
)

// apiError is an error response. Its exported fields are sent as JSON.
type apiError struct {
	status int

	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	// RetryMillis is the time after which a retry may succeed. Zero means that the
	// request cannot succeed unchanged.
	RetryMillis uint32 `json:"retry"`
	// Revision is the current revision of the document, sent after a conflict.
	Revision uint64 `json:"revision,omitempty"`
	// Problems lists the validation errors of a document.
	Problems []problem.Problem `json:"problems,omitempty"`
}

// Error returns the message.
func (f *apiError) Error() string { return f.Message }

// notRunError returns the error of a request that was not carried out and cannot
// succeed unchanged.
func notRunError(status int, code, message string) *apiError {
	f := &apiError{status: status, Message: message, Type: typeRequest, Code: code, Outcome: outcomeNotRun}
	switch status {
	case http.StatusUnauthorized:
		f.Type = typeCredential
	case http.StatusForbidden:
		f.Type = typePermission
	}
	return f
}

// toAPIError converts an error to an apiError, mapping the errors of the control client.
func toAPIError(err error) *apiError {
	var f *apiError
	if errors.As(err, &f) {
		return f
	}
	f = &apiError{Message: err.Error(), Type: typeRequest, Outcome: outcomeNotRun}
	switch {
	case errors.Is(err, control.ErrConflict):
		f.status, f.Code = http.StatusConflict, "conflict"
	case errors.Is(err, control.ErrInvalid):
		f.status, f.Code = http.StatusUnprocessableEntity, "invalid"
	case errors.Is(err, control.ErrNotFound):
		f.status, f.Code = http.StatusNotFound, "missing"
	case errors.Is(err, control.ErrStorageFull):
		f.status, f.Code, f.Type = http.StatusInsufficientStorage, "full", typeUnavailable
	case errors.Is(err, memory.ErrShort):
		f.status, f.Code, f.Type = http.StatusServiceUnavailable, "memory", typeUnavailable
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

// writeError sends an error response. If a retry may succeed, the response has a
// randomized retry time, spread over half a second, so that clients do not all
// retry at the same moment.
func (s *Server) writeError(w http.ResponseWriter, f *apiError) {
	if f.Type == typeUnavailable && f.RetryMillis == 0 {
		s.mu.Lock()
		f.RetryMillis = 500 + s.Random.Uint32N(500)
		s.mu.Unlock()
	}
	if f.RetryMillis > 0 {
		w.Header().Set("Retry-After", strconv.FormatUint(uint64(f.RetryMillis+999)/1000, 10))
	}
	w.Header().Set(headerOutcome, f.Outcome)
	_ = writeJSON(w, f.status, map[string]any{"error": f})
}
