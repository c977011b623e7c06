package view

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Guards against an upstream that is taken for warm before that is certain, and against one that stays cold.
func TestCold(t *testing.T) {
	u := func(born int64, sequence uint64, cold uint32) *wire.Upstream {
		return &wire.Upstream{Id: "u", Born: born, Sequence: sequence, Address: "a", Service: "s", Zone: "z", Cold: cold}
	}
	settled := u(1, 3, 0)
	settled.Suspected, settled.Settled = 1, 1
	sync := func(v *View, sent timer.Instant, list ...*wire.Upstream) {
		v.ApplySync(&wire.SyncReply{Term: 1, Cursor: 1, Upstreams: list}, sent)
	}
	for _, c := range []struct {
		name string
		play func(v *View, clock *timer.Manual)
		born int64
		cold bool
	}{
		{"announced warm", func(v *View, _ *timer.Manual) { v.ApplyAnnouncement(u(1, 2, 0)) }, 1, false},
		{"announced cold", func(v *View, _ *timer.Manual) { v.ApplyAnnouncement(u(1, 2, 3000)) }, 1, true},
		{"restarted", func(v *View, _ *timer.Manual) { v.ApplyAnnouncement(u(2, 1, 3000)) }, 2, true},
		{"other service limits none", func(v *View, _ *timer.Manual) {
			n := u(2, 1, 3000)
			n.Service = "t"
			v.ApplyAnnouncement(n)
		}, 2, false},
		{"heard from the leader", func(v *View, _ *timer.Manual) { sync(v, 0, u(2, 1, 3000)) }, 2, true},
		{"stated time not certainly over", func(v *View, clock *timer.Manual) {
			v.ApplyAnnouncement(u(1, 2, 3000))
			clock.Advance(3 * time.Second)
		}, 1, true},
		{"stated time over", func(v *View, clock *timer.Manual) {
			v.ApplyAnnouncement(u(1, 2, 3000))
			clock.Advance(3100 * time.Millisecond)
		}, 1, false},
		{"late announcement of before", func(v *View, _ *timer.Manual) {
			v.ApplyAnnouncement(u(1, 3, 3000))
			v.ApplyAnnouncement(u(1, 2, 0))
		}, 1, true},
		{"prolonged", func(v *View, clock *timer.Manual) {
			v.ApplyAnnouncement(u(1, 2, 500))
			v.TakeReport()
			v.ApplyAnnouncement(u(1, 3, 3000))
			if r := v.TakeReport(); len(r.GetUpstreams()) != 1 {
				panic("not reported without delay")
			}
			clock.Advance(time.Second)
		}, 1, true},
		{"refused a connection", func(v *View, _ *timer.Manual) { v.SuspectRestart("u", 1) }, 1, true},
		{"refused a connection, heard at once", func(v *View, _ *timer.Manual) {
			v.SuspectRestart("u", 1)
			v.ApplyAnnouncement(u(1, 2, 0)) // may have been made before
		}, 1, true},
		{"refused a connection, settled by the leader", func(v *View, _ *timer.Manual) {
			v.SuspectRestart("u", 1)
			v.ApplyAnnouncement(u(1, 4, 0))
			sync(v, 0, settled) // with an earlier announcement than this instance has heard
		}, 1, false},
		{"refused a connection, leader of an earlier build", func(v *View, clock *timer.Manual) {
			v.SuspectRestart("u", 1)
			clock.Advance(maxSuspicion)
		}, 1, false},
		{"refused a connection again", func(v *View, clock *timer.Manual) {
			v.SuspectRestart("u", 1)
			clock.Advance(maxSuspicion)
			v.SuspectRestart("u", 1)
		}, 1, true},
		{"silent", func(v *View, _ *timer.Manual) {
			n := u(1, 1, 0)
			n.Stage = wire.Stage_STAGE_SILENT
			sync(v, 0, n)
		}, 1, true},
		{"connection broke", func(v *View, clock *timer.Manual) {
			sync(v, clock.Now())
			v.SuspectBroken("u", 1)
		}, 1, false},
		{"connection broke without a leader", func(v *View, clock *timer.Manual) {
			sync(v, clock.Now())
			clock.Advance(time.Second)
			v.SuspectBroken("u", 1)
			sync(v, clock.Now())
		}, 1, true},
		{"connection broke before the leader answered", func(v *View, clock *timer.Manual) {
			v.SuspectBroken("u", 1)
			clock.Advance(time.Second)
			sync(v, clock.Now())
		}, 1, false},
		{"evacuation ended", func(v *View, clock *timer.Manual) {
			v.evacuationEnded = func(zone string) (timer.Instant, bool) { return clock.Now(), zone == "z" && v.InstanceCount() == 0 }
		}, 1, true},
		{"evacuation ended and settled", func(v *View, clock *timer.Manual) {
			at := clock.Now()
			v.evacuationEnded = func(string) (timer.Instant, bool) { return at, true }
			v.ColdUpstreams("s")
			sync(v, 0, settled)
		}, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.NewManual()
			clock.Advance(time.Hour)
			v := New(Options{
				ColdBounds: permit.ColdBounds{Enabled: true, Overrun: 1.5, Slack: 5}, Timer: clock, Log: zap.NewNop(),
				Decode: func(layout.Version, []byte) (*layout.Layout, error) {
					l := &layout.Layout{Version: 1, Pools: []*layout.Pool{{Name: "s", WarmupRate: 11}, {Name: "t"}}}
					l.PrepareCommitted()
					return l, nil
				},
			})
			is.NoErr(v.ApplyLayout(1, nil))
			v.ApplyAnnouncement(u(1, 1, 0))
			c.play(v, clock)
			is.Equal(v.ColdUpstreams("s")["u"], c.cold)
			is.Equal(v.Cold("u", c.born), c.cold)
			_, ok := v.TakePermit("u", c.born)
			is.Equal(ok, !c.cold)
		})
	}
}
