package control

import (
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// clock is the timer service of one process. While the process is frozen its calls are
// held; the time goes on.
type clock struct {
	*timer.System

	mu     sync.Mutex
	frozen bool
	late   []func()
}

// AfterFunc calls f after d, or when the process goes on.
func (c *clock) AfterFunc(d time.Duration, f func()) (stop func()) {
	var mu sync.Mutex
	stopped := false
	call := func() {
		mu.Lock()
		over := stopped
		mu.Unlock()
		if !over {
			f()
		}
	}
	end := c.System.AfterFunc(d, func() {
		c.mu.Lock()
		if c.frozen {
			c.late = append(c.late, call)
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
		end()
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
	late := c.late
	c.frozen, c.late = false, nil
	c.mu.Unlock()
	for _, f := range late {
		f()
	}
}
