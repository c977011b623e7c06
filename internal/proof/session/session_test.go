// Package session proves that a request runs only where its client account may
// run it (G1), that a withdrawn version gets no new work (G2) and that a session
// keeps its version (G3).
package session

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/bench/rating"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/proof/report"
	"wisteriakeel.example/wisteriakeel/internal/proof/system"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// spec is what a proof changes of the document.
type spec struct {
	// draft and large are the states of their versions 1, 2 and so on.
	draft, large []string
	// models are those that the account may use.
	models string
	// parallel bounds the account's requests in progress; zero means no bound.
	parallel int
}

func (s spec) text() string {
	versions := func(states []string) string {
		var list []string
		for i, v := range states {
			list = append(list, fmt.Sprintf(`{"name":"%d","state":%q}`, i+1, v))
		}
		return strings.Join(list, ",")
	}
	return fmt.Sprintf(`{"service":"wisteria-pool","kind":"engine","models":[
{"name":"draft","price":{"input":1,"output":2},"versions":[%s]},
{"name":"large","price":{"input":10,"output":20},"versions":[%s]}],
"cascades":[{"name":"auto","steps":["draft","large"],"quality":0.8}],
"accounts":[{"name":"hill","models":[%s],"weight":1,"limit":{"parallel":%d}}]}`,
		versions(s.draft), versions(s.large), s.models, s.parallel)
}

const (
	active    = "active"
	withdrawn = "withdrawn"
	all       = `"auto","draft","large"`
)

// first allows everything; large has version 1 only.
var first = spec{draft: []string{active, active}, large: []string{active, withdrawn}, models: all, parallel: 1}

// stage is a running system and what a proof does to it.
type stage struct {
	*system.System
	system.Interceptor
	is *is.I
	t  *testing.T
}

// begin starts engines of draft and large for each version, two of version 1 and
// one of the others.
func begin(t *testing.T, seed uint64, s spec, o system.Options) *stage {
	g := &stage{is: is.New(t), t: t}
	o.Seed, o.Documents = seed, system.DefaultDocuments()
	o.Documents[system.EngineService] = s.text()
	o.EngineVersions = []string{"1", "1"}
	for i := range len(s.draft) - 1 {
		o.EngineVersions = append(o.EngineVersions, fmt.Sprint(i+2))
	}
	o.Engines = 2 * len(o.EngineVersions)
	g.System = system.Start(t, g.AddTo(o))
	return g
}

// rated starts a rating service that finds every answer of draft bad.
func rated(t *testing.T) string {
	r := rating.New(timer.NewSystem())
	r.SetBehavior(rating.Behavior{FixedRatings: map[string]float64{"draft": 0.1}})
	mux := http.NewServeMux()
	r.Register(mux)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.URL
}

// apply changes the document through an entry and returns once it is in force.
func (g *stage) apply(e *system.Entry, s spec) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	shown, err := e.Client.Show(ctx, &wire.ShowRequest{Service: system.EngineService})
	g.is.NoErr(err)
	r, err := e.Client.Apply(ctx, &wire.ApplyRequest{
		Service: system.EngineService, Text: []byte(s.text()), Base: shown.Documents[0].Revision,
		Operator: "team", Change: fmt.Sprint(time.Now()), Wait: 8000,
	})
	g.is.NoErr(err)
	g.is.True(r.Inforce) // the change is in force
}

// forbid fails if an engine of the model's version ran a chat after the first n runs.
func (g *stage) forbid(n int, names ...string) {
	for _, r := range g.Runs()[n:] {
		for _, name := range names {
			g.is.True(r.Upstream != name) // no run without permission, on a withdrawn version
		}
	}
}

// Engines by what they serve; see begin.
var (
	draft1 = []string{"engine-1", "engine-3"}
	large1 = []string{"engine-2", "engine-4"}
	large  = append([]string{"engine-6"}, large1...)
	drafts = append([]string{"engine-5"}, draft1...)
)

