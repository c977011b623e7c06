package document

import (
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"wisteriakeel.example/wisteriakeel/internal/config/problem"
)

// The bounds of a document.
const (
	maxWeight = 10_000
	maxLimit  = 65_536
	// maxPrice keeps the price of a request with a million tokens within 64 bits.
	maxPrice = 1_000_000_000_000
	// maxTimeout is one hour in milliseconds.
	maxTimeout = 3_600_000
	// maxHold is 30 days in seconds.
	maxHold = 2_592_000
	maxPath = 512
)

const wantName = "1 to 64 letters, digits, dots, dashes or underscores"

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	// pathPattern leaves out empty, "." and ".." elements, which servers may read
	// as another path than the one that was permitted.
	pathPattern = regexp.MustCompile(`^(/[A-Za-z0-9_~:@!$&'()*+,;=-][A-Za-z0-9._~:@!$&'()*+,;=-]*)*/?$`)
	methods     = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
	states      = []State{StateActive, StateCandidate, StateRetiring, StateWithdrawn}
)

// checker adds what is wrong with a decoded document to the list.
type checker struct {
	*problem.List
	document *Document
}

func (c *checker) check() {
	d := c.document
	c.named("service", string(d.Service))
	switch d.Kind {
	case KindEngine:
		c.absent("calls", len(d.Calls), KindEngine)
		if len(d.Models) == 0 {
			c.Add("models", "at least one model of an engine", "none")
		}
	case KindPlain:
		c.absent("models", len(d.Models), KindPlain)
		c.absent("cascades", len(d.Cascades), KindPlain)
		c.absent("rollouts", len(d.Rollouts), KindPlain)
		if len(d.Calls) == 0 {
			c.Add("calls", "at least one call of a plain service", "none")
		}
	default:
		c.Add("kind", "engine or plain", problem.Quote(string(d.Kind)))
	}
	c.models()
	c.cascades()
	c.calls()
	c.accounts()
	c.rollouts()
}

func (c *checker) named(field, value string) {
	if !namePattern.MatchString(value) {
		c.Add(field, wantName, problem.Quote(value))
	}
}

func (c *checker) absent(field string, count int, k Kind) {
	if count > 0 {
		c.Add(field, "nothing with kind "+string(k), strconv.Itoa(count)+" of them")
	}
}

// unique reports a name that an earlier element of the list bears.
func (c *checker) unique(field, value string, seen map[string]bool) {
	if seen[value] {
		c.Add(field, "a name that is used once", problem.Quote(value))
	}
	seen[value] = true
}

func (c *checker) atMost(field string, value, most uint64) {
	c.between(field, value, 0, most)
}

func (c *checker) between(field string, value, least, most uint64) {
	if value < least || value > most {
		c.Add(field, "a number from "+strconv.FormatUint(least, 10)+" to "+strconv.FormatUint(most, 10),
			strconv.FormatUint(value, 10))
	}
}

// fraction accepts 0 to 1 and refuses minus zero, which prints unlike zero.
func (c *checker) fraction(field string, value float64) {
	if value < 0 || value > 1 || math.Signbit(value) {
		c.Add(field, "a number from 0 to 1", strconv.FormatFloat(value, 'g', -1, 64))
	}
}

func (c *checker) models() {
	seen := map[string]bool{}
	for i, m := range c.document.Models {
		path := problem.At("models", i)
		name := problem.Join(path, "name")
		c.named(name, string(m.Name))
		c.unique(name, string(m.Name), seen)
		c.atMost(problem.Join(path, "price.input"), uint64(m.Price.Input), maxPrice)
		c.atMost(problem.Join(path, "price.output"), uint64(m.Price.Output), maxPrice)
		c.versions(problem.Join(path, "versions"), m.Versions)
	}
}

func (c *checker) versions(path string, versions []VersionSpec) {
	if len(versions) == 0 {
		c.Add(path, "at least one version", "none")
	}
	seen := map[string]bool{}
	for i, v := range versions {
		field := problem.At(path, i)
		name := problem.Join(field, "name")
		c.named(name, string(v.Name))
		c.unique(name, string(v.Name), seen)
		if !slices.Contains(states, v.State) {
			c.Add(problem.Join(field, "state"), "active, candidate, retiring or withdrawn", problem.Quote(string(v.State)))
		}
	}
}

func (c *checker) cascades() {
	seen := map[string]bool{}
	for _, m := range c.document.Models {
		seen[string(m.Name)] = true
	}
	for i, s := range c.document.Cascades {
		path := problem.At("cascades", i)
		name := problem.Join(path, "name")
		c.named(name, string(s.Name))
		c.unique(name, string(s.Name), seen)
		c.fraction(problem.Join(path, "quality"), s.MinRating)
		steps := problem.Join(path, "steps")
		if len(s.Steps) == 0 {
			c.Add(steps, "at least one model", "none")
		}
		for k, m := range s.Steps {
			if c.model(m) == nil {
				c.Add(problem.At(steps, k), "a model of this document", problem.Quote(string(m)))
			} else if slices.Contains(s.Steps[:k], m) {
				c.Add(problem.At(steps, k), "each model once", problem.Quote(string(m)))
			}
		}
	}
}

func (c *checker) model(name Model) *ModelSpec {
	for i := range c.document.Models {
		if c.document.Models[i].Name == name {
			return &c.document.Models[i]
		}
	}
	return nil
}

