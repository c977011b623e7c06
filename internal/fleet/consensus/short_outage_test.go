package consensus

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// Guards against a voter that loses its vote to a learner in an outage as short as a restart: each such
// exchange takes two membership changes.
func TestShortOutageKeepsVote(t *testing.T) {
	for _, size := range []int{4, 8} {
		for _, down := range []time.Duration{2 * time.Second, 2500 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%d disks, %v", size, down), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := newSlowCore(t, 1, size, 0, fixed(5*time.Millisecond))
					time.Sleep(5 * time.Second)
					machine := s.pickVoter()
					l, _ := s.leader()
					identity := s.machines[machine].process.replica.identity
					s.machines[machine].kill()
					time.Sleep(down)
					s.machines[machine].boot(false)
					time.Sleep(3 * time.Second)
					is.True(slices.ContainsFunc(l.replica.Members(), func(m replica.Member) bool { return m.Identity == identity && m.Voter }))
				})
			})
		}
	}
}

// Guards against a group that gets no further voters as long as the disk of one hangs: its instance
// polls, so that it never counts as lost.
func TestGrowthBesideSilentVoter(t *testing.T) {
	for _, c := range []struct {
		silence time.Duration
		action  Action
	}{
		{0, NoChange},
		{noticeTime - 1, NoChange},
		{noticeTime, Promote},
	} {
		t.Run(fmt.Sprint(c.silence), func(t *testing.T) {
			is := is.New(t)
			o := Observation{
				Self: "a", Live: map[replica.Identity]replica.Address{}, Contact: map[replica.Identity]time.Duration{},
				CaughtUp: map[replica.Identity]bool{"n": true}, Silent: map[replica.Identity]time.Duration{"d": c.silence},
			}
			for _, i := range []replica.Identity{"a", "b", "c", "d", "n"} {
				o.Members = append(o.Members, replica.Member{Identity: i, Address: replica.Address(i), Voter: i != "n"})
				o.Live[i], o.Contact[i] = replica.Address(i), time.Hour
			}
			is.Equal(NextChange(o).Action, c.action)
		})
	}
}
