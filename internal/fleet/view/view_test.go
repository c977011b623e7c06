package view

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/suspect"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Guards against crashes that seem to have happened at once, since their report had to wait for a leader.
func TestCrashAge(t *testing.T) {
	is := is.New(t)
	v, clock := newView()
	v.RecordCrash(&wire.Crash{Upstream: "a"})
	clock.Advance(time.Second)
	v.RecordCrash(&wire.Crash{Upstream: "b"})
	r := v.TakeReport()
	is.Equal(r.GetCrashes()[0].GetAgeMs(), uint32(1000))
	is.Equal(r.GetCrashes()[1].GetAgeMs(), uint32(0))
	taken := clock.Now()
	clock.Advance(time.Second) // the attempt to deliver the report
	v.RequeueReport(r, taken)
	r = v.TakeReport()
	is.Equal(r.GetCrashes()[0].GetAgeMs(), uint32(2000))
	is.Equal(r.GetCrashes()[1].GetAgeMs(), uint32(1000))
}

// testLag is the time for which an older layout may be used in tests.
const testLag = 400 * time.Millisecond

// newView returns a view that cannot decode the layout text "bad", and its clock.
func newView() (*View, *timer.Manual) {
	clock := timer.NewManual()
	clock.Advance(time.Hour)
	return New(Options{
		Decode: func(v layout.Version, text []byte) (*layout.Layout, error) {
			if string(text) == "bad" {
				return nil, errors.New("bad")
			}
			return &layout.Layout{Version: v}, nil
		},
		LeaseDuration: time.Second, MaxLayoutLag: testLag, Timer: clock, Log: zap.NewNop(),
	}), clock
}

// newNamingView returns a view whose layouts name the services in their text. The first one is in force
// unless it names none.
func newNamingView(is *is.I, services string) *View {
	v := New(Options{
		Decode: func(version layout.Version, text []byte) (*layout.Layout, error) {
			l := &layout.Layout{Version: version}
			for _, name := range strings.Fields(string(text)) {
				l.Pools = append(l.Pools, &layout.Pool{Name: layout.Service(name)})
			}
			return l, l.Prepare()
		},
		LeaseDuration: time.Second, MaxLayoutLag: testLag, Timer: timer.NewManual(), Log: zap.NewNop(),
	})
	if services != "" {
		is.NoErr(v.ApplyLayout(1, []byte(services)))
	}
	return v
}

// Guards against an older layout that replaces a newer one after a change of leader or is
// in force after a restart, and against a lease that runs from the reply instead of the request.
func TestLearnLayout(t *testing.T) {
	is := is.New(t)
	v, clock := newView()
	confirmed := func() bool { return v.LayoutConfirmed(v.Layout()) }
	is.True(!confirmed())
	sent := clock.Now()
	clock.Advance(900 * time.Millisecond)
	v.ApplySync(&wire.SyncReply{Term: 1, Layout: &wire.Layout{Version: 5}}, sent)
	is.Equal(v.WantedLayout(), layout.Version(5))
	is.True(!confirmed())
	is.NoErr(v.ApplyLayout(4, nil)) // another instance still has it
	is.True(!confirmed())
	is.Equal(v.WantedLayout(), layout.Version(5))
	is.NoErr(v.ApplyLayout(5, nil))
	is.True(confirmed())
	is.Equal(v.WantedLayout(), layout.Version(0))
	v.ApplySync(&wire.SyncReply{Term: 2, Layout: &wire.Layout{Version: 4}}, sent)
	is.NoErr(v.ApplyLayout(4, nil))
	is.Equal(v.Layout().Version, layout.Version(5))
	clock.Advance(100 * time.Millisecond)
	is.True(!confirmed())
	// A layout that cannot be decoded must not renew the lease.
	v.ApplySync(&wire.SyncReply{Term: 2, Layout: &wire.Layout{Version: 6}}, clock.Now())
	is.True(v.ApplyLayout(6, []byte("bad")) != nil)
	is.True(!confirmed())
	is.Equal(v.Layout().Version, layout.Version(5))
}

