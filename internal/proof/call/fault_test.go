package call

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/fault"
	"wisteriakeel.example/wisteriakeel/internal/proof/report"
	"wisteriakeel.example/wisteriakeel/internal/proof/system"
)

// setFault switches one fault on at all upstreams.
func (tr *trial) setFault(f fault.Fault) {
	for _, u := range tr.PlainServices {
		u.Faults.Replace([]fault.Fault{f})
	}
}

// controlAddresses lists the addresses of the control instances.
func (tr *trial) controlAddresses() (addresses []string) {
	for _, c := range tr.Controls {
		addresses = append(addresses, c.Address)
	}
	return addresses
}

// checkOutcome fails the trial if a request had another outcome.
func (tr *trial) checkOutcome(got result, want outcome) {
	tr.t.Helper()
	if got.outcome != want {
		tr.t.Errorf("outcome of a request: %+v, expected %s", got, want)
	}
}

// claimLeader returns the leader of the group that holds the claim.
func (tr *trial) claimLeader() (c *system.Control) {
	tr.WaitFor("leader", func() bool { c = tr.Leader(1); return c != nil })
	return c
}

// upstreamClosesAfterRead makes the upstreams read the request, run it and close the
// connection without a response.
func (tr *trial) upstreamClosesAfterRead() {
	tr.setFault(fault.Fault{Kind: fault.Close})
	tr.checkOutcome(tr.sendAndWait(0, 0), unknown)
	tr.resendToOthers()
	tr.resendAndExpect(1, unknown)
}

// upstreamAnswersAfterTimeout delays the response beyond the timeout of the call, 1 s.
func (tr *trial) upstreamAnswersAfterTimeout() {
	tr.setFault(fault.Fault{Kind: fault.Delayed, DelayMillis: 1500})
	first := tr.send(0, 0, 0)
	tr.resendToOthers()
	tr.checkOutcome(first.wait(), unknown)
	tr.resendAndExpect(1, unknown)
}

