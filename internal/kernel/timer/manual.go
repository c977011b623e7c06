package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a Service for tests whose time moves only when Advance is called.
type Manual struct {
	mu      sync.Mutex
	now     Instant
	lastID  uint64
	pending callbacks
}

// callback is a call scheduled by AfterFunc.
type callback struct {
	due Instant
	id  uint64 // ascending; orders the callbacks that are due at the same instant
	run func() // nil once it was stopped
}

// callbacks is a heap of callbacks by the time when they are due.
type callbacks []*callback

func (c callbacks) Len() int      { return len(c) }
func (c callbacks) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

func (c callbacks) Less(i, j int) bool {
	return c[i].due < c[j].due || c[i].due == c[j].due && c[i].id < c[j].id
}

// Push appends a callback; see heap.Interface.
func (c *callbacks) Push(x any) { *c = append(*c, x.(*callback)) }

// Pop removes the last callback; see heap.Interface.
func (c *callbacks) Pop() any {
	last := (*c)[len(*c)-1]
	(*c)[len(*c)-1] = nil
	*c = (*c)[:len(*c)-1]
	return last
}

// NewManual returns a Manual at instant zero.
func NewManual() *Manual { return &Manual{} }

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
	c := &callback{due: m.now.Add(d), id: m.lastID, run: f}
	heap.Push(&m.pending, c)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		c.run = nil
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
	for len(m.pending) > 0 && m.pending[0].run == nil {
		heap.Pop(&m.pending)
	}
	if len(m.pending) == 0 || m.pending[0].due > end {
		m.now = end
		m.mu.Unlock()
		return false
	}
	next := heap.Pop(&m.pending).(*callback)
	m.now = max(m.now, next.due)
	run := next.run
	m.mu.Unlock()
	run()
	return true
}
