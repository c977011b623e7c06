package control

import (
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// clock is the timer of one process. While the process is frozen, timer callbacks are
// delayed, but time passes.
type clock struct {
	*timer.System

	mu           sync.Mutex
	frozen       bool
	delayedCalls []func() // callbacks that came due while frozen
}

// AfterFunc calls f after d, or when the process is thawed if that is later.
func (c *clock) AfterFunc(d time.Duration, f func()) (stop func()) {
	var mu sync.Mutex
	stopped := false
	call := func() {
		mu.Lock()
		skip := stopped
		mu.Unlock()
		if !skip {
			f()
		}
	}
	stopTimer := c.System.AfterFunc(d, func() {
		c.mu.Lock()
		if c.frozen {
			c.delayedCalls = append(c.delayedCalls, call)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		call()
	})
	return func() {
		mu.Lock()
		stopped = true
		mu.Unlock()
		stopTimer()
	}
}

// Subscribe delivers a tick every d while the process is not frozen.
func (c *clock) Subscribe(d time.Duration) *timer.Subscription { return timer.NewSubscription(c, d) }

// freeze delays timer callbacks until thaw.
func (c *clock) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = true
}

// thaw ends the freeze and runs the delayed callbacks.
func (c *clock) thaw() {
	c.mu.Lock()
	delayedCalls := c.delayedCalls
	c.frozen, c.delayedCalls = false, nil
	c.mu.Unlock()
	for _, f := range delayedCalls {
		f()
	}
}
