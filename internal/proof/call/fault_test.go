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

// faulty makes all upstreams show a fault.
func (x *trial) faulty(f fault.Fault) {
	for _, u := range x.PlainServices {
		u.Faults.Replace([]fault.Fault{f})
	}
}

// peers lists the addresses of the control instances.
func (x *trial) peers() (all []string) {
	for _, c := range x.Controls {
		all = append(all, c.Address)
	}
	return all
}

// must fails the trial if a request learned something else.
func (x *trial) must(v verdict, k kind) {
	x.t.Helper()
	if v.kind != k {
		x.t.Errorf("an answer was %+v, expected %s", v, k)
	}
}

// leader returns the leader of the group that holds the claim.
func (x *trial) leader() (c *system.Control) {
	x.WaitFor("leader", func() bool { c = x.Leader(1); return c != nil })
	return c
}

// upstreamCloses: the upstreams read the request, run it and close.
func (x *trial) upstreamCloses() {
	x.faulty(fault.Fault{Kind: fault.Close})
	x.must(x.resend(0, 0), unknown)
	x.resends()
	x.expect(1, unknown)
}

// upstreamLate: the answer comes after the timeout of the call, 1 s.
func (x *trial) upstreamLate() {
	x.faulty(fault.Fault{Kind: fault.Delayed, DelayMillis: 1500})
	first := x.send(0, 0, 0)
	x.resends()
	x.must(first.wait(), unknown)
	x.expect(1, unknown)
}

