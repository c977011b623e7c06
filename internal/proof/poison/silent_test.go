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
		tr := newTrial(t, seed, system.Options{HeaderTimeout: 300 * time.Millisecond, EventGapTimeout: 300 * time.Millisecond, TokenInterval: 5 * time.Millisecond, PlainServices: 2})
		e := tr.Entries[0]
		lookup := system.Request{Method: "GET", Path: "/v1/services/" + system.PlainService + "/lookups/1"}
		var upstreams []string
		for _, u := range append(tr.PlainServices, tr.Engines...) {
			upstreams = append(upstreams, u.Address)
		}
		for i := range 6 {
			tr.sendUntilAnswered(e, chatRequest(fmt.Sprint("warm ", i), true))
			tr.sendUntilAnswered(e, lookup)
		}
		if seed%2 == 0 {
			// The connections become silent once the stream runs.
			tr.runs.Store(0)
			done := tr.silenceOnNextRun(e, upstreams)
			tr.sendUntilAnswered(e, chatRequest("silenced on its way", true))
			<-done
		} else {
			e.BlackholeConnections(upstreams...)
			tr.sendUntilAnswered(e, chatRequest("silenced before", true))
			e.BlackholeConnections(upstreams...)
			tr.sendUntilAnswered(e, lookup)
		}
		// A claim needs the control instances, whose connections are silent as well.
		for _, control := range tr.Controls {
			e.BlackholeConnections(control.Address)
		}
		tr.sendUntilAnswered(e, system.BookingRequest(fmt.Sprint("key-", seed), `{"seats":1}`))
	})
}

// silenceOnNextRun silences the connections of an entry to the addresses at the next run of
// an engine. The channel it returns is closed then.
func (tr *trial) silenceOnNextRun(e *system.Entry, addresses []string) chan struct{} {
	done := make(chan struct{})
	onRun := func(n int) {
		if n == 1 {
			e.BlackholeConnections(addresses...)
			close(done)
		}
	}
	tr.onRun.Store(&onRun)
	return done
}

// sendUntilAnswered sends the call until it is answered. The only other answer it permits is
// an immediate 503 "not run", which an entry gives if it lost its lease to silent connections.
func (tr *trial) sendUntilAnswered(e *system.Entry, c system.Request) {
	tr.t.Helper()
	for range 10 {
		a := tr.Send(e, c)
		if a.Succeeded() {
			return
		}
		if a.Err != nil || a.Status != 503 || a.Outcome != "not run" {
			tr.t.Fatalf("%s: neither answered nor rejected as not run: status %d: %s %v", c.Path, a.Status, a.Body, a.Err)
		}
		time.Sleep(500 * time.Millisecond)
	}
	tr.t.Fatalf("%s: not answered after 10 attempts", c.Path)
}
