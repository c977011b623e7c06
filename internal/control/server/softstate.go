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

// softState is the part of the state of group 0 that its leader does not replicate: the
// leases of entries, the upstreams that they heard from, and their counters. It is empty
// at the start of each term.
type softState struct {
	timer timer.Service

	mu        sync.Mutex
	term      uint64
	termStart timer.Instant // when the soft state of the term began
	// entries holds one lease per process of an entry: a process that was replaced
	// may only be paused and still hold a valid lease.
	entries   map[process]*lease
	upstreams map[string]*heardUpstream
	// expired holds the counters of processes that were removed and may return with them. Those of
	// earlier ones are in expiredTallies, by account.
	expired        map[process]expiredProcess
	expiredTallies map[string]*wire.Tally
	// version counts changes of the soft state and starts higher in each term;
	// entriesVersion is its value at the last change of the list of entries.
	version        uint64
	entriesVersion uint64
	// drainChanges is the number of changes of draining instances that entriesVersion includes.
	drainChanges uint64
	// renewed is closed at the next renewal, entriesChanged at the next change of the list
	// of entries. They are separate so that a waiting renewal does not wake at each other one.
	renewed        chan struct{}
	entriesChanged chan struct{}
}

// process identifies one process of an entry.
type process struct {
	name  string
	epoch uint64
}

// maxExpiredProcesses limits the removed processes whose counters are kept apart. A process that was
// frozen or cut off returns before so many others have ended.
const maxExpiredProcesses = 256

// expiredProcess is a process whose leases have expired.
type expiredProcess struct {
	at      timer.Instant // when it was removed
	tallies []*wire.Tally
}

// lease holds what one process of an entry reported and was granted. It is valid as long
// as any of its grants is.
type lease struct {
	instance *wire.Instance
	grants   []*grant
	tallies  []*wire.Tally
}

// grant is the result of one renewal: the entry may use the revision until the grant expires.
type grant struct {
	revision uint64
	expires  timer.Instant
}

// heardUpstream is the last sign of life of an upstream.
type heardUpstream struct {
	incarnation uint64
	lastHeard   timer.Instant
	load        *wire.Load
}

func newSoftState(t timer.Service) *softState {
	return &softState{timer: t, renewed: make(chan struct{}), entriesChanged: make(chan struct{})}
}

// beginTerm clears the soft state if the term is new, otherwise it does nothing.
func (s *softState) beginTerm(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term == s.term {
		return
	}
	s.term, s.termStart = term, s.timer.Now()
	s.entries, s.upstreams = map[process]*lease{}, map[string]*heardUpstream{}
	s.expired, s.expiredTallies = map[process]expiredProcess{}, map[string]*wire.Tally{}
	s.version = term << 32
	s.markEntriesChanged()
	s.notifyRenewal()
}

// notifyRenewal wakes those that wait for a renewal. The caller holds the lock.
func (s *softState) notifyRenewal() {
	close(s.renewed)
	s.renewed = make(chan struct{})
}

// markEntriesChanged starts a new version and wakes those that wait for a change of the
// list of entries. The caller holds the lock.
func (s *softState) markEntriesChanged() {
	s.version++
	s.entriesVersion = s.version
	close(s.entriesChanged)
	s.entriesChanged = make(chan struct{})
}

// formerLeasesExpired reports whether all leases that a former leader granted have expired.
func (s *softState) formerLeasesExpired(now timer.Instant) bool {
	return !now.Before(s.termStart.Add(LeaseDuration))
}

// beginRenewal records a renewal before it is answered. Until endRenewal is called, the
// entry counts as using the revision that it named. It returns nil if the term has ended.
func (s *softState) beginRenewal(term uint64, r *wire.RenewRequest, received timer.Instant) *grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.term {
		return nil
	}
	p := process{name: r.Instance.GetName(), epoch: r.Epoch}
	e := s.entries[p]
	isNew := e == nil
	if isNew {
		e = &lease{}
		s.entries[p] = e
		delete(s.expired, p) // its counters go on
	}
	entryChanged := isNew || !proto.Equal(e.instance, r.Instance)
	reportChanged := len(r.Heard) > 0 || !slices.EqualFunc(e.tallies, r.Tallies, tallyEqual)
	e.instance, e.tallies = r.Instance, r.Tallies
	e.grants = slices.DeleteFunc(e.grants, func(g *grant) bool { return g.revision < r.Applied || !received.Before(g.expires) })
	g := &grant{revision: r.Applied, expires: received.Add(LeaseDuration)}
	e.grants = append(e.grants, g)
	for _, h := range r.Heard {
		s.recordHeard(h)
	}
	switch {
	case entryChanged:
		s.markEntriesChanged()
	case reportChanged:
		s.version++
	}
	s.notifyRenewal()
	return g
}

