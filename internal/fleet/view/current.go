package view

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// newestLayout is the newest version that the leader named, and when the poll was sent whose
// reply last named it.
type newestLayout struct {
	version layout.Version
	sent    timer.Instant
}

// Layout returns the current layout, or nil before the first one was received.
func (v *View) Layout() *layout.Layout { return v.layout.Load() }

// LayoutLoaded returns a channel that is closed when the first layout has been received.
func (v *View) LayoutLoaded() <-chan struct{} { return v.layoutLoaded }

// LayoutConfirmed reports whether a layout is the current one and the lease on it is still
// valid. Without that a newer one may be in force.
func (v *View) LayoutConfirmed(l *layout.Layout) bool {
	return v.options.Timer.Now().Before(timer.Instant(v.leaseExpiry.Load())) && v.Layout() == l
}

// LayoutOutdated reports whether a newer layout has been known for so long that the current
// one must not be used any more.
func (v *View) LayoutOutdated() bool {
	return !v.options.Timer.Now().Before(timer.Instant(v.lagExpiry.Load()))
}

// LayoutWanted returns a channel that receives a value when a newer layout is known.
func (v *View) LayoutWanted() <-chan struct{} { return v.layoutWanted }

// WantedLayout returns the newest version that the leader named if the current layout is
// older, else 0.
func (v *View) WantedLayout() layout.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.newest.version > v.layoutVersion() {
		return v.newest.version
	}
	return 0
}

// layoutVersion returns the version of the current layout, or 0 before the first.
func (v *View) layoutVersion() layout.Version {
	if l := v.Layout(); l != nil {
		return l.Version
	}
	return 0
}

// confirmLayout records that no version above the given one was in force at the leader when
// a poll was answered that was sent at the given instant. Version 0 stands for the current
// one. v.mu must be held.
func (v *View) confirmLayout(version layout.Version, sent timer.Instant) {
	current := v.layoutVersion()
	v.newest = newestLayout{max(version, v.newest.version), sent}
	if v.newest.version <= current {
		v.extendLease()
		return
	}
	if v.lagExpiry.Load() == never {
		v.lagExpiry.Store(int64(v.options.Timer.Now().Add(v.options.MaxLayoutLag)))
	}
	select {
	case v.layoutWanted <- struct{}{}:
	default:
	}
}

// extendLease starts the lease from the last confirmation. The current layout must be at least
// as new as the confirmed one. v.mu must be held.
func (v *View) extendLease() {
	v.lagExpiry.Store(never)
	v.leaseExpiry.Store(int64(v.newest.sent.Add(v.options.LeaseDuration)))
}

// ApplyLayout decodes a committed layout and puts it into force unless the current one is at
// least as new. Requests that wait for the first layout find the upstreams of the replies
// before it.
func (v *View) ApplyLayout(version layout.Version, text []byte) (err error) {
	if v.layoutVersion() >= version {
		return nil
	}
	l, err := v.options.Decode(version, text)
	if err != nil {
		return errors.Wrapf(err, "decode layout %d", version)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.layoutVersion() >= version {
		return nil
	}
	confirmed, first := v.newest.version > 0 && v.newest.version <= version, v.Layout() == nil
	if confirmed && first {
		// Requests that see the first layout must find its lease.
		v.extendLease()
	}
	v.layout.Store(l)
	if confirmed {
		v.extendLease()
	}
	v.applyNamed()
	if first {
		close(v.layoutLoaded)
	}
	v.pending.layout = version
	v.signalUrgent()
	v.options.Log.Info("layout in force", zap.Uint64("version", uint64(version)),
		zap.Int("routes", len(l.Routes)), zap.Int("accounts", len(l.Clients)), zap.Bool("anonymous", l.Anonymous))
	return nil
}
