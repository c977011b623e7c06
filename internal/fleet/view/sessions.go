package view

import (
	"slices"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/gateway/session"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Sessions knows the sessions that sent requests to this instance.
type Sessions interface {
	// Active returns the active sessions of a service whose hash modulo 1000 is below bucket.
	Active(s layout.Service, bucket uint32) []uint64
	// Displaced returns the sessions whose last version serves no more.
	Displaced(s layout.Service, serves func(version string) bool) []session.Displaced
	// Remaining returns how long a session is displaced; 0 if it is not.
	Remaining(s layout.Service, id uint64, serves func(version string) bool) time.Duration
}

// Rollout is a roll-out with the sessions that it must not move.
type Rollout struct {
	*wire.Rollout
	// HeldSessions stay on the former version.
	HeldSessions map[uint64]bool
	// displaced says until when sessions go on whose last version serves no more.
	displaced map[uint64]timer.Instant
}

// newRollout returns the roll-out of a message.
func (v *View) newRollout(r *wire.Rollout) *Rollout {
	out, now := &Rollout{Rollout: r, HeldSessions: map[uint64]bool{}, displaced: map[uint64]timer.Instant{}}, v.options.Timer.Now()
	for _, id := range r.GetHeld() {
		out.HeldSessions[id] = true
	}
	for _, d := range r.GetDisplaced() {
		out.displaced[d.GetSession()] = now.Add(time.Duration(d.GetRemaining()) * time.Millisecond)
	}
	return out
}

// HoldSessions queues sessions that must stay on the former version during a roll-out.
func (v *View) HoldSessions(s layout.Service, sessions ...uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.holdSessions(&wire.Holding{Service: string(s), Sessions: sessions})
}

// holdSessions queues sessions that a roll-out must not move. v.mu must be held.
func (v *View) holdSessions(h *wire.Holding) {
	if len(h.GetSessions())+len(h.GetDisplaced()) == 0 {
		return
	}
	v.pending.holdings = append(v.pending.holdings, h)
	v.signalUrgent()
}

// reportSessions queues the recently active sessions of a service when a roll-out begins, and those
// whose last version serves no more. v.mu must be held.
func (v *View) reportSessions(r *wire.Rollout) {
	s := layout.Service(r.GetService())
	h := &wire.Holding{Service: r.GetService(), Sessions: v.options.Sessions.Active(s, r.GetBucket())}
	for _, d := range v.options.Sessions.Displaced(s, v.serves(r)) {
		h.Displaced = append(h.Displaced, &wire.DisplacedSession{Session: d.Session, Remaining: uint32(d.Remaining.Milliseconds())})
	}
	v.holdSessions(h)
}

// RecordSessionEnd queues the report of a session whose request has just ended on a version that
// serves no more, if a roll-out runs: its next request may go to another instance.
func (v *View) RecordSessionEnd(s layout.Service, id uint64) {
	d := v.DisplacedFor(s, id)
	if d <= 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.holdSessions(&wire.Holding{Service: string(s), Displaced: []*wire.DisplacedSession{{Session: id, Remaining: uint32(d.Milliseconds())}}})
}

// serves returns a predicate for the versions that upstreams serve during a roll-out.
func (v *View) serves(r *wire.Rollout) func(version string) bool {
	list := v.Table().Services[layout.Service(r.GetService())]
	return func(version string) bool {
		return !slices.Contains(r.GetRejected(), version) && slices.ContainsFunc(list, func(u *wire.Upstream) bool { return u.GetVersion() == version })
	}
}

// DisplacedFor returns how long a session goes on whose last version serves no more during a
// roll-out, so that each version would move it; 0 if that is not so.
func (v *View) DisplacedFor(s layout.Service, id uint64) time.Duration {
	r := v.Rollout(s)
	if r == nil || r.GetPhase() != wire.Phase_PHASE_RUNNING || v.options.Sessions == nil {
		return 0
	}
	wait := v.options.Sessions.Remaining(s, id, v.serves(r.Rollout))
	if until, ok := r.displaced[id]; ok {
		wait = max(wait, until.Sub(v.options.Timer.Now()))
	}
	return wait
}