// Guards against an instance that obeys an older layout long after it heard of a newer one,
// or that renews the lease on the older one meanwhile.
func TestOutdatedLayout(t *testing.T) {
	is := is.New(t)
	v, clock := newView()
	v.ApplySync(&wire.SyncReply{Term: 1, Layout: &wire.Layout{Version: 5}}, clock.Now())
	is.NoErr(v.ApplyLayout(5, nil))
	old := v.Layout()
	for range 4 {
		is.True(!v.LayoutOutdated())
		is.True(v.LayoutConfirmed(old))
		v.ApplySync(&wire.SyncReply{Term: 1, Layout: &wire.Layout{Version: 6}}, clock.Now())
		clock.Advance(testLag / 4)
	}
	is.True(v.LayoutOutdated())
	clock.Advance(time.Second - testLag)
	is.True(!v.LayoutConfirmed(old)) // the lease runs from the last reply without a newer version
	v.ApplySync(&wire.SyncReply{Term: 1, Layout: &wire.Layout{Version: 6}}, clock.Now())
	is.NoErr(v.ApplyLayout(6, nil))
	is.True(!v.LayoutOutdated())
	is.True(v.LayoutConfirmed(v.Layout()))
	is.True(!v.LayoutConfirmed(old))
	is.Equal(v.TakeReport().GetLayout(), uint64(6)) // the leader waits for it
}

// Guards against an upstream that stays in use after another took over its address, or that
// a late announcement puts back into use.
func TestReplacedUpstream(t *testing.T) {
	is := is.New(t)
	v := newNamingView(is, "a b")
	v.ApplyAnnouncement(&wire.Upstream{Id: "old", Born: 1, Sequence: 1, Address: "1", Service: "a"})
	v.ApplyAnnouncement(&wire.Upstream{Id: "new", Born: 2, Sequence: 1, Address: "1", Service: "b"})
	v.ApplyAnnouncement(&wire.Upstream{Id: "old", Born: 1, Sequence: 2, Address: "1", Service: "a"})
	is.Equal(len(v.Table().Services["a"]), 0)
	is.Equal(len(v.Table().Services["b"]), 1)
}

// Guards against an upstream that is taken out of use by an announcement for a service that no
// layout names, from its address, and against one that stays unknown once a layout names its service.
func TestUnnamedService(t *testing.T) {
	is := is.New(t)
	v := newNamingView(is, "a")
	v.ApplyAnnouncement(&wire.Upstream{Id: "sound", Born: 1, Sequence: 1, Address: "1", Service: "a"})
	v.ApplyAnnouncement(&wire.Upstream{Id: "foreign", Born: 2, Sequence: 1, Address: "1", Service: "b"})
	v.ApplyAnnouncement(&wire.Upstream{Id: "draining", Born: 2, Sequence: 1, Address: "1", Service: "b", Stage: wire.Stage_STAGE_DRAINING})
	is.Equal(len(v.Table().Services["a"]), 1)
	is.Equal(len(v.TakeReport().GetUpstreams()), 1) // the leader does not hear of them
	v.Deregister("draining", 2, 2)
	is.Equal(len(v.TakeReport().GetUpstreams()), 1) // the end of an upstream counts
	for i := range 2 * maxUnnamed {
		v.ApplyAnnouncement(&wire.Upstream{Id: fmt.Sprint(i), Born: 2, Sequence: 1, Address: "9", Service: "c"})
	}
	is.Equal(len(v.unnamed), maxUnnamed)
	is.NoErr(v.ApplyLayout(2, []byte("a b")))
	is.Equal(len(v.Table().Services["a"]), 0) // the later upstream at the address counts
	is.Equal(v.Table().Services["b"][0].GetId(), "foreign")
	is.Equal(len(v.Table().Services["b"]), 1)
}

// Guards against an upstream that is taken out of use for good by an announcement for a service that
// no layout names, while an instance that has just started knows no layout.
func TestAnnouncementBeforeFirstLayout(t *testing.T) {
	is := is.New(t)
	v := newNamingView(is, "")
	v.ApplyAnnouncement(&wire.Upstream{Id: "sound", Born: 1, Sequence: 1, Address: "1", Service: "a"})
	v.ApplyAnnouncement(&wire.Upstream{Id: "foreign", Born: 2, Sequence: 1, Address: "1", Service: "b"})
	v.ApplyAnnouncement(&wire.Upstream{Id: "draining", Born: 1, Sequence: 1, Address: "2", Service: "a", Stage: wire.Stage_STAGE_DRAINING})
	is.Equal(v.TakeReport().GetUpstreams()[0].GetId(), "draining")
	is.NoErr(v.ApplyLayout(1, []byte("a")))
	is.Equal(len(v.Table().Services["a"]), 1)
	is.Equal(v.TakeReport().GetUpstreams()[0].GetId(), "sound")
	is.Equal(len(v.Table().Services["b"]), 0)
}

