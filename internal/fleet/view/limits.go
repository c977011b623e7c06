package view

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Permits returns the limits that upstreams state and the permits of this instance.
func (v *View) Permits() *permit.Stock { return v.permits }

// RecordLimit records the limit that an upstream stated in a response, and reports it to the
// leader if it is new.
func (v *View) RecordLimit(id string, limit permit.Limit) {
	if !v.permits.Set(id, limit) {
		return
	}
	v.options.Log.Info("upstream limits requests", zap.String("upstream", id), zap.Int64("born", limit.Born), zap.Float64("rate", float64(limit.Rate)))
	v.reportLimit(&wire.Limit{Id: id, Born: limit.Born, Rate: float64(limit.Rate)})
}

// LiftLimit records that an upstream with a limit stated none in a response to a request that was
// sent when the limit was known.
func (v *View) LiftLimit(id string, born int64) {
	if !v.permits.Lift(id, born) {
		return
	}
	v.options.Log.Info("upstream no longer limits requests", zap.String("upstream", id), zap.Int64("born", born))
	v.reportLimit(&wire.Limit{Id: id, Born: born, Lifted: true})
}

// reportLimit queues a limit for the leader.
func (v *View) reportLimit(l *wire.Limit) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pending.limits[l.GetId()] = l
	v.signalUrgent()
}

// applyLimits stores the limits that other instances have reported.
func (v *View) applyLimits(limits []*wire.Limit) {
	for _, l := range limits {
		changed := false
		if l.GetLifted() {
			changed = v.permits.Lift(l.GetId(), l.GetBorn())
		} else {
			changed = v.permits.Set(l.GetId(), permit.Limit{Born: l.GetBorn(), Rate: permit.Rate(l.GetRate())})
		}
		if changed {
			v.options.Log.Info("limit of an upstream reported", zap.String("upstream", l.GetId()), zap.Int64("born", l.GetBorn()),
				zap.Float64("rate", l.GetRate()), zap.Bool("lifted", l.GetLifted()))
		}
	}
}

// queueLimits queues all known limits, which a new leader needs. v.mu must be held.
func (v *View) queueLimits() {
	for id, l := range v.permits.Limits() {
		if u := v.upstreams[id]; u == nil || u.GetBorn() != l.Born || u.GetStage() == wire.Stage_STAGE_LEFT {
			v.permits.Lift(id, l.Born)
			continue
		}
		if v.pending.limits[id] == nil {
			v.pending.limits[id] = &wire.Limit{Id: id, Born: l.Born, Rate: float64(l.Rate)}
		}
	}
}

// RateLimited reports whether an upstream states a limit or is cold.
func (v *View) RateLimited(id string, born int64) bool {
	return v.permits.Limited(id, born) || v.Cold(id, born)
}

// HasPermit reports whether TakePermit would return true.
func (v *View) HasPermit(id string, born int64) bool {
	return v.permits.Has(id, born, v.Cold(id, born))
}

// TakePermit returns the permission for a request to an upstream, or false if the upstream has
// a limit or is cold and this instance holds no permit.
func (v *View) TakePermit(id string, born int64) (permit.Permit, bool) {
	return v.permits.Take(id, born, v.Cold(id, born))
}

// RequestPermit asks the leader for a permit for a later request.
func (v *View) RequestPermit(id string, born int64) {
	v.permits.Request(id, born, v.Cold(id, born))
}

// BorrowPermit asks the leader for a permit and waits for the answer; see permit.Stock.
func (v *View) BorrowPermit(ctx context.Context, id string, born int64) time.Duration {
	return v.permits.Borrow(ctx, id, born, v.Cold(id, born))
}
