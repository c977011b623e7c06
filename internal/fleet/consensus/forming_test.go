package consensus

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a new group that acknowledges something with fewer voters than the losses need that it must
// bear, since some machines are down at the first start, and loses it with the first disk.
func TestNothingIsCommittedBeforeTheGroupIsComplete(t *testing.T) {
	for _, tolerance := range []int{1, 2} {
		for _, restart := range []bool{false, true} {
			for lost := range 2*tolerance + 1 {
				t.Run(fmt.Sprintf("%d losses, restart %v, disk %d is lost", tolerance, restart, lost), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						size := 2*tolerance + 1
						c := newStoppedCore(t, uint64(lost), size)
						c.voters = size
						for _, m := range c.machines[:size-1] {
							m.start(true)
						}
						c.await("a leader", 5*time.Second, func() bool { l, _ := c.leader(); return l != nil })
						committed := func() bool { return c.commit(1) }
						is.True(!c.within(5*time.Second, committed))
						if restart {
							for _, m := range c.machines[:size-1] {
								m.kill()
							}
							for _, m := range c.machines[:size-1] {
								m.start(false)
							}
							is.True(!c.within(5*time.Second, committed))
						}
						c.machines[size-1].start(false)
						c.await("an acknowledgement", 5*time.Second, committed)
						for k := range tolerance {
							c.machines[(lost+k)%size].wipe()
						}
						c.await("another acknowledgement", 10*time.Second, func() bool { return c.commit(2) })
						for k := range tolerance {
							c.machines[(lost+k)%size].start(false)
						}
						c.await("all members", 20*time.Second, c.settled)
						is.True(c.commit(3))
					})
				})
			}
		}
	}
}

// within reports whether a condition holds at some time within the limit.
func (c *core) within(limit time.Duration, condition func() bool) bool {
	for start := time.Now(); time.Since(start) < limit; time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
