package coordinator

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// followTimeout bounds the wait for instances in contact that do not say that they follow an order. Their
	// lease ends the use of the older state; operators ask another instance after a second.
	followTimeout = 600 * time.Millisecond
	// zonesHeardTime is how long after its election a leader may not have heard of all zones, besides
	// zonesHeardIntervals heartbeat intervals. Instances find a new leader within 2 s.
	zonesHeardTime      = 2500 * time.Millisecond
	zonesHeardIntervals = 2
	// zonesCheckInterval is the pause between two checks whether a zone has been heard of.
	zonesCheckInterval = 50 * time.Millisecond
	// never is after every instant of the timer.
	never = timer.Instant(1 << 62)
)

// followed is what the leader knows of the evacuations that an instance follows.
type followed struct {
	supported bool   // the program of the instance supports evacuations
	revision  uint64 // that the instance follows
	told      toldVersion
}

// orderApplied is when this instance applied the last order for a zone.
type orderApplied struct {
	revision uint64
	at       timer.Instant
}

// trackEvacuations records when the last order for each zone was applied. Like trackRollouts it also runs on
// instances that do not lead. c.mu must be held.
func (c *Coordinator) trackEvacuations() {
	next := map[string]orderApplied{}
	for _, z := range c.options.State.Evacuations().GetZones() {
		o := c.orders[z.GetZone()]
		if o.revision != z.GetRevision() {
			o = orderApplied{z.GetRevision(), c.options.Timer.Now()}
			c.options.Log.Info("order for a zone committed", zap.String("zone", z.GetZone()), zap.Bool("active", z.GetActive()), zap.Uint64("revision", o.revision))
		}
		next[z.GetZone()] = o
	}
	c.orders = next
}

// replyEvacuations returns the evacuations for the reply to a poll: all zones if the instance does not follow
// the last order, else the revision only. c.mu must be held.
func (c *Coordinator) replyEvacuations(q *wire.SyncRequest) *wire.Evacuations {
	e := &wire.Evacuations{Revision: c.options.State.EvacuationRevision()}
	if q.GetEvacuations().GetRevision() != e.GetRevision() || q.GetTerm() != c.period {
		e = c.options.State.Evacuations()
	}
	now := c.options.Timer.Now()
	for _, z := range e.GetZones() {
		if o := c.orders[z.GetZone()]; !z.GetActive() && o.revision == z.GetRevision() {
			z.Ended = uint64(now.Sub(o.at).Milliseconds())
		}
	}
	if i := c.instances[q.GetInstance().GetName()]; i != nil {
		told := e.GetRevision()
		if !i.evacuations.supported {
			told = 0 // whatever it is told, it goes on as before
		}
		i.evacuations.told.tell(told, c.revision, now)
	}
	return e
}

// recordFollowed records the evacuations that a polling instance follows. c.mu must be held.
func (c *Coordinator) recordFollowed(i *instance, q *wire.SyncRequest) {
	f := &i.evacuations
	f.supported = q.GetEvacuations() != nil
	if r := q.GetEvacuations().GetRevision(); q.GetTerm() == c.period && r > f.revision {
		f.revision = r
		c.wakeApplied()
	}
}

// WaitEvacuationsFollowed waits until the committed evacuations may be acknowledged: each instance in contact
// follows them, or those that do not answer must stop sending on an older state soon enough. ok is false
// if the context is done before, or if this instance does not lead.
func (c *Coordinator) WaitEvacuationsFollowed(ctx context.Context) (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision := c.options.State.EvacuationRevision()
	waited, ok := c.waitUntil(ctx, func(begin timer.Instant) timer.Instant { return c.followedAt(revision, begin) })
	behind, unsupported := c.notFollowing(revision)
	fields := []zap.Field{
		zap.Uint64("revision", revision), zap.Uint64("term", c.leaderTerm), zap.Duration("waited", waited), zap.Strings("behind", behind),
		zap.Strings("unsupported", unsupported),
	}
	if ok {
		c.options.Log.Info("evacuations may be acknowledged", fields...)
	} else {
		c.options.Log.Warn("evacuations not acknowledged", fields...)
	}
	return ok
}

// followedAt returns from when on evacuations, for which a wait began at the given instant, may be
// acknowledged if no instance says meanwhile that it follows them. c.mu must be held.
func (c *Coordinator) followedAt(revision uint64, begin timer.Instant) (at timer.Instant) {
	at = c.periodStart.Add(c.options.EvacuationLag)
	for _, i := range c.instances {
		f := &i.evacuations
		if f.revision >= revision {
			continue
		}
		at = max(at, f.told.confirmedOlder(revision).Add(c.options.EvacuationLag))
		switch {
		case i.record.GetGone():
		case f.supported:
			at = max(at, begin.Add(followTimeout))
		default:
			return never
		}
	}
	return at
}

// notFollowing returns the names of instances that do not follow evacuations, and of those among them in
// contact whose programs do not support them. c.mu must be held.
func (c *Coordinator) notFollowing(revision uint64) (behind, unsupported []string) {
	for name, i := range c.instances {
		if i.evacuations.revision >= revision {
			continue
		}
		if len(behind) < maxLoggedInstances {
			behind = append(behind, name)
		}
		if !i.evacuations.supported && !i.record.GetGone() && len(unsupported) < maxLoggedInstances {
			unsupported = append(unsupported, name)
		}
	}
	slices.Sort(behind)
	slices.Sort(unsupported)
	return behind, unsupported
}

// AwaitZone reports whether an instance, an upstream or a former order names a zone. Soon after an election it
// waits for the reports of the instances before it says no. ok is false if the context is done before, or if
// this instance does not lead.
func (c *Coordinator) AwaitZone(ctx context.Context, zone string) (known, ok bool) {
	for {
		known, certain := c.zoneKnown(zone)
		if known || certain {
			return known, true
		}
		if !c.leads() || timer.Sleep(ctx, c.options.Timer, zonesCheckInterval) != nil {
			return false, false
		}
	}
}

// leads reports whether this instance leads.
func (c *Coordinator) leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checkLeadership()
}

// zoneKnown reports whether a zone is known. certain is false if this instance may not have heard of all zones.
func (c *Coordinator) zoneKnown(zone string) (known, certain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.checkLeadership() {
		return false, false
	}
	for _, i := range c.instances {
		if i.record.GetZone() == zone {
			return true, true
		}
	}
	for _, u := range c.records {
		if u.GetZone() == zone {
			return true, true
		}
	}
	for _, z := range c.options.State.Evacuations().GetZones() {
		if z.GetZone() == zone {
			return true, true
		}
	}
	return false, c.options.Timer.Now().Sub(c.periodStart) >= zonesHeardTime+zonesHeardIntervals*c.options.HeartbeatInterval
}
