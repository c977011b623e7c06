package server

import (
	"context"
	"time"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Suspect applies one move to the suspicions of requests. A report of a crash returns once
// all entries know of it, so that a retry through any entry finds the suspicion. If a trial
// has to wait for an earlier one whose entry process no longer holds a lease, the earlier
// one is ended first, since nobody else would end it.
func (s *Service) Suspect(ctx context.Context, r *wire.SuspectRequest) (*wire.SuspectReply, error) {
	reply := s.proposeSuspect(ctx, r)
	if t := reply.Trial; t != nil && r.Move == wire.Move_MOVE_TRIAL && reply.Fault == nil &&
		reply.Standings[0] == wire.Standing_STANDING_WAIT && s.soft.leaseEnded(t.Owner, t.Epoch) {
		end := &wire.SuspectRequest{Move: wire.Move_MOVE_END, Suspects: r.Suspects, Owner: t.Owner, Epoch: t.Epoch, Nonce: t.Nonce}
		if f := s.proposeSuspect(ctx, end).Fault; f != nil {
			return &wire.SuspectReply{Fault: f}, nil
		}
		reply = s.proposeSuspect(ctx, r)
	}
	if reply.Fault == nil && r.Wait > 0 {
		s.awaitInForce(ctx, reply.Revision, min(time.Duration(r.Wait)*time.Millisecond, maxWait))
	}
	return reply, nil
}

// proposeSuspect commits the move in group 0.
func (s *Service) proposeSuspect(ctx context.Context, r *wire.SuspectRequest) *wire.SuspectReply {
	reply := &wire.SuspectReply{}
	if len(r.Suspects) == 0 {
		return &wire.SuspectReply{Fault: &wire.Fault{Code: wire.Code_CODE_INVALID, Text: "no request is named"}}
	}
	c := &wire.Command{Body: &wire.Command_Suspect{Suspect: r}}
	if f := s.propose(ctx, 0, c, reply); f != nil {
		return &wire.SuspectReply{Fault: f}
	}
	return reply
}

// leaseEnded reports whether the process of an entry no longer holds a lease. It returns
// false as long as leases granted by a former leader may still be valid.
func (s *softState) leaseEnded(name string, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	if !s.formerLeasesExpired(now) {
		return false
	}
	e := s.entries[process{name: name, epoch: epoch}]
	return e == nil || e.latestExpiry() < int64(now)
}
