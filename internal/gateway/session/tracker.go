// Package session tracks which sessions sent requests recently and which version served them,
// so that a roll-out that starts does not move them to another version.
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

	mu       sync.Mutex
	sessions map[layout.Service]map[uint64]state
	sweptAt  timer.Instant // when expired sessions were last removed
}

// state is what is known of one session.
type state struct {
	activeAt timer.Instant // begin or end of a request, the latest
	version  string        // that ran the last request that has ended, or empty
	endedAt  timer.Instant // of that request
}

// Displaced is a session whose last version serves no more.
type Displaced struct {
	Session   uint64
	Remaining time.Duration // until the session counts as ended
}

// New returns a tracker of sessions, which end when no request arrives within idleTimeout.
func New(idleTimeout time.Duration, t timer.Service) *Tracker {
	return &Tracker{idleTimeout: idleTimeout, timer: t, sessions: map[layout.Service]map[uint64]state{}}
}

// Record records the begin of a request of a session.
func (t *Tracker) Record(s layout.Service, session uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	m := t.sessionsOf(s)
	e := m[session]
	e.activeAt = now
	m[session] = e
	if now.Sub(t.sweptAt) > t.idleTimeout {
		t.sweptAt = now
		t.removeExpired(now)
	}
}

// RecordEnd records the end of a request of a session that a version ran.
func (t *Tracker) RecordEnd(s layout.Service, session uint64, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	t.sessionsOf(s)[session] = state{activeAt: now, version: version, endedAt: now}
}

// sessionsOf returns the sessions of a service. t.mu must be held.
func (t *Tracker) sessionsOf(s layout.Service) map[uint64]state {
	m := t.sessions[s]
	if m == nil {
		m = map[uint64]state{}
		t.sessions[s] = m
	}
	return m
}

// removeExpired drops the sessions that have ended. t.mu must be held.
func (t *Tracker) removeExpired(now timer.Instant) {
	for s, m := range t.sessions {
		for session, e := range m {
			if now.Sub(e.activeAt) > t.idleTimeout {
				delete(m, session)
			}
		}
		if len(m) == 0 {
			delete(t.sessions, s)
		}
	}
}

// Active returns the active sessions of a service whose hash modulo 1000 is below bucket.
func (t *Tracker) Active(s layout.Service, bucket uint32) (out []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	for session, e := range t.sessions[s] {
		if now.Sub(e.activeAt) <= t.idleTimeout && session%1000 < uint64(bucket) {
			out = append(out, session)
		}
	}
	return out
}

// Displaced returns the sessions of a service whose last version serves no more.
func (t *Tracker) Displaced(s layout.Service, serves func(version string) bool) (out []Displaced) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for session, e := range t.sessions[s] {
		if d := t.remaining(e, serves); d > 0 {
			out = append(out, Displaced{session, d})
		}
	}
	return out
}

// Remaining returns how long a session is displaced; 0 if it is not.
func (t *Tracker) Remaining(s layout.Service, session uint64, serves func(version string) bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remaining(t.sessions[s][session], serves)
}

// remaining is Remaining for a state.
func (t *Tracker) remaining(e state, serves func(version string) bool) time.Duration {
	if e.version == "" || serves(e.version) {
		return 0
	}
	return max(0, t.idleTimeout-t.timer.Now().Sub(e.endedAt))
}
