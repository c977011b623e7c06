// Package call proves that a call that may not be repeated runs at most once
// (G7) and that "not run" is true (G6), whatever fails on its way.
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

// body is that of all bookings.
const body = `{"seats":2}`

// trial is one run of a scenario with one key.
type trial struct {
	*system.System
	t      *testing.T
	random *rand.Rand
	key    string
	// entries are those of this trial: the first has the fault, the others take the resends.
	entries []*system.Entry
	group   *group.Group
	begin   time.Time

	mu       sync.Mutex
	traps    []*trap
	history  []porcupine.Operation
	verdicts []verdict
}

// trap runs once, when a request passes its point.
type trap struct {
	instance string
	step     system.Step
	after    bool
	f        func()
	hit      chan struct{}
}

// stage is a system that several trials share.
type stage struct {
	start  sync.Once
	system *system.System

	mu     sync.Mutex
	trials map[string]*trial
}

// stages holds one stage per seed. Each trial loses an entry of its own.
type stages struct {
	t     *testing.T
	count int

	mu     sync.Mutex
	bySeed map[uint64]*stage
}

func newStages(t *testing.T, count int) *stages {
	return &stages{t: t, count: count, bySeed: map[uint64]*stage{}}
}

// trial returns the trial with that number on the stage of the seed.
func (s *stages) trial(t *testing.T, seed uint64, number int) *trial {
	s.mu.Lock()
	g := s.bySeed[seed]
	if g == nil {
		g = &stage{trials: map[string]*trial{}}
		s.bySeed[seed] = g
	}
	s.mu.Unlock()
	g.start.Do(func() {
		g.system = system.Start(s.t, system.Options{
			Seed: seed, Entries: s.count + 2, PlainServices: 2, ClaimTakeoverAge: takeover, MaxCallTimeout: answerLimit, Hook: g.hook,
		})
	})
	x := g.add(t, seed)
	x.System = g.system
	all := x.System.Entries
	x.entries = []*system.Entry{all[number], all[s.count], all[s.count+1]}
	return x
}

func (g *stage) add(t *testing.T, seed uint64) *trial {
	x := &trial{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), key: "key-" + t.Name(),
		group: group.New(context.Background()), begin: time.Now(),
	}
	t.Cleanup(func() { _ = x.group.Stop() })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trials[x.key] = x
	return x
}

// hook passes a point to the trial that it belongs to.
func (g *stage) hook(p system.HookPoint) {
	g.mu.Lock()
	x := g.trials[p.Key]
	g.mu.Unlock()
	if x != nil {
		x.hook(p)
	}
}

// newTrial returns a trial on a system of its own, which loses what it needs.
func newTrial(t *testing.T, seed uint64) *trial {
	return newStages(t, 1).trial(t, seed, 0)
}

// hook springs the first trap set for the point. The lock is not held during
// the trap, since a frozen request must not hold up the others.
func (x *trial) hook(p system.HookPoint) {
	x.mu.Lock()
	i := slices.IndexFunc(x.traps, func(a *trap) bool {
		return a.step == p.Step && a.after == p.Completed && (a.instance == "" || a.instance == p.Instance)
	})
	var a *trap
	if i >= 0 {
		a = x.traps[i]
		x.traps = slices.Delete(x.traps, i, i+1)
	}
	x.mu.Unlock()
	if a != nil {
		a.f()
		close(a.hit)
	}
}

// at sets a trap and returns it.
func (x *trial) at(instance string, step system.Step, after bool, f func()) *trap {
	x.mu.Lock()
	defer x.mu.Unlock()
	a := &trap{instance: instance, step: step, after: after, f: f, hit: make(chan struct{})}
	x.traps = append(x.traps, a)
	return a
}

// wait fails the trial if no request came to the trap, since nothing would be proved then.
func (x *trial) wait(a *trap) {
	x.t.Helper()
	select {
	case <-a.hit:
	case <-time.After(20 * time.Second):
		x.t.Fatal("no request came to the point of the fault")
	}
}

// sender is one caller with one request.
type sender struct {
	trial  *trial
	entry  *system.Entry
	pause  time.Duration
	call   system.Request
	answer system.Response
	done   chan struct{}
}

// send sends the booking to an entry after a pause, without waiting for the answer.
func (x *trial) send(entry int, pause, timeout time.Duration) *sender {
	c := system.BookingRequest(x.key, body)
	if timeout > 0 {
		c.Header = append(c.Header, "Wisteriakeel-Timeout", timeoutHeader(timeout))
	}
	s := &sender{trial: x, entry: x.entries[entry], pause: pause, call: c, done: make(chan struct{})}
	x.group.Go("sender", s.run)
	return s
}

