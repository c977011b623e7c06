// Package document defines the document that an operator team owns for its service.
package document

import "time"

// Service names a service; one document belongs to it.
type Service string

// Model names a model or, in requests, a cascade.
type Model string

// Version names a version of a model.
type Version string

// Account names a client account.
type Account string

// Revision counts accepted changes of configuration.
type Revision uint64

// Kind tells what stands behind a service.
type Kind string

// The kinds of service.
const (
	// KindEngine serves chat completions.
	KindEngine Kind = "engine"
	// KindPlain serves plain HTTP calls.
	KindPlain Kind = "plain"
)

// State tells whether a version takes work.
type State string

// The states of a version.
const (
	// StateActive takes all sessions and requests.
	StateActive State = "active"
	// StateCandidate takes only the share that a roll-out gives it, and sessions pinned to it.
	StateCandidate State = "candidate"
	// StateRetiring takes only sessions pinned to it.
	StateRetiring State = "retiring"
	// StateWithdrawn takes no new work.
	StateWithdrawn State = "withdrawn"
)

// Amount is a price in micro-units of the consortium's unit of account.
type Amount uint64

// Document is one service's document.
type Document struct {
	Service  Service       `json:"service"`
	Kind     Kind          `json:"kind"`
	Models   []ModelSpec   `json:"models,omitempty"`
	Cascades []CascadeSpec `json:"cascades,omitempty"`
	Accounts []AccountSpec `json:"accounts"`
	Rollouts []RolloutSpec `json:"rollouts,omitempty"`
	// Calls lists the calls of a plain service; one that is not listed is refused.
	Calls []CallSpec `json:"calls,omitempty"`
}

// ModelSpec is one model and its versions.
type ModelSpec struct {
	Name     Model         `json:"name"`
	Price    PriceSpec     `json:"price"`
	Versions []VersionSpec `json:"versions"`
}

// PriceSpec is the price per token.
type PriceSpec struct {
	Input  Amount `json:"input"`
	Output Amount `json:"output"`
}

// VersionSpec is one version of a model.
type VersionSpec struct {
	Name  Version `json:"name"`
	State State   `json:"state"`
}

// CascadeSpec names the models that a request tries, from cheap to capable.
type CascadeSpec struct {
	Name  Model   `json:"name"`
	Steps []Model `json:"steps"`
	// MinRating is the least rating from 0 to 1 that ends the cascade.
	MinRating float64 `json:"quality"`
}

// AccountSpec is what one client account may use.
type AccountSpec struct {
	Name Account `json:"name"`
	// Models lists models and cascades, as NAME or, for one version, NAME@VERSION.
	// A cascade permits its steps inside that cascade only.
	Models []string `json:"models,omitempty"`
	// Calls lists the paths of a plain service that the account may call.
	Calls []string `json:"calls,omitempty"`
	// Weight is the account's share of the service under contention.
	Weight uint32    `json:"weight"`
	Limit  LimitSpec `json:"limit"`
	// MinRating overrides the quality of cascades if it is not zero.
	MinRating float64 `json:"quality,omitempty"`
}

// LimitSpec bounds what an account may do at once; zero means no limit of its own.
type LimitSpec struct {
	MaxConcurrentRequests uint32 `json:"parallel,omitempty"`
	MaxQueuedRequests     uint32 `json:"queue,omitempty"`
}

// RolloutSpec moves a model's traffic from one version to another by stages.
type RolloutSpec struct {
	Model  Model       `json:"model"`
	From   Version     `json:"from"`
	To     Version     `json:"to"`
	Stages []StageSpec `json:"stages"`
	// Tolerance is how much worse the new version's rating or error rate may be.
	Tolerance float64 `json:"tolerance"`
}

// StageSpec is one stage of a roll-out.
type StageSpec struct {
	// TrafficPercent is the per cent of new sessions and requests that the new version takes.
	TrafficPercent uint32 `json:"share"`
	// MinSeconds is the least time in seconds that the stage lasts.
	MinSeconds uint32 `json:"hold"`
}

// CallSpec is one call of a plain service.
type CallSpec struct {
	Method string `json:"method"`
	// Path is the exact path, or a prefix if it ends in "/".
	Path string `json:"path"`
	// Idempotent is true if the call is idempotent.
	Idempotent bool `json:"repeat"`
	// Price is charged for each call.
	Price Amount `json:"price,omitempty"`
	// TimeoutMillis is the longest time in milliseconds that the upstream may take.
	TimeoutMillis uint32 `json:"timeout,omitempty"`
}

// MinDuration returns the least time that the stage lasts.
func (s StageSpec) MinDuration() time.Duration { return time.Duration(s.MinSeconds) * time.Second }
