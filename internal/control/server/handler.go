package server

import (
	"context"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// controlHandler implements all calls of the Control service.
type controlHandler struct {
	*Service
	server *Server
}

var _ wire.DRPCControlServer = (*controlHandler)(nil)

// Identify returns the identity of this instance and whether it belongs to a control group.
func (c *controlHandler) Identify(context.Context, *wire.IdentifyRequest) (*wire.IdentifyReply, error) {
	s := c.server
	reply := &wire.IdentifyReply{Identity: s.identity, Instance: s.options.Instance, Groups: s.options.DataGroups}
	if r := s.membershipStore.get(); r != nil {
		reply.Formed, reply.Members = true, r.Members
	}
	return reply, nil
}

// Join adds a replica to the groups that this instance leads.
func (c *controlHandler) Join(ctx context.Context, r *wire.JoinRequest) (*wire.JoinReply, error) {
	if c.server.membershipStore.get() == nil {
		return &wire.JoinReply{Fault: &wire.Fault{Code: wire.Code_CODE_UNAVAILABLE, Text: "not formed"}}, nil
	}
	return c.server.membership.join(ctx, r), nil
}

// newBootstrapper returns the bootstrapper that makes this instance a member of the control group.
func (s *Server) newBootstrapper() *bootstrapper {
	o := s.options
	p := &peerClient{timer: o.Timer, token: o.PeerToken, dial: o.Dial}
	return &bootstrapper{
		timer: o.Timer, random: o.Random, log: o.Log, identity: s.identity, address: o.Address,
		addresses: o.ControlAddresses, dataGroups: o.DataGroups, identify: p.identify, join: p.join,
		bootstrap: s.bootstrapGroup, appliedIndexes: s.appliedIndexes, recordJoined: s.recordJoined,
	}
}

// bootstrapGroup stores the first members and bootstraps all groups with them. The members
// are stored first, so that a restart after a crash in between uses the same ones.
func (s *Server) bootstrapGroup(members []*wire.Founder) error {
	if err := s.membershipStore.set(&membershipRecord{Groups: s.options.DataGroups, Members: members}); err != nil {
		return err
	}
	return s.bootstrapNodes(members)
}

// bootstrapNodes bootstraps the groups whose logs are empty. An instance that joined later
// stores no first members; its logs are replicated from the leaders.
func (s *Server) bootstrapNodes(members []*wire.Founder) error {
	if len(members) == 0 {
		return nil
	}
	var out []replica.Member
	for _, m := range members {
		out = append(out, replica.Member{Identity: replica.Identity(m.Identity), Address: replica.Address(m.Address), Voter: true})
	}
	for _, n := range s.nodes {
		if n.Status().LastIndex > 0 {
			continue
		}
		// The leader may have replicated the first log entries in the meantime.
		if err := n.Bootstrap(out); err != nil && !errors.Is(err, replica.ErrAlreadyBootstrapped) {
			return err
		}
	}
	return nil
}

// recordJoined stores that this instance joined an existing control group.
func (s *Server) recordJoined() error {
	return s.membershipStore.set(&membershipRecord{Groups: s.options.DataGroups})
}

// appliedIndexes returns the last applied index of each group.
func (s *Server) appliedIndexes() []uint64 {
	out := make([]uint64, 0, len(s.nodes))
	for _, n := range s.nodes {
		out = append(out, uint64(n.Status().AppliedIndex))
	}
	return out
}
