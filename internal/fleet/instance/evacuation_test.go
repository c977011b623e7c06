package instance

import (
	"context"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/state"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// orderTimeout is how long an instance tries to get an order acknowledged, as on the platform.
const orderTimeout = 1800 * time.Millisecond

// order sends an order for a zone through an instance, which knows an earlier order of the zone.
func (d *deployment) order(index int, zone string, active bool, known uint64) (conflict string, took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	begin := time.Now()
	conflict, err = d.running[index].instance.Client.Propose(ctx, &wire.Command{Body: &wire.Command_Evacuation{
		Evacuation: &wire.Evacuation{Zone: zone, Active: active, Revision: known},
	}})
	return conflict, time.Since(begin), err
}

// ordered sends an order as operators do, again until it is acknowledged.
func (d *deployment) ordered(index int, active bool) (took time.Duration) {
	d.Helper()
	d.eventually("order acknowledged", func() bool {
		_, known := d.running[index].instance.View.EvacuationRevision("z")
		conflict, t, err := d.order(index, "z", active, known)
		took = t
		return conflict == "" && err == nil
	})
	return took
}

// evacuated returns a condition that holds if the zone is evacuated, or is not, at all running instances.
func (d *deployment) evacuated(want bool) func() bool {
	return func() bool {
		for _, r := range d.running {
			if r == nil {
				continue
			}
			if l := r.instance.View.Layout(); l == nil || !r.instance.View.LayoutConfirmed(l) || r.instance.View.Evacuated("z") != want {
				return false
			}
		}
		return true
	}
}

// Guards against an evacuation that is acknowledged before the instances in contact follow it, that is lost with the
// leader or with all instances, against an order that is not acknowledged again, a late copy that undoes a later
// order, and a zone that exists nowhere.
func TestEvacuation(t *testing.T) {
	d := newDeployment(t, 3, 6)
	d.proposeLayout(4, 1)
	d.eventually("layout everywhere", d.layoutConfirmed(1))
	d.eventually("three voters", func() bool { return d.voterCount() == 3 })
	took := d.ordered(5, true)
	d.True(d.evacuated(true)())
	d.Logf("acknowledged after %s", took)
	for i := range d.running { // resends
		d.ordered(i, true)
	}
	first, _ := d.running[0].instance.View.EvacuationRevision("z")

	former := d.leader()
	d.stop(former)
	d.ordered(5, true)
	d.True(d.evacuated(true)())
	d.start(former)
	for i := range d.running {
		d.stop(i)
	}
	for i := range d.running {
		d.start(i)
	}
	d.eventually("evacuated after the restart", d.evacuated(true))
	_, ok := d.running[5].instance.View.EvacuationEnded("z")
	d.True(!ok)

	d.ordered(4, false)
	d.eventually("not evacuated", d.evacuated(false))
	_, ok = d.running[5].instance.View.EvacuationEnded("z")
	d.True(ok)
	d.eventually("late copy superseded", func() bool {
		conflict, _, err := d.order(3, "z", true, first)
		d.True(conflict != "" || err != nil)
		return conflict == state.ConflictSuperseded
	})
	d.True(d.evacuated(false)())
	d.eventually("unknown zone refused", func() bool {
		conflict, _, err := d.order(3, "nowhere", true, 0)
		d.True(conflict != "" || err != nil)
		return conflict == state.ConflictUnknownZone
	})
}
