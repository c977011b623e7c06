package order

import (
	"context"
	"sync"
	"testing/synctest"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// clock is the timer of one process. It can run slow. While the process is frozen, timer
// callbacks are delayed, but time passes.
type clock struct {
	*timer.System

	mu           sync.Mutex
	slowdown     int64         // factor by which the clock runs slow
	systemStart  timer.Instant // reading of the system timer when slowdown was set
	localStart   timer.Instant // reading of this clock at the same moment
	thawed       chan struct{} // closed by thaw; nil unless the process is frozen
	delayedCalls []func()      // callbacks that came due while frozen
}

func newClock() *clock { return &clock{System: timer.NewSystem(), slowdown: 1} }

// Now reads the clock.
func (c *clock) Now() timer.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

func (c *clock) now() timer.Instant {
	return c.localStart + (c.System.Now()-c.systemStart)/timer.Instant(c.slowdown)
}

// setSlowdown sets the factor by which the clock runs slow from now on.
func (c *clock) setSlowdown(factor int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.localStart, c.systemStart, c.slowdown = c.now(), c.System.Now(), factor
}

// AfterFunc calls f once d has passed on this clock, or at the thaw if the process is
// frozen then.
func (c *clock) AfterFunc(d time.Duration, f func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	call := func() {
		if ctx.Err() == nil {
			f()
		}
	}
	stopTimer := c.System.AfterFunc(d*time.Duration(c.slowdown), func() {
		c.mu.Lock()
		if c.thawed != nil {
			c.delayedCalls = append(c.delayedCalls, call)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		call()
	})
	return func() { cancel(); stopTimer() }
}

// Subscribe delivers a tick every d while the process is not frozen.
func (c *clock) Subscribe(d time.Duration) *timer.Subscription { return timer.NewSubscription(c, d) }

// freeze stops the process until thaw.
func (c *clock) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.thawed = make(chan struct{})
}

// thaw resumes the process. Goroutines that wait for input continue before any delayed
// timer callback runs.
func (c *clock) thaw() {
	c.mu.Lock()
	if c.thawed == nil {
		c.mu.Unlock()
		return
	}
	calls := c.delayedCalls
	close(c.thawed)
	c.thawed, c.delayedCalls = nil, nil
	c.mu.Unlock()
	synctest.Wait()
	for _, f := range calls {
		f()
	}
}

// waitUntilThawed returns once the process is not frozen.
func (c *clock) waitUntilThawed(ctx context.Context) {
	c.mu.Lock()
	thawed := c.thawed
	c.mu.Unlock()
	if thawed == nil {
		return
	}
	select {
	case <-thawed:
	case <-ctx.Done():
	}
}
