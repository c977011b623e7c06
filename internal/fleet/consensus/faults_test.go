package consensus

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// faultSeeds returns the seeds that TestCoreFaults runs for each size and kind of fault.
// CORE_SEEDS sets their number for runs by hand, and CORE_FIRST the first of them. Without
// them, eight disks play only the kinds that combine others.
func faultSeeds(t *testing.T) (first, seeds uint64, all bool) {
	number := func(name string, otherwise uint64) uint64 {
		s := os.Getenv(name)
		if s == "" {
			return otherwise
		}
		all = true
		n, err := strconv.ParseUint(s, 10, 32)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	return number("CORE_FIRST", 0), number("CORE_SEEDS", 1), all
}

// drill plays faults on a core while changes are made.
type drill struct {
	*core
	tolerance int    // disks that may be lost at the same time
	sent      uint64 // version of the last change that was sent
	confirmed atomic.Uint64
	last      time.Time    // when the last change was acknowledged
	gap       atomic.Int64 // longest time without an acknowledgement, as a time.Duration
}

// loop makes changes until the test ends.
func (d *drill) loop(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		d.change()
	}
}

// change makes one change and checks that no acknowledged one has been lost.
func (d *drill) change() (committed bool) {
	d.sent++
	if !d.commit(d.sent) {
		return false
	}
	if l, _ := d.leader(); l != nil && l.state.Layout().GetVersion() < d.confirmed.Load() {
		d.t.Errorf("version %d after %d was acknowledged", l.state.Layout().GetVersion(), d.confirmed.Load())
	}
	d.confirmed.Store(d.sent)
	if !d.last.IsZero() {
		d.gap.Store(max(d.gap.Load(), int64(time.Since(d.last))))
	}
	d.last = time.Now()
	return true
}

// pick returns n machines, the leader first if the coin says so.
func (d *drill) pick(n int) (out []int) {
	out = d.random.Perm(len(d.machines))
	if l, _ := d.leader(); l != nil && d.random.IntN(2) == 0 {
		for k, i := range out {
			if i == l.machine.index {
				out[0], out[k] = out[k], out[0]
			}
		}
	}
	return out[:n]
}

// pause lets a random time pass.
func (d *drill) pause(low, high time.Duration) {
	time.Sleep(low + time.Duration(d.random.Int64N(int64(high-low))))
}

// kill and start apply to several machines.
func (d *drill) kill(machines []int) {
	for _, i := range machines {
		d.machines[i].kill()
	}
}

func (d *drill) start(machines []int) {
	for _, i := range machines {
		if d.machines[i].process == nil {
			d.machines[i].start(false)
		}
	}
}

// rest returns the machines that are not among the given ones.
func (d *drill) rest(machines []int) (out []int) {
	for i := range d.machines {
		if !slices.Contains(machines, i) {
			out = append(out, i)
		}
	}
	return out
}

// cutBehind cuts a minority off, lets one of the others lose its disk meanwhile and makes the
// rest silent until the cut heals.
func (d *drill) cutBehind() {
	behind := d.pick(d.tolerance)
	d.cutOff(behind, true, true)
	d.pause(500*time.Millisecond, 5*time.Second)
	others := d.rest(behind)
	lost := others[d.random.IntN(len(others))]
	d.machines[lost].wipe()
	dark := d.rest(append([]int{lost}, behind...))
	back := time.Duration(d.random.IntN(2)) * time.Second
	d.cutOff(dark, true, true)
	for _, i := range dark {
		d.cutOff([]int{i}, true, true)
	}
	time.Sleep(back)
	d.start([]int{lost})
	d.pause(4*time.Second, 6*time.Second)
	d.heal()
}

