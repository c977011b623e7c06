package instance

import (
	"context"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/slot"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Guards against slots that are leased twice, or never again, after the leader was lost.
func TestSlotsOutliveLeader(t *testing.T) {
	d := newDeployment(t, 3, 5)
	d.proposeLayout(4, 1)
	d.eventually("layout in force", d.layoutConfirmed(1))
	d.eventually("three voters", func() bool { return d.voterCount() == 3 })
	d.running[4].instance.View.ApplyAnnouncement(&wire.Upstream{Id: "u", Born: 1, Sequence: 1, Address: "a", Service: "s", Slots: 2})
	acquire := func(instance int) (l slot.Lease, ok bool) {
		l, _, ok = d.running[instance].instance.View.AcquireSlot(context.Background(), []slot.Upstream{{ID: "u", Born: 1}}, time.Minute, slot.MaxPatience)
		return l, ok
	}
	var held []slot.Lease
	lease := func(instance int) func() bool {
		return func() bool {
			l, ok := acquire(instance)
			if ok {
				held = append(held, l)
			}
			return ok
		}
	}
	d.eventually("first lease", lease(3))
	d.eventually("second lease", lease(4))
	_, ok := acquire(4)
	d.True(!ok)
	for i, r := range d.running[:3] {
		if _, ok := r.instance.replica.HoldsLease(); ok {
			d.stop(i)
			break
		}
	}
	d.running[3].instance.View.ReturnSlot(held[0], slot.Ended)
	d.eventually("lease of the next leader", lease(4))
	for range 4 {
		_, ok := acquire(3)
		d.True(!ok)
	}
	d.running[4].instance.View.ReturnSlot(held[1], slot.Ended)
	d.eventually("another lease of the next leader", lease(3))
}
