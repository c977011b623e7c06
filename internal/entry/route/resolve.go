// Package route selects the models of a request's cascade, the version of each
// model and the upstream that serves it. It also limits retries.
package route

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
)

// Errors of Resolve, Plan.EligibleVersions and Pool.Pick. Their texts are sent to callers.
var (
	// ErrModelNotFound means that no document defines the model or version.
	ErrModelNotFound = errors.New("no such model")
	// ErrForbidden means that the account may not use the model or version.
	ErrForbidden = errors.New("the client account may not use this model or version")
	// ErrAmbiguous means that the account may use the model of several services.
	ErrAmbiguous = errors.New("several services have this model; name it as service/model")
	// ErrNoVersion means that no version that the account may use accepts the request.
	ErrNoVersion = errors.New("no version takes this work")
	// ErrNoUpstream means that no upstream meets the requirements.
	ErrNoUpstream = errors.New("no upstream is available")
)

// ModelName is the parsed name of a requested model or cascade. Service and
// Version are empty if the name doesn't contain them.
type ModelName struct {
	Service document.Service
	Model   document.Model
	Version document.Version
}

// ParseModelName splits "name", "name@version" or "service/name".
func ParseModelName(text string) (n ModelName) {
	if service, rest, ok := strings.Cut(text, "/"); ok {
		n.Service, text = document.Service(service), rest
	}
	model, version, _ := strings.Cut(text, "@")
	n.Model, n.Version = document.Model(model), document.Version(version)
	return n
}

// Plan describes how a request is served.
type Plan struct {
	Document *document.Document
	// Account holds the account's permissions and limits at the document's service.
	Account document.AccountSpec
	// Name is the name in the request, of a model or a cascade.
	Name ModelName
	// Steps lists the models in the order in which they are tried.
	Steps []document.Model
	// Cascade is true if Name is the name of a cascade.
	Cascade bool
	// MinRating is the lowest rating of an answer that ends the cascade.
	MinRating float64
}

// Resolve returns the plan for the model named by text and checks that the account may use it.
func Resolve(c *control.Config, account document.Account, text string) (p Plan, err error) {
	n := ParseModelName(text)
	var plans []Plan
	exists := false
	for service, d := range c.Documents {
		if d.Kind != document.KindEngine || (n.Service != "" && n.Service != service) {
			continue
		}
		p, ok := planFor(d, n)
		if !ok {
			continue
		}
		exists = true
		if p.Account, ok = d.Account(account); ok && p.applyAccount() {
			plans = append(plans, p)
		}
	}
	switch {
	case !exists:
		return p, errors.Wrapf(ErrModelNotFound, "%q", text)
	case len(plans) == 0:
		return p, errors.Wrapf(ErrForbidden, "%q", text)
	case len(plans) > 1:
		return p, errors.Wrapf(ErrAmbiguous, "%q", text)
	}
	return plans[0], nil
}

// planFor returns the plan for a model or cascade of the document; ok is false if
// the document doesn't define it.
func planFor(d *document.Document, n ModelName) (p Plan, ok bool) {
	p = Plan{Document: d, Name: n}
	if c, ok := d.Cascade(n.Model); ok && n.Version == "" {
		p.Cascade, p.Steps, p.MinRating = true, c.Steps, c.MinRating
		return p, len(c.Steps) > 0
	}
	m, ok := d.Model(n.Model)
	if !ok {
		return p, false
	}
	if n.Version != "" {
		if _, ok := m.State(n.Version); !ok {
			return p, false
		}
	}
	p.Steps = []document.Model{n.Model}
	return p, true
}

// applyAccount applies the account's own minimum rating and reports whether the
// account may use the requested model.
func (p *Plan) applyAccount() bool {
	if p.Account.MinRating != 0 {
		p.MinRating = p.Account.MinRating
	}
	if p.Name.Version != "" {
		return p.Account.PermitsVersion(p.Name.Model, p.Name.Version)
	}
	return p.Account.PermitsModel(p.Name.Model)
}

// Permits reports whether the plan's account may use the version of the step's model.
// Permission for a cascade includes its steps, but only within that cascade.
func (p *Plan) Permits(step document.Model, version document.Version) bool {
	if !slices.Contains(p.Steps, step) {
		return false
	}
	if p.Name.Version != "" && p.Name.Version != version {
		return false
	}
	if p.Cascade {
		return true
	}
	return p.Account.PermitsVersion(step, version)
}

// Accepts reports whether the version accepts a request: pinned requests are
// accepted unless the version is withdrawn; other requests are accepted by active
// versions, and by a candidate if the roll-out selects it for the key.
func (p *Plan) Accepts(step document.Model, version document.Version, key string, pinned bool) bool {
	m, ok := p.Document.Model(step)
	if !ok || !p.Permits(step, version) {
		return false
	}
	state, _ := m.State(version)
	switch state {
	case document.StateActive:
		return true
	case document.StateCandidate:
		return pinned || p.candidateVersion(step, key) == version
	case document.StateRetiring:
		return pinned
	case document.StateWithdrawn:
	}
	return false
}

// candidateVersion returns the roll-out's new version if the key is within its
// share of the traffic, and an empty version otherwise.
func (p *Plan) candidateVersion(step document.Model, key string) document.Version {
	r, ok := p.Document.Rollout(step)
	if !ok || len(r.Stages) == 0 {
		return ""
	}
	if xxhash.Sum64String(string(step)+"\x00"+key)%100 >= uint64(r.Stages[0].TrafficPercent) {
		return ""
	}
	return r.To
}

// EligibleVersions lists the versions that accept requests with the key, the preferred one first.
func (p *Plan) EligibleVersions(step document.Model, key string) (list []document.Version, err error) {
	m, ok := p.Document.Model(step)
	if !ok {
		return nil, errors.Wrapf(ErrModelNotFound, "%q", string(step))
	}
	candidate := p.candidateVersion(step, key)
	for _, v := range m.Versions {
		if p.Accepts(step, v.Name, key, false) {
			list = append(list, v.Name)
		}
	}
	if len(list) == 0 {
		return nil, errors.Wrapf(ErrNoVersion, "%q", string(step))
	}
	rank := func(v document.Version) uint64 {
		if v == candidate {
			return 0
		}
		// Rendezvous hashing: a key keeps its version while the list of versions is the same.
		return xxhash.Sum64String(string(v)+"\x00"+key)/2 + 1
	}
	slices.SortStableFunc(list, func(a, b document.Version) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return list, nil
}
