package timer

import (
	"sync"
	"time"
)

// Manual is a Service for tests whose time moves only when Advance is called.
type Manual struct {
	mu      sync.Mutex
	now     Instant
	lastID  uint64
	pending map[uint64]*callback
}

// callback is a call scheduled by AfterFunc.
type callback struct {
	due Instant
	id  uint64 // ascending; orders the callbacks that are due at the same instant
	run func()
}

// NewManual returns a Manual at instant zero.
func NewManual() *Manual { return &Manual{pending: map[uint64]*callback{}} }

// Now returns the current instant of the manual clock.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Wall returns 1970-01-01 plus the time advanced so far.
func (m *Manual) Wall() time.Time { return time.Unix(0, int64(m.Now())).UTC() }

// AfterFunc calls f once Advance has moved the time on by d. The call is made in the
// goroutine that calls Advance.
func (m *Manual) AfterFunc(d time.Duration, f func()) (stop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	id := m.lastID
	m.pending[id] = &callback{due: m.now.Add(d), id: id, run: f}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.pending, id)
	}
}

// Subscribe delivers a tick every d until the subscription is stopped.
func (m *Manual) Subscribe(d time.Duration) *Subscription { return NewSubscription(m, d) }

// AutoAdvancing is a Manual that never waits: AfterFunc advances the time by the whole
// delay before it returns.
type AutoAdvancing struct{ *Manual }

// AfterFunc schedules f after d and advances the time by d, which calls f.
func (a AutoAdvancing) AfterFunc(d time.Duration, f func()) (stop func()) {
	stop = a.Manual.AfterFunc(d, f)
	a.Advance(d)
	return stop
}

// Advance moves the time forward by d and runs the callbacks that become due, in order.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	m.mu.Unlock()
	for m.runNext(end) {
		continue
	}
}

// runNext runs the earliest callback that is due by end. Once none is left, it sets the
// time to end and returns false.
func (m *Manual) runNext(end Instant) bool {
	m.mu.Lock()
	var next *callback
	for _, c := range m.pending {
		if c.due > end {
			continue
		}
		if next == nil || c.due < next.due || (c.due == next.due && c.id < next.id) {
			next = c
		}
	}
	if next == nil {
		m.now = end
		m.mu.Unlock()
		return false
	}
	delete(m.pending, next.id)
	m.now = max(m.now, next.due)
	m.mu.Unlock()
	next.run()
	return true
}
