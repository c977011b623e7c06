// Package control implements an entry's client of the control instances. It finds the
// leader of each group, renews the configuration lease and keeps the configuration up to date.
package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Errors of control calls. Each of them states whether the call may have had an effect.
var (
	// ErrUnavailable means that the call had no effect and can be retried.
	ErrUnavailable = errors.New("no control leader is available")
	// ErrOutcomeUnknown means that the change may or may not have been made. A retry is safe.
	ErrOutcomeUnknown = errors.New("outcome of the control call is unknown")
	// ErrConflict means that another change or another owner came first.
	ErrConflict = errors.New("conflict")
	// ErrInvalid means that the request is not valid.
	ErrInvalid = errors.New("invalid request")
	// ErrNotFound means that the named object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrStorageFull means that the disk of the control instance is full. The call had no effect.
	ErrStorageFull = errors.New("control storage full")
	// ErrNoLease means that this entry holds no valid configuration lease.
	ErrNoLease = errors.New("no configuration lease")
)

// Config is the configuration at one revision. It is not modified once it is published.
type Config struct {
	Revision  document.Revision
	Documents map[document.Service]*document.Document
	// Upstreams holds the registered upstreams by name.
	Upstreams map[string]*wire.Upstream
	// Suspicions holds the suspected and quarantined requests by fingerprint.
	Suspicions map[string]*wire.Suspicion
}

// RequestClient holds the control calls that are made while a request is served. Each call
// finds the leader, follows redirects and retries until its context is done.
type RequestClient interface {
	Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error)
	Pin(ctx context.Context, r *wire.PinRequest) (*wire.PinReply, error)
	Charge(ctx context.Context, r *wire.ChargeRequest) (*wire.ChargeReply, error)
}
