package coordinator

import (
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// limit is the last statement on the limit of an upstream.
type limit struct {
	record   *wire.Limit
	revision uint64
}

// recordLimits stores the limits that an instance reports. Those of an earlier incarnation are
// ignored. c.mu must be held.
func (c *Coordinator) recordLimits(limits []*wire.Limit, now timer.Instant) {
	for _, l := range limits {
		old := c.limits[l.GetId()]
		if old != nil && old.record.GetBorn() > l.GetBorn() {
			continue
		}
		if l.GetLifted() {
			c.lender.Lift(l.GetId())
		} else {
			c.lender.Set(l.GetId(), permit.Limit{Born: l.GetBorn(), Rate: permit.Rate(l.GetRate())}, now)
		}
		if old != nil && old.record.GetBorn() == l.GetBorn() && old.record.GetLifted() == l.GetLifted() && old.record.GetRate() == l.GetRate() {
			continue
		}
		c.limits[l.GetId()] = &limit{record: l, revision: c.nextRevision()}
		c.options.Log.Info("limit of an upstream", zap.String("upstream", l.GetId()), zap.Int64("born", l.GetBorn()),
			zap.Float64("rate", l.GetRate()), zap.Bool("lifted", l.GetLifted()))
	}
}

// dropLimits forgets the limits of upstreams that have left. c.mu must be held.
func (c *Coordinator) dropLimits() {
	for id, l := range c.limits {
		if u := c.records[id]; u != nil && (u.GetBorn() > l.record.GetBorn() || u.GetStage() == wire.Stage_STAGE_LEFT) {
			delete(c.limits, id)
			c.lender.Lift(id)
		}
	}
	now := c.options.Timer.Now()
	for id, u := range c.records {
		if !c.isCold(u, now) {
			c.lender.DropCold(id)
		}
	}
}

// Lend lends permits for requests to upstreams with a limit. ok is false if this instance does
// not lead.
func (c *Coordinator) Lend(q *wire.BorrowRequest) (r *wire.BorrowReply, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.checkLeadership() {
		return nil, false
	}
	r = &wire.BorrowReply{}
	now := c.options.Timer.Now()
	for _, w := range q.GetWants() {
		n, wait, limited := c.lender.Lend(w.GetId(), w.GetBorn(), int(w.GetCount()), now)
		cold := false
		if n > 0 || !limited {
			n, wait, cold = c.lendCold(w, n, limited, wait, now)
		}
		r.Grants = append(r.Grants, &wire.Grant{
			Id: w.GetId(), Born: w.GetBorn(), Count: uint32(n), Wait: uint32((wait + time.Millisecond - 1) / time.Millisecond), Limited: limited, Cold: cold,
		})
	}
	return r, true
}
