package server

import (
	"context"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Apply changes a document and, if asked to, waits for the change to be in force.
func (s *Service) Apply(ctx context.Context, r *wire.ApplyRequest) (*wire.ApplyReply, error) {
	if reply := s.refuse(ctx, r); reply != nil {
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
	wait := min(time.Duration(r.Wait)*time.Millisecond, waitLimit)
	reply.Inforce = s.awaitInforce(ctx, reply.Revision, wait)
	if reply.Inforce {
		reply.Elapsed = uint32(s.timer.Now().Sub(committed).Milliseconds())
	}
	return reply, nil
}

// refuse returns the answer to a change whose text is not valid, nil to any other. A
// change that was answered before gets that answer, also if the rules for documents have
// become stricter since.
func (s *Service) refuse(ctx context.Context, r *wire.ApplyRequest) *wire.ApplyReply {
	if s.validate == nil {
		return nil
	}
	cause := s.validate(r.Service, r.Text)
	if cause == nil {
		return nil
	}
	// A new leader has all receipts of former ones only after a confirmed read.
	if f := s.read(ctx, 0); f != nil {
		return &wire.ApplyReply{Fault: f}
	}
	if s.config.PriorReply(r) != nil {
		return nil // the state machine repeats the answer
	}
	return &wire.ApplyReply{Fault: &wire.Fault{Code: wire.Code_CODE_INVALID, Text: cause.Error()}}
}

// awaitInforce waits until the revision is in force everywhere. It returns false
// if the wait ends first or this instance stops leading.
func (s *Service) awaitInforce(ctx context.Context, revision uint64, wait time.Duration) bool {
	deadline := s.timer.Now().Add(wait)
	for {
		renewed, _ := s.table.watch()
		term, ok := s.nodes[0].HoldsLease()
		if !ok {
			return false
		}
		s.table.lead(term)
		reached, again := s.table.inforce(max(revision, s.config.Revision()))
		if reached >= revision {
			return true
		}
		left := deadline.Sub(s.timer.Now())
		if left <= 0 {
			return false
		}
		if again > 0 {
			left = min(left, again)
		}
		pause, cancel := timer.WithTimeout(ctx, s.timer, left)
		select {
		case <-renewed:
		case <-pause.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return false
		}
	}
}

// Show returns documents.
func (s *Service) Show(ctx context.Context, r *wire.ShowRequest) (*wire.ShowReply, error) {
	if f := s.read(ctx, 0); f != nil {
		return &wire.ShowReply{Fault: f}, nil
	}
	return s.config.Show(r), nil
}

// History returns the former revisions of a document.
func (s *Service) History(ctx context.Context, r *wire.HistoryRequest) (*wire.HistoryReply, error) {
	if f := s.read(ctx, 0); f != nil {
		return &wire.HistoryReply{Fault: f}, nil
	}
	return s.config.History(r), nil
}

// Status returns the state of the groups. Without a majority it carries a fault
// and what this instance knows by itself.
func (s *Service) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusReply, error) {
	f := s.read(ctx, 0)
	if f.GetCode() == wire.Code_CODE_REDIRECT {
		return &wire.StatusReply{Fault: f}, nil
	}
	reply := &wire.StatusReply{Fault: f, Revision: s.config.Revision(), Upstreams: s.config.Upstreams(), Suspicions: s.config.Suspicions()}
	if f == nil {
		reply.Inforce, _ = s.table.inforce(reply.Revision)
		reply.Leases = s.table.leases(s.config)
	}
	for _, n := range s.nodes {
		reply.Groups = append(reply.Groups, n.Status())
	}
	return reply, nil
}

// Drain tells an entry to finish its work and take no more.
func (s *Service) Drain(ctx context.Context, r *wire.DrainRequest) (*wire.DrainReply, error) {
	reply := &wire.DrainReply{}
	c := &wire.Command{Body: &wire.Command_Drain{Drain: r}}
	if f := s.propose(ctx, 0, c, reply); f != nil {
		return &wire.DrainReply{Fault: f}, nil
	}
	return reply, nil
}
