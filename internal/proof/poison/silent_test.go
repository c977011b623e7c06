package poison

import (
	"fmt"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/proof/report"
	"wisteriakeel.example/wisteriakeel/internal/proof/system"
)

// Guards against a call that waits on a silent connection until its own deadline although
// new connections work. The deadline of the callers is many times the timeouts of the entry,
// so an answer shows that the entry gave up the connection. Even seeds silence a running
// stream, odd ones the idle connections.
func TestProofSilentConnection(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "silent-connection", 6, func(t *testing.T, seed uint64) {
		tr := newTrial(t, seed, system.Options{Header: 300 * time.Millisecond, Token: 300 * time.Millisecond, Step: 5 * time.Millisecond, Plains: 2})
		e := tr.Entries[0]
		lookup := system.Call{Method: "GET", Path: "/v1/services/" + system.Plain + "/lookups/1"}
		var upstreams []string
		for _, u := range append(tr.Plains, tr.Engines...) {
			upstreams = append(upstreams, u.Address)
		}
		for i := range 6 {
			tr.sendUntilAnswered(e, chatCall(fmt.Sprint("warm ", i), true))
			tr.sendUntilAnswered(e, lookup)
		}
		if seed%2 == 0 {
			// The connections become silent once the stream runs.
			tr.runs.Store(0)
			done := tr.silenceOnNextRun(e, upstreams)
			tr.sendUntilAnswered(e, chatCall("silenced on its way", true))
			<-done
		} else {
			e.Silence(upstreams...)
			tr.sendUntilAnswered(e, chatCall("silenced before", true))
			e.Silence(upstreams...)
			tr.sendUntilAnswered(e, lookup)
		}
		// A claim needs the control instances, whose connections are silent as well.
		for _, control := range tr.Controls {
			e.Silence(control.Address)
		}
		tr.sendUntilAnswered(e, system.Booking(fmt.Sprint("key-", seed), `{"seats":1}`))
	})
}

// silenceOnNextRun silences the connections of an entry to the addresses at the next run of
// an engine. The channel it returns is closed then.
func (tr *trial) silenceOnNextRun(e *system.Entry, addresses []string) chan struct{} {
	done := make(chan struct{})
	onRun := func(n int) {
		if n == 1 {
			e.Silence(addresses...)
			close(done)
		}
	}
	tr.onRun.Store(&onRun)
	return done
}

// sendUntilAnswered sends the call until it is answered. The only other answer it permits is
// an immediate 503 "not run", which an entry gives if it lost its lease to silent connections.
func (tr *trial) sendUntilAnswered(e *system.Entry, c system.Call) {
	tr.t.Helper()
	for range 10 {
		a := tr.Send(e, c)
		if a.Answered() {
			return
		}
		if a.Err != nil || a.Status != 503 || a.Outcome != "not run" {
			tr.t.Fatalf("%s: neither answered nor rejected as not run: status %d: %s %v", c.Path, a.Status, a.Body, a.Err)
		}
		time.Sleep(500 * time.Millisecond)
	}
	tr.t.Fatalf("%s: not answered after 10 attempts", c.Path)
}