// faults lists scenarios with one fault each. Each guards against a second run of the
// call and against a reported outcome that is false.
var faults = []struct {
	guarantee, fault string
	run              func(tr *trial)
}{
	{"G7", "upstream-closes-after-read", (*trial).upstreamClosesAfterRead},
	{"G6", "upstream-closes-after-read", (*trial).upstreamClosesAfterRead},
	{"G7", "upstream-answers-after-timeout", (*trial).upstreamAnswersAfterTimeout},
	{"G6", "upstream-answers-after-timeout", (*trial).upstreamAnswersAfterTimeout},
	{"G7", "upstream-crashes", func(tr *trial) {
		tr.setFault(fault.Fault{Kind: fault.Crash})
		tr.checkOutcome(tr.sendAndWait(0, 0), unknown)
		tr.resendToOthers()
		tr.resendAndExpect(1, unknown)
	}},
	{"G6", "upstream-refuses", func(tr *trial) {
		tr.setFault(fault.Fault{Kind: fault.Reject})
		tr.checkOutcome(tr.sendAndWait(0, 0), notRun)
		tr.setFault(fault.Fault{})
		tr.resendToOthers()
		tr.resendAndExpect(0, notRun)
	}},
	{"G6", "upstream-unreachable", func(tr *trial) {
		for _, u := range tr.PlainServices {
			u.Kill()
		}
		tr.checkOutcome(tr.sendAndWait(0, 0), notRun)
		tr.resendAndExpect(0, notRun)
	}},
	{"G6", "resend-gives-up-before-the-first", func(tr *trial) {
		tr.setFault(fault.Fault{Kind: fault.Delayed, DelayMillis: 900})
		running := tr.addTrigger("", system.StepRun, false, func() {})
		first := tr.send(0, 0, 0)
		tr.awaitTrigger(running)
		tr.checkOutcome(tr.sendAndWait(1, 200*time.Millisecond), unknown)
		tr.checkOutcome(first.wait(), answered)
		tr.resendAndExpect(1, answered)
	}},
	{"G6", "control-cut-before-dispatching", func(tr *trial) {
		e := tr.entries[0]
		cutOff := tr.addTrigger(e.Name, system.StepDispatch, false, func() { e.Partition(tr.controlAddresses()...) })
		first := tr.send(0, 0, time.Second)
		tr.awaitTrigger(cutOff)
		tr.checkOutcome(first.wait(), notRun)
		tr.resendAndExpect(1, answered)
	}},
	{"G6", "lease-ended-before-send", func(tr *trial) {
		e := tr.entries[0]
		tr.addTrigger(e.Name, system.StepDispatch, true, func() {
			e.Partition(tr.controlAddresses()...)
			awaitLease(e, false)
		})
		tr.checkOutcome(tr.sendAndWait(0, 0), notRun)
		tr.resendAndExpect(0, unknown)
	}},
	{"G6", "lease-renewed-before-send", func(tr *trial) {
		e := tr.entries[0]
		tr.addTrigger(e.Name, system.StepDispatch, true, func() {
			e.Partition(tr.controlAddresses()...)
			awaitLease(e, false)
			e.Heal(tr.controlAddresses()...)
			awaitLease(e, true)
		})
		tr.checkOutcome(tr.sendAndWait(0, 0), notRun)
		tr.resendAndExpect(0, notRun, unknown)
	}},
	{"G6", "first-answer-lost-and-control-cut", func(tr *trial) {
		e := tr.entries[0]
		killed := tr.addTrigger(e.Name, system.StepFinish, true, tr.entries[2].Kill)
		tr.checkOutcome(tr.sendAndWait(0, 0), answered)
		tr.awaitTrigger(killed)
		e.Partition(tr.controlAddresses()...)
		tr.checkOutcome(tr.sendAndWait(0, 500*time.Millisecond), unknown)
		tr.resendAndExpect(1, answered)
	}},
	{"G7", "control-leader-killed-before-dispatching", func(tr *trial) {
		c := tr.claimLeader()
		tr.loseLeaderBeforeDispatch(c, c.Kill, c.Restart)
	}},
	{"G7", "control-leader-cut-before-dispatching", func(tr *trial) {
		// The entries still reach the leader, which must not answer without its majority.
		c := tr.claimLeader()
		tr.loseLeaderBeforeDispatch(c, func() { c.Partition(tr.controlAddresses()...) }, func() { c.Heal(tr.controlAddresses()...) })
	}},
	{"G7", "control-connections-silent", func(tr *trial) {
		e := tr.entries[0]
		silenced := tr.addTrigger(e.Name, system.StepDispatch, false, func() { e.BlackholeConnections(tr.controlAddresses()...) })
		first := tr.send(0, 0, 0)
		tr.awaitTrigger(silenced)
		tr.resendToOthers()
		first.wait()
		tr.checkHistory()
		// The lease may have expired meanwhile; it is renewed over new connections.
		tr.WaitFor("answer through the entry", func() bool {
			return tr.Send(e, system.BookingRequest(tr.key+fmt.Sprint(tr.random.Uint64()), bookingBody)).Succeeded()
		})
	}},
	{"G7", "upstream-connections-silent", func(tr *trial) {
		// The lookups leave idle connections in the pool.
		for i := range 4 {
			a := tr.Send(tr.entries[0], system.Request{Method: "GET", Path: "/v1/services/" + system.PlainService + "/lookups/" + fmt.Sprint(i)})
			if !a.Succeeded() {
				tr.t.Errorf("lookup failed: %+v", a)
			}
		}
		for _, u := range tr.PlainServices {
			tr.entries[0].BlackholeConnections(u.Address)
		}
		tr.checkOutcome(tr.sendAndWait(0, 0), answered)
		tr.resendAndExpect(1, answered)
	}},
	{"G7", "duplicates-through-several-entries", func(tr *trial) {
		tr.setFault(fault.Fault{Kind: fault.Delayed, DelayMillis: 100})
		for _, s := range tr.sendDuplicates() {
			tr.checkOutcome(s.wait(), answered)
		}
		tr.resendAndExpect(1, answered)
	}},
	{"G7", "duplicates-while-an-entry-is-lost", func(tr *trial) {
		tr.setFault(fault.Fault{Kind: fault.Delayed, DelayMillis: 100})
		p := failurePoints[tr.random.IntN(len(failurePoints))]
		tr.addTrigger(tr.instanceOf(p.step), p.step, p.after, sync.OnceFunc(tr.entries[0].Kill))
		for _, s := range tr.sendDuplicates() {
			s.wait()
		}
		tr.sendAndWait(1, resendTimeout)
		tr.checkHistory()
	}},
}

// awaitLease waits until the entry holds its lease, or has lost it, for 20 s at most.
func awaitLease(e *system.Entry, held bool) {
	for deadline := time.Now().Add(20 * time.Second); e.Client.HoldsLease() != held && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
}

// loseLeaderBeforeDispatch stops the leader of the claim's group after the claim is opened
// and before it moves to dispatching, and restores it once another replica leads.
func (tr *trial) loseLeaderBeforeDispatch(leader *system.Control, stop, restore func()) {
	stopped := tr.addTrigger(tr.entries[0].Name, system.StepDispatch, false, stop)
	first := tr.send(0, 0, 0)
	tr.awaitTrigger(stopped)
	tr.resendToOthers()
	first.wait()
	tr.WaitFor("another leader", func() bool {
		l := tr.Leader(1)
		return l != nil && l != leader
	})
	restore()
	tr.sendAndWait(2, resendTimeout)
	tr.resendAndExpect(1, answered)
}

// sendDuplicates sends the call twelve times, through all entries, within 20 ms.
func (tr *trial) sendDuplicates() (senders []*sender) {
	for i := range 12 {
		senders = append(senders, tr.send(i%3, time.Duration(tr.random.IntN(20))*time.Millisecond, 0))
	}
	return senders
}

// Guards against a call that runs twice, or whose reported outcome is false, under one of
// the faults.
func TestProofCallFaults(t *testing.T) {
	t.Parallel()
	for _, c := range faults {
		t.Run(c.guarantee+"-"+c.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, c.guarantee, c.fault, 5, func(t *testing.T, seed uint64) {
				c.run(newTrial(t, seed))
			})
		})
	}
}
