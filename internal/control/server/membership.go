package server

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// maxPromotionLag is how many log entries a joining replica may be behind when its former
// identity is removed. Under load its applied index is never exactly the commit index.
const maxPromotionLag = 256

// Replica is a Node that can change the members of its group. Each change returns once
// it is committed.
type Replica interface {
	Node
	AddLearner(ctx context.Context, identity, address string) error
	// PromoteLearner also returns nil for a voter, once its log is known to hold the promotion.
	PromoteLearner(ctx context.Context, identity string) error
	RemoveMember(ctx context.Context, identity string) error
}

// membership answers join requests: it adds an instance that lost its disk to the groups
// again, under its new identity.
type membership struct {
	timer     timer.Service
	log       *zap.Logger
	addresses []string  // peer addresses of all control instances
	nodes     []Replica // by group
}

// join makes the next membership change for a joining replica in each group that this
// instance leads. The joining replica calls again until it is a voter of all groups.
func (m *membership) join(ctx context.Context, r *wire.JoinRequest) *wire.JoinReply {
	reply := &wire.JoinReply{Groups: uint32(len(m.nodes) - 1)}
	if r.Identity == "" || !slices.Contains(m.addresses, r.Address) {
		reply.Fault = &wire.Fault{Code: wire.Code_CODE_INVALID, Text: "not one of the control addresses: " + r.Address}
		return reply
	}
	ctx, cancel := timer.WithTimeout(ctx, m.timer, quorumTimeout)
	defer cancel()
	for g, n := range m.nodes {
		if _, ok := n.HoldsLease(); !ok {
			continue
		}
		voting, err := m.step(ctx, g, r)
		if err != nil {
			m.log.Warn("membership change failed", zap.Int("group", g), zap.String("address", r.Address), zap.Error(err))
			reply.Fault = &wire.Fault{Code: wire.Code_CODE_UNAVAILABLE, Text: err.Error()}
			continue
		}
		if voting {
			reply.Voting = append(reply.Voting, uint32(g))
		}
	}
	reply.Done = len(reply.Voting) == len(m.nodes)
	return reply
}

// step makes at most one change in one group. It adds the replica as a learner, then
// removes the former identity at the same address, then promotes the learner. It returns
// true once the replica is a voter and its log holds everything up to its promotion.
func (m *membership) step(ctx context.Context, group int, r *wire.JoinRequest) (voting bool, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "join of %s", r.Address)
		}
	}()
	n := m.nodes[group]
	status := n.Status()
	var joining, former *wire.Replicator
	for _, p := range status.GetReplicas() {
		switch {
		case p.Identity == r.Identity:
			joining = p
		case p.Address == r.Address:
			former = p
		}
	}
	switch {
	case joining == nil:
		return false, n.AddLearner(ctx, r.Identity, r.Address)
	case group >= len(r.Applied) || r.Applied[group]+maxPromotionLag < status.Commit:
		return false, nil
	case former != nil:
		return false, n.RemoveMember(ctx, former.Identity)
	}
	err = n.PromoteLearner(ctx, r.Identity)
	return err == nil, err
}