func (s *sender) run(context.Context) error {
	defer close(s.done)
	time.Sleep(s.pause)
	begin := time.Since(s.trial.begin)
	s.answer = s.trial.Send(s.entry, s.call)
	s.trial.record(judge(s.answer), begin, time.Since(s.trial.begin))
	return nil
}

// wait returns the verdict of the answer.
func (s *sender) wait() verdict {
	<-s.done
	return judge(s.answer)
}

// resend sends the booking and waits for the answer.
func (x *trial) resend(entry int, timeout time.Duration) verdict {
	return x.send(entry, 0, timeout).wait()
}

func (x *trial) record(v verdict, begin, end time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.verdicts = append(x.verdicts, v)
	if v.kind == unknown {
		// What may have run may also run later.
		end = time.Hour
	}
	x.history = append(x.history, porcupine.Operation{
		ClientId: len(x.history), Output: v, Call: int64(begin), Return: int64(end),
	})
}

// kind is what a caller learns.
type kind string

const (
	answered kind = "answered"
	notRun   kind = "not run"
	// unstated is a "not run" of an entry without a lease. It speaks of this request
	// only: the entry cannot ask for what became of earlier ones with the key.
	unstated kind = "not run without a lease"
	unknown  kind = "unknown"
	// counted is the count of the upstreams at the end.
	counted kind = "counted"
)

type verdict struct {
	kind kind
	text string
	runs int
}

func judge(a system.Response) verdict {
	var refusal struct{ Error struct{ Code string } }
	switch {
	case a.Err != nil:
		return verdict{kind: unknown, text: a.Err.Error()}
	case a.Succeeded():
		return verdict{kind: answered, text: string(a.Body)}
	case a.Outcome != "not run":
		return verdict{kind: unknown, text: string(a.Body)}
	case json.Unmarshal(a.Body, &refusal) == nil && refusal.Error.Code == "lease":
		return verdict{kind: unstated, text: string(a.Body)}
	}
	return verdict{kind: notRun, text: string(a.Body)}
}

// model is a call that runs once: it has run or not.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran, v := state.(bool), output.(verdict)
		switch v.kind {
		case answered:
			return []any{true}
		case notRun:
			if ran {
				return nil
			}
			return []any{false}
		case unstated:
			return []any{ran}
		case counted:
			if ran != (v.runs == 1) {
				return nil
			}
			return []any{ran}
		}
		return []any{ran, true}
	},
	Equal: func(a, b any) bool { return a == b },
}

// check checks all answers against the count of the upstreams: at most one run, none
// where only "not run" was said, one where the call was answered, and always the
// same answer. It returns the number of runs.
func (x *trial) check() int {
	x.t.Helper()
	x.WaitFor("end of all runs", func() bool {
		for _, u := range x.PlainServices {
			if n := u.Runs.Counts(); n.Finished != n.Started {
				return false
			}
		}
		return true
	})
	runs := x.RunCount(x.key)
	x.mu.Lock()
	defer x.mu.Unlock()
	if runs > 1 {
		x.t.Errorf("the call ran %d times", runs)
	}
	want, _ := json.Marshal(plain.Response{Kind: "bookings", Number: plain.ExpectedNumber("/bookings", []byte(body)), Key: x.key, RunCount: 1})
	for _, v := range x.verdicts {
		if v.kind == answered && v.text != string(want) {
			x.t.Errorf("answer %s, expected %s", v.text, want)
		}
	}
	last := int64(time.Hour) + 1
	all := append(slices.Clone(x.history), porcupine.Operation{
		ClientId: len(x.history), Output: verdict{kind: counted, runs: runs}, Call: last, Return: last + 1,
	})
	if !porcupine.CheckOperations(model.ToModel(), all) {
		x.t.Errorf("the answers contradict each other or the %d runs", runs)
	}
	if x.t.Failed() {
		for _, o := range all {
			x.t.Logf("%v to %v: %+v", time.Duration(o.Call), time.Duration(o.Return), o.Output)
		}
	}
	return runs
}

// expect sends the call a last time and checks what its answer says and the number
// of runs. Without it, a router that refuses everything would pass.
func (x *trial) expect(runs int, kinds ...kind) {
	x.t.Helper()
	limit := resendLimit
	if len(kinds) == 1 && kinds[0] == answered {
		limit = answerLimit
	}
	last := x.resend(1, limit)
	if n := x.check(); n != runs {
		x.t.Errorf("%d runs, expected %d", n, runs)
	}
	if !slices.Contains(kinds, last.kind) {
		x.t.Errorf("the last answer was %+v, expected %v", last, kinds)
	}
}