// faults are the kinds of faults of TestCoreFaults. After each of them all machines are back
// and connected.
var faults = []struct {
	name string
	// contact is true if a single cut has healed, so that the shorter limit applies.
	contact bool
	// tolerated is true if no more machines are disturbed at a time than may be.
	tolerated bool
	// combined is true for the kinds that combine others.
	combined bool
	run      func(d *drill)
}{
	{"cut", true, true, false, func(d *drill) {
		d.cutOff(d.pick(d.tolerance), true, true)
		d.pause(300*time.Millisecond, 6*time.Second)
		d.heal()
	}},
	{"requests are lost", true, true, false, func(d *drill) {
		d.cutOff(d.pick(d.tolerance), true, false)
		d.pause(300*time.Millisecond, 6*time.Second)
		d.heal()
	}},
	{"replies are lost", true, true, false, func(d *drill) {
		d.cutOff(d.pick(d.tolerance), false, true)
		d.pause(300*time.Millisecond, 6*time.Second)
		d.heal()
	}},
	{"halves", true, false, false, func(d *drill) {
		d.cutOff(d.pick(len(d.machines)/2), true, true)
		d.pause(300*time.Millisecond, 6*time.Second)
		d.heal()
	}},
	{"all apart", true, false, false, func(d *drill) {
		for i := range d.machines {
			d.cutOff([]int{i}, true, true)
		}
		d.pause(300*time.Millisecond, 6*time.Second)
		d.heal()
	}},
	{"behind", false, false, false, (*drill).cutBehind},
	{"relieve", false, false, false, func(d *drill) {
		behind := d.pick(d.tolerance)
		d.cutOff(behind, true, true)
		d.pause(500*time.Millisecond, 6*time.Second)
		d.heal()
		d.pause(0, 300*time.Millisecond)
		others := d.rest(behind)
		d.kill(others)
		time.Sleep(time.Second)
		d.start(others)
	}},
	{"both", false, false, true, func(d *drill) {
		d.cutBehind()
		others := d.pick(len(d.machines) - d.tolerance)
		d.kill(others)
		d.pause(500*time.Millisecond, 2*time.Second)
		d.start(others)
	}},
	{"down", false, true, false, func(d *drill) {
		down := d.pick(d.tolerance)
		d.kill(down)
		time.Sleep(7 * time.Second)
		d.start(down)
	}},
	{"lost disk", false, true, false, func(d *drill) {
		lost := d.pick(1)[0]
		d.machines[lost].wipe()
		time.Sleep(time.Second)
		d.start([]int{lost})
	}},
	{"lost disks while the others are killed", false, false, true, func(d *drill) {
		lost := d.pick(d.tolerance)
		for _, i := range lost {
			d.machines[i].wipe()
		}
		d.kill(d.rest(lost))
		time.Sleep(time.Second)
		for i := range d.machines {
			d.start([]int{i})
			d.pause(0, 300*time.Millisecond)
		}
	}},
	{"disks hang", false, true, false, func(d *drill) {
		hung := d.pick(d.tolerance)
		for _, i := range hung {
			d.machines[i].files.SetSyncDelay(time.Duration(1+d.random.IntN(4)) * time.Second)
		}
		if d.random.IntN(2) == 0 {
			if l, _ := d.leader(); l != nil && slices.Contains(hung, l.machine.index) {
				l.machine.kill()
				d.start(hung)
			}
		}
		d.pause(time.Second, 6*time.Second)
		for _, i := range hung {
			d.machines[i].files.SetSyncDelay(0)
		}
	}},
	{"disks hang while others are cut off", false, false, false, func(d *drill) {
		machines := d.pick(2)
		d.machines[machines[0]].files.SetSyncDelay(time.Duration(1+d.random.IntN(4)) * time.Second)
		d.cutOff(machines[1:], d.random.IntN(2) == 0, true)
		d.pause(time.Second, 6*time.Second)
		d.machines[machines[0]].files.SetSyncDelay(0)
		d.heal()
	}},
	{"leader killed, slow disks", false, false, false, func(d *drill) {
		for _, m := range d.machines {
			m.files.SetSyncDelay(300 * time.Millisecond)
		}
		d.pause(0, 2*time.Second)
		if l, _ := d.leader(); l != nil {
			l.machine.kill()
			time.Sleep(time.Second)
			d.start([]int{l.machine.index})
		}
	}},
	{"lost disk while others are cut off, slow disks", false, false, false, func(d *drill) {
		for _, m := range d.machines {
			m.files.SetSyncDelay(30 * time.Millisecond)
		}
		machines := d.pick(d.tolerance)
		lost := machines[0]
		d.machines[lost].wipe()
		d.machines[lost].files.SetSyncDelay(30 * time.Millisecond)
		time.Sleep(time.Second)
		d.start([]int{lost})
		if len(machines) > 1 {
			d.cutOff(machines[1:], true, true)
			d.pause(300*time.Millisecond, 6*time.Second)
			d.heal()
		}
	}},
}

// Guards against a core that has no leader for long after machines were cut off, killed or lost
// their disks, against changes that stop while no more machines are disturbed than may be, against
// the loss of what was acknowledged, and against a leader that is lost while nothing happens. The
// limits are those of the deployments with three and eight disks.
func TestCoreFaults(t *testing.T) {
	first, seeds, all := faultSeeds(t)
	for _, size := range []struct {
		disks, tolerance           int
		recovery, contact, catchUp time.Duration
	}{
		{3, 1, 12 * time.Second, 3 * time.Second, 4 * time.Second},
		{8, 2, 15 * time.Second, 4 * time.Second, 6 * time.Second},
	} {
		for _, fault := range faults {
			if size.disks > 3 && !fault.combined && !all {
				continue
			}
			for seed := first; seed < first+seeds; seed++ {
				t.Run(fmt.Sprintf("%d disks, %s, seed %d", size.disks, fault.name, seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						d := &drill{core: newCore(t, seed, size.disks), tolerance: size.tolerance}
						d.await("the members", 30*time.Second, d.settled)
						stop := make(chan struct{})
						defer close(stop)
						d.ended.Go(func() { d.loop(stop) })
						time.Sleep(2 * time.Second)
						fault.run(d)
						limit := size.recovery
						if fault.contact {
							limit = size.contact
						}
						before := d.confirmed.Load()
						took := d.await("a commit and a read", limit, func() bool { return d.confirmed.Load() > before })
						if gap := time.Duration(d.gap.Load()); fault.tolerated && gap > size.contact {
							t.Errorf("%v without a commit although a majority was there", gap)
						}
						settled := d.await("the members again", size.catchUp, d.settled)
						t.Logf("%s, %d disks: commit after %v, members after %v more, at most %v without one", fault.name, size.disks, took, settled, time.Duration(d.gap.Load()))
						time.Sleep(time.Second)
						for range 300 {
							if l, _ := d.leader(); l == nil {
								t.Fatal("no leader while nothing happens")
							}
							time.Sleep(10 * time.Millisecond)
						}
					})
				})
			}
		}
	}
}
