// Package call proves, under injected faults, that a non-idempotent call runs at most
// once (G7) and that a call reported as "not run" did not run (G6).
package call

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"wisteriakeel.example/wisteriakeel/internal/bench/plain"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/proof/system"
)

// bookingBody is the request body of all bookings.
const bookingBody = `{"seats":2}`

// historyEnd is later than any answer of a trial. A call whose outcome is unknown may run
// until then.
const historyEnd = time.Hour

// trial is one run of a scenario with one idempotency key.
type trial struct {
	*system.System
	t      *testing.T
	random *rand.Rand
	key    string
	// entries are the entries of this trial: the first one fails, the others take the resends.
	entries []*system.Entry
	group   *group.Group
	started time.Time // the times in the history count from here

	mu       sync.Mutex
	triggers []*trigger
	history  []porcupine.Operation
	results  []result
}

// trigger runs an action once, when a request reaches a step at an instance: before the
// step, or after it if after is set. An empty instance matches any.
type trigger struct {
	instance string
	step     system.Step
	after    bool
	action   func()
	fired    chan struct{}
}

// sharedSystem is a running system that several trials use.
type sharedSystem struct {
	start  sync.Once
	system *system.System

	mu     sync.Mutex
	trials map[string]*trial
}

// sharedSystems holds one sharedSystem per seed. Each trial has its own entry to fail.
type sharedSystems struct {
	t     *testing.T
	count int // trials per system

	mu     sync.Mutex
	bySeed map[uint64]*sharedSystem
}

func newSharedSystems(t *testing.T, count int) *sharedSystems {
	return &sharedSystems{t: t, count: count, bySeed: map[uint64]*sharedSystem{}}
}

// newTrial returns the trial with that index on the system of the seed.
func (s *sharedSystems) newTrial(t *testing.T, seed uint64, index int) *trial {
	s.mu.Lock()
	sh := s.bySeed[seed]
	if sh == nil {
		sh = &sharedSystem{trials: map[string]*trial{}}
		s.bySeed[seed] = sh
	}
	s.mu.Unlock()
	sh.start.Do(func() {
		sh.system = system.Start(s.t, system.Options{
			Seed: seed, Entries: s.count + 2, PlainServices: 2, ClaimTakeoverAge: claimTakeoverAge, MaxRequestTimeout: answerTimeout, Hook: sh.onPoint,
		})
	})
	tr := sh.addTrial(t, seed)
	tr.System = sh.system
	entries := tr.System.Entries
	tr.entries = []*system.Entry{entries[index], entries[s.count], entries[s.count+1]}
	return tr
}

// addTrial registers a trial with an idempotency key of its own.
func (sh *sharedSystem) addTrial(t *testing.T, seed uint64) *trial {
	tr := &trial{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), key: "key-" + t.Name(),
		group: group.New(context.Background()), started: time.Now(),
	}
	t.Cleanup(func() { _ = tr.group.Stop() })
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.trials[tr.key] = tr
	return tr
}

// onPoint passes a point to the trial whose key it carries.
func (sh *sharedSystem) onPoint(p system.HookPoint) {
	sh.mu.Lock()
	tr := sh.trials[p.Key]
	sh.mu.Unlock()
	if tr != nil {
		tr.onPoint(p)
	}
}

// newTrial returns a trial on a system of its own, so that any instance may fail.
func newTrial(t *testing.T, seed uint64) *trial {
	return newSharedSystems(t, 1).newTrial(t, seed, 0)
}

// onPoint fires the first trigger that matches the point. It runs the action without the
// lock, since a request that freezes in the action must not block the others.
func (tr *trial) onPoint(p system.HookPoint) {
	tr.mu.Lock()
	i := slices.IndexFunc(tr.triggers, func(a *trigger) bool {
		return a.step == p.Step && a.after == p.Completed && (a.instance == "" || a.instance == p.Instance)
	})
	var a *trigger
	if i >= 0 {
		a = tr.triggers[i]
		tr.triggers = slices.Delete(tr.triggers, i, i+1)
	}
	tr.mu.Unlock()
	if a != nil {
		a.action()
		close(a.fired)
	}
}

// addTrigger registers a trigger and returns it.
func (tr *trial) addTrigger(instance string, step system.Step, after bool, action func()) *trigger {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	a := &trigger{instance: instance, step: step, after: after, action: action, fired: make(chan struct{})}
	tr.triggers = append(tr.triggers, a)
	return a
}

// awaitTrigger waits for a trigger to fire. It fails the trial if no request reaches the
// step, since the fault would not have been injected.
func (tr *trial) awaitTrigger(a *trigger) {
	tr.t.Helper()
	select {
	case <-a.fired:
	case <-time.After(20 * time.Second):
		tr.t.Fatal("no request reached the step of the fault")
	}
}

// sender is a caller that sends one request.
type sender struct {
	trial   *trial
	entry   *system.Entry
	delay   time.Duration
	request system.Request
	answer  system.Response
	done    chan struct{}
}

// send sends the booking to an entry after a delay, without waiting for the answer.
// A timeout of zero leaves the timeout to the entry.
func (tr *trial) send(entry int, delay, timeout time.Duration) *sender {
	c := system.BookingRequest(tr.key, bookingBody)
	if timeout > 0 {
		c.Header = append(c.Header, "Wisteriakeel-Timeout", timeoutHeader(timeout))
	}
	s := &sender{trial: tr, entry: tr.entries[entry], delay: delay, request: c, done: make(chan struct{})}
	tr.group.Go("sender", s.run)
	return s
}

