package coordinator

import (
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/registry"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// settleDelay is how long after a suspicion a heartbeat ends it. Earlier ones may have been made before it:
	// instances report heartbeats twice a second, and a call takes time.
	settleDelay = time.Second
	// coldLag is how much longer than the leader an instance may take an upstream for cold, which it has
	// heard of later.
	coldLag = 500 * time.Millisecond
)

// recordCold stores until when an upstream is cold by its announcement, and reports whether other instances
// have to hear of it although the upstream was cold before.
func (u *upstream) recordCold(record *wire.Upstream, now timer.Instant) (prolonged bool) {
	end := registry.ColdEnd(record, now)
	if record.GetCold() == 0 {
		u.coldEnd = min(u.coldEnd, end)
		return false
	}
	prolonged = end.Sub(u.coldEnd) >= registry.MinProlongation
	u.coldEnd = end
	return prolonged
}

// recordSuspicion stores when a suspicion was heard first, and logs it and its end. c.mu must be held.
func (c *Coordinator) recordSuspicion(known *upstream, u, old *wire.Upstream, now timer.Instant) {
	suspected, before := registry.Suspected(u), registry.Suspected(old)
	if suspected && !before {
		known.suspectedAt = now
	}
	if suspected != before {
		c.options.Log.Info("suspicion of an unheard restart", zap.String("upstream", u.GetId()), zap.Int64("born", u.GetBorn()), zap.Bool("settled", !suspected))
	}
}

// isCold reports whether permits for an upstream count against its limit while it is cold. c.mu must be held.
func (c *Coordinator) isCold(u *wire.Upstream, now timer.Instant) bool {
	known := c.upstreams[u.GetId()]
	return known != nil && now.Before(known.coldEnd.Add(coldLag)) || registry.Suspected(u) || u.GetStage() == wire.Stage_STAGE_SILENT
}

// lendCold lends permits for a cold upstream, no more than its own limit allows if it states one. For another
// upstream it returns what it was called with. c.mu must be held.
func (c *Coordinator) lendCold(w *wire.Want, allowed int, limited bool, wait time.Duration, now timer.Instant) (lent int, next time.Duration, cold bool) {
	u := c.records[w.GetId()]
	if c.options.ColdBudget == nil || u == nil || u.GetBorn() != w.GetBorn() || u.GetStage() == wire.Stage_STAGE_LEFT || !c.isCold(u, now) {
		return allowed, wait, false
	}
	budget, bounded := c.options.ColdBudget(layout.Service(u.GetService()))
	if !bounded {
		return allowed, wait, false
	}
	if !limited {
		allowed = int(w.GetCount())
	}
	lent, next = c.lender.LendCold(w.GetId(), w.GetBorn(), allowed, budget, now)
	return lent, max(next, wait), true
}
