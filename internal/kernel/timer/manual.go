package timer

import (
	"sync"
	"time"
)

// Manual is a service whose time moves only when Advance is called.
type Manual struct {
	mu      sync.Mutex
	now     Instant
	order   uint64
	pending map[uint64]*event
}

type event struct {
	at    Instant
	order uint64
	call  func()
}

// NewManual returns a service that stands at instant zero.
func NewManual() *Manual { return &Manual{pending: map[uint64]*event{}} }

// Now returns the instant last advanced to.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Wall returns 1970-01-01 plus the time advanced so far.
func (m *Manual) Wall() time.Time { return time.Unix(0, int64(m.Now())).UTC() }

// AfterFunc calls f from the goroutine that advances the time.
func (m *Manual) AfterFunc(d time.Duration, f func()) (stop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.order++
	id := m.order
	m.pending[id] = &event{at: m.now.Add(d), order: id, call: f}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.pending, id)
	}
}

// Subscribe delivers a tick every d.
func (m *Manual) Subscribe(d time.Duration) *Subscription { return NewSubscription(m, d) }

// AutoAdvancing is a Manual whose time passes at once: each call is made when it is asked for.
type AutoAdvancing struct{ *Manual }

// AfterFunc advances the time by d, which calls f.
func (a AutoAdvancing) AfterFunc(d time.Duration, f func()) (stop func()) {
	stop = a.Manual.AfterFunc(d, f)
	a.Advance(d)
	return stop
}

// Advance moves the time on by d and makes all calls that fall due, in order.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	m.mu.Unlock()
	for m.step(end) {
		continue
	}
}

// step makes the earliest call due by end; it returns false once none is left.
func (m *Manual) step(end Instant) bool {
	m.mu.Lock()
	var first *event
	for _, e := range m.pending {
		if e.at > end {
			continue
		}
		if first == nil || e.at < first.at || (e.at == first.at && e.order < first.order) {
			first = e
		}
	}
	if first == nil {
		m.now = end
		m.mu.Unlock()
		return false
	}
	delete(m.pending, first.order)
	m.now = max(m.now, first.at)
	m.mu.Unlock()
	first.call()
	return true
}
