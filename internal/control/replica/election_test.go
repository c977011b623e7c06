package replica_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// Guards against a replica that deposes a working leader when it returns from a partition.
func TestPreVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, 3).form()
		l := c.leader()
		term, _ := l.node.HoldsLease()
		other := c.others(l)[0]
		c.isolate(other, true)
		c.sleep(10 * time.Second)
		c.isolate(other, false)
		c.sleep(5 * time.Second)
		after, ok := l.node.HoldsLease()
		is.True(ok)
		is.Equal(after, term)
	})
}

// Guards against a paused leader that still acts when it resumes, although another
// replica leads by then.
func TestPausedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2, 3).form()
		l := c.leader()
		c.isolate(l, true)
		l.timer.hold(true)
		c.sleep(5 * time.Second)
		is.True(c.leader() != l)
		_, ok := l.node.HoldsLease()
		is.True(!ok)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := l.node.Propose(ctx, []byte("late"))
		is.True(errors.Is(err, replica.ErrNotLeader))
		is.True(errors.Is(l.node.ReadBarrier(ctx), replica.ErrNotLeader))
		l.timer.hold(false)
		c.isolate(l, false)
		c.converge()
		is.Equal(c.history.count["late"], 0)
	})
}

// Guards against a remaining lease that lasts beyond the time that a majority confirmed.
func TestLeaseLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3, 3).form()
		l := c.leader()
		term, left := l.node.LeaseRemaining()
		now, ok := l.node.HoldsLease()
		is.True(ok)
		is.Equal(term, now)
		is.True(left > 0 && left <= replica.LeaseDuration)
		_, left = c.others(l)[0].node.LeaseRemaining()
		is.Equal(left, time.Duration(0))
		c.isolate(l, true)
		_, left = l.node.LeaseRemaining()
		for _, s := range []struct {
			after time.Duration
			want  time.Duration
		}{{left / 2, left - left/2}, {left, 0}} {
			time.Sleep(s.after)
			_, got := l.node.LeaseRemaining()
			is.True(got <= s.want)
			_, ok = l.node.HoldsLease()
			is.Equal(ok, got > 0)
		}
	})
}

// Guards against a vote by a replica that acknowledged a heartbeat just before it
// restarted: the former leader still holds its lease then.
func TestNoVoteAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 3).form()
		for range 20 {
			l := c.leader()
			c.sleep(time.Second)
			lost, restarted := c.others(l)[0], c.others(l)[1]
			// The first has had no leader for a while and asks for votes again and again.
			c.block(l, lost, true)
			c.block(lost, l, true)
			c.sleep(time.Duration(1000+c.random.IntN(1000)) * time.Millisecond)
			c.stop(restarted, true)
			c.block(l, restarted, true)
			c.block(restarted, l, true)
			c.start(restarted)
			c.sleep(2 * time.Second)
			for _, i := range c.all {
				c.isolate(i, false)
			}
		}
		c.converge()
	})
}

// Guards against votes that are given while the leader is alive, which end its lease early.
func TestNoVoteWithLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 4, 3).form()
		l := c.leader()
		c.sleep(time.Second)
		for _, i := range c.all {
			r, err := i.node.Vote(t.Context(), ballot(i, "x", 99, false))
			is.NoErr(err)
			is.True(!r.GetGranted())
			is.Equal(r.GetTerm(), uint64(l.node.Status().Term))
		}
	})
}

func ballot(to *instance, from string, term uint64, pre bool) *wire.VoteRequest {
	return &wire.VoteRequest{
		Term: term, Candidate: &wire.Member{Identity: from}, Lastindex: 1 << 40, Lastterm: term,
		Prevote: pre, Target: string(to.self.Identity),
	}
}

