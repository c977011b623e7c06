package server

import (
	"context"
	"time"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Renew renews the configuration lease of an entry. It is a long poll: the reply is held
// back until the configuration or the list of entries changes, or the wait ends.
func (s *Service) Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewReply, error) {
	received := s.timer.Now()
	if r.Instance.GetName() == "" {
		return &wire.RenewReply{Fault: &wire.Fault{Code: wire.Code_CODE_INVALID, Text: "instance has no name"}}, nil
	}
	term, f := s.confirmLeadership(ctx)
	if f == nil && r.Applied == 0 {
		// An entry starts only with a state that a majority confirmed during this call.
		f = s.readBarrier(ctx, 0)
	}
	if f != nil {
		return &wire.RenewReply{Fault: f}, nil
	}
	g := s.soft.beginRenewal(term, r, received)
	if g == nil {
		return &wire.RenewReply{Fault: s.redirect(0)}, nil
	}
	s.waitForChange(ctx, r)
	// The grant is recorded before leadership is checked, so that a change committed
	// from here on waits for this entry.
	if current, ok := s.nodes[0].HoldsLease(); !ok || current != term {
		return &wire.RenewReply{Fault: s.redirect(0)}, nil
	}
	d := s.config.DeltaSince(r.Applied)
	s.soft.endRenewal(g, d.Revision)
	reply := &wire.RenewReply{
		Lease: uint32(LeaseDuration.Milliseconds()), Revision: d.Revision, Full: d.Full,
		Documents: d.Documents, Upstreams: d.Upstreams, Suspicions: d.Suspicions, Term: term,
	}
	s.soft.addTo(reply, r.Soft, s.config)
	return reply, nil
}

// waitForChange returns once the configuration or the list of entries differs from what
// the entry holds, or the wait ends.
func (s *Service) waitForChange(ctx context.Context, r *wire.RenewRequest) {
	wait := min(time.Duration(r.Wait)*time.Millisecond, MaxPollWait)
	if wait <= 0 {
		return
	}
	timedOut := make(chan struct{})
	stop := s.timer.AfterFunc(wait, func() { close(timedOut) })
	defer stop()
	for {
		changed := s.config.Changed()
		_, entriesChanged := s.soft.notifications()
		if s.config.Revision() != r.Applied || s.soft.lacksEntries(r.Soft, s.config.DrainChanges()) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timedOut:
			return
		case <-changed:
		case <-entriesChanged:
		}
	}
}
