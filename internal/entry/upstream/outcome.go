// Package upstream handles the entry's communication with upstreams: it accepts
// their announcements, heartbeats and cache events, and sends requests to them.
package upstream

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Outcome tells what is known about a request that got no complete response.
type Outcome string

// The outcomes, as reported to callers.
const (
	// NotRun means that no byte of the request reached an upstream, or that the
	// upstream rejected it without starting it.
	NotRun Outcome = "not run"
	// Failed means that the request ran and failed.
	Failed Outcome = "failed"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Failure is the error of a request that got no complete response.
type Failure struct {
	Outcome Outcome
	// Reason is sent to the caller.
	Reason string
	// Status is the HTTP status of the response, zero if there was none.
	Status int
	// Rejected is true if the upstream responded that it did not start the request.
	Rejected bool
	// PreSendCheckFailed is true if the request was not sent because PreSendCheck
	// failed; Err is its error.
	PreSendCheckFailed bool
	// UpstreamFault is true if the failure counts against the upstream's health.
	UpstreamFault bool
	// ConnectionBroken is true if the connection broke after the request had been
	// handed to it, so that the upstream may have crashed while running the request.
	ConnectionBroken bool
	Err              error
}

// Error returns the outcome, the reason and the underlying error, if any.
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("%s: %s", f.Outcome, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %v", f.Outcome, f.Reason, f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// OutcomeOf returns the outcome of a Failure, and Unknown for any other error.
func OutcomeOf(err error) Outcome {
	var f *Failure
	if errors.As(err, &f) {
		return f.Outcome
	}
	return Unknown
}

// Errors of requests that a timeout ended.
var (
	ErrHeaderTimeout   = errors.New("timed out waiting for the response header")
	ErrEventGapTimeout = errors.New("timed out waiting for the next token")
	ErrRequestTimeout  = errors.New("request timed out")
)
