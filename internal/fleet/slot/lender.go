// Package slot leases the slots of brittle upstreams to instances. A brittle upstream fails if it has to
// refuse more than a few requests in a second, over all instances. The leader therefore leases each slot to
// one request at a time, and an instance sends a request to a brittle upstream only with a lease. A lease
// counts as in use until it is returned or its request has certainly ended, so that the leader never
// leases more slots than there are, whatever happens to an instance. The package does no I/O.
package slot

import (
	"math"
	"slices"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// Lifetime is how long after the end of its patience a request may still begin with a lease.
	Lifetime = 300 * time.Millisecond
	// MaxPatience is the longest time that a request waits for a lease.
	MaxPatience = 300 * time.Millisecond
	// TakeoverDelay is how long a new leader leases nothing: leases of the former one may be unused
	// until then, and instances report those that are in use.
	TakeoverDelay = Lifetime + MaxPatience
	// An upstream that refuses a request with a lease has room for fewer requests than it has slots: for one
	// fewer than it had. Another slot is tried after probeInterval, doubled after each refusal that follows
	// such a trial, up to maxProbeInterval.
	probeInterval    = 2 * time.Second
	maxProbeInterval = 16 * time.Second
	// minReduction is the time between two refusals that do not have the same cause.
	minReduction = 500 * time.Millisecond
	// refusalWindow is the time in which refusals count towards those that an upstream tolerates. Half of
	// these close the upstream for as long.
	refusalWindow = time.Second
	// initialDuration is the assumed duration of a request before one has ended, and durationSmoothing
	// the weight of the newest one in their moving average.
	initialDuration   = 100 * time.Millisecond
	durationSmoothing = 0.05
	// advanceInterval is the shortest time between two passes over all leases and wants.
	advanceInterval = 20 * time.Millisecond
)

// Upstream is an incarnation of an upstream.
type Upstream struct {
	ID   string
	Born int64
}

// LeaseID identifies a lease, also for the successors of the leader that granted it.
type LeaseID uint64

// Use tells how the request with a lease ended. The values are those of wire.SlotUse.
type Use int

const (
	// Ended means that nothing of the request is left at the upstream.
	Ended Use = iota
	// Abandoned means that the upstream may still work on the request.
	Abandoned
	// Refused means that the upstream refused the request, although it had a slot.
	Refused
	// Unused means that the upstream was not sent the request.
	Unused
)

// Holder is one process of an instance.
type Holder struct {
	Instance string
	Epoch    uint64
}

// Want is a request that waits for a slot.
type Want struct {
	Holder Holder
	Number uint64 // identifies the want among those of the holder
	// Upstreams are the possible ones, the preferred one first.
	Upstreams []Upstream
	// Until is when the request has certainly ended.
	Until timer.Instant
	// Patience is how long the request waits for a slot.
	Patience time.Duration

	askedAt timer.Instant
}

// Answer answers a want: with a lease, or with the time after which it is worth asking again.
type Answer struct {
	Want  *Want
	Lease LeaseID // 0 if none will be free before the patience ends
	// Upstream is the one whose slot was leased.
	Upstream Upstream
	Wait     time.Duration
}

// Held is a lease that an instance reports to a new leader.
type Held struct {
	ID       LeaseID
	Upstream Upstream
	Until    timer.Instant
}

// lease is a slot in use.
type lease struct {
	Held
	holder Holder
	begun  timer.Instant
}

// state is what the leader knows about the slots of an upstream.
type state struct {
	leased      int
	duration    time.Duration // of requests, a moving average
	limit       int           // of the slots in use, at limitedAt; 0 if all may be used
	limitedAt   timer.Instant
	interval    time.Duration   // between two trials of another slot
	refusals    []timer.Instant // in the last refusalWindow
	pausedUntil timer.Instant
}

// Info is what an upstream states.
type Info struct {
	Slots     int // that may be leased
	Tolerated int // requests that it may have to refuse in a second
}

// Options configures a lender.
type Options struct {
	// Upstream returns what an upstream states, or false if it takes no requests.
	Upstream func(u Upstream) (info Info, ok bool)
	// NewID returns a new random identifier.
	NewID func() uint64
	// OpenAt is when leases are granted for the first time.
	OpenAt timer.Instant
}

// Lender leases slots for one leader. It is not safe for concurrent use.
type Lender struct {
	options    Options
	leases     map[LeaseID]*lease
	states     map[Upstream]*state
	queue      []*Want // the first has waited longest
	advancedAt timer.Instant
}

