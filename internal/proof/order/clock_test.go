package order

import (
	"context"
	"sync"
	"testing/synctest"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// clock is the timer service of one process. It may run slow, and while the process is
// frozen its calls are held; the time goes on.
type clock struct {
	*timer.System

	mu     sync.Mutex
	slow   int64         // the factor by which it runs slow
	real   timer.Instant // where it began to
	own    timer.Instant // what it told then
	frozen chan struct{} // closed when the process goes on; nil while it runs
	late   []func()
}

func newClock() *clock { return &clock{System: timer.NewSystem(), slow: 1} }

// Now reads the clock.
func (c *clock) Now() timer.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

func (c *clock) now() timer.Instant { return c.own + (c.System.Now()-c.real)/timer.Instant(c.slow) }

// run sets the factor by which the clock runs slow from now on.
func (c *clock) run(slow int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own, c.real, c.slow = c.now(), c.System.Now(), slow
}

// AfterFunc calls f after d on this clock, or when the process goes on.
func (c *clock) AfterFunc(d time.Duration, f func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	call := func() {
		if ctx.Err() == nil {
			f()
		}
	}
	end := c.System.AfterFunc(d*time.Duration(c.slow), func() {
		c.mu.Lock()
		if c.frozen != nil {
			c.late = append(c.late, call)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		call()
	})
	return func() { cancel(); end() }
}

// Subscribe delivers a tick every d while the process is not frozen.
func (c *clock) Subscribe(d time.Duration) *timer.Subscription { return timer.NewSubscription(c, d) }

func (c *clock) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = make(chan struct{})
}

// thaw lets the process go on. What waited for input acts before any timer is noticed.
func (c *clock) thaw() {
	c.mu.Lock()
	if c.frozen == nil {
		c.mu.Unlock()
		return
	}
	late := c.late
	close(c.frozen)
	c.frozen, c.late = nil, nil
	c.mu.Unlock()
	synctest.Wait()
	for _, f := range late {
		f()
	}
}

// wait returns once the process is not frozen.
func (c *clock) wait(ctx context.Context) {
	c.mu.Lock()
	frozen := c.frozen
	c.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-ctx.Done():
	}
}