// held is a request that is held at an engine while the document changes.
var held = []struct {
	guarantee, fault string
	// blocker is the model of a request that holds the account's only place, so that the
	// chat waits in the queue; empty if the chat itself is held in its first run.
	blocker string
	model   string
	// cut breaks the held stream off after a word.
	cut      bool
	change   spec
	forbid   []string
	complete bool
}{
	{
		guarantee: "G2", fault: "withdrawn-in-queue", blocker: "draft", model: "draft@1",
		change: spec{draft: []string{withdrawn, active}, large: []string{active, active}, models: all}, forbid: draft1,
	},
	{
		guarantee: "G1", fault: "permission-taken-in-queue", blocker: "draft", model: "draft",
		change: spec{draft: []string{active, active}, large: []string{active, active}, models: `"auto","large"`}, forbid: drafts,
	},
	{
		guarantee: "G1", fault: "version-not-permitted-in-queue", blocker: "draft", model: "draft@1",
		change: spec{draft: []string{active, active}, large: []string{active, active}, models: `"draft@2"`}, forbid: draft1,
	},
	{
		guarantee: "G2", fault: "withdrawn-between-steps", model: "auto",
		change: spec{draft: []string{active, active}, large: []string{withdrawn, active}, models: all}, forbid: large1, complete: true,
	},
	{
		guarantee: "G1", fault: "permission-taken-between-steps", model: "auto",
		change: spec{draft: []string{active, active}, large: []string{active, active}, models: `"draft"`}, forbid: large,
	},
	{
		guarantee: "G2", fault: "withdrawn-during-resume", model: "draft@1", cut: true,
		change: spec{draft: []string{withdrawn, active}, large: []string{active, active}, models: all}, forbid: drafts,
	},
	{
		guarantee: "G1", fault: "permission-taken-during-resume", model: "draft@1", cut: true,
		change: spec{draft: []string{active, active}, large: []string{active, active}, models: `"large"`}, forbid: drafts,
	},
}

// Guards against work on a version that was withdrawn, or for which the account
// lost its permission, after the request had been admitted.
func TestProofHeld(t *testing.T) {
	t.Parallel()
	for _, k := range held {
		t.Run(k.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, k.guarantee, k.fault, 6, func(t *testing.T, seed uint64) {
				g := begin(t, seed, first, system.Options{RatingAddress: rated(t), MaxCallTimeout: 20 * time.Second})
				e := g.Entries[seed%2]
				reached, release := make(chan struct{}), make(chan struct{})
				g.Set(nil, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
					if k.cut {
						defer func() { panic(http.ErrAbortHandler) }()
						// The first word has passed before the document changes.
						w = &pauser{system.TruncatingWriter{ResponseWriter: w, EventsLeft: 2}, reached, release}
						next.ServeHTTP(w, r)
						return
					}
					close(reached)
					<-release
					next.ServeHTTP(w, r)
				})
				chat := system.Chat{Model: k.model, RequestID: "held", Stream: k.cut, Prompt: fmt.Sprint("held ", seed), MaxTokens: 6}
				done, before := make(chan system.Completion, 1), make(chan system.Completion, 1)
				send := func(c system.Chat, got chan system.Completion) { got <- g.SendChat(e, c) }
				if k.blocker != "" {
					go send(system.Chat{Model: k.blocker, RequestID: "blocker", Prompt: "blocker", MaxTokens: 2}, before)
					<-reached
					g.Set(nil, nil)
					go send(chat, done)
					time.Sleep(100 * time.Millisecond) // the chat reaches the queue
				} else {
					go send(chat, done)
					<-reached
					g.Set(nil, nil)
				}
				g.apply(g.Entries[0], k.change)
				n := len(g.Runs())
				close(release)
				if k.blocker != "" {
					g.is.True((<-before).Complete) // the request that ran before the change ends well
				}
				got := <-done
				g.is.Equal(got.Complete, k.complete)
				g.is.True(got.Complete || got.Outcome != "") // a refusal tells the outcome
				g.is.True(!got.Complete || got.Matches(chat))
				g.forbid(n, k.forbid...)
			})
		})
	}
}

// pauser holds a stream after its first event.
type pauser struct {
	system.TruncatingWriter
	reached, release chan struct{}
}

