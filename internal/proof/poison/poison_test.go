// Package poison proves that a request that crashes upstreams reaches two of them
// at most, that innocent requests beside it are answered, and that connections
// that went silent cost a bounded delay.
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

// marker crashes each engine that runs a prompt with it.
const marker = "poison-marker"

// trial is one run of a scenario. Four engines serve draft.
type trial struct {
	*system.System
	t      *testing.T
	random *rand.Rand
	// onRun is called before each run of an engine with its number, from 1.
	onRun atomic.Pointer[func(n int)]
	runs  atomic.Int32
}

func newTrial(t *testing.T, seed uint64, o system.Options) *trial {
	x := &trial{t: t, random: rand.New(rand.NewPCG(seed, 11))}
	o.Seed, o.Entries, o.Engines, o.Hook = seed, 3, 7, x.hook
	if o.MaxCallTimeout == 0 {
		o.MaxCallTimeout = 8 * time.Second
	}
	x.System = system.Start(t, o)
	for _, u := range x.Engines {
		u.Faults.Replace([]fault.Fault{{Kind: fault.Crash, Marker: marker}})
	}
	return x
}

func (x *trial) hook(p system.HookPoint) {
	if p.Step != system.StepRun || p.Completed {
		return
	}
	n := int(x.runs.Add(1))
	if f := x.onRun.Load(); f != nil {
		(*f)(n)
	}
}

