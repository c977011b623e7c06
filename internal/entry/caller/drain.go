package caller

import (
	"context"
	"sync"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// drainState counts the requests in progress and tracks a graceful shutdown of this
// entry; see Handler.Drain.
type drainState struct {
	mu       sync.Mutex
	active   int
	draining bool
	// refusing is set in the last phase of a shutdown, once no list in use names this
	// entry.
	refusing bool
	// idle is closed once new requests are refused and none is in progress.
	idle       chan struct{}
	idleClosed bool
	// lastListed is when this entry last sent a caller a list with itself in it.
	lastListed timer.Instant
}

func newDrainState() *drainState { return &drainState{idle: make(chan struct{})} }

// beginRequest counts a request as in progress. It returns false once new requests are
// refused.
func (d *drainState) beginRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusing {
		return false
	}
	d.active++
	return true
}

// endRequest ends a request that beginRequest counted.
func (d *drainState) endRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	d.closeIfIdle()
}

// closeIfIdle closes idle when the shutdown may complete; the lock is held.
func (d *drainState) closeIfIdle() {
	if d.refusing && d.active == 0 && !d.idleClosed {
		d.idleClosed = true
		close(d.idle)
	}
}

func (d *drainState) isDraining() (draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// recordListed records that a list sent now names this entry. It returns false while
// draining; the list must then leave this entry out.
func (d *drainState) recordListed(now timer.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.lastListed = now
	return true
}

// Drain takes this entry out of the lists of entries and keeps serving until all lists
// that name it have expired. Then it refuses new requests and returns once those in
// progress have ended or the context is done.
func (h *Handler) Drain(ctx context.Context) error {
	d := h.drainState
	d.mu.Lock()
	d.draining = true
	lastListed := d.lastListed
	d.mu.Unlock()
	h.control.SetDraining(true)
	now := h.timer.Now()
	// Other entries list this one until they learn that it drains.
	end := max(lastListed, now.Add(h.options.PropagationDelay)).Add(h.options.EntryListLifetime)
	if err := timer.Sleep(ctx, h.timer, end.Sub(now)); err != nil {
		return err
	}
	d.mu.Lock()
	d.refusing = true
	d.closeIfIdle()
	d.mu.Unlock()
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Draining reports whether a graceful shutdown has begun.
func (h *Handler) Draining() bool { return h.drainState.isDraining() }
