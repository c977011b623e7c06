// Package timer provides the clock and timers that all components use: monotonic
// instants, one-shot callbacks, periodic ticks, and a manual clock for tests.
package timer

import (
	"context"
	"sync"
	"time"
)

// Instant is a reading of this process's monotonic clock, in nanoseconds. Instants
// of different processes have no common origin and must not be compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-j.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Before reports whether i is earlier than j.
func (i Instant) Before(j Instant) bool { return i < j }

// Service reads the clock and schedules callbacks and ticks.
type Service interface {
	// Now reads the monotonic clock.
	Now() Instant
	// Wall reads the wall clock, which may jump. Use it only for display and for the
	// retention of records.
	Wall() time.Time
	// AfterFunc calls f once after d unless stop is called first.
	AfterFunc(d time.Duration, f func()) (stop func())
	// Subscribe delivers a tick every d until the subscription is stopped.
	Subscribe(d time.Duration) *Subscription
}

// Subscription delivers periodic ticks on C. A tick that has not been received by the
// time of the next one is replaced by it.
type Subscription struct {
	C    <-chan Instant
	stop func()
}

// Stop ends the subscription. It does not close C.
func (s *Subscription) Stop() { s.stop() }

// Sleep waits for d. It returns the context's error if that is done first.
func Sleep(ctx context.Context, s Service, d time.Duration) error {
	done := make(chan struct{})
	stop := s.AfterFunc(d, func() { close(done) })
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WithTimeout is context.WithTimeout on the clock of s: after d, the context is
// cancelled with the cause context.DeadlineExceeded.
func WithTimeout(ctx context.Context, s Service, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := s.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// NewSubscription returns a Subscription that is driven by s.AfterFunc. Implementations
// of Service use it for Subscribe.
func NewSubscription(s Service, d time.Duration) *Subscription {
	c := make(chan Instant, 1)
	t := &ticker{service: s, interval: d, c: c}
	t.mu.Lock()
	t.cancel = s.AfterFunc(d, t.fire)
	t.mu.Unlock()
	return &Subscription{C: c, stop: t.stop}
}

// ticker sends the ticks of one subscription and schedules itself again.
type ticker struct {
	service  Service
	interval time.Duration
	c        chan Instant

	mu      sync.Mutex
	cancel  func() // cancels the next call of fire
	stopped bool
}

// fire sends a tick and schedules the next one.
func (t *ticker) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	now := t.service.Now()
	select {
	case t.c <- now:
	default:
		// The last tick was not received: drop it so that the reader gets this one.
		select {
		case <-t.c:
		default:
		}
		select {
		case t.c <- now:
		default:
		}
	}
	t.cancel = t.service.AfterFunc(t.interval, t.fire)
}

func (t *ticker) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.cancel()
}

// System is the Service that runs on the clocks of the operating system.
type System struct {
	start time.Time
}

// NewSystem returns a Service on the clocks of the operating system.
func NewSystem() *System { return &System{start: time.Now()} }

// Now returns the time since s was created, on the monotonic clock.
func (s *System) Now() Instant { return Instant(time.Since(s.start)) }

// Wall reads the wall clock.
func (s *System) Wall() time.Time { return time.Now() }

// AfterFunc calls f in its own goroutine after d.
func (s *System) AfterFunc(d time.Duration, f func()) (stop func()) {
	t := time.AfterFunc(d, f)
	return func() { t.Stop() }
}

// Subscribe delivers a tick every d until the subscription is stopped.
func (s *System) Subscribe(d time.Duration) *Subscription { return NewSubscription(s, d) }
