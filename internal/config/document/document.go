// Package document defines, parses and checks service documents. A document holds
// the configuration of one service and is changed by the service's operators.
package document

import "time"

// Service is the name of a service. Each service has one document.
type Service string

// Model is the name of a model or of a cascade.
type Model string

// Version is the name of a version of a model.
type Version string

// Account is the name of a client account.
type Account string

// Revision is the number of accepted changes of the configuration.
type Revision uint64

// Kind is the kind of upstreams that a service has.
type Kind string

// Kinds of services.
const (
	// KindEngine serves chat completions.
	KindEngine Kind = "engine"
	// KindPlain serves plain HTTP calls.
	KindPlain Kind = "plain"
)

// State determines which requests a version accepts.
type State string

// States of a version.
const (
	// StateActive accepts all sessions and requests.
	StateActive State = "active"
	// StateCandidate accepts only its roll-out's share of new sessions and requests,
	// and sessions pinned to it.
	StateCandidate State = "candidate"
	// StateRetiring accepts only sessions pinned to it.
	StateRetiring State = "retiring"
	// StateWithdrawn accepts no new requests.
	StateWithdrawn State = "withdrawn"
)

// Amount is a price in millionths of the consortium's unit of account.
type Amount uint64

// Document is the configuration of one service.
type Document struct {
	Service  Service       `json:"service"`
	Kind     Kind          `json:"kind"`
	Models   []ModelSpec   `json:"models,omitempty"`
	Cascades []CascadeSpec `json:"cascades,omitempty"`
	Accounts []AccountSpec `json:"accounts"`
	Rollouts []RolloutSpec `json:"rollouts,omitempty"`
	// Calls lists the calls of a plain service; other calls are rejected.
	Calls []CallSpec `json:"calls,omitempty"`
}

// ModelSpec describes a model and its versions.
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

// VersionSpec describes a version of a model.
type VersionSpec struct {
	Name  Version `json:"name"`
	State State   `json:"state"`
}

// CascadeSpec describes a cascade: a request is sent to each of its models in turn,
// from cheap to capable, until the rating of an answer is high enough.
type CascadeSpec struct {
	Name  Model   `json:"name"`
	Steps []Model `json:"steps"`
	// MinRating is the lowest rating, from 0 to 1, that ends the cascade.
	MinRating float64 `json:"quality"`
}

// AccountSpec describes what a client account may use.
type AccountSpec struct {
	Name Account `json:"name"`
	// Models lists the permitted models and cascades as NAME, or as NAME@VERSION for
	// one version only. Permission for a cascade includes its steps, but only within
	// that cascade.
	Models []string `json:"models,omitempty"`
	// Calls lists the permitted paths of a plain service; one that ends in "/" is a prefix.
	Calls []string `json:"calls,omitempty"`
	// Weight is the account's relative share of the service when requests must queue.
	Weight uint32    `json:"weight"`
	Limit  LimitSpec `json:"limit"`
	// MinRating overrides the minimum rating of cascades if it is not zero.
	MinRating float64 `json:"quality,omitempty"`
}

// LimitSpec limits the running and waiting requests of an account at each entry. It holds
// for each queue separately: a plain service has one queue, and each model of an engine
// service has its own.
type LimitSpec struct {
	// MaxConcurrentRequests replaces the limit of the entry's settings; zero means that the
	// limit of the settings holds.
	MaxConcurrentRequests uint32 `json:"parallel,omitempty"`
	// MaxQueuedRequests can only lower the limit of the entry's settings; zero means that
	// the limit of the settings holds.
	MaxQueuedRequests uint32 `json:"queue,omitempty"`
}

// RolloutSpec describes how a model's traffic moves from one version to another in stages.
type RolloutSpec struct {
	Model  Model       `json:"model"`
	From   Version     `json:"from"`
	To     Version     `json:"to"`
	Stages []StageSpec `json:"stages"`
	// Tolerance is how much worse the new version's rating or error rate may be than
	// that of the old one.
	Tolerance float64 `json:"tolerance"`
}

// StageSpec describes a stage of a roll-out.
type StageSpec struct {
	// TrafficPercent is the percentage of new sessions and requests that the new version gets.
	TrafficPercent uint32 `json:"share"`
	// MinSeconds is the minimum duration of the stage.
	MinSeconds uint32 `json:"hold"`
}

// CallSpec describes a call of a plain service.
type CallSpec struct {
	Method string `json:"method"`
	// Path is the exact path, or a prefix if it ends in "/".
	Path string `json:"path"`
	// Idempotent is true if the call may be sent again after it may have run.
	Idempotent bool `json:"repeat"`
	// Price is the price of one call.
	Price Amount `json:"price,omitempty"`
	// TimeoutMillis is the maximum time that the upstream may take; zero means that
	// the call has no limit of its own.
	TimeoutMillis uint32 `json:"timeout,omitempty"`
}

// MinDuration returns the minimum duration of the stage.
func (s StageSpec) MinDuration() time.Duration { return time.Duration(s.MinSeconds) * time.Second }
