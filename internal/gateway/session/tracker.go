// Package session tracks which sessions sent requests recently, so that a roll-out that
// starts does not move them to another version.
package session

import (
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Tracker holds the sessions that were active within the idle timeout. A session is
// identified by a hash. A tracker is safe for concurrent use.
type Tracker struct {
	idleTimeout time.Duration
	timer       timer.Service

	mu         sync.Mutex
	lastActive map[layout.Service]map[uint64]timer.Instant
	sweptAt    timer.Instant // when expired sessions were last removed
}

// New returns a tracker of sessions, which end when no request arrives within idleTimeout.
func New(idleTimeout time.Duration, t timer.Service) *Tracker {
	return &Tracker{idleTimeout: idleTimeout, timer: t, lastActive: map[layout.Service]map[uint64]timer.Instant{}}
}

// Record records a request of a session.
func (t *Tracker) Record(s layout.Service, session uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	m := t.lastActive[s]
	if m == nil {
		m = map[uint64]timer.Instant{}
		t.lastActive[s] = m
	}
	m[session] = now
	if now.Sub(t.sweptAt) > t.idleTimeout {
		t.sweptAt = now
		t.removeExpired(now)
	}
}

// removeExpired drops the sessions that have ended.
func (t *Tracker) removeExpired(now timer.Instant) {
	for s, m := range t.lastActive {
		for session, at := range m {
			if now.Sub(at) > t.idleTimeout {
				delete(m, session)
			}
		}
		if len(m) == 0 {
			delete(t.lastActive, s)
		}
	}
}

// Active returns the active sessions of a service whose hash modulo 1000 is below bucket.
func (t *Tracker) Active(s layout.Service, bucket uint32) (out []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	for session, at := range t.lastActive[s] {
		if now.Sub(at) <= t.idleTimeout && session%1000 < uint64(bucket) {
			out = append(out, session)
		}
	}
	return out
}