// NewLender returns a lender without leases.
func NewLender(o Options) *Lender {
	return &Lender{options: o, leases: map[LeaseID]*lease{}, states: map[Upstream]*state{}}
}

// state returns the state of an upstream.
func (l *Lender) state(u Upstream) *state {
	s := l.states[u]
	if s == nil {
		s = &state{duration: initialDuration, interval: probeInterval}
		l.states[u] = s
	}
	return s
}

// capacity returns how many slots of an upstream may be in use.
func (l *Lender) capacity(u Upstream, now timer.Instant) int {
	info, ok := l.options.Upstream(u)
	s := l.state(u)
	switch {
	case !ok || info.Slots <= 0 || now.Before(s.pausedUntil):
		return 0
	case s.limit == 0:
		return info.Slots
	}
	return min(s.limit+int(now.Sub(s.limitedAt)/s.interval), info.Slots)
}

// Ask answers a want at once or queues it. The answers may include those of other wants.
func (l *Lender) Ask(w *Want, now timer.Instant) []Answer {
	w.askedAt = now
	answers := l.Advance(now)
	if a, ok := l.lend(w, now); ok {
		return append(answers, a)
	}
	if wait := l.expectedWait(w, now); wait > w.Patience {
		return append(answers, Answer{Want: w, Wait: wait})
	}
	l.queue = append(l.queue, w)
	return answers
}

// lend leases a slot to a want: that of the preferred upstream if half of its slots are free, else of the one
// with the largest part of its slots free.
func (l *Lender) lend(w *Want, now timer.Instant) (a Answer, ok bool) {
	if now.Before(l.options.OpenAt) {
		return a, false
	}
	best, mostFree := -1, 0.0
	for i, u := range w.Upstreams {
		capacity := l.capacity(u, now)
		if capacity == 0 {
			continue
		}
		free := float64(capacity-l.state(u).leased) / float64(capacity)
		if free > mostFree {
			best, mostFree = i, free
		}
		if i == 0 && free >= 0.5 {
			break
		}
	}
	if best < 0 {
		return a, false
	}
	return l.grant(w, w.Upstreams[best], now), true
}

// grant leases a slot of an upstream to a want.
func (l *Lender) grant(w *Want, u Upstream, now timer.Instant) Answer {
	id := LeaseID(l.options.NewID())
	l.add(&lease{Held: Held{ID: id, Upstream: u, Until: w.Until}, holder: w.Holder, begun: now})
	return Answer{Want: w, Lease: id, Upstream: u}
}

// add records a lease.
func (l *Lender) add(n *lease) {
	l.leases[n.ID] = n
	l.state(n.Upstream).leased++
}

// remove forgets a lease.
func (l *Lender) remove(n *lease) {
	delete(l.leases, n.ID)
	l.state(n.Upstream).leased--
}

// expectedWait estimates when a slot is free for a want that is queued now.
func (l *Lender) expectedWait(w *Want, now timer.Instant) time.Duration {
	slots, duration, resume := 0, time.Duration(0), timer.Instant(math.MaxInt64)
	for _, u := range w.Upstreams {
		slots += l.capacity(u, now)
		s := l.state(u)
		duration = max(duration, s.duration)
		if now.Before(s.pausedUntil) {
			resume = min(resume, s.pausedUntil)
		}
	}
	closed := max(l.options.OpenAt.Sub(now), 0)
	switch {
	case slots > 0:
		ahead := 0
		for _, o := range l.queue {
			if slices.Contains(o.Upstreams, w.Upstreams[0]) {
				ahead++
			}
		}
		return closed + duration*time.Duration(ahead+1)/time.Duration(slots)
	case resume < math.MaxInt64:
		return max(closed, resume.Sub(now))
	}
	return max(closed, refusalWindow)
}

// Advance drops leases whose requests have ended and wants that wait no more, and answers wants for which
// slots are free. It does so once in advanceInterval.
func (l *Lender) Advance(now timer.Instant) (answers []Answer) {
	if now.Sub(l.advancedAt) < advanceInterval {
		return nil
	}
	l.advancedAt = now
	l.expire(now)
	l.queue = slices.DeleteFunc(l.queue, func(w *Want) bool {
		if now.Sub(w.askedAt) >= w.Patience {
			return true
		}
		a, ok := l.lend(w, now)
		if ok {
			answers = append(answers, a)
		}
		return ok
	})
	return answers
}

