package document

import "strings"

// Account returns what the document grants to the client account.
func (d *Document) Account(name Account) (spec AccountSpec, ok bool) {
	for _, a := range d.Accounts {
		if a.Name == name {
			return a, true
		}
	}
	return spec, false
}

// Model returns the model of that name.
func (d *Document) Model(name Model) (spec ModelSpec, ok bool) {
	for _, m := range d.Models {
		if m.Name == name {
			return m, true
		}
	}
	return spec, false
}

// Cascade returns the cascade of that name.
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

// Call returns the declaration that covers a call: an exact path goes before a
// prefix, and a longer prefix before a shorter one.
func (d *Document) Call(method, path string) (spec CallSpec, ok bool) {
	best := -1
	for _, c := range d.Calls {
		if c.Method != method || !covers(c.Path, path) {
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

// PermitsVersion tells whether the account may use the version of the model or cascade.
func (a AccountSpec) PermitsVersion(name Model, version Version) bool {
	for _, p := range a.Models {
		model, only, limited := strings.Cut(p, "@")
		if Model(model) == name && (!limited || Version(only) == version) {
			return true
		}
	}
	return false
}

// PermitsModel tells whether the account may use the model or cascade in any version.
func (a AccountSpec) PermitsModel(name Model) bool {
	for _, p := range a.Models {
		model, _, _ := strings.Cut(p, "@")
		if Model(model) == name {
			return true
		}
	}
	return false
}

// PermitsPath tells whether the account may call the path of a plain service.
func (a AccountSpec) PermitsPath(path string) bool {
	for _, p := range a.Calls {
		if covers(p, path) {
			return true
		}
	}
	return false
}

// covers matches an exact path, or a prefix if the pattern ends in "/".
func covers(pattern, path string) bool {
	if strings.HasSuffix(pattern, "/") {
		return strings.HasPrefix(path, pattern)
	}
	return pattern == path
}
