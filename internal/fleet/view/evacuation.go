package view

import (
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// evacuations is an immutable copy of the last orders for all zones as the leader stated them.
type evacuations struct {
	revision uint64
	zones    map[string]evacuation
}

// evacuation is the last order for a zone.
type evacuation struct {
	revision uint64
	active   bool
	endedAt  timer.Instant // if it is not active: not before the end was committed
}

// Evacuated reports whether no requests may be sent to the upstreams of a zone. That counts only while the
// lease on the layout is valid, which the same replies of the leader extend; see LayoutConfirmed.
func (v *View) Evacuated(zone string) bool { return v.evacuations.Load().zones[zone].active }

// EvacuationEnded returns since when the last evacuation of a zone has been over, by the timer of this
// instance and not too early. ok is false if the zone is evacuated or was not before.
func (v *View) EvacuationEnded(zone string) (at timer.Instant, ok bool) {
	e, known := v.evacuations.Load().zones[zone]
	return e.endedAt, known && !e.active
}

// EvacuationRevision returns the revision of the last order that this instance follows, and that of the
// last order for one zone. They are 0 before the first.
func (v *View) EvacuationRevision(zone string) (last, ofZone uint64) {
	e := v.evacuations.Load()
	return e.revision, e.zones[zone].revision
}

// applyEvacuations follows the evacuations that the leader stated. A leader that does not support them
// states none, and those that are known stay. v.mu must be held.
func (v *View) applyEvacuations(w *wire.Evacuations) {
	known := v.evacuations.Load()
	if w == nil || w.GetRevision() == known.revision && len(w.GetZones()) == 0 {
		return
	}
	now := v.options.Timer.Now()
	next, active := &evacuations{revision: w.GetRevision(), zones: map[string]evacuation{}}, 0
	for _, z := range w.GetZones() {
		e := evacuation{revision: z.GetRevision(), active: z.GetActive()}
		former, ok := known.zones[z.GetZone()]
		same := ok && former.revision == e.revision && former.active == e.active
		switch {
		case e.active:
			active++
		default:
			e.endedAt = now.Add(-time.Duration(z.GetEnded()) * time.Millisecond)
			if same {
				// Another leader may have applied the order later.
				e.endedAt = min(e.endedAt, former.endedAt)
			}
		}
		next.zones[z.GetZone()] = e
		if !same {
			v.options.Log.Info("evacuation", zap.String("zone", z.GetZone()), zap.Bool("active", e.active), zap.Uint64("revision", e.revision),
				zap.Uint64("ended", z.GetEnded()))
		}
	}
	v.evacuations.Store(next)
	if v.options.OnEvacuations != nil {
		v.options.OnEvacuations(active)
	}
}