func (s *sender) run(context.Context) error {
	defer close(s.done)
	time.Sleep(s.delay)
	begin := time.Since(s.trial.started)
	s.answer = s.trial.Send(s.entry, s.request)
	s.trial.record(classify(s.answer), begin, time.Since(s.trial.started))
	return nil
}

// wait waits for the answer and returns its result.
func (s *sender) wait() result {
	<-s.done
	return classify(s.answer)
}

// sendAndWait sends the booking and returns the result of the answer.
func (tr *trial) sendAndWait(entry int, timeout time.Duration) result {
	return tr.send(entry, 0, timeout).wait()
}

// record adds a result to the history.
func (tr *trial) record(r result, begin, end time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.results = append(tr.results, r)
	if r.outcome == unknown {
		// A call whose outcome is unknown may still run after the answer.
		end = historyEnd
	}
	tr.history = append(tr.history, porcupine.Operation{
		ClientId: len(tr.history), Output: r, Call: int64(begin), Return: int64(end),
	})
}

// outcome is what a caller learns about its call.
type outcome string

const (
	answered outcome = "answered"
	notRun   outcome = "not run"
	// notRunWithoutLease is a "not run" of an entry without a lease. It holds for this request
	// only: the entry cannot look up the outcome of earlier requests with the same key.
	notRunWithoutLease outcome = "not run without a lease"
	unknown            outcome = "unknown"
	// finalCount marks the upstreams' count of runs at the end.
	finalCount outcome = "counted"
)

// result is the outcome of one request with the text of its answer, or the final count of runs.
type result struct {
	outcome outcome
	text    string
	runs    int
}

// classify derives the result of a request from its answer.
func classify(a system.Response) result {
	var refusal struct{ Error struct{ Code string } }
	switch {
	case a.Err != nil:
		return result{outcome: unknown, text: a.Err.Error()}
	case a.Succeeded():
		return result{outcome: answered, text: string(a.Body)}
	case a.Outcome != "not run":
		return result{outcome: unknown, text: string(a.Body)}
	case json.Unmarshal(a.Body, &refusal) == nil && refusal.Error.Code == "lease":
		return result{outcome: notRunWithoutLease, text: string(a.Body)}
	}
	return result{outcome: notRun, text: string(a.Body)}
}

// runOnceModel is the porcupine model of a call that runs at most once. Its state tells
// whether the call has run.
var runOnceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran, r := state.(bool), output.(result)
		switch r.outcome {
		case answered:
			return []any{true}
		case notRun:
			if ran {
				return nil
			}
			return []any{false}
		case notRunWithoutLease:
			return []any{ran}
		case finalCount:
			if ran != (r.runs == 1) {
				return nil
			}
			return []any{ran}
		}
		return []any{ran, true}
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkHistory checks all answers against the number of runs that the upstreams counted:
// at most one run, none if all answers say "not run", one if the call was answered, and
// the same answer each time. It returns the number of runs.
func (tr *trial) checkHistory() int {
	tr.t.Helper()
	tr.WaitFor("end of all runs", func() bool {
		for _, u := range tr.PlainServices {
			if n := u.Runs.Counts(); n.Finished != n.Started {
				return false
			}
		}
		return true
	})
	runs := tr.RunCount(tr.key)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if runs > 1 {
		tr.t.Errorf("the call ran %d times", runs)
	}
	want, _ := json.Marshal(plain.Response{Kind: "bookings", Number: plain.ExpectedNumber("/bookings", []byte(bookingBody)), Key: tr.key, RunCount: 1})
	for _, r := range tr.results {
		if r.outcome == answered && r.text != string(want) {
			tr.t.Errorf("answer %s, expected %s", r.text, want)
		}
	}
	countTime := int64(historyEnd) + 1
	operations := append(slices.Clone(tr.history), porcupine.Operation{
		ClientId: len(tr.history), Output: result{outcome: finalCount, runs: runs}, Call: countTime, Return: countTime + 1,
	})
	if !porcupine.CheckOperations(runOnceModel.ToModel(), operations) {
		tr.t.Errorf("the answers contradict each other or the count of %d runs", runs)
	}
	if tr.t.Failed() {
		for _, o := range operations {
			tr.t.Logf("%v to %v: %+v", time.Duration(o.Call), time.Duration(o.Return), o.Output)
		}
	}
	return runs
}

// resendAndExpect sends the call a last time and checks the outcome of that request and the
// number of runs. Without this check a router that rejects every call would pass.
func (tr *trial) resendAndExpect(wantRuns int, outcomes ...outcome) {
	tr.t.Helper()
	limit := resendTimeout
	if len(outcomes) == 1 && outcomes[0] == answered {
		limit = answerTimeout
	}
	// On a busy machine the entry may have lost its lease, and refuses whatever the claim's state is.
	awaitLease(tr.entries[1], true)
	last := tr.sendAndWait(1, limit)
	if n := tr.checkHistory(); n != wantRuns {
		tr.t.Errorf("the call ran %d times, expected %d", n, wantRuns)
	}
	if !slices.Contains(outcomes, last.outcome) {
		tr.t.Errorf("result of the last request: %+v, expected one of %v", last, outcomes)
	}
}