// expire drops leases whose requests have certainly ended, and the states of upstreams that are gone.
func (l *Lender) expire(now timer.Instant) {
	for _, n := range l.leases {
		if !now.Before(n.Until) {
			l.remove(n)
		}
	}
	for u, s := range l.states {
		if _, ok := l.options.Upstream(u); !ok && s.leased == 0 {
			delete(l.states, u)
		}
	}
}

// serve leases the free slots of an upstream to the wants that have waited longest for it.
func (l *Lender) serve(u Upstream, now timer.Instant) (answers []Answer) {
	if now.Before(l.options.OpenAt) {
		return nil
	}
	free := l.capacity(u, now) - l.state(u).leased
	for i := 0; i < len(l.queue) && free > 0; i++ {
		w := l.queue[i]
		if now.Sub(w.askedAt) < w.Patience && slices.Contains(w.Upstreams, u) {
			answers = append(answers, l.grant(w, u, now))
			l.queue = slices.Delete(l.queue, i, i+1)
			free--
			i--
		}
	}
	return answers
}

// Return ends a lease. If its request was abandoned, the upstream may work on it for as long as requests
// usually take, so the slot stays in use until then.
func (l *Lender) Return(id LeaseID, use Use, now timer.Instant) []Answer {
	n := l.leases[id]
	if n == nil {
		return nil
	}
	s := l.state(n.Upstream)
	switch use {
	case Abandoned:
		n.Until = min(n.Until, now.Add(s.duration))
		return nil
	case Refused:
		l.reduce(n.Upstream, now)
	case Ended:
		s.duration += time.Duration(durationSmoothing * float64(now.Sub(n.begun)-s.duration))
	case Unused:
	}
	l.remove(n)
	return l.serve(n.Upstream, now)
}

// Withdraw drops a want that has become obsolete.
func (l *Lender) Withdraw(h Holder, number uint64) {
	l.queue = slices.DeleteFunc(l.queue, func(w *Want) bool { return w.Holder == h && w.Number == number })
}

// Adopt records the leases that an instance holds, those of a former leader included.
func (l *Lender) Adopt(h Holder, held []Held, now timer.Instant) {
	for _, o := range held {
		if n := l.leases[o.ID]; n != nil {
			n.Until = max(n.Until, o.Until)
			continue
		}
		l.add(&lease{Held: o, holder: h, begun: now})
	}
}

// Leave drops the wants of a process. If it has ended, so have its connections, and its requests end as
// abandoned ones do.
func (l *Lender) Leave(h Holder, ended bool, now timer.Instant) {
	l.queue = slices.DeleteFunc(l.queue, func(w *Want) bool { return w.Holder == h })
	if !ended {
		return
	}
	for _, n := range l.leases {
		if n.holder == h {
			n.Until = min(n.Until, now.Add(l.state(n.Upstream).duration))
		}
	}
}

// Pause grants no leases of an upstream for a while, since it refused requests that had none.
func (l *Lender) Pause(u Upstream, now timer.Instant) {
	s := l.state(u)
	s.pausedUntil = max(s.pausedUntil, now.Add(refusalWindow))
}

// reduce records that the upstream refused a request with a lease, which still counts as in use.
func (l *Lender) reduce(u Upstream, now timer.Instant) {
	s := l.state(u)
	info, _ := l.options.Upstream(u)
	limit := max(min(l.capacity(u, now), s.leased)-1, 1)
	if s.limit == 0 || now.Sub(s.limitedAt) >= minReduction {
		// A refusal after a longer time than the trials take has another cause.
		if s.interval *= 2; s.limit == 0 || now.Sub(s.limitedAt) > s.interval {
			s.interval = probeInterval
		}
		s.interval = min(s.interval, maxProbeInterval)
	}
	s.limit, s.limitedAt = limit, now
	s.refusals = slices.DeleteFunc(s.refusals, func(at timer.Instant) bool { return now.Sub(at) >= refusalWindow })
	if s.refusals = append(s.refusals, now); len(s.refusals) >= max(info.Tolerated/2, 1) {
		s.pausedUntil = max(s.pausedUntil, now.Add(refusalWindow))
	}
}

// Upstream returns the upstream of a lease and how many of its slots are in use.
func (l *Lender) Upstream(id LeaseID) (u Upstream, leased int) {
	n := l.leases[id]
	if n == nil {
		return u, 0
	}
	return n.Upstream, l.state(n.Upstream).leased
}
