// Package timer provides the one source of time for all parts: monotonic
// instants, one-shot and periodic subscriptions, and a manual twin for tests.
package timer

import (
	"context"
	"sync"
	"time"
)

// Instant is a reading of the monotonic clock of this process. Instants of two
// processes must never be compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Before tells whether i is earlier than j.
func (i Instant) Before(j Instant) bool { return i < j }

// Service tells the time and calls back when it has passed.
type Service interface {
	// Now reads the monotonic clock.
	Now() Instant
	// Wall reads the wall clock. It is for display and retention only.
	Wall() time.Time
	// AfterFunc calls f once after d, unless stop is called before.
	AfterFunc(d time.Duration, f func()) (stop func())
	// Subscribe delivers a tick every d until the subscription is stopped.
	Subscribe(d time.Duration) *Subscription
}

// Subscription delivers ticks. A tick that nobody took is replaced by the next.
type Subscription struct {
	C    <-chan Instant
	stop func()
}

// Stop ends the subscription. The channel is not closed.
func (s *Subscription) Stop() { s.stop() }

// Sleep waits for d or until the context is done.
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

// WithTimeout returns a context that ends after d as told by the service.
func WithTimeout(ctx context.Context, s Service, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := s.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// NewSubscription builds periodic ticks from AfterFunc, for implementations of Service.
func NewSubscription(s Service, d time.Duration) *Subscription {
	c := make(chan Instant, 1)
	t := &ticker{service: s, every: d, c: c}
	t.mu.Lock()
	t.cancel = s.AfterFunc(d, t.fire)
	t.mu.Unlock()
	return &Subscription{C: c, stop: t.stop}
}

type ticker struct {
	service Service
	every   time.Duration
	c       chan Instant

	mu      sync.Mutex
	cancel  func()
	stopped bool
}

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
		select {
		case <-t.c:
		default:
		}
		select {
		case t.c <- now:
		default:
		}
	}
	t.cancel = t.service.AfterFunc(t.every, t.fire)
}

func (t *ticker) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.cancel()
}

// System is the service that runs on the clocks of the machine.
type System struct {
	base time.Time
}

// NewSystem returns a service on the clocks of the machine.
func NewSystem() *System { return &System{base: time.Now()} }

// Now reads the monotonic clock.
func (s *System) Now() Instant { return Instant(time.Since(s.base)) }

// Wall reads the wall clock.
func (s *System) Wall() time.Time { return time.Now() }

// AfterFunc calls f in its own goroutine after d.
func (s *System) AfterFunc(d time.Duration, f func()) (stop func()) {
	t := time.AfterFunc(d, f)
	return func() { t.Stop() }
}

// Subscribe delivers a tick every d.
func (s *System) Subscribe(d time.Duration) *Subscription { return NewSubscription(s, d) }
