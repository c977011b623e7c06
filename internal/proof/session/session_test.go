// Package session proves that a request runs only on models and versions that its client
// account may use (G1), that a withdrawn version gets no new work (G2) and that a session
// keeps its model version (G3).
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

// documentSpec holds the parts of the service document that the proofs vary.
type documentSpec struct {
	// draftStates and largeStates are the states of the versions 1, 2, ... of both models.
	draftStates, largeStates []string
	// permittedModels lists the models that the account may use, as JSON strings.
	permittedModels string
	// maxConcurrent limits the requests of the account in progress; zero means no limit.
	maxConcurrent int
}

// document returns the text of the document.
func (s documentSpec) document() string {
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
		versions(s.draftStates), versions(s.largeStates), s.permittedModels, s.maxConcurrent)
}

const (
	active    = "active"
	withdrawn = "withdrawn"
	allModels = `"auto","draft","large"`
)

// initialSpec permits all models, one request at a time. Version 2 of large is withdrawn.
var initialSpec = documentSpec{draftStates: []string{active, active}, largeStates: []string{active, withdrawn}, permittedModels: allModels, maxConcurrent: 1}

// scenario is a running system with the operations of the proofs.
type scenario struct {
	*system.System
	system.Interceptor
	is *is.I
	t  *testing.T
}

// newScenario starts a system with engines of draft and large for each version of draft:
// two of version 1 and one of each other version.
func newScenario(t *testing.T, seed uint64, s documentSpec, o system.Options) *scenario {
	sc := &scenario{is: is.New(t), t: t}
	o.Seed, o.Documents = seed, system.DefaultDocuments()
	o.Documents[system.EngineService] = s.document()
	o.EngineVersions = []string{"1", "1"}
	for i := range len(s.draftStates) - 1 {
		o.EngineVersions = append(o.EngineVersions, fmt.Sprint(i+2))
	}
	o.Engines = 2 * len(o.EngineVersions)
	sc.System = system.Start(t, sc.AddTo(o))
	return sc
}

// startRatingService starts a rating service that gives every answer of draft a low rating
// and returns its address.
func startRatingService(t *testing.T) string {
	r := rating.New(timer.NewSystem())
	r.SetBehavior(rating.Behavior{FixedRatings: map[string]float64{"draft": 0.1}})
	mux := http.NewServeMux()
	r.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

// applyAndWait changes the document through an entry and waits until it is in force.
func (sc *scenario) applyAndWait(e *system.Entry, s documentSpec) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	shown, err := e.Client.Show(ctx, &wire.ShowRequest{Service: system.EngineService})
	sc.is.NoErr(err)
	r, err := e.Client.Apply(ctx, &wire.ApplyRequest{
		Service: system.EngineService, Text: []byte(s.document()), Base: shown.Documents[0].Revision,
		Operator: "team", Change: fmt.Sprint(time.Now()), Wait: 8000, // milliseconds
	})
	sc.is.NoErr(err)
	sc.is.True(r.Inforce) // the change is in force
}

// checkNoRuns fails the test if one of the engines ran a chat, apart from the first skip runs.
func (sc *scenario) checkNoRuns(skip int, engines ...string) {
	for _, r := range sc.Runs()[skip:] {
		for _, name := range engines {
			sc.is.True(r.Upstream != name) // no run without permission or on a withdrawn version
		}
	}
}

// The engines by the model and version they serve, as started by newScenario.
var (
	draftV1Engines = []string{"engine-1", "engine-3"}
	largeV1Engines = []string{"engine-2", "engine-4"}
	largeEngines   = append([]string{"engine-6"}, largeV1Engines...)
	draftEngines   = append([]string{"engine-5"}, draftV1Engines...)
)

