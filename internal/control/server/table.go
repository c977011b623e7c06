package server

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// table is the soft state of the leader of group 0: the leases of entries, the
// upstreams they heard, their counters. It begins empty with each term.
type table struct {
	timer timer.Service

	mu    sync.Mutex
	term  uint64
	since timer.Instant
	// entries holds one record per process of an entry: a process that was
	// replaced may still be paused with a valid lease.
	entries map[process]*lease
	heard   map[string]*heard
	past    map[string]*wire.Tally
	// soft is the version of everything here, shape that of the list of entries.
	soft   uint64
	shape  uint64
	drains uint64
	// renewed is closed at the next renewal, shaped at the next change of the
	// list of entries, so that a parked renewal does not wake at each other one.
	renewed chan struct{}
	shaped  chan struct{}
}

type process struct {
	name  string
	epoch uint64
}

// lease is what is known of one process of an entry.
type lease struct {
	instance *wire.Instance
	grants   []*grant
	tallies  []*wire.Tally
}

// grant is one renewal: the entry may work on the revision until it expires.
type grant struct {
	revision uint64
	expires  timer.Instant
}

type heard struct {
	incarnation uint64
	at          timer.Instant
	load        *wire.Load
}

func newTable(t timer.Service) *table {
	return &table{timer: t, renewed: make(chan struct{}), shaped: make(chan struct{})}
}

// lead begins a term with an empty table. A repeated call does nothing.
func (t *table) lead(term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term == t.term {
		return
	}
	t.term, t.since = term, t.timer.Now()
	t.entries, t.heard, t.past = map[process]*lease{}, map[string]*heard{}, map[string]*wire.Tally{}
	t.soft = term << 32
	t.reshape()
	t.wake()
}

func (t *table) wake() {
	close(t.renewed)
	t.renewed = make(chan struct{})
}

func (t *table) reshape() {
	t.soft++
	t.shape = t.soft
	close(t.shaped)
	t.shaped = make(chan struct{})
}

// settled tells whether all leases that a former leader granted have expired.
func (t *table) settled(now timer.Instant) bool { return !now.Before(t.since.Add(LeaseDuration)) }

// begin records a renewal before it is answered. Until the answer is known the
// entry counts as working on the revision that it named.
func (t *table) begin(term uint64, r *wire.RenewRequest, received timer.Instant) *grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term != t.term {
		return nil
	}
	p := process{name: r.Instance.GetName(), epoch: r.Epoch}
	e := t.entries[p]
	fresh := e == nil
	if fresh {
		e = &lease{}
		t.entries[p] = e
	}
	moved := fresh || !proto.Equal(e.instance, r.Instance)
	news := len(r.Heard) > 0 || !slices.EqualFunc(e.tallies, r.Tallies, sameTally)
	e.instance, e.tallies = r.Instance, r.Tallies
	e.grants = slices.DeleteFunc(e.grants, func(g *grant) bool { return g.revision < r.Applied || !received.Before(g.expires) })
	g := &grant{revision: r.Applied, expires: received.Add(LeaseDuration)}
	e.grants = append(e.grants, g)
	for _, h := range r.Heard {
		t.hear(h)
	}
	switch {
	case moved:
		t.reshape()
	case news:
		t.soft++
	}
	t.wake()
	return g
}

func sameTally(a, b *wire.Tally) bool { return proto.Equal(a, b) }

// end records what a renewal was answered with.
func (t *table) end(g *grant, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g.revision = max(g.revision, revision)
}

// hear records that an upstream was heard. The caller holds the lock.
func (t *table) hear(h *wire.Heard) {
	k := t.heard[h.Name]
	switch {
	case k == nil || k.incarnation < h.Incarnation:
		t.heard[h.Name] = &heard{incarnation: h.Incarnation, at: t.timer.Now(), load: h.Load}
	case k.incarnation == h.Incarnation:
		k.at = t.timer.Now()
		if h.Load != nil && h.Load.Sequence >= k.load.GetSequence() {
			k.load = h.Load
		}
	}
}

// listen records an upstream that announced itself.
func (t *table) listen(u *wire.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heard == nil {
		return
	}
	t.hear(&wire.Heard{Name: u.Name, Incarnation: u.Incarnation, Load: u.Load})
	t.soft++
}

// prune drops entries whose leases have all expired.
func (t *table) prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	gone := false
	for p, e := range t.entries {
		if e.left(now) > 0 {
			continue
		}
		delete(t.entries, p)
		addTallies(t.past, e.tallies)
		gone = true
	}
	if gone {
		t.reshape()
	}
}

// least returns the oldest revision that the entry may still act on under a lease.
func (e *lease) least(now timer.Instant) uint64 {
	least := uint64(math.MaxUint64)
	for _, g := range e.grants {
		if now.Before(g.expires) {
			least = min(least, g.revision)
		}
	}
	return least
}

// left returns how long the longest lease of the process lasts.
func (e *lease) left(now timer.Instant) time.Duration {
	var left time.Duration
	for _, g := range e.grants {
		left = max(left, g.expires.Sub(now))
	}
	return left
}

// inforce returns the highest revision, at most current, that every entry with a
// valid lease works on. It returns the time after which the answer may be higher
// without any renewal, zero if there is none.
func (t *table) inforce(current uint64) (revision uint64, again time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	if !t.settled(now) {
		return 0, t.since.Add(LeaseDuration).Sub(now)
	}
	revision = current
	for _, e := range t.entries {
		for _, g := range e.grants {
			if !now.Before(g.expires) || g.revision >= revision {
				continue
			}
			revision, again = g.revision, g.expires.Sub(now)
		}
	}
	return revision, again
}

// watch returns the channels that are closed at the next renewal and at the next
// change of the list of entries.
func (t *table) watch() (renewed, shaped <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.renewed, t.shaped
}

// outdated tells whether an entry that holds the given version lacks a change of
// the list of entries. In the first lease period of a term the list is not
// complete, and entries keep what the former leader gave them.
func (t *table) outdated(soft, drains uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drains != drains {
		t.drains = drains
		t.reshape()
	}
	return soft == 0 || soft < t.shape && t.settled(t.timer.Now())
}

// leases lists the processes with a valid lease. An instance that is to drain
// shows as draining before it says so itself.
func (t *table) leases(c *state.Config) []*wire.Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	var out []*wire.Lease
	for _, e := range t.entries {
		if left := e.left(now); left > 0 {
			out = append(out, &wire.Lease{Instance: e.shown(c), Applied: e.least(now), Left: left.Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b *wire.Lease) int { return cmp.Compare(a.Instance.Name, b.Instance.Name) })
	return out
}
