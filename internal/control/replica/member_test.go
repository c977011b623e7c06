package replica_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// others returns the running instances except l.
func (c *cluster) others(l *instance) (out []*instance) {
	for _, i := range c.running() {
		if i != l {
			out = append(out, i)
		}
	}
	return out
}

// tryReplace replaces the former identity of instance i, whose disk was lost, by its new
// identity. It can be repeated after an error.
func (c *cluster) tryReplace(i *instance, former replica.Identity) (err error) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	n := c.leader().node
	if err := n.ReplaceMember(ctx, former, i.self); err != nil {
		return err
	}
	return n.PromoteLearner(ctx, i.self.Identity)
}

func (c *cluster) replace(i *instance, former replica.Identity) {
	c.t.Helper()
	c.must(c.tryReplace(i, former))
}

// Guards against lost entries when a disk is lost and replaced, and another replica is lost
// right after the replacement was reported as complete. The log is compacted and the state
// is larger than one chunk, so the new replica needs a snapshot of several chunks.
func TestLostDiskAndSecondLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, 3)
		c.configure = func(n *replica.Node) { replica.SetCompaction(n, 50, 10) }
		c.bootstrap()
		for k := range 100 {
			c.propose(fmt.Sprint(k, strings.Repeat("x", 10_000)))
		}
		lost := c.others(c.leader())[0]
		former := lost.self.Identity
		c.stop(lost, true)
		lost.files = faulty.New(99)
		c.start(lost)
		is.True(lost.self.Identity != former)
		lost.files.SetSyncDelay(50 * time.Millisecond)
		c.replace(lost, former)
		last := c.leader().node.Status().LastIndex
		c.stop(lost, true)
		c.start(lost)
		is.True(lost.node.Status().LastIndex >= last) // the whole log was durable on the new replica
		second := c.others(lost)[0]
		c.stop(second, true)
		c.converge()
		is.Equal(len(c.running()), 2)
		for k := range 100 {
			is.True(c.history.count[fmt.Sprint(k, strings.Repeat("x", 10_000))] >= 1)
		}
		is.True(len(lost.machine.list()) > 100)
	})
}

// Guards against votes by a replica with a corrupt log. Its data must be set aside, and it
// must return with a new identity.
func TestCorruptLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2, 3).bootstrap()
		for k := range 20 {
			c.propose(fmt.Sprint(k))
		}
		i := c.others(c.leader())[0]
		former := i.self.Identity
		c.stop(i, true)
		i.files.Corrupt("data/group-0/log-0000000000000001", func(b []byte) []byte { b[len(b)/2]++; return b })
		is.True(errors.Is(c.tryStart(i), disk.ErrCorrupt))
		_, err := disk.SetAside(i.files.Process(), "data")
		is.NoErr(err)
		c.start(i)
		c.replace(i, former)
		c.converge()
	})
}

// Guards against a replica with an empty disk that counts as its former self because it
// replies from the same address.
func TestReplacedDiskIsNotMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3, 3).bootstrap()
		l := c.leader()
		c.propose("a")
		c.sleep(time.Second)
		o := c.others(l)
		c.stop(o[0], true)
		o[0].files = faulty.New(99)
		c.start(o[0])
		c.stop(o[1], true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := l.node.Propose(ctx, []byte("b"))
		is.True(err != nil)
		c.sleep(5 * time.Second)
		is.Equal(len(c.leaseHolders()), 0) // only one of three members is left
		is.Equal(c.history.count["b"], 0)
		is.Equal(len(o[0].node.Status().Members), 0)
	})
}

// Guards against a leader that keeps leading after it removed itself, and against a removed
// replica that disrupts the group after a restart.
func TestRemoveLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 4, 3).bootstrap()
		l := c.leader()
		c.sleep(time.Second)
		is.NoErr(l.node.RemoveMember(t.Context(), l.self.Identity))
		c.sleep(3 * time.Second)
		_, ok := l.node.HoldsLease()
		is.True(!ok)
		next := c.leader()
		is.True(next != l)
		term, _ := next.node.HoldsLease()
		c.stop(l, true)
		c.start(l)
		c.sleep(10 * time.Second)
		after, ok := next.node.HoldsLease()
		is.True(ok)
		is.Equal(after, term)
		is.Equal(len(next.node.Status().Members), 2)
	})
}

// Guards against a leader that keeps leading after it took its own vote, and against a group that loses
// entries or its last vote that way.
func TestDemoteLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 12, 3).bootstrap()
		for votes := 3; votes > 1; votes-- {
			l := c.leader()
			c.propose(fmt.Sprint(votes))
			c.sleep(time.Second)
			is.NoErr(l.node.DemoteMember(t.Context(), l.self.Identity))
			c.sleep(3 * time.Second)
			_, ok := l.node.HoldsLease()
			is.True(!ok)
			is.True(c.leader() != l)
			is.NoErr(c.leader().node.DemoteMember(t.Context(), l.self.Identity)) // nothing to do
		}
		l := c.leader()
		is.True(errors.Is(l.node.DemoteMember(t.Context(), l.self.Identity), replica.ErrInvalidChange))
		for _, i := range c.others(l) {
			c.must(l.node.PromoteLearner(t.Context(), i.self.Identity))
		}
		c.propose("with all votes")
		c.converge()
	})
}

// Guards against a group that stays without a leader because the only replica that stores
// the latest membership is not part of it.
func TestRemovalNotReplicated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 7, 2).bootstrap()
		l := c.leader()
		o := c.others(l)[0]
		c.sleep(time.Second)
		c.block(l, o, true)
		err := l.node.RemoveMember(t.Context(), l.self.Identity)
		is.True(errors.Is(err, replica.ErrOutcomeUnknown))
		c.stop(l, true)
		c.start(l)
		c.block(l, o, false)
		c.waitFor("the other replica to lead alone", func() bool {
			_, ok := o.node.HoldsLease()
			return ok && len(o.node.Status().Members) == 1
		})
	})
}