// heldRequests lists requests that are held in the queue or at an engine while the document
// changes.
var heldRequests = []struct {
	guarantee, fault string
	// blocker is the model of another request that uses up the concurrency limit of the
	// account, so that the chat waits in the queue. If it is empty, the chat itself is held
	// in its first run.
	blocker string
	model   string
	// cutStream interrupts the held stream after its first word.
	cutStream        bool
	update           documentSpec
	forbiddenEngines []string
	wantComplete     bool
}{
	{
		guarantee: "G2", fault: "withdrawn-in-queue", blocker: "draft", model: "draft@1",
		update: documentSpec{draftStates: []string{withdrawn, active}, largeStates: []string{active, active}, permittedModels: allModels}, forbiddenEngines: draftV1Engines,
	},
	{
		guarantee: "G1", fault: "permission-taken-in-queue", blocker: "draft", model: "draft",
		update: documentSpec{draftStates: []string{active, active}, largeStates: []string{active, active}, permittedModels: `"auto","large"`}, forbiddenEngines: draftEngines,
	},
	{
		guarantee: "G1", fault: "version-not-permitted-in-queue", blocker: "draft", model: "draft@1",
		update: documentSpec{draftStates: []string{active, active}, largeStates: []string{active, active}, permittedModels: `"draft@2"`}, forbiddenEngines: draftV1Engines,
	},
	{
		guarantee: "G2", fault: "withdrawn-between-steps", model: "auto",
		update: documentSpec{draftStates: []string{active, active}, largeStates: []string{withdrawn, active}, permittedModels: allModels}, forbiddenEngines: largeV1Engines, wantComplete: true,
	},
	{
		guarantee: "G1", fault: "permission-taken-between-steps", model: "auto",
		update: documentSpec{draftStates: []string{active, active}, largeStates: []string{active, active}, permittedModels: `"draft"`}, forbiddenEngines: largeEngines,
	},
	{
		guarantee: "G2", fault: "withdrawn-during-resume", model: "draft@1", cutStream: true,
		update: documentSpec{draftStates: []string{withdrawn, active}, largeStates: []string{active, active}, permittedModels: allModels}, forbiddenEngines: draftEngines,
	},
	{
		guarantee: "G1", fault: "permission-taken-during-resume", model: "draft@1", cutStream: true,
		update: documentSpec{draftStates: []string{active, active}, largeStates: []string{active, active}, permittedModels: `"large"`}, forbiddenEngines: draftEngines,
	},
}

// Guards against a run on a version that was withdrawn, or for which the account lost its
// permission, after the request was admitted.
func TestProofHeld(t *testing.T) {
	t.Parallel()
	for _, k := range heldRequests {
		t.Run(k.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, k.guarantee, k.fault, 6, func(t *testing.T, seed uint64) {
				sc := newScenario(t, seed, initialSpec, system.Options{RatingAddress: startRatingService(t), MaxRequestTimeout: 20 * time.Second})
				e := sc.Entries[seed%2]
				reached, release := make(chan struct{}), make(chan struct{})
				sc.Set(nil, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
					if k.cutStream {
						defer func() { panic(http.ErrAbortHandler) }()
						// The first word is sent before the document changes.
						w = &pausingWriter{system.TruncatingWriter{ResponseWriter: w, EventsLeft: 2}, reached, release}
						next.ServeHTTP(w, r)
						return
					}
					close(reached)
					<-release
					next.ServeHTTP(w, r)
				})
				chat := system.Chat{Model: k.model, RequestID: "held", Stream: k.cutStream, Prompt: fmt.Sprint("held ", seed), MaxTokens: 6}
				done, blockerDone := make(chan system.Completion, 1), make(chan system.Completion, 1)
				send := func(c system.Chat, result chan system.Completion) { result <- sc.SendChat(e, c) }
				if k.blocker != "" {
					go send(system.Chat{Model: k.blocker, RequestID: "blocker", Prompt: "blocker", MaxTokens: 2}, blockerDone)
					<-reached
					sc.Set(nil, nil)
					go send(chat, done)
					time.Sleep(100 * time.Millisecond) // the chat reaches the queue
				} else {
					go send(chat, done)
					<-reached
					sc.Set(nil, nil)
				}
				sc.applyAndWait(sc.Entries[0], k.update)
				n := len(sc.Runs())
				close(release)
				if k.blocker != "" {
					sc.is.True((<-blockerDone).Complete) // the request that ran before the change completes
				}
				got := <-done
				sc.is.Equal(got.Complete, k.wantComplete)
				sc.is.True(got.Complete || got.Outcome != "") // a rejection states the outcome
				sc.is.True(!got.Complete || got.Matches(chat))
				sc.checkNoRuns(n, k.forbiddenEngines...)
			})
		})
	}
}

// pausingWriter pauses a stream after its first event and then breaks the connection.
type pausingWriter struct {
	system.TruncatingWriter
	// reached is closed before the second event. The writer then waits until release is closed.
	reached, release chan struct{}
}

// Write passes the first event on. At the second it waits for the release and aborts the
// response.
func (p *pausingWriter) Write(b []byte) (int, error) {
	if p.EventsLeft == 1 {
		close(p.reached)
		<-p.release
		panic(http.ErrAbortHandler)
	}
	return p.TruncatingWriter.Write(b)
}

