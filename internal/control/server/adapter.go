package server

import (
	"context"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// nodeAdapter implements Replica with a replica node.
type nodeAdapter struct{ *replica.Node }

var _ Replica = nodeAdapter{}

// Leader returns the address of the last known leader.
func (a nodeAdapter) Leader() (address string, term uint64, known bool) {
	m, t, known := a.Node.Leader()
	return string(m.Address), uint64(t), known
}

// HoldsLease reports whether the node leads and its leader lease has not expired.
func (a nodeAdapter) HoldsLease() (term uint64, ok bool) {
	t, ok := a.Node.HoldsLease()
	return uint64(t), ok
}

// Status returns the state of the group as the node sees it. The match index is set for
// the node itself only, since it does not know the progress of the other replicas.
func (a nodeAdapter) Status() *wire.GroupStatus {
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

// AddLearner adds a non-voting member.
func (a nodeAdapter) AddLearner(ctx context.Context, identity, address string) error {
	return a.Node.AddLearner(ctx, replica.Member{Identity: replica.Identity(identity), Address: replica.Address(address)})
}

// PromoteLearner makes a learner that has caught up a voter.
func (a nodeAdapter) PromoteLearner(ctx context.Context, identity string) error {
	return a.Node.PromoteLearner(ctx, replica.Identity(identity))
}

// RemoveMember removes a member from the group.
func (a nodeAdapter) RemoveMember(ctx context.Context, identity string) error {
	return a.Node.RemoveMember(ctx, replica.Identity(identity))
}
