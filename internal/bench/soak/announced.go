package soak

import (
	"net/http"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// announcement is what an upstream states in its responses.
type announcement struct {
	leaving     bool
	leaveStated timer.Instant // when a response first stated it; 0 before
}

// beginLeaving makes the responses say that the upstream leaves. Its announcements don't.
func (u *simulatedUpstream) beginLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.announced.leaving = true
}

// stateLeaving adds the leave to the header of a response.
func (u *simulatedUpstream) stateLeaving(h http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.announced.leaving {
		return
	}
	h.Set(u.soak.options.Dialect.Protocol().Leaving, "1")
	if u.announced.leaveStated == 0 {
		u.announced.leaveStated = u.soak.options.Timer.Now()
	}
}