// tallyEqual reports whether two tallies hold the same counters.
func tallyEqual(a, b *wire.Tally) bool { return proto.Equal(a, b) }

// endRenewal records the revision that was sent in reply to a renewal.
func (s *softState) endRenewal(g *grant, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.revision = max(g.revision, revision)
}

// recordHeard records a sign of life of an upstream. A former incarnation and an older load
// are ignored. The caller holds the lock.
func (s *softState) recordHeard(h *wire.Heard) {
	known := s.upstreams[h.Name]
	switch {
	case known == nil || known.incarnation < h.Incarnation:
		s.upstreams[h.Name] = &heardUpstream{incarnation: h.Incarnation, lastHeard: s.timer.Now(), load: h.Load}
	case known.incarnation == h.Incarnation:
		known.lastHeard = s.timer.Now()
		if h.Load != nil && h.Load.Sequence >= known.load.GetSequence() {
			known.load = h.Load
		}
	}
}

// recordAnnounced records an announcement as a sign of life. It does nothing
// before this instance has led group 0 for the first time.
func (s *softState) recordAnnounced(u *wire.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstreams == nil {
		return
	}
	s.recordHeard(&wire.Heard{Name: u.Name, Incarnation: u.Incarnation, Load: u.Load})
	s.version++
}

// removeExpired removes entries whose leases have all expired. Their counters are kept.
func (s *softState) removeExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	removed := false
	for p, e := range s.entries {
		if e.remaining(now) > 0 {
			continue
		}
		delete(s.entries, p)
		s.keepTallies(p, expiredProcess{now, e.tallies})
		removed = true
	}
	if removed {
		s.markEntriesChanged()
	}
}

// keepTallies keeps the counters of a removed process. The caller holds the lock.
func (s *softState) keepTallies(p process, e expiredProcess) {
	s.expired[p] = e
	if len(s.expired) <= maxExpiredProcesses {
		return
	}
	oldest := p
	for o, x := range s.expired {
		if x.at < s.expired[oldest].at {
			oldest = o
		}
	}
	addTallies(s.expiredTallies, s.expired[oldest].tallies)
	delete(s.expired, oldest)
}

// oldestRevision returns the oldest revision that the process may still use under a lease.
func (e *lease) oldestRevision(now timer.Instant) uint64 {
	oldest := uint64(math.MaxUint64)
	for _, g := range e.grants {
		if now.Before(g.expires) {
			oldest = min(oldest, g.revision)
		}
	}
	return oldest
}

// remaining returns the time until the last lease of the process expires, zero if it has expired.
func (e *lease) remaining(now timer.Instant) time.Duration {
	var remaining time.Duration
	for _, g := range e.grants {
		remaining = max(remaining, g.expires.Sub(now))
	}
	return remaining
}

// revisionInForce returns the highest revision, at most current, that every entry with a
// valid lease has reached. The second result is the time after which the revision may be
// higher without any renewal, zero if there is no such time.
func (s *softState) revisionInForce(current uint64) (revision uint64, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	if !s.formerLeasesExpired(now) {
		return 0, s.termStart.Add(LeaseDuration).Sub(now)
	}
	revision = current
	for _, e := range s.entries {
		for _, g := range e.grants {
			if !now.Before(g.expires) || g.revision >= revision {
				continue
			}
			revision, retryAfter = g.revision, g.expires.Sub(now)
		}
	}
	return revision, retryAfter
}

// notifications returns a channel that is closed at the next renewal and one that is
// closed at the next change of the list of entries.
func (s *softState) notifications() (renewed, entriesChanged <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewed, s.entriesChanged
}

// lacksEntries reports whether an entry that holds the given version has missed a change of
// the list of entries. The list shows which of them drain, so that a new value of
// drainChanges is such a change too. In the first lease period of a term the list is
// incomplete, and entries keep what the former leader sent them.
func (s *softState) lacksEntries(held, drainChanges uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainChanges != drainChanges {
		s.drainChanges = drainChanges
		s.markEntriesChanged()
	}
	return held == 0 || held < s.entriesVersion && s.formerLeasesExpired(s.timer.Now())
}

// validLeases lists the processes with a valid lease. An instance that was told to drain
// is listed as draining before it reports so itself.
func (s *softState) validLeases(c *state.Config) []*wire.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	var out []*wire.Lease
	for _, e := range s.entries {
		if remaining := e.remaining(now); remaining > 0 {
			out = append(out, &wire.Lease{Instance: e.visibleInstance(c), Applied: e.oldestRevision(now), Left: remaining.Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b *wire.Lease) int { return cmp.Compare(a.Instance.Name, b.Instance.Name) })
	return out
}
