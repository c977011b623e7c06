package poison

import (
	"fmt"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/proof/report"
	"wisteriakeel.example/wisteriakeel/internal/proof/system"
)

// Guards against a call that waits on a silent connection until its own deadline
// while new connections work. The callers' deadline is many times the limit, so that
// an answer shows the bound. Half of the seeds silence a stream in the middle.
func TestProofSilentConnection(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "silent-connection", 6, func(t *testing.T, seed uint64) {
		x := newTrial(t, seed, system.Options{HeaderTimeout: 300 * time.Millisecond, TokenTimeout: 300 * time.Millisecond, TokenInterval: 5 * time.Millisecond, PlainServices: 2})
		e := x.Entries[0]
		lookup := system.Request{Method: "GET", Path: "/v1/services/" + system.PlainService + "/lookups/1"}
		var upstreams []string
		for _, u := range append(x.PlainServices, x.Engines...) {
			upstreams = append(upstreams, u.Address)
		}
		for i := range 6 {
			x.answered(e, chat(fmt.Sprint("warm ", i), true))
			x.answered(e, lookup)
		}
		if seed%2 == 0 {
			// The stream is silenced once it runs.
			x.runs.Store(0)
			done := x.silencer(e, upstreams)
			x.answered(e, chat("silenced on its way", true))
			<-done
		} else {
			e.BlackholeConnections(upstreams...)
			x.answered(e, chat("silenced before", true))
			e.BlackholeConnections(upstreams...)
			x.answered(e, lookup)
		}
		// A claim needs the control instances over connections that went silent.
		for _, u := range x.Controls {
			e.BlackholeConnections(u.Address)
		}
		x.answered(e, system.BookingRequest(fmt.Sprint("key-", seed), `{"seats":1}`))
	})
}

// silencer makes all connections silent at the next run of an engine.
func (x *trial) silencer(e *system.Entry, addresses []string) chan struct{} {
	done := make(chan struct{})
	f := func(n int) {
		if n == 1 {
			e.BlackholeConnections(addresses...)
			close(done)
		}
	}
	x.onRun.Store(&f)
	return done
}

// answered sends the call until it is answered. Only an entry that lost its lease to
// the silent connections may refuse it, at once and as not run.
func (x *trial) answered(e *system.Entry, c system.Request) {
	x.t.Helper()
	for range 10 {
		a := x.Send(e, c)
		if a.Succeeded() {
			return
		}
		if a.Err != nil || a.Status != 503 || a.Outcome != "not run" {
			x.t.Fatalf("%s: status %d: %s %v", c.Path, a.Status, a.Body, a.Err)
		}
		time.Sleep(500 * time.Millisecond)
	}
	x.t.Fatalf("%s: never answered", c.Path)
}