func (m *ModelSpec) version(name Version) *VersionSpec {
	for i := range m.Versions {
		if m.Versions[i].Name == name {
			return &m.Versions[i]
		}
	}
	return nil
}

func (c *checker) calls() {
	seen := map[string]bool{}
	for i, s := range c.document.Calls {
		path := problem.At("calls", i)
		if !slices.Contains(methods, s.Method) {
			c.Add(problem.Join(path, "method"), "one of "+strings.Join(methods, ", "), problem.Quote(s.Method))
		}
		c.path(problem.Join(path, "path"), s.Path)
		c.unique(path, s.Method+" "+s.Path, seen)
		c.atMost(problem.Join(path, "price"), uint64(s.Price), maxPrice)
		c.atMost(problem.Join(path, "timeout"), uint64(s.TimeoutMillis), maxTimeout)
	}
}

func (c *checker) path(field, path string) {
	if path == "" || len(path) > maxPath || !pathPattern.MatchString(path) {
		c.Add(field, "a path such as /visits or, as a prefix, /visits/", problem.Quote(path))
	}
}

func (c *checker) accounts() {
	seen := map[string]bool{}
	for i, a := range c.document.Accounts {
		path := problem.At("accounts", i)
		name := problem.Join(path, "name")
		c.named(name, string(a.Name))
		c.unique(name, string(a.Name), seen)
		c.between(problem.Join(path, "weight"), uint64(a.Weight), 1, maxWeight)
		c.atMost(problem.Join(path, "limit.parallel"), uint64(a.Limit.MaxConcurrentRequests), maxLimit)
		c.atMost(problem.Join(path, "limit.queue"), uint64(a.Limit.MaxQueuedRequests), maxLimit)
		c.fraction(problem.Join(path, "quality"), a.MinRating)
		if len(a.Models) == 0 && len(a.Calls) == 0 {
			c.Add(path, "models or calls that the account may use", "none")
		}
		c.permissions(path, a)
	}
}

func (c *checker) permissions(path string, a AccountSpec) {
	for i, m := range a.Models {
		field := problem.At(problem.Join(path, "models"), i)
		if slices.Contains(a.Models[:i], m) {
			c.Add(field, "each permission once", problem.Quote(m))
		} else if !c.known(m) {
			c.Add(field, "a model or cascade of this document, or MODEL@VERSION", problem.Quote(m))
		}
	}
	for i, p := range a.Calls {
		field := problem.At(problem.Join(path, "calls"), i)
		if slices.Contains(a.Calls[:i], p) {
			c.Add(field, "each permission once", problem.Quote(p))
		} else if !c.called(p) {
			c.Add(field, "the path of a call of this document", problem.Quote(p))
		}
	}
}

// known tells whether a permission names a model, a cascade or a version.
func (c *checker) known(permission string) bool {
	name, version, pinned := strings.Cut(permission, "@")
	m := c.model(Model(name))
	if pinned {
		return m != nil && m.version(Version(version)) != nil
	}
	return m != nil || slices.ContainsFunc(c.document.Cascades, func(s CascadeSpec) bool { return s.Name == Model(name) })
}

// called tells whether a permitted path names a declared call, lies below a
// declared prefix or is a prefix of a declared path.
func (c *checker) called(path string) bool {
	return slices.ContainsFunc(c.document.Calls, func(s CallSpec) bool {
		return s.Path == path || below(path, s.Path) || below(s.Path, path)
	})
}

func below(path, prefix string) bool {
	return strings.HasSuffix(prefix, "/") && strings.HasPrefix(path, prefix)
}

func (c *checker) rollouts() {
	seen := map[string]bool{}
	for i, r := range c.document.Rollouts {
		path := problem.At("rollouts", i)
		c.unique(problem.Join(path, "model"), string(r.Model), seen)
		c.fraction(problem.Join(path, "tolerance"), r.Tolerance)
		c.stages(problem.Join(path, "stages"), r.Stages)
		m := c.model(r.Model)
		if m == nil {
			c.Add(problem.Join(path, "model"), "a model of this document", problem.Quote(string(r.Model)))
			continue
		}
		c.end(problem.Join(path, "from"), m, r.From, StateActive)
		c.end(problem.Join(path, "to"), m, r.To, StateCandidate)
	}
}

// end checks one end of a roll-out. Withdrawn is allowed at both, so that a bad
// version can be withdrawn in the middle of its roll-out by changing one word.
func (c *checker) end(field string, m *ModelSpec, name Version, s State) {
	v := m.version(name)
	if v == nil {
		c.Add(field, "a version of model "+string(m.Name), problem.Quote(string(name)))
		return
	}
	if v.State != s && v.State != StateWithdrawn {
		c.Add(field, "a version that is "+string(s)+" or withdrawn", problem.Quote(string(name))+", which is "+problem.Quote(string(v.State)))
	}
}

func (c *checker) stages(path string, stages []StageSpec) {
	if len(stages) == 0 {
		c.Add(path, "at least one stage", "none")
	}
	var last uint32
	for i, s := range stages {
		field := problem.At(path, i)
		share := problem.Join(field, "share")
		c.between(share, uint64(s.TrafficPercent), 1, 100)
		if s.TrafficPercent <= last {
			c.Add(share, "more than the "+strconv.FormatUint(uint64(last), 10)+" of the stage before", strconv.FormatUint(uint64(s.TrafficPercent), 10))
		}
		last = s.TrafficPercent
		c.atMost(problem.Join(field, "hold"), uint64(s.MinSeconds), maxHold)
	}
}
