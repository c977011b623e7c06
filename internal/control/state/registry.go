package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// announce registers an upstream. An announcement that is older than the registered
// incarnation or sequence has no effect.
func (c *Config) announce(u *wire.Upstream) *wire.AnnounceReply {
	if u.GetName() == "" {
		return &wire.AnnounceReply{Fault: fault(wire.Code_CODE_INVALID, "upstream has no name")}
	}
	u = withoutLoad(u)
	old := c.registry[u.Name]
	if old != nil {
		o := old.Upstream
		switch {
		case u.Incarnation < o.Incarnation:
			return c.conflictReply("a later incarnation was registered")
		case u.Incarnation == o.Incarnation && old.Final:
			return c.conflictReply("this incarnation has left")
		case u.Incarnation == o.Incarnation && u.Sequence <= o.Sequence:
			if o.Left {
				return c.conflictReply("this incarnation was silent past its lease; a higher sequence registers it again")
			}
			return &wire.AnnounceReply{Revision: old.Revision}
		case equalExceptSequence(o, u):
			o.Sequence = u.Sequence
			return &wire.AnnounceReply{Revision: old.Revision}
		}
	}
	if old != nil && u.Incarnation > old.Upstream.Incarnation {
		c.confirmCrashes(u.Name, u.Incarnation-1)
	}
	c.revision++
	c.registry[u.Name] = &wire.Registration{Upstream: u, Revision: c.revision}
	c.recordChange(change{revision: c.revision, upstream: u.Name})
	return &wire.AnnounceReply{Revision: c.revision}
}

func (c *Config) conflictReply(text string) *wire.AnnounceReply {
	return &wire.AnnounceReply{Fault: fault(wire.Code_CODE_CONFLICT, text), Revision: c.revision}
}

// leave ends a registration. The registry keeps a record of the end, so that an
// announcement delivered later does not register the incarnation again.
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
	alreadyLeft := old != nil && old.Upstream.Left
	sequence := r.Sequence
	if old != nil && old.Upstream.Incarnation == r.Incarnation {
		sequence = max(sequence, old.Upstream.Sequence)
	}
	u := &wire.Upstream{Name: r.Name, Incarnation: r.Incarnation, Sequence: sequence, Left: true}
	if old == nil || alreadyLeft {
		// Entry instances do not list this upstream, so nothing changes for them.
		revision := old.GetRevision()
		c.registry[r.Name] = &wire.Registration{Upstream: u, Revision: revision, Final: !r.Expired}
		return &wire.LeaveReply{Revision: c.revision}
	}
	if r.Expired {
		c.confirmCrashes(r.Name, r.Incarnation)
	}
	c.revision++
	c.registry[r.Name] = &wire.Registration{Upstream: u, Revision: c.revision, Final: !r.Expired}
	c.recordChange(change{revision: c.revision, upstream: r.Name})
	return &wire.LeaveReply{Revision: c.revision}
}

// withoutLoad returns the part of an announcement that is stored in the registry.
func withoutLoad(u *wire.Upstream) *wire.Upstream {
	u = proto.CloneOf(u)
	u.Load = nil
	u.Left = false
	return u
}

// equalExceptSequence reports whether a is live and b announces the same registration
// with, at most, another sequence.
func equalExceptSequence(a, b *wire.Upstream) bool {
	return !a.Left && a.Incarnation == b.Incarnation && a.Address == b.Address && a.Service == b.Service &&
		a.Model == b.Model && a.Version == b.Version && a.Zone == b.Zone && a.Fencing == b.Fencing &&
		a.Lease == b.Lease && slices.Equal(a.Features, b.Features)
}

// IsRenewal reports whether the announcement would change nothing but the sequence of
// a registered upstream.
func (c *Config) IsRenewal(u *wire.Upstream) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	old := c.registry[u.GetName()]
	return old != nil && equalExceptSequence(old.Upstream, withoutLoad(u))
}
