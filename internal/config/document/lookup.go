package document

import "strings"

// Account returns the specification of the client account.
func (d *Document) Account(name Account) (spec AccountSpec, ok bool) {
	for _, a := range d.Accounts {
		if a.Name == name {
			return a, true
		}
	}
	return spec, false
}

// Model returns the model with the given name.
func (d *Document) Model(name Model) (spec ModelSpec, ok bool) {
	for _, m := range d.Models {
		if m.Name == name {
			return m, true
		}
	}
	return spec, false
}

// Cascade returns the cascade with the given name.
func (d *Document) Cascade(name Model) (spec CascadeSpec, ok bool) {
	for _, c := range d.Cascades {
		if c.Name == name {
			return c, true
		}
	}
	return spec, false
}

// Rollout returns the roll-out of the model.
func (d *Document) Rollout(name Model) (spec RolloutSpec, ok bool) {
	for _, r := range d.Rollouts {
		if r.Model == name {
			return r, true
		}
	}
	return spec, false
}

// Call returns the call that matches the method and path: an exact path takes
// precedence over a prefix, and a longer prefix over a shorter one.
func (d *Document) Call(method, path string) (spec CallSpec, ok bool) {
	best := -1
	for _, c := range d.Calls {
		if c.Method != method || !matchesPath(c.Path, path) {
			continue
		}
		rank := len(c.Path)
		if c.Path == path {
			rank++
		}
		if rank > best {
			best, spec, ok = rank, c, true
		}
	}
	return spec, ok
}

// State returns the state of the version; ok is false if the model has no such version.
func (m ModelSpec) State(name Version) (state State, ok bool) {
	for _, v := range m.Versions {
		if v.Name == name {
			return v.State, true
		}
	}
	return "", false
}

// PermitsVersion reports whether the account may use the version of the model or cascade.
func (a AccountSpec) PermitsVersion(name Model, version Version) bool {
	for _, p := range a.Models {
		model, permitted, hasVersion := strings.Cut(p, "@")
		if Model(model) == name && (!hasVersion || Version(permitted) == version) {
			return true
		}
	}
	return false
}

// PermitsModel reports whether the account may use at least one version of the model or cascade.
func (a AccountSpec) PermitsModel(name Model) bool {
	for _, p := range a.Models {
		model, _, _ := strings.Cut(p, "@")
		if Model(model) == name {
			return true
		}
	}
	return false
}

// PermitsPath reports whether the account may call the path of a plain service.
func (a AccountSpec) PermitsPath(path string) bool {
	for _, p := range a.Calls {
		if matchesPath(p, path) {
			return true
		}
	}
	return false
}

// matchesPath reports whether path equals the pattern, or begins with it if the
// pattern ends in "/".
func matchesPath(pattern, path string) bool {
	if strings.HasSuffix(pattern, "/") {
		return strings.HasPrefix(path, pattern)
	}
	return pattern == path
}