// Guards against an upstream that is taken out of use for good by one that drains, for a service that no
// layout names, and announced itself to an instance that knew no layout; and against requests to one that
// drains and whose service is named.
func TestDrainingBeforeFirstLayout(t *testing.T) {
	is := is.New(t)
	v, other := newNamingView(is, ""), newNamingView(is, "a")
	upstream := func(id string, born int64, sequence uint64, address, service string, stage wire.Stage) *wire.Upstream {
		return &wire.Upstream{Id: id, Born: born, Sequence: sequence, Address: address, Service: service, Stage: stage}
	}
	const ready, draining = wire.Stage_STAGE_READY, wire.Stage_STAGE_DRAINING
	other.ApplyAnnouncement(upstream("sound", 1, 1, "1", "a", ready))
	other.ApplyAnnouncement(upstream("leaving", 1, 1, "2", "a", ready))
	v.ApplyAnnouncement(upstream("foreign", 2, 1, "1", "b", draining))
	v.ApplyAnnouncement(upstream("foreign", 2, 2, "1", "b", draining))
	v.ApplyAnnouncement(upstream("leaving", 1, 2, "2", "a", draining))
	other.ApplySync(&wire.SyncReply{Term: 1, Upstreams: v.TakeReport().GetUpstreams()}, 0)
	is.NoErr(v.ApplyLayout(1, []byte("a")))
	v.ApplyAnnouncement(upstream("foreign", 2, 3, "1", "b", draining))
	v.ApplyAnnouncement(upstream("sound", 1, 2, "1", "a", ready))
	v.ApplyAnnouncement(upstream("leaving", 1, 1, "2", "a", ready)) // late
	for _, w := range []*View{v, other} {
		list := w.Table().Services["a"]
		is.Equal(len(list), 1)
		is.Equal(list[0].GetId(), "sound")
	}
}

// Guards against an upstream that a late announcement puts back into use: its leave, which did not state its
// start, came while its announcements waited for a layout that names its service.
func TestDeregisterBeforeFirstLayout(t *testing.T) {
	is := is.New(t)
	v := newNamingView(is, "")
	v.ApplyAnnouncement(&wire.Upstream{Id: "sound", Born: 1, Sequence: 1, Address: "1", Service: "a"})
	v.ApplyAnnouncement(&wire.Upstream{Id: "x", Born: 5, Sequence: 1, Address: "1", Service: "b"})
	v.Deregister("x", 0, 2)
	is.NoErr(v.ApplyLayout(1, []byte("a b")))
	v.ApplyAnnouncement(&wire.Upstream{Id: "x", Born: 5, Sequence: 1, Address: "1", Service: "b"})
	is.Equal(len(v.Table().Services["b"]), 0)
	is.Equal(len(v.Table().Services["a"]), 1) // an upstream that had no requests displaces none
}

// Guards against changes that are lost when a report cannot be delivered, and against a
// new leader that is never sent the known upstreams.
func TestReport(t *testing.T) {
	is := is.New(t)
	v := newNamingView(is, "a")
	v.ApplyAnnouncement(&wire.Upstream{Id: "x", Born: 1, Sequence: 1, Address: "1", Service: "a"})
	n := v.TakeReport()
	is.Equal(len(n.Upstreams), 1)
	is.Equal(v.TakeReport(), nil)
	v.RequeueReport(n, 0)
	is.Equal(len(v.TakeReport().Upstreams), 1)
	v.ApplyAnnouncement(&wire.Upstream{Id: "x", Born: 1, Sequence: 2, Address: "1", Service: "a"})
	is.Equal(len(v.TakeReport().Beats), 1) // only the sequence number changed
	// A new leader starts without records and needs all of them.
	v.ApplySync(&wire.SyncReply{Term: 9}, 0)
	is.Equal(len(v.TakeReport().Upstreams), 1)
}

// Guards against a list that contains stopping or lost instances, and against
// a list of one address although more instances exist outside the zone.
func TestNearestInstances(t *testing.T) {
	is := is.New(t)
	v, clock := newView()
	instance := func(name, zone string, ready bool) *wire.Instance {
		return &wire.Instance{Name: name, Caller: name, Zone: zone, Region: "r", Ready: ready}
	}
	v.ApplySync(&wire.SyncReply{Term: 1, Instances: []*wire.Instance{
		instance("a1", "a", true), instance("a2", "a", true), instance("a3", "a", false), instance("b1", "b", true), instance("c1", "c", true),
	}}, 0)
	is.Equal(v.NearestInstances("a", "r", 64), []string{"a1", "a2"})
	is.Equal(v.NearestInstances("b", "r", 64), []string{"a1", "a2", "b1", "c1"})
	v.ApplySync(&wire.SyncReply{Term: 1, Instances: []*wire.Instance{{Name: "a1", Gone: true}}}, 0)
	is.Equal(v.NearestInstances("", "", 2), []string{"a2", "b1"})
	// An instance that ended together with the former leader is never named by the new one.
	v.ApplySync(&wire.SyncReply{Term: 2, Instances: []*wire.Instance{instance("c1", "c", true)}}, 0)
	is.Equal(len(v.NearestInstances("", "", 64)), 3)
	clock.Advance(confirmTimeout + time.Millisecond)
	is.Equal(v.NearestInstances("", "", 64), []string{"c1"})
}

