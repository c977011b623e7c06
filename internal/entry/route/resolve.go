// Package route selects what serves a request: the models of its cascade, the
// version of a model and the upstream of a version.
package route

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
)

// Errors of resolving and selecting.
var (
	// ErrModelNotFound means that no document names the model.
	ErrModelNotFound = errors.New("no such model")
	// ErrForbidden means that the account may not use the model or version.
	ErrForbidden = errors.New("the client account may not use this model or version")
	// ErrAmbiguous means that several services have the model.
	ErrAmbiguous = errors.New("several services have this model; name it as service/model")
	// ErrNoVersion means that no version that the account may use takes the work.
	ErrNoVersion = errors.New("no version takes this work")
	// ErrNoUpstream means that no upstream serves the version.
	ErrNoUpstream = errors.New("no upstream is available")
)

// ModelName is a requested model in its parts.
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

// Plan is how a request is served.
type Plan struct {
	Document *document.Document
	Account  document.AccountSpec
	Name     ModelName
	// Steps are the models in the order in which they are tried.
	Steps   []document.Model
	Cascade bool
	// MinRating is the least rating that ends the cascade.
	MinRating float64
}

// Resolve finds the plan for the requested model and checks the account's permission.
func Resolve(c *control.Config, account document.Account, text string) (p Plan, err error) {
	n := ParseModelName(text)
	var found []Plan
	exists := false
	for service, d := range c.Documents {
		if d.Kind != document.KindEngine || (n.Service != "" && n.Service != service) {
			continue
		}
		p, ok := plan(d, n)
		if !ok {
			continue
		}
		exists = true
		if p.Account, ok = d.Account(account); ok && p.permitted() {
			found = append(found, p)
		}
	}
	switch {
	case !exists:
		return p, errors.Wrapf(ErrModelNotFound, "%q", text)
	case len(found) == 0:
		return p, errors.Wrapf(ErrForbidden, "%q", text)
	case len(found) > 1:
		return p, errors.Wrapf(ErrAmbiguous, "%q", text)
	}
	return found[0], nil
}

func plan(d *document.Document, n ModelName) (p Plan, ok bool) {
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

func (p *Plan) permitted() bool {
	if p.Account.MinRating != 0 {
		p.MinRating = p.Account.MinRating
	}
	if p.Name.Version != "" {
		return p.Account.PermitsVersion(p.Name.Model, p.Name.Version)
	}
	return p.Account.PermitsModel(p.Name.Model)
}

// Permits tells whether the account may use the version of a step's model now.
// A cascade permits its steps inside that cascade only.
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

// Accepts tells whether the version takes the work: pinned work goes on unless
// the version is withdrawn, other work goes to active versions, and to a
// candidate only by the share of its roll-out.
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
		return pinned || p.candidate(step, key) == version
	case document.StateRetiring:
		return pinned
	case document.StateWithdrawn:
	}
	return false
}

// candidate returns the version that the roll-out selects for the key, if it does.
func (p *Plan) candidate(step document.Model, key string) document.Version {
	r, ok := p.Document.Rollout(step)
	if !ok || len(r.Stages) == 0 {
		return ""
	}
	if xxhash.Sum64String(string(step)+"\x00"+key)%100 >= uint64(r.Stages[0].TrafficPercent) {
		return ""
	}
	return r.To
}

// EligibleVersions lists the versions that take the work of the key, the preferred one first.
func (p *Plan) EligibleVersions(step document.Model, key string) (list []document.Version, err error) {
	m, ok := p.Document.Model(step)
	if !ok {
		return nil, errors.Wrapf(ErrModelNotFound, "%q", string(step))
	}
	chosen := p.candidate(step, key)
	for _, v := range m.Versions {
		if p.Accepts(step, v.Name, key, false) {
			list = append(list, v.Name)
		}
	}
	if len(list) == 0 {
		return nil, errors.Wrapf(ErrNoVersion, "%q", string(step))
	}
	rank := func(v document.Version) uint64 {
		if v == chosen {
			return 0
		}
		// A key keeps its version as long as the list of versions stays the same.
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