// Guards against an entry that continues with an old document after the change is in force,
// because it cannot reach the control instances or was frozen.
func TestProofApart(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		guarantee, fault string
		// isolate keeps the entry from learning of the change, and rejoin ends that.
		isolate func(sc *scenario, e *system.Entry)
		rejoin  func(sc *scenario, e *system.Entry)
		update  documentSpec
	}{
		{"G2", "entry-cut-off", cutOff, reconnect, documentSpec{draftStates: []string{withdrawn, active}, largeStates: []string{active, active}, permittedModels: allModels}},
		{"G1", "entry-cut-off", cutOff, reconnect, documentSpec{draftStates: []string{active, active}, largeStates: []string{active, active}, permittedModels: `"large"`}},
		{"G2", "entry-frozen", freeze, thaw, documentSpec{draftStates: []string{withdrawn, active}, largeStates: []string{active, active}, permittedModels: allModels}},
		{"G1", "entry-frozen", freeze, thaw, documentSpec{draftStates: []string{active, active}, largeStates: []string{active, active}, permittedModels: `"large"`}},
	} {
		t.Run(k.guarantee+" "+k.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, k.guarantee, k.fault, 6, func(t *testing.T, seed uint64) {
				sc := newScenario(t, seed, initialSpec, system.Options{})
				isolated := sc.Entries[1]
				k.isolate(sc, isolated)
				var mu sync.Mutex
				var senders sync.WaitGroup
				stop := false
				for i := range 4 {
					senders.Go(func() {
						for j := 0; ; j++ {
							mu.Lock()
							stopped := stop
							mu.Unlock()
							if stopped {
								return
							}
							sc.SendChat(isolated, system.Chat{Model: "draft@1", RequestID: fmt.Sprint("apart-", i, "-", j), Prompt: "apart", MaxTokens: 2})
							time.Sleep(10 * time.Millisecond)
						}
					})
				}
				time.Sleep(time.Duration(seed) * 40 * time.Millisecond)
				sc.applyAndWait(sc.Entries[0], k.update)
				n := len(sc.Runs())
				time.Sleep(300 * time.Millisecond) // the isolated entry continues on its own
				k.rejoin(sc, isolated)
				sc.WaitFor("lease", isolated.Client.HoldsLease)
				mu.Lock()
				stop = true
				mu.Unlock()
				senders.Wait()
				sc.checkNoRuns(n, draftV1Engines...)
			})
		})
	}
}

// controlAddresses lists the addresses of the control instances.
func controlAddresses(sc *scenario) (list []string) {
	for _, c := range sc.Controls {
		list = append(list, c.Address)
	}
	return list
}

func cutOff(sc *scenario, e *system.Entry)    { e.Partition(controlAddresses(sc)...) }
func reconnect(sc *scenario, e *system.Entry) { e.Heal(controlAddresses(sc)...) }
func freeze(_ *scenario, e *system.Entry)     { e.Freeze() }
func thaw(_ *scenario, e *system.Entry)       { e.Thaw() }

// threeVersions has three active versions of draft.
var threeVersions = documentSpec{draftStates: []string{active, active, active}, largeStates: []string{active}, permittedModels: allModels}

// twoVersions is threeVersions with version 3 of draft withdrawn.
var twoVersions = documentSpec{draftStates: []string{active, active, withdrawn}, largeStates: []string{active}, permittedModels: allModels}

// sendInSession sends a chat of a session. It returns the version that answered and, if the
// session moved, the version that it moved from.
func (sc *scenario) sendInSession(e *system.Entry, session, id string) (version, moved string) {
	c := sc.SendChat(e, system.Chat{Model: "draft", RequestID: session + "-" + id, Prompt: session + id, MaxTokens: 2, Header: []string{"Wisteriakeel-Session", session}})
	if !c.Complete {
		sc.t.Logf("session %s, request %s is not answered: %+v", session, id, c)
	}
	sc.is.True(c.Complete) // every request of a session is answered
	return c.Version, c.Header.Get("Wisteriakeel-Session-Moved")
}

// sendToBoth sends a chat of a session to the first two entries concurrently.
func (sc *scenario) sendToBoth(session, id string) (versions, moved [2]string) {
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { versions[i], moved[i] = sc.sendInSession(sc.Entries[i], session, id) })
	}
	wg.Wait()
	return versions, moved
}

// sessionCount is the number of sessions of a proof; each version should get some of them.
const sessionCount = 8

