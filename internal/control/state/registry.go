package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// announce registers an upstream. What is older than the registered incarnation
// and sequence has no effect.
func (c *Config) announce(u *wire.Upstream) *wire.AnnounceReply {
	if u.GetName() == "" {
		return &wire.AnnounceReply{Fault: fault(wire.Code_CODE_INVALID, "upstream has no name")}
	}
	u = registered(u)
	old := c.registry[u.Name]
	if old != nil {
		o := old.Upstream
		switch {
		case u.Incarnation < o.Incarnation:
			return c.stale("a later incarnation was registered")
		case u.Incarnation == o.Incarnation && old.Final:
			return c.stale("this incarnation has left")
		case u.Incarnation == o.Incarnation && u.Sequence <= o.Sequence:
			if o.Left {
				return c.stale("this incarnation was silent past its lease; a higher sequence registers it again")
			}
			return &wire.AnnounceReply{Revision: old.Revision}
		case same(o, u):
			o.Sequence = u.Sequence
			return &wire.AnnounceReply{Revision: old.Revision}
		}
	}
	if old != nil && u.Incarnation > old.Upstream.Incarnation {
		c.crashed(u.Name, u.Incarnation-1)
	}
	c.revision++
	c.registry[u.Name] = &wire.Registration{Upstream: u, Revision: c.revision}
	c.note(change{revision: c.revision, upstream: u.Name})
	return &wire.AnnounceReply{Revision: c.revision}
}

func (c *Config) stale(text string) *wire.AnnounceReply {
	return &wire.AnnounceReply{Fault: fault(wire.Code_CODE_CONFLICT, text), Revision: c.revision}
}

// leave ends a registration. The end is remembered, so that an announcement that
// is delivered later does not bring the incarnation back.
func (c *Config) leave(r *wire.LeaveRequest) *wire.LeaveReply {
	if r.Name == "" {
		return &wire.LeaveReply{Fault: fault(wire.Code_CODE_INVALID, "upstream has no name")}
	}
	old := c.registry[r.Name]
	if r.Expired && (old == nil || old.Upstream.Left || old.Upstream.Incarnation != r.Incarnation || old.Upstream.Sequence > r.Sequence) {
		return &wire.LeaveReply{Revision: c.revision}
	}
	if old != nil && (old.Upstream.Incarnation > r.Incarnation || old.Upstream.Incarnation == r.Incarnation && old.Final) {
		return &wire.LeaveReply{Revision: old.Revision}
	}
	gone := old != nil && old.Upstream.Left
	sequence := r.Sequence
	if old != nil && old.Upstream.Incarnation == r.Incarnation {
		sequence = max(sequence, old.Upstream.Sequence)
	}
	u := &wire.Upstream{Name: r.Name, Incarnation: r.Incarnation, Sequence: sequence, Left: true}
	if old == nil || gone {
		// Entries do not hold this upstream; nothing changes for them.
		revision := old.GetRevision()
		c.registry[r.Name] = &wire.Registration{Upstream: u, Revision: revision, Final: !r.Expired}
		return &wire.LeaveReply{Revision: c.revision}
	}
	if r.Expired {
		c.crashed(r.Name, r.Incarnation)
	}
	c.revision++
	c.registry[r.Name] = &wire.Registration{Upstream: u, Revision: c.revision, Final: !r.Expired}
	c.note(change{revision: c.revision, upstream: r.Name})
	return &wire.LeaveReply{Revision: c.revision}
}

// registered returns the part of an announcement that is kept in the log state.
func registered(u *wire.Upstream) *wire.Upstream {
	u = proto.CloneOf(u)
	u.Load = nil
	u.Left = false
	return u
}

// same tells whether two announcements of a live upstream differ in the sequence only.
func same(a, b *wire.Upstream) bool {
	return !a.Left && a.Incarnation == b.Incarnation && a.Address == b.Address && a.Service == b.Service &&
		a.Model == b.Model && a.Version == b.Version && a.Zone == b.Zone && a.Fencing == b.Fencing &&
		a.Lease == b.Lease && slices.Equal(a.Features, b.Features)
}

// IsRenewal tells whether the announcement would change nothing but the sequence.
func (c *Config) IsRenewal(u *wire.Upstream) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	old := c.registry[u.GetName()]
	return old != nil && same(old.Upstream, registered(u))
}
