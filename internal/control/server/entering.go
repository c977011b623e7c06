package server

import (
	"context"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// calls is the whole Control service of an instance.
type calls struct {
	*Service
	server *Server
}

var _ wire.DRPCControlServer = (*calls)(nil)

// Identify tells who this instance is and how it stands to the control group.
func (c *calls) Identify(context.Context, *wire.IdentifyRequest) (*wire.IdentifyReply, error) {
	s := c.server
	reply := &wire.IdentifyReply{Identity: s.identity, Instance: s.options.Instance, Groups: s.options.Groups}
	if r := s.memberState.get(); r != nil {
		reply.Formed, reply.Members = true, r.Members
	}
	return reply, nil
}

// Join takes a replica into the groups that this instance leads.
func (c *calls) Join(ctx context.Context, r *wire.JoinRequest) (*wire.JoinReply, error) {
	if c.server.memberState.get() == nil {
		return &wire.JoinReply{Fault: &wire.Fault{Code: wire.Code_CODE_UNAVAILABLE, Text: "not formed"}}, nil
	}
	return c.server.membership.join(ctx, r), nil
}

// formation returns what brings this instance into the control group.
func (s *Server) formation() *formation {
	o := s.options
	p := &peers{timer: o.Timer, token: o.PeerToken, dial: o.Dial}
	return &formation{
		timer: o.Timer, random: o.Random, log: o.Log, identity: s.identity, address: o.Address,
		addresses: o.ControlAddresses, groups: o.Groups, identify: p.identify, join: p.join,
		establish: s.establish, applied: s.applied, joined: s.joined,
	}
}

// establish records the first members and bootstraps all groups with them. The record
// comes first: after a crash in between the same members are used again.
func (s *Server) establish(members []*wire.Founder) error {
	if err := s.memberState.set(&record{Groups: s.options.Groups, Members: members}); err != nil {
		return err
	}
	return s.bootstrap(members)
}

// bootstrap forms the groups that hold nothing yet. An instance that joined later
// has no first members and gets everything from the leaders.
func (s *Server) bootstrap(members []*wire.Founder) error {
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
		// A leader may have sent the first entries since.
		if err := n.Bootstrap(out); err != nil && !errors.Is(err, replica.ErrAlreadyBootstrapped) {
			return err
		}
	}
	return nil
}

func (s *Server) joined() error {
	return s.memberState.set(&record{Groups: s.options.Groups})
}

// applied returns how far each group of this instance is.
func (s *Server) applied() []uint64 {
	out := make([]uint64, 0, len(s.nodes))
	for _, n := range s.nodes {
		out = append(out, uint64(n.Status().AppliedIndex))
	}
	return out
}
