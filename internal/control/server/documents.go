package server

import (
	"context"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Apply changes a document. If the request has a wait, it returns once the change is in
// force at all entries or the wait has ended.
func (s *Service) Apply(ctx context.Context, r *wire.ApplyRequest) (*wire.ApplyReply, error) {
	if reply := s.checkDocument(ctx, r); reply != nil {
		return reply, nil
	}
	reply := &wire.ApplyReply{}
	c := &wire.Command{Body: &wire.Command_Apply{Apply: r}}
	if f := s.propose(ctx, 0, c, reply); f != nil {
		return &wire.ApplyReply{Fault: f}, nil
	}
	if reply.Fault != nil {
		return reply, nil
	}
	committed := s.timer.Now()
	wait := min(time.Duration(r.Wait)*time.Millisecond, maxWait)
	reply.Inforce = s.awaitInForce(ctx, reply.Revision, wait)
	if reply.Inforce {
		reply.Elapsed = uint32(s.timer.Now().Sub(committed).Milliseconds())
	}
	return reply, nil
}

// checkDocument returns the reply to a change whose text is invalid, nil if the change may
// be proposed. A change that was answered before may be proposed too: it gets its former
// reply, even if the validation has become stricter since.
func (s *Service) checkDocument(ctx context.Context, r *wire.ApplyRequest) *wire.ApplyReply {
	if s.validate == nil {
		return nil
	}
	cause := s.validate(r.Service, r.Text)
	if cause == nil {
		return nil
	}
	// A new leader may not have applied all receipts of former leaders before a read barrier.
	if f := s.readBarrier(ctx, 0); f != nil {
		return &wire.ApplyReply{Fault: f}
	}
	if s.config.PriorReply(r) != nil {
		return nil // the state machine returns the former reply
	}
	return &wire.ApplyReply{Fault: &wire.Fault{Code: wire.Code_CODE_INVALID, Text: cause.Error()}}
}

// awaitInForce waits until the revision is in force at all entries. It returns false
// if the wait ends first or this instance loses the leadership.
func (s *Service) awaitInForce(ctx context.Context, revision uint64, wait time.Duration) bool {
	deadline := s.timer.Now().Add(wait)
	for {
		renewed, _ := s.soft.notifications()
		term, ok := s.nodes[0].HoldsLease()
		if !ok {
			return false
		}
		s.soft.beginTerm(term)
		inForce, retryAfter := s.soft.revisionInForce(max(revision, s.config.Revision()))
		if inForce >= revision {
			return true
		}
		remaining := deadline.Sub(s.timer.Now())
		if remaining <= 0 {
			return false
		}
		if retryAfter > 0 {
			remaining = min(remaining, retryAfter)
		}
		timeout, cancel := timer.WithTimeout(ctx, s.timer, remaining)
		select {
		case <-renewed:
		case <-timeout.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return false
		}
	}
}

// Show returns the current documents.
func (s *Service) Show(ctx context.Context, r *wire.ShowRequest) (*wire.ShowReply, error) {
	if f := s.readBarrier(ctx, 0); f != nil {
		return &wire.ShowReply{Fault: f}, nil
	}
	return s.config.Show(r), nil
}

// History returns earlier revisions of a document.
func (s *Service) History(ctx context.Context, r *wire.HistoryRequest) (*wire.HistoryReply, error) {
	if f := s.readBarrier(ctx, 0); f != nil {
		return &wire.HistoryReply{Fault: f}, nil
	}
	return s.config.History(r), nil
}

// Status returns the state of the groups. If no majority can be reached, the reply holds a
// fault together with the local state of this instance.
func (s *Service) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusReply, error) {
	f := s.readBarrier(ctx, 0)
	if f.GetCode() == wire.Code_CODE_REDIRECT {
		return &wire.StatusReply{Fault: f}, nil
	}
	reply := &wire.StatusReply{Fault: f, Revision: s.config.Revision(), Upstreams: s.config.Upstreams(), Suspicions: s.config.Suspicions()}
	if f == nil {
		reply.Inforce, _ = s.soft.revisionInForce(reply.Revision)
		reply.Leases = s.soft.validLeases(s.config)
	}
	for _, n := range s.nodes {
		reply.Groups = append(reply.Groups, n.Status())
	}
	return reply, nil
}

// Drain tells an entry to finish its running requests and accept no new ones.
func (s *Service) Drain(ctx context.Context, r *wire.DrainRequest) (*wire.DrainReply, error) {
	reply := &wire.DrainReply{}
	c := &wire.Command{Body: &wire.Command_Drain{Drain: r}}
	if f := s.propose(ctx, 0, c, reply); f != nil {
		return &wire.DrainReply{Fault: f}, nil
	}
	return reply, nil
}
