package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/fleet/registry"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Guards against a suspicion that is ended by a heartbeat of before it, that stays, or that is lost with the leader, and
// against permits for an upstream that is cold that do not count against its limit.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.coordinator.options.ColdBudget = func(layout.Service) (permit.ColdBudget, bool) {
		return permit.ColdBounds{Enabled: true, Overrun: 1.5, Slack: 5}.Budget(11), true
	}
	f.clock.Advance(time.Hour)
	tell := func(q *wire.TellRequest) {
		_, ok := f.coordinator.ApplyReport(context.Background(), q)
		is.True(ok)
	}
	beat := func(sequence uint64) {
		tell(&wire.TellRequest{Beats: []*wire.Beat{{Id: "u", Born: 1, Sequence: sequence}}})
	}
	known := func() *wire.Upstream { return f.sync(is, "a").GetUpstreams()[0] }
	lend := func() *wire.Grant {
		r, ok := f.coordinator.Lend(&wire.BorrowRequest{Wants: []*wire.Want{{Id: "u", Born: 1, Count: 64}}})
		is.True(ok)
		return r.GetGrants()[0]
	}
	u := &wire.Upstream{Id: "u", Born: 1, Sequence: 5, Address: "a", Service: "s"}
	tell(&wire.TellRequest{Upstreams: []*wire.Upstream{u}})
	is.True(!lend().GetCold())
	is.True(!lend().GetLimited())
	tell(&wire.TellRequest{Upstreams: []*wire.Upstream{registry.Suspect(u)}})
	is.True(registry.Suspected(known()))
	is.True(lend().GetCold())
	is.Equal(lend().GetCount(), uint32(0)) // the bucket starts empty
	f.clock.Advance(500 * time.Millisecond)
	is.Equal(lend().GetCount(), uint32(2)) // the burst of 2.75
	beat(6)
	is.True(registry.Suspected(known()))
	f.replica.term = 2
	tell(&wire.TellRequest{Upstreams: []*wire.Upstream{registry.Suspect(u)}})
	is.True(registry.Suspected(known()))
	f.clock.Advance(settleDelay)
	beat(7)
	is.True(!registry.Suspected(known()))
	is.True(!lend().GetCold())
	cold := &wire.Upstream{Id: "u", Born: 2, Sequence: 1, Address: "a", Service: "s", Cold: 3000}
	tell(&wire.TellRequest{Upstreams: []*wire.Upstream{cold}})
	f.clock.Advance(time.Second)
	tell(&wire.TellRequest{Beats: []*wire.Beat{{Id: "u", Born: 2, Sequence: 2}}})
	is.True(known().GetCold() > 1000 && known().GetCold() <= 2100) // what remains
}
