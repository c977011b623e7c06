package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// announcement is what an upstream states in its responses.
type announcement struct {
	leaving     bool
	leaveStated timer.Instant // when a response first stated it; 0 before
	// leaveTold is when the first response that stated it to an instance was complete, by IP address.
	leaveTold map[string]timer.Instant
}

// ServeHTTP serves a request and records which instance was told of a leave. An interrupted response
// does not count, since its head may not have arrived.
func (u *simulatedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.serve(w, r)
	if r.Context().Err() == nil && w.Header().Get(u.soak.options.Dialect.Protocol().Leaving) != "" {
		ip, _, _ := net.SplitHostPort(r.RemoteAddr)
		u.recordLeaveTold(ip)
	}
}

// recordLeaveTold records that the instance at an IP address has a response that states the leave.
func (u *simulatedUpstream) recordLeaveTold(ip string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.announced.leaveTold == nil {
		u.announced.leaveTold = map[string]timer.Instant{}
	}
	if _, ok := u.announced.leaveTold[ip]; !ok {
		u.announced.leaveTold[ip] = u.soak.options.Timer.Now()
	}
}

// checkLeaving checks a request against what its instance was told. Other than in drainOver, only faults
// on the way between the two and of the instance itself excuse it, since a response is evidence that
// needs no other instance.
func (u *simulatedUpstream) checkLeaving(ip, id string) {
	u.mu.Lock()
	told, ok := u.announced.leaveTold[ip]
	u.mu.Unlock()
	s := u.soak
	since := s.options.Timer.Now().Sub(told)
	if !ok || !s.instanceUndisturbedSince(ip, told) || !u.proxy.undisturbedSince(ip, told) {
		return
	}
	s.recorder.count("requests after a stated leave")
	if since > s.options.Dialect.DrainDelay() {
		s.recorder.violation("%s gets request %s from %s, which it told %.2f s ago that it leaves", u.id, id, ip, since.Seconds())
	}
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

// freezeCore stops the instances with a data directory, so that the others can reach no leader, while one
// upstream states that it leaves and the upstreams of one service ask for a pause.
func (in *injector) freezeCore(ctx context.Context, r *rand.Rand) {
	core := in.instances[:controlInstances]
	for n, i := range core {
		if !i.reserve() {
			for _, reserved := range core[:n] {
				reserved.release()
			}
			return
		}
	}
	defer in.beginFault()()
	u := in.removeUpstream(r)
	if u != nil {
		in.replaceUpstream(u, false)
		in.sleepRandom(ctx, r, 2*announceInterval, 4*announceInterval)
	}
	for _, i := range core {
		i.currentProcess().Signal(syscall.SIGSTOP)
	}
	if u != nil {
		u.beginLeaving()
	}
	for _, paused := range in.upstreamsOf(in.randomUpstream(r).service) {
		paused.beginPause(3 * time.Second)
	}
	in.recorder.count("frozen cores")
	in.sleepRandom(ctx, r, in.options.Dialect.DrainDelay()+time.Second, in.options.Dialect.DrainDelay()+3*time.Second)
	for _, i := range core {
		i.currentProcess().Signal(syscall.SIGCONT)
		i.release()
	}
	if u != nil {
		in.stopDrained(ctx, r, u)
	}
}
