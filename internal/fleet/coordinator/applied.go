package coordinator

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// applyTimeout bounds the wait for instances that know of a new layout and have not applied it.
// They stop using the older one by themselves.
const applyTimeout = 700 * time.Millisecond

// toldVersion is what the leader told an instance of the newest version of the layout. A reply
// may have been lost.
type toldVersion struct {
	version uint64 // named by the last reply
	cursor  uint64 // of the first reply that named it
	at      timer.Instant
	olderAt timer.Instant // when the last reply was sent that named an older version
	heard   uint64        // version that the instance has certainly been told of
}

// tell records a reply that names a version as the newest.
func (t *toldVersion) tell(version, cursor uint64, now timer.Instant) {
	if version > t.version {
		t.version, t.cursor, t.olderAt = version, cursor, t.at
	}
	t.at = now
}

// confirmedOlder returns when the instance may last have been told that a version below the
// given one is the newest.
func (t *toldVersion) confirmedOlder(version uint64) timer.Instant {
	if t.version >= version {
		return t.olderAt
	}
	return t.at
}

// WaitLayoutApplied waits until an acknowledged version of the layout is in force in time
// everywhere: until each instance has applied it, or must stop using an older one soon enough.
// That does not depend on messages that arrive later. ok is false if the context is done before,
// or if this instance does not lead: it can't know what others are told.
func (c *Coordinator) WaitLayoutApplied(ctx context.Context, version uint64) (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited, ok := c.waitUntil(ctx, func(begin timer.Instant) timer.Instant { return c.appliedAt(version, begin) })
	if ok {
		c.options.Log.Info("layout may be acknowledged", zap.Uint64("version", version), zap.Uint64("term", c.leaderTerm),
			zap.Duration("waited", waited), zap.Strings("behind", c.behind(version)))
	}
	return ok
}

// waitUntil waits until the instant that due returns, which may change whenever an instance has applied
// something. due gets the instant at which the wait began. ok is false if the context is done before, or if this
// instance does not lead. c.mu must be held; it is released meanwhile.
func (c *Coordinator) waitUntil(ctx context.Context, due func(begin timer.Instant) timer.Instant) (waited time.Duration, ok bool) {
	// Right after an election, the records are those of an earlier period until the first poll.
	if !c.checkLeadership() {
		return 0, false
	}
	begin := c.options.Timer.Now()
	for {
		now := c.options.Timer.Now()
		wait := due(begin).Sub(now)
		if wait <= 0 {
			return now.Sub(begin), true
		}
		applied, expired := c.applied, make(chan struct{})
		stop := c.options.Timer.AfterFunc(wait, func() { close(expired) })
		c.mu.Unlock()
		select {
		case <-applied:
		case <-expired:
		case <-ctx.Done():
		}
		stop()
		c.mu.Lock()
		if ctx.Err() != nil {
			return c.options.Timer.Now().Sub(begin), false
		}
	}
}

// maxLoggedInstances bounds the names in a log line.
const maxLoggedInstances = 16

// behind returns the names of instances that have not applied a version of the layout. c.mu must be
// held.
func (c *Coordinator) behind(version uint64) (names []string) {
	for name, i := range c.instances {
		if i.layoutVersion < version && len(names) < maxLoggedInstances {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// appliedAt returns from when on a version of the layout, for which a wait began at the given
// instant, may be acknowledged if no instance applies it meanwhile. c.mu must be held.
func (c *Coordinator) appliedAt(version uint64, begin timer.Instant) (at timer.Instant) {
	// A former leader may have told instances of an older version until this one began to lead.
	at = c.periodStart.Add(c.options.ConfirmationLag)
	for _, i := range c.instances {
		switch {
		case i.layoutVersion >= version:
		case i.told.heard >= version:
			at = max(at, begin.Add(applyTimeout))
		default:
			at = max(at, i.told.confirmedOlder(version).Add(c.options.ConfirmationLag))
		}
	}
	return at
}
