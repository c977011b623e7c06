package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// pauseDelay is how long after an upstream has told an instance of a pause requests count.
	pauseDelay = 500 * time.Millisecond
	// allowedInPause is how many of them may come from one instance.
	allowedInPause = 2
	// longPause is a pause that outlasts the run.
	longPause = 90 * time.Second
)

// requestedPause is a time in which an upstream refuses all requests and asks for a pause. The
// zero value has ended.
type requestedPause struct {
	end timer.Instant
	// told holds the instances that the upstream has told, by IP address.
	told map[string]*toldInstance
}

// toldInstance is an instance that was told of a pause.
type toldInstance struct {
	at       timer.Instant // when it was told first
	requests int           // from it that count
}

// beginPause makes the upstream ask for a pause.
func (u *simulatedUpstream) beginPause(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pause = requestedPause{end: u.soak.options.Timer.Now().Add(d), told: map[string]*toldInstance{}}
}

// refuseInPause refuses a request of the instance at an IP address during a pause and tells how long
// that lasts. It returns false without a pause.
func (u *simulatedUpstream) refuseInPause(h http.Header, ip string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	s, now := u.soak, u.soak.options.Timer.Now()
	if now >= u.pause.end {
		return false
	}
	h.Set("Retry-After", strconv.FormatFloat(u.pause.end.Sub(now).Seconds(), 'f', 3, 64))
	t := u.pause.told[ip]
	if t == nil {
		u.pause.told[ip] = &toldInstance{at: now}
		return true
	}
	if now < t.at.Add(pauseDelay) || !s.instanceUndisturbedSince(ip, t.at) || !u.proxy.undisturbedSince(ip, t.at) {
		return true
	}
	s.recorder.count("requests in pauses")
	if t.requests++; t.requests == allowedInPause+1 {
		s.recorder.violation("%s gets request %d from %s in a pause that it asked for %.2f s ago", u.id, t.requests, ip, now.Sub(t.at).Seconds())
	}
	return true
}

// instanceUndisturbedSince reports whether there was no fault and no planned work on the instance at an IP
// address since an instant.
func (s *Soak) instanceUndisturbedSince(ip string, since timer.Instant) bool {
	for _, i := range s.instances {
		if i.ip == ip {
			i.mu.Lock()
			defer i.mu.Unlock()
			return !i.reserved && i.reservationChanged < since
		}
	}
	return false
}

// undisturbedSince reports whether the proxy has passed everything on from the instance at an IP
// address since an instant.
func (p *proxy) undisturbedSince(ip string, since timer.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode != modePass || p.modeChanged >= since {
		return false
	}
	if p.partition != nil {
		return !p.partition.contains(ip)
	}
	return p.partitionEnded < since || !p.formerPartition.contains(ip)
}

// contains reports whether the instance at an IP address is partitioned.
func (p *partition) contains(ip string) bool {
	for i := range p.partitioned {
		if i.ip == ip {
			return true
		}
	}
	return false
}

// pauseUpstreams makes an upstream, or all of its service, refuse all requests for a while and ask
// for a pause.
func (in *injector) pauseUpstreams(ctx context.Context, r *rand.Rand) {
	if r.IntN(4) == 0 {
		in.pauseForLong(ctx, r)
		return
	}
	list, d := []*simulatedUpstream{in.randomUpstream(r)}, time.Second+time.Duration(r.Int64N(int64(3*time.Second)))
	if r.IntN(2) == 0 {
		list = in.upstreamsOf(list[0].service)
	}
	for _, u := range list {
		u.beginPause(d)
	}
	_ = timer.Sleep(ctx, in.options.Timer, d)
}

// pauseForLong replaces an upstream that asks for a pause until the end of the run.
func (in *injector) pauseForLong(ctx context.Context, r *rand.Rand) {
	u := in.removeUpstream(r)
	if u == nil {
		return
	}
	in.recorder.count("long pause of an upstream")
	in.replaceUpstream(u, false)
	u.beginPause(longPause)
	in.sleepRandom(ctx, r, 4*time.Second, 8*time.Second)
	u.beginDraining()
	in.stopDrained(ctx, r, u)
}
