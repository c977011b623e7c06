package call

import (
	"strconv"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/proof/report"
	"wisteriakeel.example/wisteriakeel/internal/proof/system"
)

const (
	// takeover is the age from which an open claim is taken over.
	takeover = 300 * time.Millisecond
	// resendLimit bounds a resend that may wait for a claim that will not end.
	resendLimit = 3 * takeover
	// answerLimit bounds a resend that must be answered, on a busy machine too.
	answerLimit = 5 * time.Second
)

func timeoutHeader(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// points are the steps of a claim at which its entry fails, and what the resends
// through other entries come to. The call may run only if the step before the
// send was confirmed to the entry that failed, or if another takes the claim over.
var points = []struct {
	name  string
	step  system.Step
	after bool
	// runs is how often the call runs; the entry is killed, or frozen for longer than its lease.
	runs int
	// killed and frozen are what the last resend may learn.
	killed, frozen []kind
}{
	{"before-open", system.StepOpen, false, 1, []kind{answered}, []kind{answered}},
	{"after-open", system.StepOpen, true, 1, []kind{answered}, []kind{answered}},
	{"before-dispatching", system.StepDispatch, false, 1, []kind{answered}, []kind{answered}},
	{"before-send", system.StepDispatch, true, 0, []kind{unknown}, []kind{notRun, unknown}},
	{"after-send", system.StepRun, false, 1, []kind{unknown}, []kind{answered, unknown}},
	{"before-finish", system.StepFinish, false, 1, []kind{unknown}, []kind{answered, unknown}},
}

// Guards against a second run by the resend when the first entry was lost.
func TestProofEntryKilled(t *testing.T) {
	t.Parallel()
	s := newStages(t, len(points))
	for i, p := range points {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G7", "entry-killed-"+p.name, 5, func(t *testing.T, seed uint64) {
				x := s.trial(t, seed, i)
				lost := x.at(x.pointAt(p.step), p.step, p.after, x.entries[0].Kill)
				first := x.send(0, 0, 0)
				x.wait(lost)
				x.resends()
				first.wait()
				x.expect(p.runs, p.killed...)
			})
		})
	}
}

// Guards against an entry that goes on after a pause as if nothing had happened:
// its claim was taken over, or its lease has ended.
func TestProofEntryFrozen(t *testing.T) {
	t.Parallel()
	s := newStages(t, len(points))
	for i, p := range points {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G7", "entry-frozen-"+p.name, 5, func(t *testing.T, seed uint64) {
				x := s.trial(t, seed, i)
				lost := x.at(x.pointAt(p.step), p.step, p.after, x.entries[0].Freeze)
				first := x.send(0, 0, 0)
				x.wait(lost)
				frozen := time.Now()
				x.resends()
				if seed%2 == 0 {
					// Longer than the lease of 2 s, which may have been renewed until the entry froze.
					time.Sleep(2300*time.Millisecond - time.Since(frozen))
				}
				x.entries[0].Thaw()
				first.wait()
				if p.name == "before-send" && seed%2 == 1 {
					// The lease may hold still, so that the call is sent.
					x.resend(1, resendLimit)
					x.check()
					return
				}
				x.expect(p.runs, p.frozen...)
			})
		})
	}
}

// pointAt names the instance of a step; a run is seen at whichever upstream has it.
func (x *trial) pointAt(s system.Step) string {
	if s == system.StepRun {
		return ""
	}
	return x.entries[0].Name
}

// resends sends the call again through the other entries, at once and later.
func (x *trial) resends() {
	at := x.send(1, 0, resendLimit)
	later := x.send(2, time.Duration(x.random.IntN(300))*time.Millisecond, resendLimit)
	again := x.send(1+x.random.IntN(2), time.Duration(x.random.IntN(600))*time.Millisecond, resendLimit)
	for _, s := range []*sender{at, later, again} {
		s.wait()
	}
}