// Guards against two votes in one term, with a crash in between, and against a vote for
// a candidate whose log is behind.
func TestVoteOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 5, 3).form()
		c.propose("a")
		c.sleep(time.Second)
		i := c.all[0]
		c.isolate(i, true)
		c.sleep(time.Second)
		i.files.SetSyncDelay(50 * time.Millisecond) // a reply before the sync would be seen
		behind := ballot(i, "x", 99, false)
		behind.Lastindex, behind.Lastterm = 1, 1
		r, err := i.node.Vote(t.Context(), behind)
		is.NoErr(err)
		is.True(!r.GetGranted())
		r, err = i.node.Vote(t.Context(), ballot(i, "x", 99, false))
		is.NoErr(err)
		is.True(r.GetGranted())
		c.stop(i, true)
		c.start(i)
		c.sleep(time.Second)
		r, err = i.node.Vote(t.Context(), ballot(i, "y", 99, false))
		is.NoErr(err)
		is.True(!r.GetGranted())
		r, err = i.node.Vote(t.Context(), ballot(i, "x", 99, false))
		is.NoErr(err)
		is.True(r.GetGranted())
	})
}

// Guards against a leader that keeps its role, or a group that stays without one, when
// messages pass in one direction only.
func TestOneWayPartition(t *testing.T) {
	for _, sends := range []bool{true, false} {
		t.Run(fmt.Sprint("leader sends ", sends), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 6, 3).form()
				l := c.leader()
				for _, o := range c.others(l) {
					if sends {
						c.block(o, l, true)
					} else {
						c.block(l, o, true)
					}
				}
				c.sleep(600 * time.Millisecond)
				_, ok := l.node.HoldsLease()
				is.True(!ok)
				c.sleep(5 * time.Second)
				is.True(c.leader() != l)
				c.isolate(l, false)
				c.converge()
			})
		})
	}
}

// Guards against a new leader that answers a read before it knows what its predecessor
// committed. Its disk is slow, so that its lease begins before its first entry is stored.
func TestReadAfterElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 7, 3).form()
		l := c.leader()
		c.propose("before")
		c.sleep(time.Second)
		_, err := l.node.Propose(t.Context(), []byte("last"))
		is.NoErr(err)
		c.stop(l, true) // before the followers learn of the commit
		for _, i := range c.running() {
			i.files.SetSyncDelay(100 * time.Millisecond)
		}
		// Reads are tried directly, since Leading is true only after the first commit.
		c.until("a read", func() bool {
			for _, i := range c.running() {
				if i.node.ReadBarrier(t.Context()) == nil {
					list := i.machine.list()
					is.Equal(list[len(list)-1].Command, "last")
					return true
				}
			}
			return false
		})
	})
}

// Guards against reads that a deposed leader answers from its old state.
func TestReadNeedsMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 8, 3).form()
		l := c.leader()
		c.sleep(time.Second)
		c.isolate(l, true)
		_, ok := l.node.HoldsLease() // the lease is still valid, but nobody confirms
		is.True(ok)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		is.True(errors.Is(l.node.ReadBarrier(ctx), replica.ErrNotLeader))
	})
}

// Guards against an acknowledged change that only the leader holds.
func TestUnknownWithoutMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 9, 5).form()
		l := c.leader()
		c.sleep(time.Second)
		o := c.others(l)
		for _, i := range o[:3] {
			c.block(l, i, true)
		}
		_, err := l.node.Propose(t.Context(), []byte("lost"))
		is.True(errors.Is(err, replica.ErrOutcomeUnknown))
		c.isolate(l, true)
		c.propose("other")
		c.isolate(l, false)
		c.converge()
	})
}

// Guards against elections that split again and again: a leader that is lost must be
// replaced. The bound allows for two split votes in a row; time is simulated.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 10, 3)
		c.delay = time.Millisecond
		c.form()
		var longest, total time.Duration
		const rounds = 40
		for range rounds {
			l := c.leader()
			c.sleep(2 * time.Second)
			begin := time.Now()
			c.stop(l, true)
			c.leader()
			took := time.Since(begin)
			longest, total = max(longest, took), total+took
			c.start(l)
		}
		t.Logf("new leader after %v on average, %v at most", total/rounds, longest)
		if longest > 4*replica.MaxElectionTimeout {
			t.Errorf("no leader for %v", longest)
		}
	})
}
