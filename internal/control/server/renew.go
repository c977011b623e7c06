package server

import (
	"context"
	"time"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Renew renews the lease of an entry. The answer is held back until the
// configuration or the list of entries changes, or the wait is over.
func (s *Service) Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewReply, error) {
	received := s.timer.Now()
	if r.Instance.GetName() == "" {
		return &wire.RenewReply{Fault: &wire.Fault{Code: wire.Code_CODE_INVALID, Text: "instance has no name"}}, nil
	}
	term, f := s.lead(ctx)
	if f == nil && r.Applied == 0 {
		// An entry starts only on a state that a majority confirmed during this call.
		f = s.read(ctx, 0)
	}
	if f != nil {
		return &wire.RenewReply{Fault: f}, nil
	}
	g := s.table.begin(term, r, received)
	if g == nil {
		return &wire.RenewReply{Fault: s.redirect(0)}, nil
	}
	s.park(ctx, r)
	// The grant is on the books while leadership is checked, so that a change
	// committed from here on waits for this entry.
	if now, ok := s.nodes[0].HoldsLease(); !ok || now != term {
		return &wire.RenewReply{Fault: s.redirect(0)}, nil
	}
	d := s.config.DeltaSince(r.Applied)
	s.table.end(g, d.Revision)
	reply := &wire.RenewReply{
		Lease: uint32(LeaseDuration.Milliseconds()), Revision: d.Revision, Full: d.Full,
		Documents: d.Documents, Upstreams: d.Upstreams, Suspicions: d.Suspicions, Term: term,
	}
	s.table.fill(reply, r.Soft, s.config)
	return reply, nil
}

// park waits until there is something to tell the entry.
func (s *Service) park(ctx context.Context, r *wire.RenewRequest) {
	wait := min(time.Duration(r.Wait)*time.Millisecond, MaxPollWait)
	if wait <= 0 {
		return
	}
	over := make(chan struct{})
	stop := s.timer.AfterFunc(wait, func() { close(over) })
	defer stop()
	for {
		changed := s.config.Changed()
		_, shaped := s.table.watch()
		if s.config.Revision() != r.Applied || s.table.outdated(r.Soft, s.config.DrainChanges()) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-over:
			return
		case <-changed:
		case <-shaped:
		}
	}
}
