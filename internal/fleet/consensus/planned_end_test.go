package consensus

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// Guards against a step of a planned end that leaves the group without a majority if another machine loses its
// disk right then, and against a vote that stays with a machine which has ended although another one could
// have had it.
func TestPlannedEndAtEveryStep(t *testing.T) {
	for size := 2; size <= MaxVoters; size++ {
		for ending := range size {
			for lost := range size {
				for step := range 4 {
					t.Run(fmt.Sprintf("%d disks, machine %d ends, %d loses its disk at step %d", size, ending, lost, step), func(t *testing.T) {
						is := is.New(t)
						d := newDisks(t, size)
						tolerance := (largestOdd(size) - 1) / 2
						successor := d.add()
						d.settle()
						d.stopping = map[replica.Identity]bool{d.identity[ending]: true}
						for range step {
							d.step()
							is.True(d.hasMajority(tolerance)) // the machine that ends is still there
						}
						if lost != ending && tolerance > 0 {
							former := d.lose(lost)
							d.settle()
							is.True(d.hasMajority(0))
							d.comeBack(lost, former)
						}
						d.settle()
						gone := d.identity[ending]
						d.identity[ending] = "gone"
						is.True(d.hasMajority(tolerance)) // before the leader has noticed the end
						delete(d.live, gone)
						d.unreachable[gone] = voterTimeout
						if ending == d.leader {
							d.leader = successor
						}
						d.settle()
						all, present := d.voters()
						is.True(present == all || all == size+1) // without a learner the group keeps the lost voter
						is.True(d.hasMajority(tolerance))
						is.True(slices.ContainsFunc(d.members, func(m replica.Member) bool { return m.Identity == d.identity[successor] }))
					})
				}
			}
		}
	}
}

// Guards against votes that are handed to and fro while all machines stop, and a group that ends then.
func TestPlannedEndOfAll(t *testing.T) {
	for size := 1; size <= MaxVoters; size++ {
		is := is.New(t)
		d := newDisks(t, size)
		before, _ := d.voters()
		d.stopping = map[replica.Identity]bool{}
		for i := range size {
			d.stopping[d.identity[i]] = true
			is.True(d.settle() <= 2)
			all, _ := d.voters()
			is.Equal(all, before)
		}
		d.stopping = nil
		is.Equal(d.settle(), 0)
	}
}

// Guards against a group that ends for good, or loses what it acknowledged, when as many disks as may be are
// lost right after a machine has been replaced as planned: its successor was there for long.
func TestPlannedReplacement(t *testing.T) {
	for _, size := range []int{2, 3, 4, 5, 6} {
		for ending := range size {
			t.Run(fmt.Sprintf("%d disks, machine %d ends", size, ending), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					c := newStoppedCore(t, uint64(size), size+1)
					for _, m := range c.machines[:size] {
						m.start(true)
					}
					c.await("the group", 20*time.Second, func() bool { return c.hasMembers(size) })
					c.machines[size].start(false)
					c.await("the successor", 20*time.Second, c.settled)
					is.True(c.commit(1))
					is.NoErr(c.machines[ending].end())
					c.await("an acknowledgement", 5*time.Second, func() bool { return c.commit(2) })
					for k := range (largestOdd(size) - 1) / 2 {
						c.machines[(ending+1+k)%(size+1)].wipe()
					}
					c.await("another acknowledgement", 10*time.Second, func() bool { return c.commit(3) })
				})
			})
		}
	}
}

// hasMembers reports whether the group has so many members and as many voters as it gets then.
func (c *core) hasMembers(n int) bool {
	l, _ := c.leader()
	return l != nil && len(l.replica.Members()) == n && countVoters(l.replica.Members()) == largestOdd(min(MaxVoters, n))
}

// end ends the process as planned, without a loss of power.
func (m *machine) end() (err error) {
	m.core.mu.Lock()
	p := m.process
	m.stopping = true
	m.core.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	err = p.replica.WaitHandedOver(ctx)
	votes := hasVote(p.replica.Members(), p.replica.identity)
	m.kill()
	if votes && largestOdd(len(m.core.machines)) < len(m.core.machines) {
		return errors.New("the vote was not handed over")
	}
	return err
}
