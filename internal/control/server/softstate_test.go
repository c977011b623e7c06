package server

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// softStateModel holds a leader's soft state and entries whose renewals are delayed or lost.
type softStateModel struct {
	clock     *timer.Manual
	state     *softState
	term      uint64
	committed uint64
	entries   []*modelEntry
	renewals  []*modelRenewal
}

// modelEntry is an entry with the revision and the lease that it believes to hold.
type modelEntry struct {
	name     string
	applied  uint64 // revision that the entry uses
	leaseEnd timer.Instant
}

// modelRenewal is one renewal in flight.
type modelRenewal struct {
	entry    *modelEntry
	sent     timer.Instant
	applied  uint64
	term     uint64
	grant    *grant // nil until the renewal is received
	revision uint64 // sent in the reply
	answered bool
}

// step makes one random step: a renewal is sent, received, answered, delivered or lost; a
// change is committed; another leader is elected; or time passes.
func (m *softStateModel) step(t *rapid.T) {
	e := m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry")]
	switch rapid.IntRange(0, 9).Draw(t, "act") {
	case 0, 1:
		m.renewals = append(m.renewals, &modelRenewal{entry: e, sent: m.clock.Now(), applied: e.applied})
	case 2, 3, 4, 5:
		m.advance(t)
	case 6:
		m.committed++
	case 7:
		if rapid.IntRange(0, 5).Draw(t, "elect") == 0 {
			m.term++
			m.state.beginTerm(m.term)
		}
	default:
		m.clock.Advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
	}
}

// advance moves one random renewal to its next stage, or loses it.
func (m *softStateModel) advance(t *rapid.T) {
	if len(m.renewals) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.renewals)-1).Draw(t, "flight")
	r := m.renewals[i]
	switch {
	case rapid.IntRange(0, 7).Draw(t, "lose") == 0:
	case r.grant == nil:
		r.term = m.term
		r.grant = m.state.beginRenewal(m.term, &wire.RenewRequest{Instance: &wire.Instance{Name: r.entry.name}, Applied: r.applied}, m.clock.Now())
		return
	case !r.answered:
		if r.term != m.term {
			break // the service checks the term before it answers
		}
		r.revision, r.answered = m.committed, true
		m.state.endRenewal(r.grant, r.revision)
		return
	case r.revision >= r.entry.applied:
		r.entry.applied = r.revision
		r.entry.leaseEnd = max(r.entry.leaseEnd, r.sent.Add(LeaseDuration))
	}
	m.renewals = append(m.renewals[:i], m.renewals[i+1:]...)
}

// Guards against a revision that is reported in force while an entry with a valid lease
// uses an older one. Renewals are delayed and lost, and leaders change.
func TestRevisionInForceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual()
		m := &softStateModel{clock: clock, state: newSoftState(clock), term: 1}
		m.state.beginTerm(1)
		for _, n := range []string{"e1", "e2", "e3"} {
			m.entries = append(m.entries, &modelEntry{name: n})
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			m.step(t)
			m.state.removeExpired()
			reached, _ := m.state.revisionInForce(m.committed)
			for _, e := range m.entries {
				if clock.Now().Before(e.leaseEnd) && e.applied < reached {
					t.Fatalf("%s holds a lease on revision %d while %d is in force", e.name, e.applied, reached)
				}
			}
		}
	})
}

// Guards against counters of an entry that count twice: it was frozen or cut off until its lease had
// expired, and goes on with the counters that it had.
func TestTalliesOfReturningEntry(t *testing.T) {
	for _, c := range []struct {
		name     string
		epochs   []uint64 // of successive renewals, each after the lease of the one before has expired
		requests []uint64
		total    uint64
	}{
		{"goes on", []uint64{1, 1, 1}, []uint64{5, 6, 9}, 9},
		{"restarted", []uint64{1, 2}, []uint64{5, 2}, 7},
		{"restarted, and the former process goes on", []uint64{1, 2, 1, 2}, []uint64{5, 2, 6, 4}, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.NewManual()
			s := newSoftState(clock)
			s.beginTerm(1)
			for i, epoch := range c.epochs {
				s.beginRenewal(1, &wire.RenewRequest{
					Instance: &wire.Instance{Name: "e"}, Epoch: epoch, Tallies: []*wire.Tally{{Account: "a", Requests: c.requests[i]}},
				}, clock.Now())
				clock.Advance(2 * LeaseDuration)
				s.removeExpired()
			}
			is.Equal(len(s.entries), 0)
			total := s.sumTallies()
			is.Equal(len(total), 1)
			is.Equal(total[0].Requests, c.total)
		})
	}
}

// Guards against counters of removed entries that take memory without end, or are lost.
func TestTalliesOfManyEntries(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	s := newSoftState(clock)
	s.beginTerm(1)
	const starts = 3 * maxExpiredProcesses
	for epoch := range uint64(starts) {
		s.beginRenewal(1, &wire.RenewRequest{Instance: &wire.Instance{Name: "e"}, Epoch: epoch, Tallies: []*wire.Tally{{Account: "a", Requests: 1}}}, clock.Now())
		clock.Advance(2 * LeaseDuration)
		s.removeExpired()
	}
	is.Equal(s.sumTallies()[0].Requests, uint64(starts))
	is.True(len(s.expired) <= maxExpiredProcesses)
}