// Write passes the first event on and waits before the second.
func (p *pauser) Write(b []byte) (int, error) {
	if p.EventsLeft == 1 {
		close(p.reached)
		<-p.release
		panic(http.ErrAbortHandler)
	}
	return p.TruncatingWriter.Write(b)
}

// Guards against an entry that goes on with an old document after the change is
// in force, because it cannot reach the control instances or stood still.
func TestProofApart(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		guarantee, fault string
		part             func(g *stage, e *system.Entry)
		join             func(g *stage, e *system.Entry)
		change           spec
	}{
		{"G2", "entry-cut-off", cut, heal, spec{draft: []string{withdrawn, active}, large: []string{active, active}, models: all}},
		{"G1", "entry-cut-off", cut, heal, spec{draft: []string{active, active}, large: []string{active, active}, models: `"large"`}},
		{"G2", "entry-frozen", freeze, thaw, spec{draft: []string{withdrawn, active}, large: []string{active, active}, models: all}},
		{"G1", "entry-frozen", freeze, thaw, spec{draft: []string{active, active}, large: []string{active, active}, models: `"large"`}},
	} {
		t.Run(k.guarantee+" "+k.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, k.guarantee, k.fault, 6, func(t *testing.T, seed uint64) {
				g := begin(t, seed, first, system.Options{})
				far := g.Entries[1]
				k.part(g, far)
				var mu sync.Mutex
				var senders sync.WaitGroup
				stop := false
				for i := range 4 {
					senders.Go(func() {
						for j := 0; ; j++ {
							mu.Lock()
							ended := stop
							mu.Unlock()
							if ended {
								return
							}
							g.SendChat(far, system.Chat{Model: "draft@1", RequestID: fmt.Sprint("apart-", i, "-", j), Prompt: "apart", MaxTokens: 2})
							time.Sleep(10 * time.Millisecond)
						}
					})
				}
				time.Sleep(time.Duration(seed) * 40 * time.Millisecond)
				g.apply(g.Entries[0], k.change)
				n := len(g.Runs())
				time.Sleep(300 * time.Millisecond) // the entry goes on alone
				k.join(g, far)
				g.WaitFor("lease", far.Client.HoldsLease)
				mu.Lock()
				stop = true
				mu.Unlock()
				senders.Wait()
				g.forbid(n, draft1...)
			})
		})
	}
}

func addresses(g *stage) (list []string) {
	for _, c := range g.Controls {
		list = append(list, c.Address)
	}
	return list
}

func cut(g *stage, e *system.Entry)    { e.Partition(addresses(g)...) }
func heal(g *stage, e *system.Entry)   { e.Heal(addresses(g)...) }
func freeze(_ *stage, e *system.Entry) { e.Freeze() }
func thaw(_ *stage, e *system.Entry)   { e.Thaw() }

// three has three versions of draft.
var three = spec{draft: []string{active, active, active}, large: []string{active}, models: all}

// two has only the first two of them.
var two = spec{draft: []string{active, active, withdrawn}, large: []string{active}, models: all}

// in sends a chat of a session and returns the version that answered and the one
// that the session left.
func (g *stage) in(e *system.Entry, session, id string) (version, moved string) {
	c := g.SendChat(e, system.Chat{Model: "draft", RequestID: session + "-" + id, Prompt: session + id, MaxTokens: 2, Header: []string{"Wisteriakeel-Session", session}})
	if !c.Complete {
		g.t.Logf("session %s, request %s: %+v", session, id, c)
	}
	g.is.True(c.Complete) // a request of a session is answered
	return c.Version, c.Header.Get("Wisteriakeel-Session-Moved")
}

// both sends a chat of a session to two entries at once.
func (g *stage) both(session, id string) (versions, moved [2]string) {
	var w sync.WaitGroup
	for i := range 2 {
		w.Go(func() { versions[i], moved[i] = g.in(g.Entries[i], session, id) })
	}
	w.Wait()
	return versions, moved
}

// sessions is how many sessions a proof has: enough for each version to have some.
const sessions = 8

