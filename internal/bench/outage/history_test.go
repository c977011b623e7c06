package outage

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/bench/soak"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// testHistory returns a history in which version 1 was acknowledged at 1 s, 2 at 11 s, and 3 was sent.
// Their added routes and keys have the number of the version, openPath and a changing key are there
// from version 2 on, and movedPath goes to another service each time.
func testHistory() *history {
	h := &history{effects: map[any][]effect{}}
	for i, service := range []string{leftService, rightService, guestService} {
		d := altered(soak.Document{Version: i + 1}, "added")
		d.Routes = []soak.Route{{Path: movedPath, Shares: []soak.Share{{Service: service, Weight: 1}, {Service: soak.PoolService}}, Timeout: time.Second}}
		if d.Version > 1 {
			d.Routes = append(d.Routes, soak.Route{Path: openPath, Shares: []soak.Share{{Service: leftService, Weight: 1}}})
			d.Accounts = []soak.ClientAccount{{Name: "red", Keys: []string{changingKey(0)}}}
		}
		h.add(newContent(d, "", ""))
	}
	h.versions[0].acknowledged, h.versions[1].acknowledged = timer.Instant(time.Second), timer.Instant(11*time.Second)
	h.never = []*content{newContent(altered(soak.Document{Version: 2}, "invalid"), "", "invalid document")}
	return h
}

// Guards against checks of changes that see no fault, or one where an outcome is allowed.
func TestJudge(t *testing.T) {
	desk, key := outcome{service: soak.DeskService, account: soak.Account}, soak.APIKey
	run := func(service string) outcome { return outcome{service: service, account: soak.Account} }
	for _, c := range []struct {
		name     string
		sent     time.Duration
		path     string
		key      string
		outcome  outcome
		outside  bool // the instance is not in touch
		effectAt time.Duration
		failed   string
	}{
		{"newest route", 20 * time.Second, "/added-2/", key, desk, false, 0, ""},
		{"route on its way", 20 * time.Second, "/added-3/", key, desk, false, 0, ""},
		{"route that a change on its way drops", 14 * time.Second, "/added-2/", key, outcome{status: 404}, false, 0, ""},
		{"route on its way is not known", 20 * time.Second, "/added-3/", key, outcome{status: 404}, false, 0, ""},
		{"route is not known", 14 * time.Second, openPath, key, outcome{status: 404}, false, 0, "refused though route and key are in force"},
		{"route is not known yet", 12 * time.Second, openPath, key, outcome{status: 404}, false, 0, ""},
		{"route is not known out of touch", 14 * time.Second, openPath, key, outcome{status: 404}, true, 0, ""},
		{"key is not known", 14 * time.Second, soak.ReadPath, changingKey(0), outcome{status: 401}, false, 0, "refused though route and key are in force"},
		{"dropped route", 14 * time.Second, "/added-1/", key, desk, false, 0, "dropped route runs"},
		{"dropped key", 14 * time.Second, soak.ReadPath, "added-key-1", outcome{service: soak.DeskService, account: soak.ChangingAccount}, false, 0, "dropped key runs"},
		{"withdrawn key out of touch", 17 * time.Second, soak.ReadPath, "added-key-1", outcome{service: soak.DeskService, account: soak.ChangingAccount}, true, 0, "withdrawn key runs"},
		{"old service", 14 * time.Second, movedPath, key, run(leftService), false, 0, "run by an older version"},
		{"new service", 14 * time.Second, movedPath, key, run(rightService), false, 0, ""},
		{"service without weight", 14 * time.Second, movedPath, key, run(soak.PoolService), true, 0, "run that no version allows"},
		{"another account", 14 * time.Second, soak.ReadPath, key, outcome{service: soak.DeskService, account: "other"}, true, 0, "run that no version allows"},
		{"unknown key", 14 * time.Second, soak.ReadPath, "never", desk, true, 0, "unknown key runs"},
		{"route of all versions is not known", time.Second, soak.ReadPath, key, outcome{status: 404}, true, 0, "refused under all versions"},
		{"invalid document", 14 * time.Second, "/invalid-2/", key, desk, true, 0, "invalid document obeyed"},
		{"back to an older version", 12 * time.Second, movedPath, key, run(leftService), true, 11700 * time.Millisecond, "instance regresses"},
		{"back to an older version at once", 12 * time.Second, movedPath, key, run(leftService), true, 11800 * time.Millisecond, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h, instant := testHistory(), func(d time.Duration) timer.Instant { return timer.Instant(d) }
			if c.effectAt > 0 {
				q := &request{path: "/added-2/", key: key, lifetime: 1, sent: instant(c.effectAt)}
				is.Equal(h.judge(q, desk, instant(c.effectAt), false, false), "")
			}
			q := &request{path: c.path, key: c.key, lifetime: 1, sent: instant(c.sent)}
			is.Equal(h.judge(q, c.outcome, instant(c.sent), !c.outside, false), c.failed)
		})
	}
}

// Guards against two contents of one version that are both taken for the one in force.
func TestCheckText(t *testing.T) {
	is := is.New(t)
	h := &history{}
	h.add(newContent(soak.Document{Version: 4}, `{"version":4,"a":1}`, ""))
	h.add(newContent(soak.Document{Version: 4}, `{"version":4,"a":2}`, ""))
	is.Equal(h.checkText(4, `{"a":2, "version":4}`), "")
	is.Equal(h.checkText(4, `{"version":4,"a":1}`), "other content under a version held read back")
	is.Equal(h.checkText(4, `{"version":4,"a":3}`), "other content read back than was sent")
	is.Equal(h.checkText(5, `{"version":5}`), "version read back that was not sent")
}

// Guards against a run that passes although no request reached an upstream, so that nothing was judged.
func TestReportWithoutRuns(t *testing.T) {
	for _, c := range []struct {
		name string
		runs int
		ok   bool
	}{{"none", 0, false}, {"one", 1, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := &run{Options: Options{Out: io.Discard}, checks: checks{counts: map[string]int{"reads": 1, "changes": 1, "runs": c.runs}}}
			is.Equal(r.report() == nil, c.ok)
		})
	}
}

// Guards against the tolerance of slowed instances for instances that are merely disturbed.
func TestSlowedSince(t *testing.T) {
	at := func(d time.Duration) timer.Instant { return timer.Instant(d) }
	for _, c := range []struct {
		name     string
		run      *run
		expected bool
	}{
		{"calm", &run{}, false},
		{"just disturbed", &run{disturbed: at(10 * time.Second)}, false},
		{"bad links", &run{badLinks: true}, true},
		{"busy machine", &run{checks: checks{lateAt: at(8 * time.Second)}}, true},
		{"machine that was busy before", &run{checks: checks{lateAt: at(6 * time.Second)}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.run.Size = Small
			is.New(t).Equal(c.run.slowedSince(at(10*time.Second)), c.expected)
		})
	}
}

// Guards against a run that ends with a panic while an impaired instance is being replaced.
func TestTargetDuringReplacement(t *testing.T) {
	old, next := &instance{impaired: true}, &instance{}
	r := &run{instances: []*instance{old}, core: []*instance{old}, impaired: 1}
	r.replaceInstance(old, next)
	r.instances, r.core = append(r.instances, next), append(r.core, next)
	p := &prober{run: r, random: rand.New(rand.NewPCG(1, 1))}
	for range 20 {
		is.New(t).Equal(p.target(), next)
	}
}
