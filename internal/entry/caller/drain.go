package caller

import (
	"context"
	"sync"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// drain counts requests in progress and holds the state of a shutdown.
type drain struct {
	mu       sync.Mutex
	active   int
	draining bool
	refusing bool
	// idle is closed once the handler refuses and nothing is in progress.
	idle   chan struct{}
	closed bool
	// issued is when the last list that names this entry was handed out.
	issued timer.Instant
}

func newDrain() *drain { return &drain{idle: make(chan struct{})} }

// enter counts a request; it returns false once new ones are refused.
func (d *drain) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusing {
		return false
	}
	d.active++
	return true
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	d.settle()
}

func (d *drain) settle() {
	if d.refusing && d.active == 0 && !d.closed {
		d.closed = true
		close(d.idle)
	}
}

func (d *drain) state() (draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// issue notes a list that names this entry; it returns false while draining.
func (d *drain) issue(now timer.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.issued = now
	return true
}

// Drain takes the entry out of the lists, serves until the lists that name it
// have run out, then refuses new requests and returns once those in progress
// have ended or the context is done.
func (h *Handler) Drain(ctx context.Context) error {
	d := h.drain
	d.mu.Lock()
	d.draining = true
	issued := d.issued
	d.mu.Unlock()
	h.control.SetDraining(true)
	now := h.timer.Now()
	// Other entries name this one until they have learned of the drain.
	end := max(issued, now.Add(h.options.PropagationDelay)).Add(h.options.EntryListLifetime)
	if err := timer.Sleep(ctx, h.timer, end.Sub(now)); err != nil {
		return err
	}
	d.mu.Lock()
	d.refusing = true
	d.settle()
	d.mu.Unlock()
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Draining tells whether a shutdown has begun.
func (h *Handler) Draining() bool { return h.drain.state() }
