package replica_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// Guards against a replica that deposes a working leader when it returns from a partition,
// as it would without pre-vote.
func TestPreVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, 3).bootstrap()
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

// Guards against a paused leader that acts when it resumes although another replica has
// become the leader meanwhile.
func TestPausedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2, 3).bootstrap()
		l := c.leader()
		c.isolate(l, true)
		l.timer.setPaused(true)
		c.sleep(5 * time.Second)
		is.True(c.leader() != l)
		_, ok := l.node.HoldsLease()
		is.True(!ok)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := l.node.Propose(ctx, []byte("late"))
		is.True(errors.Is(err, replica.ErrNotLeader))
		is.True(errors.Is(l.node.ReadBarrier(ctx), replica.ErrNotLeader))
		l.timer.setPaused(false)
		c.isolate(l, false)
		c.converge()
		is.Equal(c.history.count["late"], 0)
	})
}

// Guards against a remaining lease time that extends beyond what a majority confirmed.
func TestLeaseRemaining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3, 3).bootstrap()
		l := c.leader()
		term, remaining := l.node.LeaseRemaining()
		current, ok := l.node.HoldsLease()
		is.True(ok)
		is.Equal(term, current)
		is.True(remaining > 0 && remaining <= replica.LeaseDuration)
		_, remaining = c.others(l)[0].node.LeaseRemaining()
		is.Equal(remaining, time.Duration(0))
		c.isolate(l, true)
		_, remaining = l.node.LeaseRemaining()
		for _, s := range []struct {
			after time.Duration
			want  time.Duration
		}{{remaining / 2, remaining - remaining/2}, {remaining, 0}} {
			time.Sleep(s.after)
			_, got := l.node.LeaseRemaining()
			is.True(got <= s.want)
			_, ok = l.node.HoldsLease()
			is.Equal(ok, got > 0)
		}
	})
}

// Guards against a vote by a replica that acknowledged a heartbeat just before it restarted.
// The leader that sent the heartbeat still holds its lease then.
func TestNoVoteAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 3).bootstrap()
		for range 20 {
			l := c.leader()
			c.sleep(time.Second)
			lost, restarted := c.others(l)[0], c.others(l)[1]
			// This replica has no contact to the leader and requests votes repeatedly.
			c.block(l, lost, true)
			c.block(lost, l, true)
			c.sleep(time.Duration(1000+c.random.IntN(1000)) * time.Millisecond)
			c.stop(restarted, true)
			c.block(l, restarted, true)
			c.block(restarted, l, true)
			c.start(restarted)
			c.sleep(2 * time.Second)
			for _, i := range c.instances {
				c.isolate(i, false)
			}
		}
		c.converge()
	})
}

// Guards against votes that are granted while the leader is alive. Its lease would not be
// exclusive then.
func TestNoVoteWithLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 4, 3).bootstrap()
		l := c.leader()
		c.sleep(time.Second)
		for _, i := range c.instances {
			r, err := i.node.Vote(t.Context(), voteRequest(i, "x", 99, false))
			is.NoErr(err)
			is.True(!r.GetGranted())
			is.Equal(r.GetTerm(), uint64(l.node.Status().Term))
		}
	})
}

// voteRequest returns a vote request of a candidate whose log is ahead of all others.
func voteRequest(to *instance, from string, term uint64, preVote bool) *wire.VoteRequest {
	return &wire.VoteRequest{
		Term: term, Candidate: &wire.Member{Identity: from}, Lastindex: 1 << 40, Lastterm: term,
		Prevote: preVote, Target: string(to.self.Identity),
	}
}

// Guards against votes for two candidates in one term, with a crash in between, and against
// a vote for a candidate whose log is outdated.
func TestVoteOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 5, 3).bootstrap()
		c.propose("a")
		c.sleep(time.Second)
		i := c.instances[0]
		c.isolate(i, true)
		c.sleep(time.Second)
		i.files.SetSyncDelay(50 * time.Millisecond) // makes a reply before the sync detectable
		outdated := voteRequest(i, "x", 99, false)
		outdated.Lastindex, outdated.Lastterm = 1, 1
		r, err := i.node.Vote(t.Context(), outdated)
		is.NoErr(err)
		is.True(!r.GetGranted())
		r, err = i.node.Vote(t.Context(), voteRequest(i, "x", 99, false))
		is.NoErr(err)
		is.True(r.GetGranted())
		c.stop(i, true)
		c.start(i)
		c.sleep(time.Second)
		r, err = i.node.Vote(t.Context(), voteRequest(i, "y", 99, false))
		is.NoErr(err)
		is.True(!r.GetGranted())
		r, err = i.node.Vote(t.Context(), voteRequest(i, "x", 99, false))
		is.NoErr(err)
		is.True(r.GetGranted())
	})
}

