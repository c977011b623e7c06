package consensus

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
)

// losses plays losses of machines on a core.
type losses struct {
	*slowCore
	drill     *drill
	tolerance int // disks that may be lost at the same time
	spare     int // machines that may still be added
}

// slot is one of the machines that are lost at the same time.
type slot struct {
	next    time.Time // when the machine comes back, or when the next one is lost
	machine int
	lost    bool // the machine is down
}

// take kills a machine, loses its disk or removes it for good. It returns the machine that starts
// in its place.
func (l *losses) take(machine int, disk bool) (next int) {
	switch kind := l.random.IntN(3); {
	case !disk:
		l.machines[machine].kill()
	case kind == 0 && l.spare > 0:
		l.spare--
		l.lose(machine)
		next = slices.Max(l.active) + 1
		l.active[slices.Index(l.active, machine)] = next
		return next
	default:
		l.lose(machine)
	}
	return machine
}

// read reports whether there is a leader that confirms a read, which must show what was acknowledged.
func (l *losses) read() bool {
	confirmed := l.drill.confirmed.Load()
	if !l.slowCore.read() {
		return false
	}
	p, _ := l.leader()
	if p == nil {
		return false
	}
	if version := p.state.Layout().GetVersion(); version < confirmed {
		l.t.Errorf("version %d after %d was acknowledged", version, confirmed)
	}
	return true
}

// between returns a random time.
func (l *losses) between(low, high time.Duration) time.Duration {
	return low + time.Duration(l.random.Int64N(int64(high-low)))
}

// other returns a machine that is in none of the slots.
func (l *losses) other(slots []slot) int {
	for {
		i := l.active[l.random.IntN(len(l.active))]
		if !slices.ContainsFunc(slots, func(s slot) bool { return s.machine == i }) {
			return i
		}
	}
}

// inTurn loses as many machines at a time as may be. Each of them counts as lost for catchUp after
// its return.
func (l *losses) inTurn(events int) {
	slots := make([]slot, l.tolerance)
	for k := range slots {
		slots[k] = slot{next: time.Now().Add(l.between(0, 2*time.Second)), machine: -1}
	}
	for range events * l.tolerance * 2 {
		at := 0
		for k := range slots {
			if slots[k].next.Before(slots[at].next) {
				at = k
			}
		}
		s := &slots[at]
		time.Sleep(time.Until(s.next))
		if s.lost {
			l.machines[s.machine].boot(false)
			*s = slot{next: time.Now().Add(catchUp + l.between(0, 500*time.Millisecond)), machine: s.machine}
			continue
		}
		s.machine = -1
		machine := l.other(slots)
		*s = slot{next: time.Now().Add(l.between(100*time.Millisecond, 4*time.Second)), machine: l.take(machine, l.random.IntN(4) > 0), lost: true}
	}
	for _, s := range slots {
		if s.lost {
			l.machines[s.machine].boot(false)
		}
	}
	time.Sleep(catchUp)
}

// together loses as many disks as may be while other machines are killed, and waits catchUp after
// the first read that follows before the next loss. It returns the longest time to that read.
func (l *losses) together(rounds int) (longest time.Duration) {
	for range rounds {
		var slots []slot
		for k, at := range l.random.Perm(len(l.active))[:l.random.IntN(len(l.active))+1] {
			machine := l.active[at]
			time.Sleep(l.between(0, 1500*time.Millisecond))
			slots = append(slots, slot{machine: l.take(machine, k < l.tolerance), next: time.Now().Add(l.between(100*time.Millisecond, 4*time.Second))})
		}
		slices.SortFunc(slots, func(a, b slot) int { return a.next.Compare(b.next) })
		for _, s := range slots {
			time.Sleep(time.Until(s.next))
			l.machines[s.machine].boot(false)
		}
		if longest = max(longest, l.until(l.read)); longest >= noResult {
			return longest
		}
		time.Sleep(catchUp + l.between(0, 500*time.Millisecond))
	}
	return longest
}

// finalFault kills all machines, loses the disks of as many as may be and starts all within a
// second. It returns the time to the next read.
func (l *losses) finalFault() time.Duration {
	for k, at := range l.random.Perm(len(l.active)) {
		if k < l.tolerance {
			l.lose(l.active[at])
		}
	}
	for _, i := range l.active {
		l.machines[i].kill()
	}
	l.bootAll(l.active, time.Second, false)
	return l.until(l.read)
}

// Guards against a group with slow disks that ends for good, is away for long or loses what it
// acknowledged although no more disks are lost at a time than may be.
func TestLossSchedules(t *testing.T) {
	first, seeds, _ := faultSeeds(t)
	for _, size := range []struct {
		disks, tolerance int
		seeds            uint64
	}{{3, 1, 4}, {8, 2, 1}} {
		for _, together := range []bool{false, true} {
			for seed := first; seed < first+size.seeds*seeds; seed++ {
				t.Run(fmt.Sprintf("%d disks, together %v, seed %d", size.disks, together, seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						l := &losses{tolerance: size.tolerance, spare: 4}
						l.slowCore = newSlowCore(t, seed, size.disks, l.spare, func(f *faulty.FileSystem) { f.SetVaryingSyncDelay(300 * time.Millisecond) })
						d := &drill{core: l.core}
						l.drill = d
						stop := make(chan struct{})
						defer close(stop)
						d.ended.Go(func() { d.loop(stop) })
						var longest time.Duration
						if together {
							longest = l.together(3)
						} else {
							l.inTurn(4)
							longest = l.until(l.read)
						}
						before := d.confirmed.Load()
						took := l.finalFault()
						t.Logf("first read after %v at most, after the final fault after %v", longest, took)
						is.True(longest <= recovery)
						is.True(took <= recovery)
						is.True(l.until(func() bool { return d.confirmed.Load() > before }) < recovery)
					})
				})
			}
		}
	}
}
