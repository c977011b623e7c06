package document

import (
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"wisteriakeel.example/wisteriakeel/internal/config/problem"
)

// Limits of the values of a document.
const (
	maxWeight = 10_000
	// maxAccountLimit limits the numbers of running and of queued requests that an
	// account may be allowed.
	maxAccountLimit = 65_536
	// maxPrice is in the unit of Amount, per token or call. It ensures that the cost of a
	// request with a million tokens fits into 64 bits.
	maxPrice = 1_000_000_000_000
	// maxTimeoutMillis is one hour.
	maxTimeoutMillis = 3_600_000
	// maxStageSeconds is 30 days.
	maxStageSeconds = 2_592_000
	maxPathBytes    = 512
)

// expectedName describes namePattern in problems.
const expectedName = "1 to 64 letters, digits, dots, dashes or underscores"

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	// pathPattern rejects empty, "." and ".." elements, since a server may resolve
	// them to a path other than the permitted one.
	pathPattern    = regexp.MustCompile(`^(/[A-Za-z0-9_~:@!$&'()*+,;=-][A-Za-z0-9._~:@!$&'()*+,;=-]*)*/?$`)
	allowedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
	allowedStates  = []State{StateActive, StateCandidate, StateRetiring, StateWithdrawn}
)

// checker checks a decoded document and adds its problems to the list.
type checker struct {
	*problem.List
	document *Document
}

func (c *checker) checkDocument() {
	d := c.document
	c.checkName("service", string(d.Service))
	switch d.Kind {
	case KindEngine:
		c.requireEmpty("calls", len(d.Calls), KindEngine)
		if len(d.Models) == 0 {
			c.Add("models", "at least one model of an engine", "none")
		}
	case KindPlain:
		c.requireEmpty("models", len(d.Models), KindPlain)
		c.requireEmpty("cascades", len(d.Cascades), KindPlain)
		c.requireEmpty("rollouts", len(d.Rollouts), KindPlain)
		if len(d.Calls) == 0 {
			c.Add("calls", "at least one call of a plain service", "none")
		}
	default:
		c.Add("kind", "engine or plain", problem.Quote(string(d.Kind)))
	}
	c.checkModels()
	c.checkCascades()
	c.checkCalls()
	c.checkAccounts()
	c.checkRollouts()
}

func (c *checker) checkName(field, value string) {
	if !namePattern.MatchString(value) {
		c.Add(field, expectedName, problem.Quote(value))
	}
}

// requireEmpty adds a problem if a list has elements that services of kind k do not have.
func (c *checker) requireEmpty(field string, count int, k Kind) {
	if count > 0 {
		c.Add(field, "nothing with kind "+string(k), strconv.Itoa(count)+" of them")
	}
}

// requireUnique adds a problem if an earlier element of the list has the same name.
func (c *checker) requireUnique(field, value string, seen map[string]bool) {
	if seen[value] {
		c.Add(field, "a name that is used once", problem.Quote(value))
	}
	seen[value] = true
}

func (c *checker) checkMax(field string, value, high uint64) {
	c.checkRange(field, value, 0, high)
}

func (c *checker) checkRange(field string, value, low, high uint64) {
	if value < low || value > high {
		c.Add(field, "a number from "+strconv.FormatUint(low, 10)+" to "+strconv.FormatUint(high, 10),
			strconv.FormatUint(value, 10))
	}
}

// checkFraction accepts 0 to 1. It rejects minus zero, which is formatted as -0.
func (c *checker) checkFraction(field string, value float64) {
	if value < 0 || value > 1 || math.Signbit(value) {
		c.Add(field, "a number from 0 to 1", strconv.FormatFloat(value, 'g', -1, 64))
	}
}

func (c *checker) checkModels() {
	seen := map[string]bool{}
	for i, m := range c.document.Models {
		path := problem.At("models", i)
		name := problem.Join(path, "name")
		c.checkName(name, string(m.Name))
		c.requireUnique(name, string(m.Name), seen)
		c.checkMax(problem.Join(path, "price.input"), uint64(m.Price.Input), maxPrice)
		c.checkMax(problem.Join(path, "price.output"), uint64(m.Price.Output), maxPrice)
		c.checkVersions(problem.Join(path, "versions"), m.Versions)
	}
}

