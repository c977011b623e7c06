// Package poison proves that a request that crashes upstreams reaches at most two of them,
// that other requests in progress on those upstreams are answered, and that silent
// connections delay a call for a bounded time only.
package poison

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/fault"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/proof/report"
	"wisteriakeel.example/wisteriakeel/internal/proof/system"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// crashMarker crashes every engine that runs a prompt containing it.
const crashMarker = "poison-marker"

// trial is one run of a scenario. Four of the seven engines serve the model draft.
type trial struct {
	*system.System
	t      *testing.T
	random *rand.Rand
	// onRun is called before each run of an engine with the number of the run, from 1.
	onRun atomic.Pointer[func(n int)]
	runs  atomic.Int32
}

// newTrial starts a system whose engines crash on crashMarker.
func newTrial(t *testing.T, seed uint64, o system.Options) *trial {
	tr := &trial{t: t, random: rand.New(rand.NewPCG(seed, 11))}
	o.Seed, o.Entries, o.Engines, o.Hook = seed, 3, 7, tr.onPoint
	if o.MaxRequestTimeout == 0 {
		o.MaxRequestTimeout = 8 * time.Second
	}
	tr.System = system.Start(t, o)
	for _, u := range tr.Engines {
		u.Faults.Replace([]fault.Fault{{Kind: fault.Crash, Marker: crashMarker}})
	}
	return tr
}

// onPoint counts the runs and calls onRun.
func (tr *trial) onPoint(p system.HookPoint) {
	if p.Step != system.StepRun || p.Completed {
		return
	}
	n := int(tr.runs.Add(1))
	if f := tr.onRun.Load(); f != nil {
		(*f)(n)
	}
}

