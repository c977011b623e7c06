package state

import (
	"cmp"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Delta holds the configuration that changed after a revision, or all of it if Full is set.
type Delta struct {
	Full bool
	// Revision is the revision after the changes.
	Revision  uint64
	Documents []*wire.Document
	// Upstreams includes upstreams that have left, marked as such, unless Full is set.
	Upstreams []*wire.Upstream
	// Suspicions includes ended suspicions, marked as removed.
	Suspicions []*wire.Suspicion
}

// Revision returns the revision of the last change.
func (c *Config) Revision() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.revision
}

// DataGroups returns the number of data groups, or zero if it has not been set yet.
func (c *Config) DataGroups() uint32 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.dataGroups
}

// Changed returns a channel that is closed at the next change of documents, upstreams,
// suspicions, draining instances or the number of data groups.
func (c *Config) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// Draining reports whether the instance was ordered to drain.
func (c *Config) Draining(instance string) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.draining[instance]
}

// DrainChanges returns how many changes of draining this process has applied.
func (c *Config) DrainChanges() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.drainChanges
}

// DeltaSince returns what changed after the given revision. It returns the full state
// if the revision is zero, unknown or too old.
func (c *Config) DeltaSince(revision uint64) Delta {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if revision == 0 || revision < c.trimmedRevision || revision > c.revision {
		return c.fullDelta()
	}
	start := sort.Search(len(c.recentChanges), func(i int) bool { return c.recentChanges[i].revision > revision })
	d := Delta{Revision: c.revision}
	services, upstreams, fingerprints := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, n := range c.recentChanges[start:] {
		switch {
		case n.service != "" && !services[n.service]:
			services[n.service] = true
			d.Documents = append(d.Documents, c.currentDocument(n.service))
		case n.upstream != "" && !upstreams[n.upstream]:
			upstreams[n.upstream] = true
			d.Upstreams = append(d.Upstreams, proto.CloneOf(c.registry[n.upstream].Upstream))
		case n.fingerprint != "" && !fingerprints[n.fingerprint]:
			fingerprints[n.fingerprint] = true
			d.Suspicions = append(d.Suspicions, c.suspicion(n.fingerprint))
		}
	}
	return d
}

func (c *Config) fullDelta() Delta {
	d := Delta{Full: true, Revision: c.revision}
	for _, h := range c.history {
		d.Documents = append(d.Documents, h[len(h)-1])
	}
	slices.SortFunc(d.Documents, func(a, b *wire.Document) int { return cmp.Compare(a.Service, b.Service) })
	d.Upstreams = c.liveUpstreams()
	d.Suspicions = c.cloneSuspicions()
	return d
}

func (c *Config) liveUpstreams() []*wire.Upstream {
	var out []*wire.Upstream
	for _, r := range c.registry {
		if !r.Upstream.Left {
			out = append(out, proto.CloneOf(r.Upstream))
		}
	}
	slices.SortFunc(out, func(a, b *wire.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Upstreams returns the registered upstreams, sorted by name.
func (c *Config) Upstreams() []*wire.Upstream {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.liveUpstreams()
}

// Show returns the document of a service at a revision, where 0 means the current one,
// or the current documents of all services if service is empty.
func (c *Config) Show(r *wire.ShowRequest) *wire.ShowReply {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if r.Service == "" {
		return &wire.ShowReply{Documents: c.fullDelta().Documents}
	}
	h := c.history[r.Service]
	if len(h) == 0 {
		return &wire.ShowReply{Fault: fault(wire.Code_CODE_MISSING, "service "+r.Service+" has no document")}
	}
	if r.Revision == 0 {
		return &wire.ShowReply{Documents: h[len(h)-1:]}
	}
	for _, d := range h {
		if d.Revision == r.Revision {
			return &wire.ShowReply{Documents: []*wire.Document{d}}
		}
	}
	return &wire.ShowReply{Fault: fault(wire.Code_CODE_MISSING, "service "+r.Service+" has no such revision")}
}

// History returns the stored revisions of a document, newest first.
func (c *Config) History(r *wire.HistoryRequest) *wire.HistoryReply {
	c.mu.RLock()
	defer c.mu.RUnlock()
	h := slices.Clone(c.history[r.Service])
	if len(h) == 0 {
		return &wire.HistoryReply{Fault: fault(wire.Code_CODE_MISSING, "service "+r.Service+" has no document")}
	}
	slices.Reverse(h)
	if r.Limit > 0 && len(h) > int(r.Limit) {
		h = h[:r.Limit]
	}
	return &wire.HistoryReply{Documents: h}
}