// Guards against loads in a poll's reply that are ignored: in a large deployment an instance
// sends each upstream too few requests to know its load otherwise.
func TestReportedLoads(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	got := ""
	v := New(Options{
		OnLoad: func(id string, running, waiting, slowdown int) { got += fmt.Sprintln(id, running, waiting, slowdown) },
		Timer:  clock, Log: zap.NewNop(),
	})
	v.ApplySync(&wire.SyncReply{Term: 1, Loads: []*wire.Load{{Id: "a", Running: 3, Waiting: 1, Slowdown: 250}, {Id: "b"}}}, clock.Now())
	is.Equal(got, "a 3 1 250\nb 0 0 0\n")
}

// Guards against a first layout that is announced before the upstreams of the same reply and
// its lease are in place: waiting requests were refused then for lack of an upstream.
func TestFirstLayoutIsComplete(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	var v *View
	loaded := 0
	checkLoaded := func(zapcore.Entry) error {
		select {
		case <-v.LayoutLoaded():
			loaded++
			is.Equal(len(v.Table().Services["a"]), 1)
			is.True(v.LayoutConfirmed(v.Layout()))
		default:
		}
		return nil
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zap.InfoLevel)
	v = New(Options{
		Decode: func(n layout.Version, _ []byte) (*layout.Layout, error) { return &layout.Layout{Version: n}, nil },
		Timer:  clock, LeaseDuration: time.Second, Log: zap.New(core, zap.Hooks(checkLoaded)),
	})
	v.ApplySync(&wire.SyncReply{
		Term: 1, Layout: &wire.Layout{Version: 1}, Upstreams: []*wire.Upstream{{Id: "x", Born: 1, Sequence: 1, Address: "1", Service: "a"}},
	}, clock.Now())
	is.NoErr(v.ApplyLayout(1, nil))
	is.Equal(loaded, 1)
}

// Guards against a response to a request with a watched part that is not reported, also if a report
// could not be delivered, and against a quarantine that does not reach requests.
func TestPromptParts(t *testing.T) {
	is := is.New(t)
	v := New(Options{Timer: timer.NewSystem(), Log: zap.NewNop()})
	v.RecordResponse([]suspect.Part{"a"})
	v.ApplySync(&wire.SyncReply{Term: 1, Watched: []string{"a", "b"}, QuarantinedParts: []string{"c"}}, 0)
	r := v.TakeReport()
	is.Equal(r.GetSurvived(), []string{"a"})
	is.Equal(v.TakeReport(), nil)
	v.RequeueReport(r, 0)
	is.Equal(v.TakeReport().GetSurvived(), []string{"a"})
	p, ok := v.QuarantinedPart([]suspect.Part{"a", "c"})
	is.True(ok)
	is.Equal(p, suspect.Part("c"))
	_, ok = v.QuarantinedPart([]suspect.Part{"a", "b"})
	is.True(!ok)
}

// Guards against other instances that send requests again to an upstream that stated in a response that it leaves:
// it had announced before that it drains, and announces later that it is ready.
func TestStatedLeaveIsReported(t *testing.T) {
	for _, stage := range []wire.Stage{wire.Stage_STAGE_READY, wire.Stage_STAGE_DRAINING} {
		t.Run(stage.String(), func(t *testing.T) {
			is := is.New(t)
			v, other := newNamingView(is, "s"), newNamingView(is, "s")
			announced := func(sequence uint64, stage wire.Stage) *wire.Upstream {
				return &wire.Upstream{Id: "u", Born: 1, Sequence: sequence, Address: "127.0.0.1:1", Service: "s", Stage: stage}
			}
			v.ApplyAnnouncement(announced(1, stage))
			other.ApplyAnnouncement(announced(1, stage))
			v.TakeReport()
			is.True(v.RecordLeaving("u", 1))
			for _, u := range v.TakeReport().GetUpstreams() {
				other.ApplyAnnouncement(u)
			}
			other.ApplyAnnouncement(announced(2, wire.Stage_STAGE_READY))
			_, serves := other.UpstreamAddress("u", 1)
			is.True(!serves)
		})
	}
}