// Guards against a session that changes its version when the versions on offer have
// changed: with its first requests at two entries at once, of which one still
// prefers by the old document, with the loss of the entry that pinned it and of the
// leader that holds the pin.
func TestProofPin(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		fault  string
		strike func(g *stage)
	}{
		{"two-entries-at-once", nil},
		{"version-added", func(*stage) {}},
		{"pinning-entry-lost", func(g *stage) { g.Entries[0].Kill() }},
		{"pin-leader-lost", func(g *stage) { g.Leader(1).Kill() }},
	} {
		t.Run(k.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G3", k.fault, 6, func(t *testing.T, seed uint64) {
				g := begin(t, seed, two, system.Options{Entries: 3, MaxCallTimeout: 10 * time.Second})
				var slow sync.WaitGroup
				var firsts [sessions]string
				release := make(chan struct{})
				end := sync.OnceFunc(func() { close(release) })
				defer end()
				held := make(chan struct{}, sessions)
				if k.strike == nil {
					g.Set(func(p system.HookPoint) {
						if p.Step == system.StepPin && !p.Completed && p.Instance == "entry-2" {
							held <- struct{}{}
							<-release
						}
					}, nil)
					for i := range sessions {
						slow.Go(func() { firsts[i], _ = g.in(g.Entries[1], fmt.Sprint("s", seed, "-", i), "first") })
					}
					g.WaitFor("requests before their pin", func() bool { return len(held) == sessions })
					g.apply(g.Entries[0], three)
					g.Set(nil, nil)
				}
				var pinned [sessions]string
				for i := range sessions {
					pinned[i], _ = g.in(g.Entries[0], fmt.Sprint("s", seed, "-", i), "other")
				}
				end()
				slow.Wait()
				if k.strike == nil {
					g.is.Equal(firsts, pinned) // the version that was pinned first
				} else {
					k.strike(g)
					g.apply(g.Entries[1], three)
				}
				for i, v := range pinned {
					for j, e := range g.Entries[1:] {
						got, moved := g.in(e, fmt.Sprint("s", seed, "-", i), fmt.Sprint("later-", j))
						g.is.Equal([]string{got, moved}, []string{v, ""}) // the session keeps its version
					}
				}
			})
		})
	}
}

// Guards against a session that stays on a withdrawn version, moves more than
// once, moves without a word or moves back.
func TestProofMove(t *testing.T) {
	t.Parallel()
	report.Run(t, "G3", "pinned-version-withdrawn", 6, func(t *testing.T, seed uint64) {
		g := begin(t, seed, three, system.Options{})
		old := map[string]string{}
		for i := range sessions {
			name := fmt.Sprint("m", seed, "-", i)
			v, _ := g.both(name, "first")
			old[name] = v[i%2]
		}
		gone := old[fmt.Sprint("m", seed, "-1")]
		less := spec{draft: []string{active, active, active}, large: three.large, models: all}
		less.draft[gone[0]-'1'] = withdrawn
		g.apply(g.Entries[0], less)
		n := len(g.Runs())
		now := map[string]string{}
		for name, v := range old {
			got, moved := [2]string{}, [2]string{}
			if name[len(name)-1]%2 == 0 {
				got, moved = g.both(name, "second")
			} else {
				// The other entry is left with what it remembers of the session.
				got[0], moved[0] = g.in(g.Entries[0], name, "second")
				got[1] = got[0]
			}
			g.is.Equal(got[0], got[1]) // one move, whichever entry makes it
			now[name] = got[0]
			if v != gone {
				g.is.Equal([]string{got[0], moved[0], moved[1]}, []string{v, "", ""}) // others stay
				continue
			}
			g.is.True(got[0] != gone)                       // withdrawal goes before the pin
			g.is.True(moved[0] == gone || moved[1] == gone) // and the answer says so
		}
		g.forbid(n, [][]string{draft1, {"engine-5"}, {"engine-7"}}[gone[0]-'1']...)
		g.apply(g.Entries[0], three)
		for name, v := range now {
			got, moved := g.both(name, "third")
			g.is.Equal([]string{got[0], got[1], moved[0], moved[1]}, []string{v, v, "", ""})
		}
	})
}
