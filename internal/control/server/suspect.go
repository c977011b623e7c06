package server

import (
	"context"
	"time"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Suspect makes one move of the suspicion of requests. A report of a crash is
// answered once all entries know of it, so that a resend through any of them finds
// the suspicion.
func (s *Service) Suspect(ctx context.Context, r *wire.SuspectRequest) (*wire.SuspectReply, error) {
	reply := s.suspect(ctx, r)
	if t := reply.Trial; t != nil && r.Move == wire.Move_MOVE_TRIAL && reply.Fault == nil &&
		reply.Standings[0] == wire.Standing_STANDING_WAIT && s.table.gone(t.Owner, t.Epoch) {
		end := &wire.SuspectRequest{Move: wire.Move_MOVE_END, Suspects: r.Suspects, Owner: t.Owner, Epoch: t.Epoch, Nonce: t.Nonce}
		if f := s.suspect(ctx, end).Fault; f != nil {
			return &wire.SuspectReply{Fault: f}, nil
		}
		reply = s.suspect(ctx, r)
	}
	if reply.Fault == nil && r.Wait > 0 {
		s.awaitInforce(ctx, reply.Revision, min(time.Duration(r.Wait)*time.Millisecond, waitLimit))
	}
	return reply, nil
}

func (s *Service) suspect(ctx context.Context, r *wire.SuspectRequest) *wire.SuspectReply {
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

// gone tells whether the process of an entry has no lease any more. While the
// leases of a former leader may hold nobody counts as gone.
func (t *table) gone(name string, epoch uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	if !t.settled(now) {
		return false
	}
	e := t.entries[process{name: name, epoch: epoch}]
	return e == nil || e.newest() < int64(now)
}
