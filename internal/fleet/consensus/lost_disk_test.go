package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// disks simulates the membership of a group while disks are lost. Machine 0 leads at first. Commits,
// contact and the transfer of the log take no time.
type disks struct {
	t           *testing.T
	members     []replica.Member
	identity    []replica.Identity // of each machine
	live        map[replica.Identity]replica.Address
	unreachable map[replica.Identity]time.Duration
	silent      map[replica.Identity]time.Duration
	stopping    map[replica.Identity]bool
	leader      int
	losses      int
}

func address(machine int) replica.Address { return replica.Address(fmt.Sprint("m", machine)) }

// newDisks returns the group of the given number of machines after all its changes.
func newDisks(t *testing.T, size int) *disks {
	d := &disks{t: t, live: map[replica.Identity]replica.Address{}, unreachable: map[replica.Identity]time.Duration{}}
	for i := range size {
		d.identity = append(d.identity, replica.Identity(fmt.Sprintf("%c0", 'a'+i)))
		d.live[d.identity[i]] = address(i)
	}
	d.members = []replica.Member{{Identity: d.identity[0], Address: address(0), Voter: true}}
	d.settle()
	return d
}

// add adds a machine with an empty disk.
func (d *disks) add() (machine int) {
	machine = len(d.identity)
	d.identity = append(d.identity, replica.Identity(fmt.Sprintf("%c0", 'a'+machine)))
	d.live[d.identity[machine]] = address(machine)
	return machine
}

// step makes the next change and returns what it was.
func (d *disks) step() Action {
	contact, caughtUp := map[replica.Identity]time.Duration{}, map[replica.Identity]bool{}
	for i := range d.live {
		contact[i], caughtUp[i] = time.Minute, true
	}
	c := NextChange(Observation{
		Self: d.identity[d.leader], Members: slices.Clone(d.members), Live: d.live, Contact: contact, Unreachable: d.unreachable, Silent: d.silent, CaughtUp: caughtUp, Stopping: d.stopping,
	})
	at := slices.IndexFunc(d.members, func(m replica.Member) bool { return m.Identity == c.Member.Identity })
	lost := slices.IndexFunc(d.members, func(m replica.Member) bool { return m.Identity == c.Lost })
	switch c.Action {
	case Add:
		d.members = append(d.members, c.Member)
	case Promote:
		d.members[at].Voter = true
	case Demote:
		d.members[at].Voter = false
	case Remove:
		d.members = slices.Delete(d.members, at, at+1)
	case Replace:
		d.members = append(slices.Delete(d.members, lost, lost+1), c.Member)
	}
	return c.Action
}

// settle makes changes until there are none left, and returns their number.
func (d *disks) settle() (steps int) {
	for d.step() != NoChange {
		if steps++; steps > 100 {
			d.t.Fatal("the membership does not settle")
		}
	}
	return steps
}

// lose makes a machine lose its disk. The leader counts the lost identity as live until the
// machine has returned.
func (d *disks) lose(machine int) (lost replica.Identity) {
	lost = d.identity[machine]
	d.losses++
	d.identity[machine] = replica.Identity(fmt.Sprintf("%c%d", 'a'+machine, d.losses))
	return lost
}

// comeBack makes a machine poll the leader with the identity of its new disk.
func (d *disks) comeBack(machine int, lost replica.Identity) {
	delete(d.live, lost)
	d.live[d.identity[machine]] = address(machine)
}

// voters returns the number of voters, and of those whose disk still exists.
func (d *disks) voters() (all, present int) {
	for _, m := range d.members {
		if m.Voter {
			all++
			if slices.Contains(d.identity, m.Identity) {
				present++
			}
		}
	}
	return all, present
}

// hasMajority reports whether a majority of the voters exists without the given number of
// further machines.
func (d *disks) hasMajority(without int) bool {
	all, present := d.voters()
	return present-without > all/2
}