func (c *checker) checkVersions(path string, versions []VersionSpec) {
	if len(versions) == 0 {
		c.Add(path, "at least one version", "none")
	}
	seen := map[string]bool{}
	for i, v := range versions {
		field := problem.At(path, i)
		name := problem.Join(field, "name")
		c.checkName(name, string(v.Name))
		c.requireUnique(name, string(v.Name), seen)
		if !slices.Contains(allowedStates, v.State) {
			c.Add(problem.Join(field, "state"), "active, candidate, retiring or withdrawn", problem.Quote(string(v.State)))
		}
	}
}

// checkCascades also checks that no cascade has the name of a model.
func (c *checker) checkCascades() {
	seen := map[string]bool{}
	for _, m := range c.document.Models {
		seen[string(m.Name)] = true
	}
	for i, s := range c.document.Cascades {
		path := problem.At("cascades", i)
		name := problem.Join(path, "name")
		c.checkName(name, string(s.Name))
		c.requireUnique(name, string(s.Name), seen)
		c.checkFraction(problem.Join(path, "quality"), s.MinRating)
		steps := problem.Join(path, "steps")
		if len(s.Steps) == 0 {
			c.Add(steps, "at least one model", "none")
		}
		for k, m := range s.Steps {
			if c.findModel(m) == nil {
				c.Add(problem.At(steps, k), "a model of this document", problem.Quote(string(m)))
			} else if slices.Contains(s.Steps[:k], m) {
				c.Add(problem.At(steps, k), "each model once", problem.Quote(string(m)))
			}
		}
	}
}

func (c *checker) findModel(name Model) *ModelSpec {
	for i := range c.document.Models {
		if c.document.Models[i].Name == name {
			return &c.document.Models[i]
		}
	}
	return nil
}

func (m *ModelSpec) findVersion(name Version) *VersionSpec {
	for i := range m.Versions {
		if m.Versions[i].Name == name {
			return &m.Versions[i]
		}
	}
	return nil
}

func (c *checker) checkCalls() {
	seen := map[string]bool{}
	for i, s := range c.document.Calls {
		path := problem.At("calls", i)
		if !slices.Contains(allowedMethods, s.Method) {
			c.Add(problem.Join(path, "method"), "one of "+strings.Join(allowedMethods, ", "), problem.Quote(s.Method))
		}
		c.checkPath(problem.Join(path, "path"), s.Path)
		c.requireUnique(path, s.Method+" "+s.Path, seen)
		c.checkMax(problem.Join(path, "price"), uint64(s.Price), maxPrice)
		c.checkMax(problem.Join(path, "timeout"), uint64(s.TimeoutMillis), maxTimeoutMillis)
	}
}

func (c *checker) checkPath(field, path string) {
	if path == "" || len(path) > maxPathBytes || !pathPattern.MatchString(path) {
		c.Add(field, "a path such as /visits or, as a prefix, /visits/", problem.Quote(path))
	}
}

func (c *checker) checkAccounts() {
	seen := map[string]bool{}
	for i, a := range c.document.Accounts {
		path := problem.At("accounts", i)
		name := problem.Join(path, "name")
		c.checkName(name, string(a.Name))
		c.requireUnique(name, string(a.Name), seen)
		c.checkRange(problem.Join(path, "weight"), uint64(a.Weight), 1, maxWeight)
		c.checkMax(problem.Join(path, "limit.parallel"), uint64(a.Limit.MaxConcurrentRequests), maxAccountLimit)
		c.checkMax(problem.Join(path, "limit.queue"), uint64(a.Limit.MaxQueuedRequests), maxAccountLimit)
		c.checkFraction(problem.Join(path, "quality"), a.MinRating)
		if len(a.Models) == 0 && len(a.Calls) == 0 {
			c.Add(path, "models or calls that the account may use", "none")
		}
		c.checkPermissions(path, a)
	}
}

