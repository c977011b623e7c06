// Package session remembers which sessions ran lately, so that a roll-out that begins
// leaves them on their version.
package session

import (
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Tracker holds the sessions of a span. It is safe for concurrent use.
type Tracker struct {
	span  time.Duration
	timer timer.Service

	mu       sync.Mutex
	services map[layout.Service]map[uint64]timer.Instant
	swept    timer.Instant
}

// New returns a memory of sessions whose requests follow each other within span.
func New(span time.Duration, t timer.Service) *Tracker {
	return &Tracker{span: span, timer: t, services: map[layout.Service]map[uint64]timer.Instant{}}
}

// Record records a request of a session.
func (r *Tracker) Record(s layout.Service, session uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	m := r.services[s]
	if m == nil {
		m = map[uint64]timer.Instant{}
		r.services[s] = m
	}
	m[session] = now
	if now.Sub(r.swept) > r.span {
		r.swept = now
		r.sweep(now)
	}
}

func (r *Tracker) sweep(now timer.Instant) {
	for s, m := range r.services {
		for session, at := range m {
			if now.Sub(at) > r.span {
				delete(m, session)
			}
		}
		if len(m) == 0 {
			delete(r.services, s)
		}
	}
}

// Active returns the sessions of a service that ran within the span, of those that lie
// in a bucket of thousandths.
func (r *Tracker) Active(s layout.Service, bucket uint32) (out []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	for session, at := range r.services[s] {
		if now.Sub(at) <= r.span && session%1000 < uint64(bucket) {
			out = append(out, session)
		}
	}
	return out
}
