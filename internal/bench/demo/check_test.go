package demo

import (
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/bench/caller"
	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Guards against checks of runs that pass although a call ran twice, did not run, or ran although
// its caller was told that it did not.
func TestRunChecks(t *testing.T) {
	answered := caller.Record{Kind: caller.KindPlain, RequestID: "r", IdempotencyKey: "k", Outcome: caller.Answered}
	unknown := caller.Record{Kind: caller.KindPlain, RequestID: "u", IdempotencyKey: "v", Outcome: caller.Unknown}
	refused := caller.Record{Kind: caller.KindPlain, RequestID: "n", IdempotencyKey: "m", Outcome: caller.NotRun}
	for _, c := range []struct {
		name                       string
		runs                       map[string]int
		bookingsPass, refusalsPass bool
	}{
		{"as expected", map[string]int{"k": 1, "v": 1}, true, true},
		{"unknown outcome and no run", map[string]int{"k": 1}, true, true},
		{"answered without a run", map[string]int{}, false, true},
		{"answered after two runs", map[string]int{"k": 2}, false, true},
		{"unknown outcome after two runs", map[string]int{"k": 1, "v": 2}, false, true},
		{"run although refused", map[string]int{"k": 1, "m": 1}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			all := []caller.Record{answered, unknown, refused}
			is.Equal(checkBookings(all, c.runs) == nil, c.bookingsPass)
			is.Equal(checkNotRun(all, nil, c.runs) == nil, c.refusalsPass)
		})
	}
}

// Guards against a session check that misses a change of the model version.
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

// Guards against a monitor that misses an instance with an older revision.
func TestMonitor(t *testing.T) {
	for _, c := range []struct {
		name   string
		status *wire.StatusReply
		passes bool
	}{
		{"current", &wire.StatusReply{Revision: 5, Leases: []*wire.Lease{{Applied: 5, Left: 1000}}}, true},
		{"expired lease", &wire.StatusReply{Revision: 5, Leases: []*wire.Lease{{Applied: 3, Left: 0}}}, true},
		{"older", &wire.StatusReply{Revision: 4}, false},
		{"older lease", &wire.StatusReply{Revision: 5, Leases: []*wire.Lease{{Applied: 4, Left: 1000}}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := &monitor{demo: &demo{inForceRevision: 5}}
			m.check(c.status, 5)
			_, err := m.result()
			is.Equal(err == nil, c.passes)
		})
	}
}

// Guards against a check of charges that misses a missing, duplicate or wrong charge.
func TestChargeCheck(t *testing.T) {
	answered := caller.Record{
		Kind: caller.KindChat, RequestID: "r", Target: "small", Outcome: caller.Answered,
		Usage: engine.Usage{PromptTokens: 3, CompletionTokens: 4},
	}
	refused := caller.Record{Kind: caller.KindChat, RequestID: "n", Target: "small", Outcome: caller.NotRun}
	correct := cluster.Charge{Account: "a", Request: "r", Amount: 11}
	for _, c := range []struct {
		name    string
		charges []cluster.Charge
		passes  bool
	}{
		{"as expected", []cluster.Charge{correct}, true},
		{"missing", nil, false},
		{"of another account", []cluster.Charge{{Account: "b", Request: "r", Amount: 11}}, false},
		{"duplicate", []cluster.Charge{correct, correct}, false},
		{"wrong amount", []cluster.Charge{{Account: "a", Request: "r", Amount: 12}}, false},
		{"for a refusal", []cluster.Charge{correct, {Account: "a", Request: "n", Amount: 1}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := checkCharges("a", []caller.Record{answered, refused}, cluster.Ledger{Charges: c.charges})
			is.Equal(err == nil, c.passes)
		})
	}
}

// Guards against a check of totals that misses a lost or duplicate charge.
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