// chat returns a call with the prompt.
func chat(prompt string, stream bool) system.Request {
	return system.Request{
		Path: "/v1/chat/completions", Timeout: 15 * time.Second,
		Body: fmt.Sprintf(`{"model":"draft","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, prompt),
	}
}

// crashed counts the engines that are down.
func (x *trial) crashed() (n int) {
	for _, u := range x.Engines {
		if u.Killed() {
			n++
		}
	}
	return n
}

// final tells whether the answer is the quarantine of the request.
func final(a system.Response) bool {
	var body struct{ Error struct{ Code string } }
	return a.Err == nil && a.Status == 422 && json.Unmarshal(a.Body, &body) == nil && body.Error.Code == "quarantined"
}

// until resends the poison request through all entries that live until each of them
// gives the final answer, and checks how many engines crashed.
func (x *trial) until(stream bool) {
	x.t.Helper()
	end := time.Now().Add(40 * time.Second)
	for i, e := range x.Entries {
		if e.Killed() {
			continue
		}
		for a := x.Send(e, chat(marker, stream)); !final(a); a = x.Send(e, chat(marker, stream)) {
			if time.Now().After(end) || x.crashed() > 2 {
				x.t.Fatalf("no final answer from entry %d; %d engines crashed; last answer: status %d, outcome %q: %s %v; suspicions: %v",
					i+1, x.crashed(), a.Status, a.Outcome, a.Body, a.Err, x.suspicions())
			}
			time.Sleep(time.Duration(x.random.IntN(100)) * time.Millisecond)
		}
	}
	x.settled()
}

// settled checks the count of crashes and the form of the final answer.
func (x *trial) settled() {
	x.t.Helper()
	if n := x.crashed(); n != 2 {
		x.t.Errorf("%d engines crashed, expected 2", n)
	}
	for _, e := range x.Entries {
		if e.Killed() {
			continue
		}
		a := x.Send(e, chat(marker, x.random.IntN(2) == 0))
		if !final(a) || a.Outcome != "not run" || a.Header.Get("Retry-After") != "" {
			x.t.Errorf("resend through %s: status %d, outcome %q: %s %v", e.Name, a.Status, a.Outcome, a.Body, a.Err)
		}
	}
	if n := x.crashed(); n != 2 {
		x.t.Errorf("%d engines crashed after the resends, expected 2", n)
	}
}

// Guards against a request that is retried on one upstream after another until none is left.
func TestProofPoisonRequest(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "poison-request", 6, func(t *testing.T, seed uint64) {
		x := newTrial(t, seed, system.Options{})
		a := x.Send(x.Entries[0], chat(marker, seed%2 == 0))
		if !final(a) || a.Outcome != "failed" {
			t.Errorf("status %d, outcome %q: %s %v", a.Status, a.Outcome, a.Body, a.Err)
		}
		x.settled()
	})
}

// Guards against a caller that gives up and resends through another entry, which
// does not know of the crash.
func TestProofPoisonResend(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "poison-resend-other-entry", 6, func(t *testing.T, seed uint64) {
		x := newTrial(t, seed, system.Options{})
		for i := range 6 {
			c := chat(marker, i%2 == 0)
			c.Timeout = time.Duration(5+x.random.IntN(60)) * time.Millisecond
			x.Send(x.Entries[i%3], c)
			x.WaitFor("report of the crashes", x.reported)
		}
		x.until(true)
	})
}

// neighbour is an innocent caller that resends until it has its answer.
type neighbour struct {
	trial  *trial
	entry  int
	prompt string
	wait   *sync.WaitGroup
	answer system.Response
}

func (n *neighbour) run(context.Context) error {
	defer n.wait.Done()
	for range 20 {
		n.answer = n.trial.Send(n.trial.Entries[n.entry], chat(n.prompt, n.entry == 1))
		if n.answer.Succeeded() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// Guards against innocent requests that are quarantined or left without an answer
// since they ran beside a poison request.
func TestProofPoisonNeighbours(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "poison-neighbours", 6, func(t *testing.T, seed uint64) {
		x := newTrial(t, seed, system.Options{TokenInterval: 20 * time.Millisecond})
		g := group.New(context.Background())
		defer func() { _ = g.Stop() }()
		var wait sync.WaitGroup
		var list []*neighbour
		for i := range 16 {
			n := &neighbour{trial: x, entry: i % 3, prompt: fmt.Sprint("neighbour ", i), wait: &wait}
			list = append(list, n)
			wait.Add(1)
			g.Go("neighbour", n.run)
		}
		x.WaitFor("runs of the neighbours", func() bool { return x.runs.Load() >= 16 })
		x.until(false)
		wait.Wait()
		for _, n := range list {
			if !n.answer.Succeeded() {
				t.Errorf("%s: status %d: %s %v", n.prompt, n.answer.Status, n.answer.Body, n.answer.Err)
			}
		}
		beside := 0
		for _, u := range x.Engines {
			if u.Killed() {
				beside += u.Runs.Counts().Started - 1
			}
		}
		if beside == 0 {
			t.Error("no neighbour ran beside the poison request, so that nothing is proved")
		}
		for _, s := range x.suspicions() {
			if len(s.Crashes) != 2 || !s.Quarantined {
				t.Errorf("left behind: %v", s)
			}
		}
	})
}

// reported tells whether group 0 knows of each crash. Copies that are in flight
// before that are a limit of the quarantine.
func (x *trial) reported() bool {
	known := 0
	for _, s := range x.suspicions() {
		known += len(s.Crashes)
	}
	return known >= x.crashed()
}

func (x *trial) suspicions() []*wire.Suspicion {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := x.Entries[1].Client.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		x.t.Fatal(err)
	}
	return r.Suspicions
}

// Guards against a quarantine that is lost with the entry that saw the crashes. The
// entry dies while its second run is on its way, or after the final answer.
func TestProofPoisonEntryRestart(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "poison-entry-restart", 4, func(t *testing.T, seed uint64) {
		x := newTrial(t, seed, system.Options{})
		if seed%2 == 1 {
			f := func(n int) {
				if n == 2 {
					x.Entries[0].Kill()
				}
			}
			x.onRun.Store(&f)
		}
		a := x.Send(x.Entries[0], chat(marker, false))
		if seed%2 == 0 && !final(a) {
			t.Errorf("status %d: %s %v", a.Status, a.Body, a.Err)
		}
		x.Entries[0].Kill()
		x.RestartEntry(0)
		x.until(false)
	})
}

// Guards against a crash that is forgotten when the leader of group 0 is lost: before
// the report of the first or second crash, or after both.
func TestProofPoisonLeaderLost(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "poison-control-leader-lost", 6, func(t *testing.T, seed uint64) {
		x := newTrial(t, seed, system.Options{})
		leader := x.Leader(0)
		at := int(seed%3) + 1
		f := func(n int) {
			if n == at {
				leader.Kill()
			}
		}
		x.onRun.Store(&f)
		x.Send(x.Entries[0], chat(marker, false))
		if at > 2 {
			leader.Kill()
		}
		x.until(false)
		leader.Restart()
		x.settled()
	})
}