// chatRequest returns a chat request with the prompt.
func chatRequest(prompt string, stream bool) system.Request {
	return system.Request{
		Path: "/v1/chat/completions", Timeout: 15 * time.Second,
		Body: fmt.Sprintf(`{"model":"draft","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, prompt),
	}
}

// crashedEngines returns the number of engines that crashed.
func (tr *trial) crashedEngines() (n int) {
	for _, u := range tr.Engines {
		if u.Killed() {
			n++
		}
	}
	return n
}

// isQuarantined reports whether the request was rejected as quarantined.
func isQuarantined(a system.Response) bool {
	var body struct{ Error struct{ Code string } }
	return a.Err == nil && a.Status == 422 && json.Unmarshal(a.Body, &body) == nil && body.Error.Code == "quarantined"
}

// resendUntilQuarantined sends the poison request through all live entries until each of them
// rejects it as quarantined, and checks how many engines crashed.
func (tr *trial) resendUntilQuarantined(stream bool) {
	tr.t.Helper()
	deadline := time.Now().Add(40 * time.Second)
	for i, e := range tr.Entries {
		if e.Killed() {
			continue
		}
		for a := tr.Send(e, chatRequest(crashMarker, stream)); !isQuarantined(a); a = tr.Send(e, chatRequest(crashMarker, stream)) {
			if time.Now().After(deadline) || tr.crashedEngines() > 2 {
				tr.t.Fatalf("entry %d did not quarantine the request; %d engines crashed; last answer: status %d, outcome %q: %s %v; suspected requests: %v",
					i+1, tr.crashedEngines(), a.Status, a.Outcome, a.Body, a.Err, tr.suspicions())
			}
			time.Sleep(time.Duration(tr.random.IntN(100)) * time.Millisecond)
		}
	}
	tr.checkQuarantine()
}

// checkQuarantine checks that two engines crashed, that each live entry rejects the poison
// request as not run, and that these rejections crash no further engine.
func (tr *trial) checkQuarantine() {
	tr.t.Helper()
	if n := tr.crashedEngines(); n != 2 {
		tr.t.Errorf("%d engines crashed, expected 2", n)
	}
	for _, e := range tr.Entries {
		if e.Killed() {
			continue
		}
		a := tr.Send(e, chatRequest(crashMarker, tr.random.IntN(2) == 0))
		if !isQuarantined(a) || a.Outcome != "not run" || a.Header.Get("Retry-After") != "" {
			tr.t.Errorf("resend through %s: status %d, outcome %q: %s %v", e.Name, a.Status, a.Outcome, a.Body, a.Err)
		}
	}
	if n := tr.crashedEngines(); n != 2 {
		tr.t.Errorf("%d engines crashed after the quarantine, expected 2", n)
	}
}

// Guards against a request that crashes its upstream and is retried on one upstream after
// another until none is left.
func TestProofPoisonRequest(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "poison-request", 6, func(t *testing.T, seed uint64) {
		tr := newTrial(t, seed, system.Options{})
		a := tr.Send(tr.Entries[0], chatRequest(crashMarker, seed%2 == 0))
		if !isQuarantined(a) || a.Outcome != "failed" {
			t.Errorf("status %d, outcome %q: %s %v", a.Status, a.Outcome, a.Body, a.Err)
		}
		tr.checkQuarantine()
	})
}

// Guards against a poison request whose caller times out and resends it through another
// entry, which did not see the crash.
func TestProofPoisonResend(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "poison-resend-other-entry", 6, func(t *testing.T, seed uint64) {
		tr := newTrial(t, seed, system.Options{})
		for i := range 6 {
			c := chatRequest(crashMarker, i%2 == 0)
			c.Timeout = time.Duration(5+tr.random.IntN(60)) * time.Millisecond
			tr.Send(tr.Entries[i%3], c)
			tr.WaitFor("the crashes to be reported", tr.crashesReported)
		}
		tr.resendUntilQuarantined(true)
	})
}

// unrelatedCaller sends a harmless request until it is answered.
type unrelatedCaller struct {
	trial  *trial
	entry  int // index of the entry
	prompt string
	wg     *sync.WaitGroup
	answer system.Response
}

// run sends the request up to 20 times.
func (c *unrelatedCaller) run(context.Context) error {
	defer c.wg.Done()
	for range 20 {
		c.answer = c.trial.Send(c.trial.Entries[c.entry], chatRequest(c.prompt, c.entry == 1))
		if c.answer.Succeeded() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// Guards against harmless requests that are quarantined or never answered because they ran
// on an engine that a poison request crashed.
func TestProofPoisonNeighbours(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "poison-neighbours", 6, func(t *testing.T, seed uint64) {
		tr := newTrial(t, seed, system.Options{TokenInterval: 20 * time.Millisecond})
		g := group.New(context.Background())
		defer func() { _ = g.Stop() }()
		var wg sync.WaitGroup
		var callers []*unrelatedCaller
		for i := range 16 {
			c := &unrelatedCaller{trial: tr, entry: i % 3, prompt: fmt.Sprint("neighbour ", i), wg: &wg}
			callers = append(callers, c)
			wg.Add(1)
			g.Go("neighbour", c.run)
		}
		tr.WaitFor("the unrelated requests to run", func() bool { return tr.runs.Load() >= 16 })
		tr.resendUntilQuarantined(false)
		wg.Wait()
		for _, c := range callers {
			if !c.answer.Succeeded() {
				t.Errorf("%s: status %d: %s %v", c.prompt, c.answer.Status, c.answer.Body, c.answer.Err)
			}
		}
		sharedRuns := 0
		for _, u := range tr.Engines {
			if u.Killed() {
				sharedRuns += u.Runs.Counts().Started - 1
			}
		}
		if sharedRuns == 0 {
			t.Error("no unrelated request ran on a crashed engine, so the test proves nothing")
		}
		for _, s := range tr.suspicions() {
			if len(s.Crashes) != 2 || !s.Quarantined {
				t.Errorf("unrelated request is still suspected: %v", s)
			}
		}
	})
}

// crashesReported reports whether group 0 knows of all crashes. Copies of the request sent
// before that can crash further engines, which the quarantine does not prevent.
func (tr *trial) crashesReported() bool {
	reported := 0
	for _, s := range tr.suspicions() {
		reported += len(s.Crashes)
	}
	return reported >= tr.crashedEngines()
}

// suspicions returns the suspected requests that group 0 knows.
func (tr *trial) suspicions() []*wire.Suspicion {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := tr.Entries[1].Client.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		tr.t.Fatal(err)
	}
	return r.Suspicions
}

// Guards against a quarantine that is lost with the entry that saw the crashes. The entry
// is killed during the second run, or after the answer.
func TestProofPoisonEntryRestart(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "poison-entry-restart", 4, func(t *testing.T, seed uint64) {
		tr := newTrial(t, seed, system.Options{})
		if seed%2 == 1 {
			onRun := func(n int) {
				if n == 2 {
					tr.Entries[0].Kill()
				}
			}
			tr.onRun.Store(&onRun)
		}
		a := tr.Send(tr.Entries[0], chatRequest(crashMarker, false))
		if seed%2 == 0 && !isQuarantined(a) {
			t.Errorf("status %d: %s %v", a.Status, a.Body, a.Err)
		}
		tr.Entries[0].Kill()
		tr.RestartEntry(0)
		tr.resendUntilQuarantined(false)
	})
}

// Guards against a crash that is forgotten when group 0 loses its leader, before the report
// of the first or second crash or after both.
func TestProofPoisonLeaderLost(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "poison-control-leader-lost", 6, func(t *testing.T, seed uint64) {
		tr := newTrial(t, seed, system.Options{})
		leader := tr.Leader(0)
		killAtRun := int(seed%3) + 1
		onRun := func(n int) {
			if n == killAtRun {
				leader.Kill()
			}
		}
		tr.onRun.Store(&onRun)
		tr.Send(tr.Entries[0], chatRequest(crashMarker, false))
		if killAtRun > 2 {
			leader.Kill()
		}
		tr.resendUntilQuarantined(false)
		leader.Restart()
		tr.checkQuarantine()
	})
}