// Guards against two membership changes at a time, whose majorities could be disjoint.
func TestOneChangeAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 5, 5).bootstrap()
		l := c.leader()
		c.sleep(time.Second)
		o := c.others(l)
		for _, i := range o[:3] {
			c.block(i, l, true)
		}
		go func() { _ = l.node.RemoveMember(context.Background(), o[0].self.Identity) }()
		synctest.Wait()
		err := l.node.RemoveMember(t.Context(), o[1].self.Identity)
		is.True(errors.Is(err, replica.ErrChangePending))
		err = l.node.AddLearner(t.Context(), replica.Member{Identity: "new", Address: "new"})
		is.True(errors.Is(err, replica.ErrChangePending))
		c.sleep(5 * time.Second)
		for _, i := range o[:3] {
			c.block(i, l, false)
		}
		c.propose("after")
	})
}

// Guards against a learner that counts as a voter, and against a promotion that is reported
// before the learner stores the log.
func TestLearner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 6, 1).bootstrap()
		c.leader()
		learner := c.add("learner")
		is.NoErr(c.instances[0].node.AddLearner(t.Context(), replica.Member{Identity: "x", Address: "nowhere"}))
		c.start(learner)
		c.propose("a") // the single voter is a majority
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		for range 300 {
			c.propose("b")
		}
		is.True(c.instances[0].node.PromoteLearner(ctx, "x") != nil) // never caught up
		is.NoErr(c.instances[0].node.RemoveMember(t.Context(), "x"))
		is.True(errors.Is(c.instances[0].node.PromoteLearner(t.Context(), "x"), replica.ErrInvalidChange))
		is.True(errors.Is(c.instances[0].node.RemoveMember(t.Context(), c.instances[0].self.Identity), replica.ErrInvalidChange))
		is.True(errors.Is(c.instances[0].node.ReplaceMember(t.Context(), c.instances[0].self.Identity, replica.Member{Identity: "x"}), replica.ErrInvalidChange))
		is.NoErr(c.instances[0].node.AddLearner(t.Context(), learner.self))
		is.NoErr(c.instances[0].node.PromoteLearner(t.Context(), learner.self.Identity))
		is.Equal(learner.node.Status().LastIndex, c.instances[0].node.Status().LastIndex)
		c.converge()
	})
}

// Guards against a learner that is promoted although it never replied: while the log is
// short, an empty one is only a few entries behind. Its vote could never be given.
func TestSilentLearner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 9, 2).bootstrap()
		l := c.leader().node
		c.propose("a")
		is.NoErr(l.AddLearner(t.Context(), replica.Member{Identity: "x", Address: "nowhere"}))
		learner := c.add("learner")
		c.start(learner)
		is.NoErr(l.AddLearner(t.Context(), learner.self))
		c.sleep(time.Second)
		ready, err := l.CaughtUpLearners(t.Context())
		is.NoErr(err)
		is.Equal(ready, map[replica.Identity]bool{learner.self.Identity: true})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		is.True(l.PromoteLearner(ctx, "x") != nil)
		c.stop(learner, true)
		c.sleep(time.Second)
		ready, err = l.CaughtUpLearners(t.Context())
		is.NoErr(err)
		is.Equal(len(ready), 0) // it no longer replies
		for _, m := range l.Status().Members {
			is.Equal(m.Voter, m.Identity != "x" && m.Identity != learner.self.Identity)
		}
	})
}

// Guards against a member that can't be reached after its address has changed.
func TestAddressChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 8, 3).bootstrap()
		i := c.others(c.leader())[0]
		c.stop(i, true)
		i.name = "moved"
		c.start(i)
		c.must(c.leader().node.AddLearner(t.Context(), i.self))
		c.converge()
		for _, m := range c.leader().node.Status().Members {
			is.True(m.Voter)
			is.Equal(m.Identity == i.self.Identity, m.Address == "moved")
		}
	})
}

// Guards against a replica that names a lost leader for as long as it is cut off, because it
// may not campaign. The instance would then look for the leader at that address only.
func TestLostLeaderIsForgotten(t *testing.T) {
	tests := []struct {
		name   string
		member func(c *cluster, l *instance) *instance // returns a member that may not campaign
	}{
		{"learner", func(c *cluster, l *instance) *instance {
			learner := c.add("learner")
			c.start(learner)
			c.must(l.node.AddLearner(c.t.Context(), learner.self))
			return learner
		}},
		{"voter that was removed and is a learner again", func(c *cluster, l *instance) *instance {
			removed := c.others(l)[0]
			c.must(l.node.RemoveMember(c.t.Context(), removed.self.Identity))
			c.must(l.node.AddLearner(c.t.Context(), removed.self))
			return removed
		}},
		{"voter whose vote was taken", func(c *cluster, l *instance) *instance {
			demoted := c.others(l)[0]
			c.must(l.node.DemoteMember(c.t.Context(), demoted.self.Identity))
			return demoted
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 11, 3).bootstrap()
				l := c.leader()
				i := tt.member(c, l)
				c.converge()
				_, _, known := i.node.Leader()
				is.True(known)
				c.isolate(i, true)
				c.sleep(replica.MaxElectionTimeout + replica.HeartbeatInterval)
				_, _, known = i.node.Leader()
				is.True(!known)
				c.isolate(i, false)
				c.sleep(2 * replica.MaxElectionTimeout)
				m, _, known := i.node.Leader()
				is.True(known)
				is.Equal(m.Identity, c.leader().self.Identity)
			})
		})
	}
}
