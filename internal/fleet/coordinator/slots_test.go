package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/fleet/slot"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// wants returns a message that asks for slots of an upstream.
func wants(instance string, n int) *wire.SlotRequest {
	m := &wire.SlotRequest{Instance: instance}
	for i := range n {
		m.Wants = append(m.Wants, &wire.SlotWant{
			Number: uint64(i + 1), Upstreams: []*wire.SlotUpstream{{Id: "u", Born: 1}}, Remaining: 1000, Patience: 100,
		})
	}
	return m
}

// leases returns the number of leases in the next reply.
func leases(s *SlotSession) (n int) {
	r, _ := s.TakeReply()
	for _, a := range r.GetAnswers() {
		if a.GetLease() != nil {
			n++
		}
	}
	return n
}

// Guards against slots that are leased although instances of an earlier program, which lease none, use their
// fixed shares of them.
func TestSlotsBesideFixedShares(t *testing.T) {
	const slots = 6
	for _, c := range []struct{ instances, earlier int }{{1, 0}, {3, 0}, {3, 1}, {3, 2}, {69, 1}, {69, 68}} {
		t.Run(fmt.Sprint(c.instances, " instances, ", c.earlier, " earlier"), func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			fixed := 0
			for i := range c.instances {
				leases := i >= c.earlier
				if !leases {
					fixed += slot.Share("u", slots, i, c.instances)
				}
				_, ok := f.coordinator.Sync(context.Background(), &wire.SyncRequest{Instance: &wire.Instance{Name: fmt.Sprintf("n%02d", i), LeasesSlots: leases}})
				is.True(ok)
			}
			_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{
				Upstreams: []*wire.Upstream{{Id: "u", Born: 1, Sequence: 1, Service: "s", Address: "a", Slots: slots}},
			})
			is.True(ok)
			f.clock.Advance(slot.TakeoverDelay)
			s, ok := f.coordinator.OpenSlots(wants("n", 10))
			is.True(ok)
			is.Equal(leases(s), slots-fixed)
		})
	}
}

// Guards against leases for an instance whose stream was replaced by another one, or that a former leader
// grants, and against slots that are lost with a process.
func TestSlotSessions(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	report := func() {
		_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{
			Upstreams: []*wire.Upstream{{Id: "u", Born: 1, Sequence: 1, Service: "s", Address: "a", Slots: 2}},
		})
		is.True(ok)
		f.clock.Advance(slot.TakeoverDelay)
	}
	report()
	first, ok := f.coordinator.OpenSlots(wants("n", 2))
	is.True(ok)
	is.Equal(leases(first), 2)
	next := wants("n", 2)
	next.Epoch = 1 // another process
	second, ok := f.coordinator.OpenSlots(next)
	is.True(ok)
	is.True(!first.Apply(wants("n", 1)))
	is.Equal(leases(second), 0)
	f.clock.Advance(time.Second)
	is.True(second.Apply(wants("n", 2)))
	is.Equal(leases(second), 2)
	f.replica.term = 0
	is.True(!second.Apply(wants("n", 1)))
	f.replica.term = 2
	report()
	is.True(!second.Apply(wants("n", 1)))
	held := wants("n", 2)
	held.Held = []*wire.SlotLease{{Id: 99, Upstream: &wire.SlotUpstream{Id: "u", Born: 1}, Remaining: 500}}
	third, ok := f.coordinator.OpenSlots(held)
	is.True(ok)
	is.Equal(leases(third), 1)
}
