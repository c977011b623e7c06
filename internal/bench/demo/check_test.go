package demo

import (
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/bench/caller"
	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Guards against checks of runs that pass although a call ran twice, never, or
// in spite of a refusal.
func TestRunChecks(t *testing.T) {
	answered := caller.Record{Kind: caller.KindPlain, RequestID: "r", IdempotencyKey: "k", Outcome: caller.Answered}
	unknown := caller.Record{Kind: caller.KindPlain, RequestID: "u", IdempotencyKey: "v", Outcome: caller.Unknown}
	refused := caller.Record{Kind: caller.KindPlain, RequestID: "n", IdempotencyKey: "m", Outcome: caller.NotRun}
	for _, c := range []struct {
		name              string
		runs              map[string]int
		bookings, refusal bool
	}{
		{"right", map[string]int{"k": 1, "v": 1}, true, true},
		{"right without a run of the unknown one", map[string]int{"k": 1}, true, true},
		{"answered without a run", map[string]int{}, false, true},
		{"answered after two runs", map[string]int{"k": 2}, false, true},
		{"unknown after two runs", map[string]int{"k": 1, "v": 2}, false, true},
		{"run in spite of the refusal", map[string]int{"k": 1, "m": 1}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			all := []caller.Record{answered, unknown, refused}
			is.Equal(checkBookings(all, c.runs) == nil, c.bookings)
			is.Equal(checkNotRun(all, nil, c.runs) == nil, c.refusal)
		})
	}
}

// Guards against a change of a session's version that goes unnoticed.
func TestSessionCheck(t *testing.T) {
	is := is.New(t)
	d := &demo{}
	record := func(model string, moved bool) caller.Record {
		return caller.Record{Session: "s", Outcome: caller.Answered, Model: model, SessionMoved: moved}
	}
	is.NoErr(d.checkSessions([]caller.Record{record("small@1", false), record("small@2", true), record("small@2", false)}))
	is.True(d.checkSessions([]caller.Record{record("small@1", false), record("small@2", false)}) != nil)
	is.True(d.checkSessions([]caller.Record{record("", false)}) != nil)
}

// Guards against a monitor that overlooks an instance with an older revision.
func TestMonitor(t *testing.T) {
	for _, c := range []struct {
		name   string
		status *wire.StatusReply
		good   bool
	}{
		{"current", &wire.StatusReply{Revision: 5, Leases: []*wire.Lease{{Applied: 5, Left: 1000}}}, true},
		{"expired lease", &wire.StatusReply{Revision: 5, Leases: []*wire.Lease{{Applied: 3, Left: 0}}}, true},
		{"older", &wire.StatusReply{Revision: 4}, false},
		{"older lease", &wire.StatusReply{Revision: 5, Leases: []*wire.Lease{{Applied: 4, Left: 1000}}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := &monitor{demo: &demo{applied: 5}}
			m.check(c.status, 5)
			_, err := m.result()
			is.Equal(err == nil, c.good)
		})
	}
}

// Guards against a charge check that overlooks a missing, double or wrong charge.
func TestChargeCheck(t *testing.T) {
	answered := caller.Record{
		Kind: caller.KindChat, RequestID: "r", Target: "small", Outcome: caller.Answered,
		Usage: engine.Usage{PromptTokens: 3, CompletionTokens: 4},
	}
	refused := caller.Record{Kind: caller.KindChat, RequestID: "n", Target: "small", Outcome: caller.NotRun}
	right := cluster.Charge{Account: "a", Request: "r", Amount: 11}
	for _, c := range []struct {
		name    string
		charges []cluster.Charge
		good    bool
	}{
		{"right", []cluster.Charge{right}, true},
		{"missing", nil, false},
		{"of another account", []cluster.Charge{{Account: "b", Request: "r", Amount: 11}}, false},
		{"double", []cluster.Charge{right, right}, false},
		{"wrong amount", []cluster.Charge{{Account: "a", Request: "r", Amount: 12}}, false},
		{"for a refusal", []cluster.Charge{right, {Account: "a", Request: "n", Amount: 1}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := checkCharges("a", []caller.Record{answered, refused}, cluster.Ledger{Charges: c.charges})
			is.Equal(err == nil, c.good)
		})
	}
}

// Guards against totals that lose or double a charge.
func TestTotals(t *testing.T) {
	is := is.New(t)
	var l cluster.Ledger
	l.Charges = append(l.Charges, cluster.Charge{Account: "a", Service: "s", Request: "r", Amount: 7})
	is.True(checkTotals(l) != nil)
	l.Totals = append(l.Totals, cluster.Total{Account: "a", Service: "s", Requests: 1, Amount: 7})
	is.NoErr(checkTotals(l))
	l.Totals[0].Amount = 14
	is.True(checkTotals(l) != nil)
}