// Guards against a leader that keeps its role, or a group that elects no other, when
// messages get through in one direction only.
func TestOneWayPartition(t *testing.T) {
	for _, sends := range []bool{true, false} {
		t.Run(fmt.Sprint("leader sends ", sends), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 6, 3).bootstrap()
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

// Guards against a new leader that serves a read before it knows everything that its
// predecessor committed. The disks are slow, so the lease of the new leader begins before
// its first entry is durable.
func TestReadAfterElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 7, 3).bootstrap()
		l := c.leader()
		c.propose("before")
		c.sleep(time.Second)
		_, err := l.node.Propose(t.Context(), []byte("last"))
		is.NoErr(err)
		c.stop(l, true) // before the followers learn of the commit
		for _, i := range c.running() {
			i.files.SetSyncDelay(100 * time.Millisecond)
		}
		// HoldsLease is true only after the first commit, so it isn't checked before the reads.
		c.waitFor("a read", func() bool {
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

// Guards against reads that a leader serves from outdated state after it was deposed.
func TestReadNeedsMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 8, 3).bootstrap()
		l := c.leader()
		c.sleep(time.Second)
		c.isolate(l, true)
		_, ok := l.node.HoldsLease() // the lease is still valid, but no majority confirms the read
		is.True(ok)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		is.True(errors.Is(l.node.ReadBarrier(ctx), replica.ErrNotLeader))
	})
}

// Guards against a command that is acknowledged although no majority stores it. An isolated
// leader must report an unknown outcome.
func TestProposeWithoutMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 9, 5).bootstrap()
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

// Guards against repeated split votes after the loss of a leader. The bound allows for two
// split votes in a row. Time is simulated.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 10, 3)
		c.maxDelay = time.Millisecond
		c.bootstrap()
		var longest, total time.Duration
		const rounds = 40
		for range rounds {
			l := c.leader()
			c.sleep(2 * time.Second)
			start := time.Now()
			c.stop(l, true)
			c.leader()
			took := time.Since(start)
			longest, total = max(longest, took), total+took
			c.start(l)
		}
		t.Logf("new leader after %v on average, %v at most", total/rounds, longest)
		if longest > 4*replica.MaxElectionTimeout {
			t.Errorf("no leader for %v", longest)
		}
	})
}

// Guards against logs that can't tell votes that were denied from votes that nobody answered, and
// against a line for each round of an election that fails again and again.
func TestFailedElectionIsLogged(t *testing.T) {
	tests := []struct {
		name               string
		fault              func(c *cluster, l, i *instance)
		denied, unanswered int
		reasons            int // lines that say why a vote was denied
	}{
		{"no majority alive", func(c *cluster, _, i *instance) {
			for _, o := range c.others(i) {
				c.stop(o, true)
			}
		}, 0, 2, 0},
		// Both others deny, and the reply of one is lost.
		{"denied by a working majority", func(c *cluster, l, i *instance) { c.block(l, i, true) }, 1, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				core, logs := observer.New(zap.InfoLevel)
				c := newCluster(t, 13, 3)
				c.log = zap.New(core)
				c.bootstrap()
				l := c.leader()
				c.propose("a")
				logs.TakeAll()
				tt.fault(c, l, c.others(l)[0])
				c.sleep(10 * time.Second)
				failed := logs.FilterMessage("election failed").All()
				is.Equal(len(failed), 1)
				is.Equal(len(failed[0].ContextMap()["denied"].([]any)), tt.denied)
				is.Equal(len(failed[0].ContextMap()["unanswered"].([]any)), tt.unanswered)
				is.Equal(logs.FilterMessage("vote denied").Len(), tt.reasons)
			})
		})
	}
}

// Guards against a new leader that answers from its state before it has applied what a former leader
// has committed and acknowledged.
func TestLeaseOfStateInArrears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 21, 3).bootstrap()
		former := c.leader()
		for _, i := range c.others(former) {
			i.machine.delay.Store(int64(100 * time.Millisecond))
		}
		for k := range 5 {
			c.propose(fmt.Sprint(k))
		}
		c.stop(former, true)
		is.Equal(len(c.leader().machine.list()), 5)
	})
}
