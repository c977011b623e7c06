package server

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// model is a leader's table and entries whose renewals are delayed and lost.
type model struct {
	clock   *timer.Manual
	table   *table
	term    uint64
	current uint64
	entries []*modelEntry
	flights []*flight
}

type modelEntry struct {
	name    string
	applied uint64
	until   timer.Instant
}

// flight is one renewal on its way.
type flight struct {
	entry    *modelEntry
	sent     timer.Instant
	applied  uint64
	term     uint64
	grant    *grant
	revision uint64
	answered bool
}

// act makes one random step: a renewal is sent, received, answered, delivered or
// lost, a change is committed, another leader is elected, time passes.
func (m *model) act(t *rapid.T) {
	e := m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry")]
	switch rapid.IntRange(0, 9).Draw(t, "act") {
	case 0, 1:
		m.flights = append(m.flights, &flight{entry: e, sent: m.clock.Now(), applied: e.applied})
	case 2, 3, 4, 5:
		m.advance(t)
	case 6:
		m.current++
	case 7:
		if rapid.IntRange(0, 5).Draw(t, "elect") == 0 {
			m.term++
			m.table.lead(m.term)
		}
	default:
		m.clock.Advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
	}
}

// advance moves one renewal on by a stage.
func (m *model) advance(t *rapid.T) {
	if len(m.flights) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.flights)-1).Draw(t, "flight")
	f := m.flights[i]
	switch {
	case rapid.IntRange(0, 7).Draw(t, "lose") == 0:
	case f.grant == nil:
		f.term = m.term
		f.grant = m.table.begin(m.term, &wire.RenewRequest{Instance: &wire.Instance{Name: f.entry.name}, Applied: f.applied}, m.clock.Now())
		return
	case !f.answered:
		if f.term != m.term {
			break // the service checks the term before it answers
		}
		f.revision, f.answered = m.current, true
		m.table.end(f.grant, f.revision)
		return
	case f.revision >= f.entry.applied:
		f.entry.applied = f.revision
		f.entry.until = max(f.entry.until, f.sent.Add(LeaseDuration))
	}
	m.flights = append(m.flights[:i], m.flights[i+1:]...)
}

// Guards against a revision that is called in force while an entry with a valid
// lease works on an older one, whatever is delayed or lost, also across elections.
func TestInforceIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual()
		m := &model{clock: clock, table: newTable(clock), term: 1}
		m.table.lead(1)
		for _, n := range []string{"e1", "e2", "e3"} {
			m.entries = append(m.entries, &modelEntry{name: n})
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			m.act(t)
			m.table.prune()
			reached, _ := m.table.inforce(m.current)
			for _, e := range m.entries {
				if clock.Now().Before(e.until) && e.applied < reached {
					t.Fatalf("%s holds a lease on revision %d while %d is in force", e.name, e.applied, reached)
				}
			}
		}
	})
}