// faults are the proofs with one fault each. Each f guards against a second run
// and against an outcome that is not true.
var faults = []struct {
	guarantee, fault string
	f                func(x *trial)
}{
	{"G7", "upstream-closes-after-read", (*trial).upstreamCloses},
	{"G6", "upstream-closes-after-read", (*trial).upstreamCloses},
	{"G7", "upstream-answers-after-timeout", (*trial).upstreamLate},
	{"G6", "upstream-answers-after-timeout", (*trial).upstreamLate},
	{"G7", "upstream-crashes", func(x *trial) {
		x.faulty(fault.Fault{Kind: fault.Crash})
		x.must(x.resend(0, 0), unknown)
		x.resends()
		x.expect(1, unknown)
	}},
	{"G6", "upstream-refuses", func(x *trial) {
		x.faulty(fault.Fault{Kind: fault.Reject})
		x.must(x.resend(0, 0), notRun)
		x.faulty(fault.Fault{})
		x.resends()
		x.expect(0, notRun)
	}},
	{"G6", "upstream-unreachable", func(x *trial) {
		for _, u := range x.PlainServices {
			u.Kill()
		}
		x.must(x.resend(0, 0), notRun)
		x.expect(0, notRun)
	}},
	{"G6", "resend-gives-up-before-the-first", func(x *trial) {
		x.faulty(fault.Fault{Kind: fault.Delayed, DelayMillis: 900})
		ran := x.at("", system.StepRun, false, func() {})
		first := x.send(0, 0, 0)
		x.wait(ran)
		x.must(x.resend(1, 200*time.Millisecond), unknown)
		x.must(first.wait(), answered)
		x.expect(1, answered)
	}},
	{"G6", "control-cut-before-dispatching", func(x *trial) {
		e := x.entries[0]
		cut := x.at(e.Name, system.StepDispatch, false, func() { e.Partition(x.peers()...) })
		first := x.send(0, 0, time.Second)
		x.wait(cut)
		x.must(first.wait(), notRun)
		x.expect(1, answered)
	}},
	{"G6", "lease-ended-before-send", func(x *trial) {
		e := x.entries[0]
		x.at(e.Name, system.StepDispatch, true, func() {
			e.Partition(x.peers()...)
			for end := time.Now().Add(20 * time.Second); e.Client.HoldsLease() && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
		})
		x.must(x.resend(0, 0), notRun)
		x.expect(0, unknown)
	}},
	{"G6", "first-answer-lost-and-control-cut", func(x *trial) {
		e := x.entries[0]
		lost := x.at(e.Name, system.StepFinish, true, x.entries[2].Kill)
		x.must(x.resend(0, 0), answered)
		x.wait(lost)
		e.Partition(x.peers()...)
		x.must(x.resend(0, 500*time.Millisecond), unknown)
		x.expect(1, answered)
	}},
	{"G7", "control-leader-killed-before-dispatching", func(x *trial) {
		c := x.leader()
		x.loseLeader(c, c.Kill, c.Restart)
	}},
	{"G7", "control-leader-cut-before-dispatching", func(x *trial) {
		// Entries still reach the leader, which must not answer alone.
		c := x.leader()
		x.loseLeader(c, func() { c.Partition(x.peers()...) }, func() { c.Heal(x.peers()...) })
	}},
	{"G7", "control-connections-silent", func(x *trial) {
		e := x.entries[0]
		lost := x.at(e.Name, system.StepDispatch, false, func() { e.BlackholeConnections(x.peers()...) })
		first := x.send(0, 0, 0)
		x.wait(lost)
		x.resends()
		first.wait()
		x.check()
		// The lease may have ended meanwhile; new connections bring it back.
		x.WaitFor("answer through the entry", func() bool {
			return x.Send(e, system.BookingRequest(x.key+fmt.Sprint(x.random.Uint64()), body)).Succeeded()
		})
	}},
	{"G7", "upstream-connections-silent", func(x *trial) {
		// Lookups leave connections in the pool.
		for i := range 4 {
			a := x.Send(x.entries[0], system.Request{Method: "GET", Path: "/v1/services/" + system.PlainService + "/lookups/" + fmt.Sprint(i)})
			if !a.Succeeded() {
				x.t.Errorf("lookup: %+v", a)
			}
		}
		for _, u := range x.PlainServices {
			x.entries[0].BlackholeConnections(u.Address)
		}
		x.must(x.resend(0, 0), answered)
		x.expect(1, answered)
	}},
	{"G7", "duplicates-through-several-entries", func(x *trial) {
		x.faulty(fault.Fault{Kind: fault.Delayed, DelayMillis: 100})
		for _, s := range x.duplicates() {
			x.must(s.wait(), answered)
		}
		x.expect(1, answered)
	}},
	{"G7", "duplicates-while-an-entry-is-lost", func(x *trial) {
		x.faulty(fault.Fault{Kind: fault.Delayed, DelayMillis: 100})
		p := points[x.random.IntN(len(points))]
		x.at(x.pointAt(p.step), p.step, p.after, sync.OnceFunc(x.entries[0].Kill))
		for _, s := range x.duplicates() {
			s.wait()
		}
		x.resend(1, resendLimit)
		x.check()
	}},
}

// loseLeader takes the leader of the claim's group away between the opening of the
// claim and its move to dispatching, and gives it back later.
func (x *trial) loseLeader(c *system.Control, lose, back func()) {
	lost := x.at(x.entries[0].Name, system.StepDispatch, false, lose)
	first := x.send(0, 0, 0)
	x.wait(lost)
	x.resends()
	first.wait()
	x.WaitFor("another leader", func() bool {
		l := x.Leader(1)
		return l != nil && l != c
	})
	back()
	x.resend(2, resendLimit)
	x.expect(1, answered)
}

// duplicates sends the call twelve times through all entries within a few milliseconds.
func (x *trial) duplicates() (all []*sender) {
	for i := range 12 {
		all = append(all, x.send(i%3, time.Duration(x.random.IntN(20))*time.Millisecond, 0))
	}
	return all
}

// Guards against second runs and untrue outcomes under each fault of the table.
func TestProofCallFaults(t *testing.T) {
	t.Parallel()
	for _, c := range faults {
		t.Run(c.guarantee+"-"+c.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, c.guarantee, c.fault, 5, func(t *testing.T, seed uint64) {
				c.f(newTrial(t, seed))
			})
		})
	}
}
