package call

import (
	"strconv"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/proof/report"
	"wisteriakeel.example/wisteriakeel/internal/proof/system"
)

const (
	// claimTakeoverAge is the age from which another entry may take over an open claim.
	claimTakeoverAge = 300 * time.Millisecond
	// resendTimeout bounds a resend that may wait for a claim that never ends.
	resendTimeout = 3 * claimTakeoverAge
	// answerTimeout bounds a resend that must be answered, even on a busy machine.
	answerTimeout = 5 * time.Second
)

// timeoutHeader formats the value of the Wisteriakeel-Timeout header in milliseconds.
func timeoutHeader(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// failurePoints lists the steps of a claim at which its entry fails and the expected
// results of the resends through other entries. The call may run only if the step before
// the send was confirmed to the failed entry, or if another entry takes the claim over.
var failurePoints = []struct {
	name  string
	step  system.Step
	after bool
	// wantRuns is how often the call runs if the entry is killed or frozen for longer than its lease.
	wantRuns int
	// killedOutcomes and frozenOutcomes are the permitted outcomes of the last resend.
	killedOutcomes, frozenOutcomes []outcome
}{
	{"before-open", system.StepOpen, false, 1, []outcome{answered}, []outcome{answered}},
	{"after-open", system.StepOpen, true, 1, []outcome{answered}, []outcome{answered}},
	{"before-dispatching", system.StepDispatch, false, 1, []outcome{answered}, []outcome{answered}},
	{"before-send", system.StepDispatch, true, 0, []outcome{unknown}, []outcome{notRun, unknown}},
	{"after-send", system.StepRun, false, 1, []outcome{unknown}, []outcome{answered, unknown}},
	{"before-finish", system.StepFinish, false, 1, []outcome{unknown}, []outcome{answered, unknown}},
}

// Guards against a resend that runs the call again after the first entry crashed at a
// step of the claim.
func TestProofEntryKilled(t *testing.T) {
	t.Parallel()
	s := newSharedSystems(t, len(failurePoints))
	for i, p := range failurePoints {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G7", "entry-killed-"+p.name, 5, func(t *testing.T, seed uint64) {
				tr := s.newTrial(t, seed, i)
				killed := tr.addTrigger(tr.instanceOf(p.step), p.step, p.after, tr.entries[0].Kill)
				first := tr.send(0, 0, 0)
				tr.awaitTrigger(killed)
				tr.resendToOthers()
				first.wait()
				tr.resendAndExpect(p.wantRuns, p.killedOutcomes...)
			})
		})
	}
}

// Guards against an entry that continues a call after a pause, although its claim was
// taken over or its lease expired meanwhile.
func TestProofEntryFrozen(t *testing.T) {
	t.Parallel()
	s := newSharedSystems(t, len(failurePoints))
	for i, p := range failurePoints {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G7", "entry-frozen-"+p.name, 5, func(t *testing.T, seed uint64) {
				tr := s.newTrial(t, seed, i)
				frozen := tr.addTrigger(tr.instanceOf(p.step), p.step, p.after, tr.entries[0].Freeze)
				first := tr.send(0, 0, 0)
				tr.awaitTrigger(frozen)
				frozenAt := time.Now()
				tr.resendToOthers()
				if seed%2 == 0 {
					// Longer than the lease of 2 s, which may have been renewed just before the freeze.
					time.Sleep(2300*time.Millisecond - time.Since(frozenAt))
				}
				tr.entries[0].Thaw()
				first.wait()
				if p.name == "before-send" && seed%2 == 1 {
					// The lease may still be valid, in which case the call is sent.
					tr.sendAndWait(1, resendTimeout)
					tr.checkHistory()
					return
				}
				tr.resendAndExpect(p.wantRuns, p.frozenOutcomes...)
			})
		})
	}
}

// instanceOf returns the name of the instance that makes the step. It is empty for a run,
// which may happen at any upstream.
func (tr *trial) instanceOf(s system.Step) string {
	if s == system.StepRun {
		return ""
	}
	return tr.entries[0].Name
}

// resendToOthers sends the call again through the other entries: once immediately and
// twice after random delays.
func (tr *trial) resendToOthers() {
	immediate := tr.send(1, 0, resendTimeout)
	delayed := tr.send(2, time.Duration(tr.random.IntN(300))*time.Millisecond, resendTimeout)
	delayedAgain := tr.send(1+tr.random.IntN(2), time.Duration(tr.random.IntN(600))*time.Millisecond, resendTimeout)
	for _, s := range []*sender{immediate, delayed, delayedAgain} {
		s.wait()
	}
}
