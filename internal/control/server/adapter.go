package server

import (
	"context"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// adapter gives a replica node the shape of Replica.
type adapter struct{ *replica.Node }

var _ Replica = adapter{}

// Leader returns the address of the leader last heard of.
func (a adapter) Leader() (address string, term uint64, known bool) {
	m, t, known := a.Node.Leader()
	return string(m.Address), uint64(t), known
}

// HoldsLease tells whether the node leads with an unexpired leader lease.
func (a adapter) HoldsLease() (term uint64, ok bool) {
	t, ok := a.Node.HoldsLease()
	return uint64(t), ok
}

// Status returns what the node knows. The progress of others is not known here.
func (a adapter) Status() *wire.GroupStatus {
	s := a.Node.Status()
	out := &wire.GroupStatus{
		Group: uint32(s.Group), Term: uint64(s.Term), Leader: string(s.Leader.Address),
		Commit: uint64(s.CommitIndex), Applied: uint64(s.AppliedIndex), First: uint64(s.FirstIndex),
	}
	for _, m := range s.Members {
		r := &wire.Replicator{
			Identity: string(m.Identity), Address: string(m.Address), Voter: m.Voter,
			Leader: m.Identity == s.Leader.Identity,
		}
		if m.Identity == s.Self.Identity {
			r.Match = uint64(s.LastIndex)
		}
		out.Replicas = append(out.Replicas, r)
	}
	return out
}

// AddLearner adds a member without a vote.
func (a adapter) AddLearner(ctx context.Context, identity, address string) error {
	return a.Node.AddLearner(ctx, replica.Member{Identity: replica.Identity(identity), Address: replica.Address(address)})
}

// PromoteLearner gives a member that has caught up a vote.
func (a adapter) PromoteLearner(ctx context.Context, identity string) error {
	return a.Node.PromoteLearner(ctx, replica.Identity(identity))
}

// RemoveMember removes a member.
func (a adapter) RemoveMember(ctx context.Context, identity string) error {
	return a.Node.RemoveMember(ctx, replica.Identity(identity))
}
