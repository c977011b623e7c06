package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	// defaultLease ends the registration of an upstream that named no lease.
	defaultLease = 5 * time.Second
	// leastLease keeps a lease above the time that an entry needs to pass on a
	// heartbeat, which is up to one long poll.
	leastLease = time.Second
	// leaveWait bounds the wait until a leave is in force: a long poll and some more.
	leaveWait = 700 * time.Millisecond
)

// Announce registers an upstream. One that is registered already is only noted as heard.
func (s *Service) Announce(ctx context.Context, r *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	if _, ok := s.nodes[0].HoldsLease(); ok && s.config.IsRenewal(r.Upstream) {
		s.table.listen(r.Upstream)
		return &wire.AnnounceReply{Revision: s.config.Revision()}, nil
	}
	reply := &wire.AnnounceReply{}
	c := &wire.Command{Body: &wire.Command_Announce{Announce: r}}
	if f := s.propose(ctx, 0, c, reply); f != nil {
		return &wire.AnnounceReply{Fault: f}, nil
	}
	if reply.Fault == nil {
		s.table.listen(r.Upstream)
	}
	return reply, nil
}

// Leave ends a registration. Only the leader itself may call it expired. It waits until
// the entries know, since one that does not would still accept a late announcement.
func (s *Service) Leave(ctx context.Context, r *wire.LeaveRequest) (*wire.LeaveReply, error) {
	r.Expired = false
	reply := s.leave(ctx, r)
	if reply.Fault == nil {
		s.awaitInforce(ctx, reply.Revision, leaveWait)
	}
	return reply, nil
}

func (s *Service) leave(ctx context.Context, r *wire.LeaveRequest) *wire.LeaveReply {
	reply := &wire.LeaveReply{}
	c := &wire.Command{Body: &wire.Command_Leave{Leave: r}}
	if f := s.propose(ctx, 0, c, reply); f != nil {
		return &wire.LeaveReply{Fault: f}
	}
	return reply
}

// expireUpstreams ends the registrations of upstreams that no entry heard within their lease.
func (s *Service) expireUpstreams(ctx context.Context) {
	for _, u := range s.table.silent(s.config.Upstreams()) {
		call, cancel := timer.WithTimeout(ctx, s.timer, callLimit)
		reply := s.leave(call, &wire.LeaveRequest{Name: u.Name, Incarnation: u.Incarnation, Sequence: u.Sequence, Expired: true})
		cancel()
		if reply.Fault != nil {
			s.log.Debug("registration of a silent upstream not ended", zap.String("upstream", u.Name), zap.String("cause", reply.Fault.Text))
			return
		}
		s.log.Info("registration of a silent upstream ended", zap.String("upstream", u.Name), zap.Uint64("incarnation", u.Incarnation))
	}
}

// silent lists the upstreams unheard for their lease. While no entry renews
// nobody could have heard them, so that none counts as silent.
func (t *table) silent(registered []*wire.Upstream) []*wire.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	listening := t.settled(now) && len(t.entries) > 0
	known := map[string]bool{}
	var out []*wire.Upstream
	for _, u := range registered {
		known[u.Name] = true
		h := t.heard[u.Name]
		if h == nil || h.incarnation != u.Incarnation || !listening {
			// The lease of an upstream begins when this leader first sees it.
			t.heard[u.Name] = &heard{incarnation: u.Incarnation, at: now, load: h.reported(u.Incarnation)}
			continue
		}
		if now.Sub(h.at) > silence(u) {
			out = append(out, u)
		}
	}
	for n, h := range t.heard {
		if !known[n] && now.Sub(h.at) > defaultLease {
			delete(t.heard, n)
		}
	}
	return out
}

func (h *heard) reported(incarnation uint64) *wire.Load {
	if h == nil || h.incarnation != incarnation {
		return nil
	}
	return h.load
}

func silence(u *wire.Upstream) time.Duration {
	if u.Lease == 0 {
		return defaultLease
	}
	return max(time.Duration(u.Lease)*time.Millisecond, leastLease)
}