// Guards against a membership that ends the group for good when one machine loses its disk,
// returns and loses it again at any step of its replacement, while no other machine is
// disturbed. The leader notices the second loss at once, one step or two steps later.
func TestDiskLostAgainAtEveryStep(t *testing.T) {
	for size := 3; size <= MaxVoters; size++ {
		for machine := 1; machine < size; machine++ {
			for again := range 4 {
				for unnoticed := range 3 {
					t.Run(fmt.Sprintf("%d disks, machine %d, step %d, noticed %d later", size, machine, again, unnoticed), func(t *testing.T) {
						is := is.New(t)
						d := newDisks(t, size)
						lost := d.lose(machine)
						d.comeBack(machine, lost)
						for range again {
							d.step()
							is.True(d.hasMajority(0))
						}
						lost = d.lose(machine)
						for range unnoticed {
							is.True(d.hasMajority(0)) // after the second loss
							d.step()
						}
						is.True(d.hasMajority(0))
						d.comeBack(machine, lost)
						d.settle()
						all, present := d.voters()
						is.Equal(all, largestOdd(size))
						is.Equal(present, all)
					})
				}
			}
		}
	}
}

// Guards against a group that is lost where a machine loses its disk at each start, as in a
// restart loop.
func TestDiskLostAtEachStart(t *testing.T) {
	is := is.New(t)
	for size := 3; size <= MaxVoters; size++ {
		d := newDisks(t, size)
		for restart := range 60 {
			lost := d.lose(1)
			for range restart % 3 {
				d.step()
				is.True(d.hasMajority(0))
			}
			d.comeBack(1, lost)
			for range restart % 5 {
				d.step()
				is.True(d.hasMajority(0))
			}
		}
		d.settle()
		all, present := d.voters()
		is.Equal(all, largestOdd(size))
		is.Equal(present, all)
		is.Equal(len(d.members), size) // former identities do not stay as learners
	}
}

// Guards against a step of a replacement that survives fewer losses than the table in
// docs/design.md says: how many machines besides the one with the lost disk may be lost
// before the replacement, after the removal of the lost identity and after its end.
func TestLossesSurvivedDuringReplacement(t *testing.T) {
	for _, c := range []struct{ size, before, removed, end int }{
		{3, 0, 0, 1},
		{4, 0, 0, 1},
		{5, 1, 1, 2},
		{6, 1, 1, 2},
		{7, 2, 2, 3},
		{8, 2, 2, 3},
		{9, 3, 3, 4},
	} {
		t.Run(fmt.Sprint(c.size, " disks"), func(t *testing.T) {
			is := is.New(t)
			d := newDisks(t, c.size)
			survives := func() (losses int) {
				for d.hasMajority(losses + 1) {
					losses++
				}
				return losses
			}
			d.comeBack(1, d.lose(1))
			is.Equal(survives(), c.before)
			is.Equal(d.step(), Replace)
			is.Equal(survives(), c.removed)
			for d.step() != NoChange {
				is.True(survives() >= c.removed)
			}
			is.Equal(survives(), c.end)
		})
	}
}

// Guards against a replacement of a machine that is gone for good which never ends, or takes
// votes away before the new machine has one.
func TestMachineGoneForGood(t *testing.T) {
	for size := 3; size <= MaxVoters-1; size++ {
		t.Run(fmt.Sprint(size, " disks"), func(t *testing.T) {
			is := is.New(t)
			d := newDisks(t, size)
			before, _ := d.voters()
			gone := d.identity[1]
			delete(d.live, gone)
			d.unreachable[gone] = voterTimeout
			d.identity[1] = "new"
			d.live["new"] = address(size)
			for d.step() != NoChange {
				all, _ := d.voters()
				is.True(all >= before)
				is.True(d.hasMajority(0))
			}
			all, present := d.voters()
			is.Equal(all, largestOdd(size))
			is.Equal(present, all)
		})
	}
}
