package view

import (
	"testing"
	"time"

	"github.com/matryer/is"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Guards against an instance that goes on sending to an evacuated zone, that forgets an evacuation because
// a reply does not repeat it, and that takes an announcement from before the end of one for a later one.
func TestEvacuations(t *testing.T) {
	const never = -1 * time.Second // the evacuation has not ended, or there was none
	active, ended := func(revision uint64) *wire.Evacuation {
		return &wire.Evacuation{Zone: "a", Active: true, Revision: revision}
	}, func(revision, ended uint64) *wire.Evacuation {
		return &wire.Evacuation{Zone: "a", Revision: revision, Ended: ended}
	}
	reply := func(revision uint64, zones ...*wire.Evacuation) *wire.Evacuations {
		return &wire.Evacuations{Revision: revision, Zones: zones}
	}
	for _, c := range []struct {
		name string
		// replies come 10 s after each other; nil is that of a leader that does not support evacuations.
		replies   []*wire.Evacuations
		evacuated bool
		endedFor  time.Duration
		revision  uint64
	}{
		{"none", []*wire.Evacuations{reply(0)}, false, never, 0},
		{"begin", []*wire.Evacuations{reply(3, active(3))}, true, never, 3},
		{"begin, then a reply without changes", []*wire.Evacuations{reply(3, active(3)), reply(3)}, true, never, 3},
		{"begin, then an earlier program leads", []*wire.Evacuations{reply(3, active(3)), nil}, true, never, 3},
		{"finish", []*wire.Evacuations{reply(3, active(3)), reply(4, ended(4, 0))}, false, 0, 4},
		{"begun again", []*wire.Evacuations{reply(4, ended(4, 0)), reply(5, active(5))}, true, never, 5},
		{"heard late of the end", []*wire.Evacuations{reply(4, ended(4, 7000))}, false, 7 * time.Second, 4},
		{"another leader knows the end for longer", []*wire.Evacuations{reply(4, ended(4, 0)), reply(4, ended(4, 15000))}, false, 15 * time.Second, 4},
		{"another leader knows the end for less long", []*wire.Evacuations{reply(4, ended(4, 1000)), reply(4, ended(4, 0))}, false, 11 * time.Second, 4},
		{"begin and finish while out of contact", []*wire.Evacuations{reply(4, ended(4, 0)), reply(6, ended(6, 500))}, false, 500 * time.Millisecond, 6},
		{"control group was created again", []*wire.Evacuations{reply(3, active(3)), reply(0)}, false, never, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v, clock := newView()
			for i, e := range c.replies {
				if i > 0 {
					clock.Advance(10 * time.Second)
				}
				v.ApplySync(&wire.SyncReply{Term: 1, Evacuations: e}, clock.Now())
			}
			is.Equal(v.Evacuated("a"), c.evacuated)
			is.True(!v.Evacuated("b"))
			at, ok := v.EvacuationEnded("a")
			is.Equal(ok, c.endedFor != never)
			is.True(!ok || clock.Now().Sub(at) == c.endedFor)
			revision, _ := v.EvacuationRevision("a")
			is.Equal(revision, c.revision)
		})
	}
}

// Guards against a tunnel for another instance that reaches an upstream of an evacuated zone.
func TestAddressInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	v, clock := newView()
	r := &wire.SyncReply{Term: 1, Upstreams: []*wire.Upstream{{Id: "u", Born: 1, Sequence: 1, Address: "x", Zone: "a"}}}
	v.ApplySync(r, clock.Now())
	_, ok := v.UpstreamAddress("u", 1)
	is.True(ok)
	r.Evacuations = &wire.Evacuations{Revision: 1, Zones: []*wire.Evacuation{{Zone: "a", Active: true, Revision: 1}}}
	v.ApplySync(r, clock.Now())
	_, ok = v.UpstreamAddress("u", 1)
	is.True(!ok)
}
