package control

import (
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// clock is the timer service of a process. Timers that expire while the process is frozen
// fire when it is thawed; time goes on.
type clock struct {
	*timer.System

	mu      sync.Mutex
	frozen  bool
	delayed []func()
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
			c.delayed = append(c.delayed, call)
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

func (c *clock) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = true
}

func (c *clock) thaw() {
	c.mu.Lock()
	delayed := c.delayed
	c.frozen, c.delayed = false, nil
	c.mu.Unlock()
	for _, f := range delayed {
		f()
	}
}
