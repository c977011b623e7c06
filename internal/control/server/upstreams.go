package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	// defaultUpstreamLease is the lease of an upstream that announced none.
	defaultUpstreamLease = 5 * time.Second
	// minUpstreamLease exceeds the time that an entry needs to relay a heartbeat, which
	// is up to one long poll.
	minUpstreamLease = time.Second
	// maxLeaveWait bounds the wait until a deregistration is in force. It exceeds one long poll.
	maxLeaveWait = 700 * time.Millisecond
)

// Announce registers an upstream. An announcement that only renews a registration is kept
// in the soft state and not committed.
func (s *Service) Announce(ctx context.Context, r *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	if _, ok := s.nodes[0].HoldsLease(); ok && s.config.IsRenewal(r.Upstream) {
		s.soft.recordAnnounced(r.Upstream)
		return &wire.AnnounceReply{Revision: s.config.Revision()}, nil
	}
	reply := &wire.AnnounceReply{}
	c := &wire.Command{Body: &wire.Command_Announce{Announce: r}}
	if f := s.propose(ctx, 0, c, reply); f != nil {
		return &wire.AnnounceReply{Fault: f}, nil
	}
	if reply.Fault == nil {
		s.soft.recordAnnounced(r.Upstream)
	}
	return reply, nil
}

// Leave deregisters an upstream. It waits until the entries know, since an entry that does
// not would still accept a late announcement. Only the leader itself may state that the
// registration expired.
func (s *Service) Leave(ctx context.Context, r *wire.LeaveRequest) (*wire.LeaveReply, error) {
	r.Expired = false
	reply := s.deregister(ctx, r)
	if reply.Fault == nil {
		s.awaitInForce(ctx, reply.Revision, maxLeaveWait)
	}
	return reply, nil
}

// deregister commits the end of a registration.
func (s *Service) deregister(ctx context.Context, r *wire.LeaveRequest) *wire.LeaveReply {
	reply := &wire.LeaveReply{}
	c := &wire.Command{Body: &wire.Command_Leave{Leave: r}}
	if f := s.propose(ctx, 0, c, reply); f != nil {
		return &wire.LeaveReply{Fault: f}
	}
	return reply
}

// expireUpstreams deregisters the upstreams that no entry heard from within their lease.
func (s *Service) expireUpstreams(ctx context.Context) {
	for _, u := range s.soft.silentUpstreams(s.config.Upstreams()) {
		callCtx, cancel := timer.WithTimeout(ctx, s.timer, quorumTimeout)
		reply := s.deregister(callCtx, &wire.LeaveRequest{Name: u.Name, Incarnation: u.Incarnation, Sequence: u.Sequence, Expired: true})
		cancel()
		if reply.Fault != nil {
			s.log.Debug("silent upstream not deregistered", zap.String("upstream", u.Name), zap.String("cause", reply.Fault.Text))
			return
		}
		s.log.Info("silent upstream deregistered", zap.String("upstream", u.Name), zap.Uint64("incarnation", u.Incarnation))
	}
}

// silentUpstreams lists the upstreams that no entry heard from within their lease. While
// no entry holds a lease nobody could have heard from them, so none counts as silent.
func (s *softState) silentUpstreams(registered []*wire.Upstream) []*wire.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	listening := s.formerLeasesExpired(now) && len(s.entries) > 0
	known := map[string]bool{}
	var out []*wire.Upstream
	for _, u := range registered {
		known[u.Name] = true
		h := s.upstreams[u.Name]
		if h == nil || h.incarnation != u.Incarnation || !listening {
			// The lease starts when this leader first sees the upstream.
			s.upstreams[u.Name] = &heardUpstream{incarnation: u.Incarnation, lastHeard: now, load: h.loadOf(u.Incarnation)}
			continue
		}
		if now.Sub(h.lastHeard) > upstreamLease(u) {
			out = append(out, u)
		}
	}
	for n, h := range s.upstreams {
		if !known[n] && now.Sub(h.lastHeard) > defaultUpstreamLease {
			delete(s.upstreams, n)
		}
	}
	return out
}

// loadOf returns the last load of the given incarnation, nil if there is none.
func (h *heardUpstream) loadOf(incarnation uint64) *wire.Load {
	if h == nil || h.incarnation != incarnation {
		return nil
	}
	return h.load
}

// upstreamLease returns how long an upstream may be silent before it is deregistered.
func upstreamLease(u *wire.Upstream) time.Duration {
	if u.Lease == 0 {
		return defaultUpstreamLease
	}
	return max(time.Duration(u.Lease)*time.Millisecond, minUpstreamLease)
}
