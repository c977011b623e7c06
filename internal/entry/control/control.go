// Package control is the client of the control instances: it finds the leader
// of each group, holds the configuration lease and keeps the configuration in force.
package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Errors of control calls. Each says what is known of the effect.
var (
	// ErrUnavailable means that nothing was done; the call may be sent again.
	ErrUnavailable = errors.New("no control leader is available")
	// ErrOutcomeUnknown means that the change may or may not have been made; sending it again is safe.
	ErrOutcomeUnknown = errors.New("outcome of the control call is unknown")
	// ErrConflict means that another change or owner was first.
	ErrConflict = errors.New("conflict")
	// ErrInvalid means that the request breaks a rule.
	ErrInvalid = errors.New("invalid request")
	// ErrNotFound means that the named thing does not exist.
	ErrNotFound = errors.New("not found")
	// ErrStorageFull means that the control disks are full; nothing was done.
	ErrStorageFull = errors.New("control storage full")
	// ErrNoLease means that the instance holds no valid configuration lease.
	ErrNoLease = errors.New("no configuration lease")
)

// Config is the configuration in force at one revision. It is never changed
// after it was published.
type Config struct {
	Revision  document.Revision
	Documents map[document.Service]*document.Document
	Upstreams map[string]*wire.Upstream
	// Suspicions are the suspected and quarantined requests by fingerprint.
	Suspicions map[string]*wire.Suspicion
}

// RequestClient is the part of the control service that requests use. Each call finds
// the leader, follows redirects and retries until its context is done.
type RequestClient interface {
	Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error)
	Pin(ctx context.Context, r *wire.PinRequest) (*wire.PinReply, error)
	Charge(ctx context.Context, r *wire.ChargeRequest) (*wire.ChargeReply, error)
}
