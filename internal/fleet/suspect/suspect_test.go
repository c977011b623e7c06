package suspect

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// fixture is a tracker with a clock and a list of parts in quarantine.
type fixture struct {
	*is.I
	tracker     *Tracker
	now         timer.Instant
	quarantined []Part
	incarnation int
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{I: is.New(t), now: timer.Instant(time.Hour)}
	f.tracker = New(func(p Part) bool { return slices.Contains(f.quarantined, p) })
	return f
}

// crash crashes another upstream while it runs a request with the parts.
func (f *fixture) crash(fingerprint uint64, parts ...Part) {
	f.incarnation++
	f.now = f.now.Add(crashInterval)
	f.tracker.RecordCrash(Crash{Incarnation{strconv.Itoa(f.incarnation), 1}, "pool", fingerprint, parts, 0}, f.now)
}

// respond lets time pass in which the service responds to other requests.
func (f *fixture) respond(n int) {
	f.now = f.now.Add(responseDelay)
	f.tracker.RecordResponses("pool", n)
}

// decide returns the part to quarantine, or "", and puts it into quarantine.
func (f *fixture) decide() Part {
	v, ok := f.tracker.Decide(f.now)
	if ok {
		f.quarantined = append(f.quarantined, v.Part)
		f.tracker.Quarantined(v.Part)
	}
	return v.Part
}

// Guards against a verdict without enough evidence, and against none although there is enough.
func TestEvidence(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(f *fixture)
		part Part
	}{
		{"enough", func(f *fixture) {
			for n := range 4 {
				f.crash(uint64(n), "root", "bad")
			}
			f.respond(2)
		}, "bad"},
		{"many requests in three crashes", func(f *fixture) {
			for n := range 3 {
				f.crash(uint64(n), "bad")
				f.tracker.RecordCrash(Crash{Incarnation{strconv.Itoa(f.incarnation), 1}, "pool", uint64(10 + n), []Part{"bad"}, 0}, f.now)
			}
			f.respond(2)
		}, "bad"},
		{"three crashes", func(f *fixture) {
			for n := range 3 {
				f.crash(uint64(n), "bad")
			}
			f.respond(20)
		}, ""},
		{"one request", func(f *fixture) {
			for range 9 {
				f.crash(1, "bad")
			}
			f.respond(20)
		}, ""},
		{"no other responses", func(f *fixture) {
			for n := range 9 {
				f.crash(uint64(n), "bad")
			}
			f.respond(0)
		}, ""},
		{"too early for a report of a response", func(f *fixture) {
			for n := range 4 {
				f.crash(uint64(n), "bad")
			}
			f.tracker.RecordResponses("pool", 20)
		}, ""},
		{"crashes at one time", func(f *fixture) {
			for n := range 9 {
				f.crash(uint64(n), "bad")
				f.now = f.now.Add(-crashInterval)
			}
			f.respond(20)
		}, ""},
		{"crashes at different times in one report", func(f *fixture) {
			for n := range 4 {
				f.incarnation++
				f.tracker.RecordCrash(Crash{Incarnation{strconv.Itoa(f.incarnation), 1}, "pool", uint64(n), []Part{"bad"}, time.Duration(n) * crashInterval}, f.now)
			}
			f.respond(2)
		}, "bad"},
		{"a response since", func(f *fixture) {
			for n := range 4 {
				f.crash(uint64(n), "sound")
			}
			f.tracker.RecordSurvival("sound", f.now)
			f.respond(20)
		}, ""},
		{"a response since, and late reports", func(f *fixture) {
			f.crash(9, "sound")
			f.tracker.RecordSurvival("sound", f.now)
			for n := range 9 {
				f.incarnation++
				f.now = f.now.Add(crashInterval)
				f.tracker.RecordCrash(Crash{Incarnation{strconv.Itoa(f.incarnation), 1}, "pool", uint64(n), []Part{"sound"}, 10 * crashInterval}, f.now)
			}
			f.respond(20)
		}, ""},
		{"a response before, and few crashes after it", func(f *fixture) {
			f.crash(1, "sound")
			f.tracker.RecordSurvival("sound", f.now)
			for n := range 5 {
				f.crash(uint64(n), "sound")
			}
			f.respond(20)
		}, ""},
		{"a response before, and many crashes after it", func(f *fixture) {
			f.crash(1, "bad")
			f.tracker.RecordSurvival("bad", f.now)
			for n := range 8 {
				f.crash(uint64(n), "bad")
			}
			f.respond(20)
		}, "bad"},
		{"crashes before the machine of the leader was booted", func(f *fixture) {
			f.now = timer.Instant(time.Second)
			for n := range 4 {
				age := 5*time.Second - time.Duration(n)*crashInterval
				f.tracker.RecordCrash(Crash{Incarnation{strconv.Itoa(n), 1}, "pool", uint64(n), []Part{"bad"}, age}, f.now)
			}
			f.respond(2)
		}, "bad"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.play(f)
			f.Equal(f.decide(), c.part)
		})
	}
}

// Guards against a quarantine of the sound parts that run beside the one in quarantine, and against
// a wrong verdict between two parts of the same requests that the next crashes do not correct.
func TestExplainedCrashes(t *testing.T) {
	f := newFixture(t)
	for n := range 4 {
		f.crash(uint64(n), "bad", "specific")
		f.tracker.RecordCrash(Crash{Incarnation{strconv.Itoa(f.incarnation), 1}, "pool", uint64(10 + n), []Part{"bystander"}, 0}, f.now)
	}
	f.respond(20)
	f.Equal(f.decide(), Part("specific"))
	f.respond(20)
	f.Equal(f.decide(), Part(""))
	f.crash(20, "bystander", "specific") // sent before the quarantine
	f.crash(21, "bystander", "specific")
	f.respond(20)
	f.Equal(f.decide(), Part(""))
	f.crash(22, "bad", "other")
	f.crash(23, "bad", "another")
	f.respond(20)
	f.Equal(f.decide(), Part("bad"))
}

// Guards against memory that grows with the crashes, and old crashes that still count.
func TestExpire(t *testing.T) {
	f := newFixture(t)
	for n := range 4 {
		f.crash(uint64(n), "bad")
	}
	f.now = f.now.Add(window + time.Second)
	f.tracker.Expire(f.now)
	f.Equal(len(f.tracker.suspicions), 0)
	f.Equal(len(f.tracker.incarnations), 0)
	f.crash(9, "bad")
	f.respond(20)
	f.Equal(f.decide(), Part(""))
}

// Guards against a response that is not reported because it came before the part was watched, and
// against one that is reported after it is too old to count.
func TestResponses(t *testing.T) {
	for _, c := range []struct {
		name     string
		age      time.Duration
		reported []Part
	}{
		{"recent", 20 * time.Second, []Part{"a"}},
		{"of the earlier generation", 50 * time.Second, []Part{"a"}},
		{"old", 100 * time.Second, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, now := NewResponses(), timer.Instant(time.Hour)
			r.Record([]Part{"a", "b"}, now)
			is.Equal(r.Take(), nil) // not watched
			now = now.Add(c.age)
			r.Watch([]Part{"a", "c"}, now)
			is.Equal(r.Take(), c.reported)
			r.Record([]Part{"c"}, now)
			is.Equal(r.Take(), []Part{"c"})
			is.Equal(r.Take(), nil)
			r.Record([]Part{"c"}, now.Add(2*watchDuration))
			is.Equal(r.Take(), nil) // no longer watched
		})
	}
}
