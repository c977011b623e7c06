// Package upstream is the entry's side of upstreams: it takes their
// announcements and sends one call to one upstream.
package upstream

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Outcome tells what is known about a call that gave no complete answer.
type Outcome string

// The outcomes that callers are told.
const (
	// NotRun means that no byte of the call reached an upstream, or that the upstream refused it.
	NotRun Outcome = "not run"
	// Failed means that the call ran and failed.
	Failed Outcome = "failed"
	// Unknown means that the call may have run.
	Unknown Outcome = "unknown"
)

// Failure is a call that gave no complete answer.
type Failure struct {
	Outcome Outcome
	Reason  string
	// Status is the upstream's HTTP status, zero without an answer.
	Status int
	// Rejected is true if the upstream answered that it did not start the call.
	Rejected bool
	// PreSendCheckFailed is true if the check before the first byte ended the call; Err is its error.
	PreSendCheckFailed bool
	// UpstreamFault is true if the failure speaks against the upstream.
	UpstreamFault bool
	// ConnectionBroken is true if the connection broke while the upstream ran the call.
	ConnectionBroken bool
	Err              error
}

// Error names the outcome and the reason.
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("%s: %s", f.Outcome, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %v", f.Outcome, f.Reason, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// OutcomeOf returns the outcome of an error; one that is no Failure is unknown.
func OutcomeOf(err error) Outcome {
	var f *Failure
	if errors.As(err, &f) {
		return f.Outcome
	}
	return Unknown
}

// Reasons for the end of a call by a deadline.
var (
	ErrHeaderTimeout = errors.New("no answer header in time")
	ErrTokenTimeout  = errors.New("no further token in time")
	ErrCallTimeout   = errors.New("deadline of the call passed")
)