func (c *checker) checkPermissions(path string, a AccountSpec) {
	for i, m := range a.Models {
		field := problem.At(problem.Join(path, "models"), i)
		if slices.Contains(a.Models[:i], m) {
			c.Add(field, "each permission once", problem.Quote(m))
		} else if !c.modelPermissionExists(m) {
			c.Add(field, "a model or cascade of this document, or MODEL@VERSION", problem.Quote(m))
		}
	}
	for i, p := range a.Calls {
		field := problem.At(problem.Join(path, "calls"), i)
		if slices.Contains(a.Calls[:i], p) {
			c.Add(field, "each permission once", problem.Quote(p))
		} else if !c.callPermissionExists(p) {
			c.Add(field, "the path of a call of this document", problem.Quote(p))
		}
	}
}

// modelPermissionExists reports whether the document has the model, cascade or
// model version that the permission names.
func (c *checker) modelPermissionExists(permission string) bool {
	name, version, hasVersion := strings.Cut(permission, "@")
	m := c.findModel(Model(name))
	if hasVersion {
		return m != nil && m.findVersion(Version(version)) != nil
	}
	return m != nil || slices.ContainsFunc(c.document.Cascades, func(s CascadeSpec) bool { return s.Name == Model(name) })
}

// callPermissionExists reports whether a permitted path is the path of a declared
// call, is below a declared prefix, or is a prefix of a declared path.
func (c *checker) callPermissionExists(path string) bool {
	return slices.ContainsFunc(c.document.Calls, func(s CallSpec) bool {
		return s.Path == path || isBelow(path, s.Path) || isBelow(s.Path, path)
	})
}

// isBelow reports whether prefix is a prefix pattern, which ends in "/", and path begins with it.
func isBelow(path, prefix string) bool {
	return strings.HasSuffix(prefix, "/") && strings.HasPrefix(path, prefix)
}

func (c *checker) checkRollouts() {
	seen := map[string]bool{}
	for i, r := range c.document.Rollouts {
		path := problem.At("rollouts", i)
		c.requireUnique(problem.Join(path, "model"), string(r.Model), seen)
		c.checkFraction(problem.Join(path, "tolerance"), r.Tolerance)
		c.checkStages(problem.Join(path, "stages"), r.Stages)
		m := c.findModel(r.Model)
		if m == nil {
			c.Add(problem.Join(path, "model"), "a model of this document", problem.Quote(string(r.Model)))
			continue
		}
		c.checkRolloutVersion(problem.Join(path, "from"), m, r.From, StateActive)
		c.checkRolloutVersion(problem.Join(path, "to"), m, r.To, StateCandidate)
	}
}

// checkRolloutVersion checks the old or new version of a roll-out, which must be in
// state s or withdrawn. Withdrawn is allowed for both, so that an operator can
// withdraw a bad version during its roll-out by changing only its state.
func (c *checker) checkRolloutVersion(field string, m *ModelSpec, name Version, s State) {
	v := m.findVersion(name)
	if v == nil {
		c.Add(field, "a version of model "+string(m.Name), problem.Quote(string(name)))
		return
	}
	if v.State != s && v.State != StateWithdrawn {
		c.Add(field, "a version that is "+string(s)+" or withdrawn", problem.Quote(string(name))+", which is "+problem.Quote(string(v.State)))
	}
}

// checkStages checks that each stage has a larger share than the one before.
func (c *checker) checkStages(path string, stages []StageSpec) {
	if len(stages) == 0 {
		c.Add(path, "at least one stage", "none")
	}
	var previous uint32
	for i, s := range stages {
		field := problem.At(path, i)
		share := problem.Join(field, "share")
		c.checkRange(share, uint64(s.TrafficPercent), 1, 100)
		if s.TrafficPercent <= previous {
			c.Add(share, "more than the "+strconv.FormatUint(uint64(previous), 10)+" of the stage before", strconv.FormatUint(uint64(s.TrafficPercent), 10))
		}
		previous = s.TrafficPercent
		c.checkMax(problem.Join(field, "hold"), uint64(s.MinSeconds), maxStageSeconds)
	}
}
