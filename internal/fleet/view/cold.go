package view

import (
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/fleet/registry"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// contactTimeout is how long ago the last poll that was answered may have been sent while the leader is in
	// contact. Polls are answered within half a second.
	contactTimeout = 700 * time.Millisecond
	// announceDelay is how long after its start an upstream is known to the leader at the latest: an announcement,
	// its report and the collection of changes.
	announceDelay = 200 * time.Millisecond
	// maxSuspicion is how long a suspicion counts that the leader does not settle, since it is of an earlier
	// build. By then an upstream that is not heard is silent.
	maxSuspicion = 10 * time.Second
)

// ColdBudget returns the budget of permits for a cold upstream of a service. ok is false if the service or
// the settings state no limit.
func (v *View) ColdBudget(s layout.Service) (b permit.ColdBudget, ok bool) {
	l := v.Layout()
	if l == nil || !v.options.ColdBounds.Enabled {
		return b, false
	}
	p := l.Pool(s)
	if p == nil || p.WarmupRate <= 0 {
		return b, false
	}
	return v.options.ColdBounds.Budget(permit.Rate(p.WarmupRate)), true
}

// coldState holds what tells which upstreams are cold, by id, besides their records.
type coldState struct {
	ends        map[string]timer.Instant // until when they are cold by their announcement
	suspectedAt map[string]timer.Instant // last suspicions
	broken      map[string]timer.Instant // last connections that broke without a leader
	evacuations map[string]timer.Instant // ends of evacuations whose upstreams were suspected, by zone
}

func newColdState() *coldState {
	return &coldState{
		ends: map[string]timer.Instant{}, suspectedAt: map[string]timer.Instant{}, broken: map[string]timer.Instant{},
		evacuations: map[string]timer.Instant{},
	}
}

// forget drops the state of an upstream.
func (c *coldState) forget(id string) {
	delete(c.ends, id)
	delete(c.suspectedAt, id)
	delete(c.broken, id)
}

// record applies a new record of an upstream. announced is false if only its suspicions are new.
func (c *coldState) record(u, old *wire.Upstream, announced bool, now timer.Instant) {
	id := u.GetId()
	switch {
	case u.GetStage() == wire.Stage_STAGE_LEFT:
		c.forget(id)
		return
	case old.GetBorn() != u.GetBorn():
		c.forget(id) // the new incarnation says whether it is cold
		old = nil
	}
	if registry.Suspected(u) && u.GetSuspected() > old.GetSuspected() {
		c.suspectedAt[id] = now
	}
	switch {
	case announced && u.GetCold() == 0:
		delete(c.ends, id)
	case announced:
		c.ends[id] = registry.ColdEnd(u, now)
	}
}

// isCold reports whether requests to an upstream count against its limit while it is cold: by its
// announcement, or since it is silent or suspected to have restarted. v.mu must be held.
func (v *View) isCold(u *wire.Upstream) bool {
	end, announced := v.cold.ends[u.GetId()]
	if announced && v.options.Timer.Now().Before(end) || v.isSuspected(u) || u.GetStage() == wire.Stage_STAGE_SILENT {
		return true
	}
	broken, ok := v.cold.broken[u.GetId()]
	if ok && v.newest.sent.Sub(broken) > announceDelay {
		delete(v.cold.broken, u.GetId())
		return false
	}
	return ok
}

// isSuspected reports whether an upstream is suspected to have restarted unheard. v.mu must be held.
func (v *View) isSuspected(u *wire.Upstream) bool {
	return registry.Suspected(u) && v.options.Timer.Now().Sub(v.cold.suspectedAt[u.GetId()]) < maxSuspicion
}

// Cold reports whether a request to an incarnation of an upstream needs a permit for a cold one.
func (v *View) Cold(id string, born int64) bool {
	if !v.options.ColdBounds.Enabled {
		return false
	}
	v.suspectEvacuated()
	v.mu.Lock()
	defer v.mu.Unlock()
	u := v.upstreams[id]
	if u == nil || u.GetBorn() != born {
		return false // no request is sent to it
	}
	_, limited := v.ColdBudget(layout.Service(u.GetService()))
	return limited && v.isCold(u)
}

// ColdUpstreams returns the ids of the upstreams of a service to which requests need a permit for a cold one.
func (v *View) ColdUpstreams(s layout.Service) map[string]bool {
	if _, limited := v.ColdBudget(s); !limited {
		return nil
	}
	v.suspectEvacuated()
	v.mu.Lock()
	defer v.mu.Unlock()
	var out map[string]bool
	for _, u := range v.Table().Services[s] {
		if current := v.upstreams[u.GetId()]; current != nil && v.isCold(current) {
			if out == nil {
				out = map[string]bool{}
			}
			out[u.GetId()] = true
		}
	}
	return out
}

// SuspectRestart records that an incarnation of an upstream did not accept a connection, so that whatever accepts
// the next one may be cold. The leader ends that with an announcement made after it.
func (v *View) SuspectRestart(id string, born int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u := v.upstreams[id]; u != nil && u.GetBorn() == born {
		v.suspect(u, "refused a connection")
	}
}

// SuspectBroken records that a connection to an incarnation of an upstream broke. While the leader answers, that has
// other causes mostly, such as a limit of connections, and an upstream that restarts is heard of soon. Else the
// upstream counts as cold for this instance until the leader has told what it knows.
func (v *View) SuspectBroken(id string, born int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	u, now := v.upstreams[id], v.options.Timer.Now()
	if u == nil || u.GetBorn() != born || now.Sub(v.newest.sent) < contactTimeout {
		return
	}
	if _, limited := v.ColdBudget(layout.Service(u.GetService())); !limited {
		return
	}
	if _, known := v.cold.broken[id]; !known {
		v.options.Log.Info("upstream counts as cold until the leader is heard", zap.String("upstream", id), zap.Int64("born", born))
	}
	v.cold.broken[id] = now
}

// suspect records a suspicion and reports it to the leader without delay. v.mu must be held.
func (v *View) suspect(u *wire.Upstream, reason string) {
	if _, limited := v.ColdBudget(layout.Service(u.GetService())); !limited || v.isSuspected(u) || u.GetStage() == wire.Stage_STAGE_LEFT {
		return
	}
	v.merge(registry.Suspect(u))
	v.publish()
	v.pending.upstreams[u.GetId()] = v.upstreams[u.GetId()]
	v.signalUrgent()
	v.options.Log.Info("upstream counts as cold until it is heard", zap.String("upstream", u.GetId()), zap.Int64("born", u.GetBorn()), zap.String("reason", reason))
}

// suspectEvacuated suspects all upstreams of a zone once after the end of its evacuation: they had no traffic.
// evacuationEnded may use v.mu.
func (v *View) suspectEvacuated() {
	if v.evacuationEnded == nil {
		return
	}
	for _, zone := range *v.zones.Load() {
		at, ok := v.evacuationEnded(zone)
		if !ok {
			continue
		}
		v.mu.Lock()
		if at > v.cold.evacuations[zone] {
			v.cold.evacuations[zone] = at
			for _, u := range v.upstreams {
				if u.GetZone() == zone {
					v.suspect(u, "evacuation of its zone has ended")
				}
			}
		}
		v.mu.Unlock()
	}
}