// Guards against a session that changes its version when a version is added: while two
// entries handle its first requests and one of them still selects by the old document, after
// the loss of the entry that pinned the session, or after the loss of the leader that holds
// the pin.
func TestProofPin(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		fault string
		// inject is called once the sessions are pinned. If it is nil, a version is added while the
		// first requests wait at the second entry, before they pin their sessions.
		inject func(sc *scenario)
	}{
		{"two-entries-at-once", nil},
		{"version-added", func(*scenario) {}},
		{"pinning-entry-lost", func(sc *scenario) { sc.Entries[0].Kill() }},
		{"pin-leader-lost", func(sc *scenario) { sc.Leader(1).Kill() }},
	} {
		t.Run(k.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G3", k.fault, 6, func(t *testing.T, seed uint64) {
				sc := newScenario(t, seed, twoVersions, system.Options{Entries: 3, MaxRequestTimeout: 10 * time.Second})
				var delayed sync.WaitGroup
				var delayedVersions [sessionCount]string
				release := make(chan struct{})
				releaseOnce := sync.OnceFunc(func() { close(release) })
				defer releaseOnce()
				waiting := make(chan struct{}, sessionCount)
				if k.inject == nil {
					sc.Set(func(p system.HookPoint) {
						if p.Step == system.StepPin && !p.Completed && p.Instance == "entry-2" {
							waiting <- struct{}{}
							<-release
						}
					}, nil)
					for i := range sessionCount {
						delayed.Go(func() {
							delayedVersions[i], _ = sc.sendInSession(sc.Entries[1], fmt.Sprint("s", seed, "-", i), "first")
						})
					}
					sc.WaitFor("all requests to wait before their pin", func() bool { return len(waiting) == sessionCount })
					sc.applyAndWait(sc.Entries[0], threeVersions)
					sc.Set(nil, nil)
				}
				var pinned [sessionCount]string
				for i := range sessionCount {
					pinned[i], _ = sc.sendInSession(sc.Entries[0], fmt.Sprint("s", seed, "-", i), "other")
				}
				releaseOnce()
				delayed.Wait()
				if k.inject == nil {
					sc.is.Equal(delayedVersions, pinned) // the version that was pinned first
				} else {
					k.inject(sc)
					sc.applyAndWait(sc.Entries[1], threeVersions)
				}
				for i, v := range pinned {
					for j, e := range sc.Entries[1:] {
						got, moved := sc.sendInSession(e, fmt.Sprint("s", seed, "-", i), fmt.Sprint("later-", j))
						sc.is.Equal([]string{got, moved}, []string{v, ""}) // the session keeps its version
					}
				}
			})
		})
	}
}

// Guards against a session that stays on a withdrawn version, moves more than once, moves
// without telling the caller, or moves back.
func TestProofMove(t *testing.T) {
	t.Parallel()
	report.Run(t, "G3", "pinned-version-withdrawn", 6, func(t *testing.T, seed uint64) {
		sc := newScenario(t, seed, threeVersions, system.Options{})
		pinned := map[string]string{}
		for i := range sessionCount {
			name := fmt.Sprint("m", seed, "-", i)
			v, _ := sc.sendToBoth(name, "first")
			pinned[name] = v[i%2]
		}
		withdrawnVersion := pinned[fmt.Sprint("m", seed, "-1")]
		withdrawal := documentSpec{draftStates: []string{active, active, active}, largeStates: threeVersions.largeStates, permittedModels: allModels}
		withdrawal.draftStates[withdrawnVersion[0]-'1'] = withdrawn
		sc.applyAndWait(sc.Entries[0], withdrawal)
		n := len(sc.Runs())
		current := map[string]string{}
		for name, v := range pinned {
			got, moved := [2]string{}, [2]string{}
			if name[len(name)-1]%2 == 0 {
				got, moved = sc.sendToBoth(name, "second")
			} else {
				// The other entry keeps its cached pin of the session.
				got[0], moved[0] = sc.sendInSession(sc.Entries[0], name, "second")
				got[1] = got[0]
			}
			sc.is.Equal(got[0], got[1]) // both entries move the session to the same version
			current[name] = got[0]
			if v != withdrawnVersion {
				sc.is.Equal([]string{got[0], moved[0], moved[1]}, []string{v, "", ""}) // other sessions keep their version
				continue
			}
			sc.is.True(got[0] != withdrawnVersion)                                   // the withdrawal takes precedence over the pin
			sc.is.True(moved[0] == withdrawnVersion || moved[1] == withdrawnVersion) // and an answer names the former version
		}
		sc.checkNoRuns(n, [][]string{draftV1Engines, {"engine-5"}, {"engine-7"}}[withdrawnVersion[0]-'1']...)
		sc.applyAndWait(sc.Entries[0], threeVersions)
		for name, v := range current {
			got, moved := sc.sendToBoth(name, "third")
			sc.is.Equal([]string{got[0], got[1], moved[0], moved[1]}, []string{v, v, "", ""})
		}
	})
}
