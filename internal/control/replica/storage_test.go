package replica_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// Guards against a command that is accepted although the disk is full, a follower with a
// full disk that stops the group, and one that doesn't recover once it has space again.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, 3).bootstrap()
		l := c.leader()
		c.sleep(time.Second)
		l.files.SetFreeBytes(disk.DefaultReserveBytes + 10)
		last := l.node.Status().LastIndex
		_, err := l.node.Propose(t.Context(), []byte("refused"))
		is.True(errors.Is(err, replica.ErrStorageFull))
		is.Equal(l.node.Status().LastIndex, last)
		l.files.SetFreeBytes(1 << 40)
		f := c.others(l)[0]
		f.files.SetFreeBytes(0)
		for k := range 10 {
			c.propose(fmt.Sprint(k))
		}
		c.sleep(3 * time.Second)
		is.True(f.node.Status().LastIndex < l.node.Status().LastIndex)
		f.files.SetFreeBytes(1 << 40)
		c.converge()
		is.Equal(c.history.count["refused"], 0)
	})
}

// Guards against a node that keeps running after a failed sync.
func TestFailedSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2, 3).bootstrap()
		for range 2 { // each round fails a leader, then a follower
			l := c.leader()
			l.files.FailSyncAfter(0)
			_, err := l.node.Propose(t.Context(), []byte("x"))
			is.True(err == nil || errors.Is(err, replica.ErrOutcomeUnknown))
			is.True(errors.Is(<-l.done, disk.ErrFatal))
			l.done <- nil
			_, ok := l.node.HoldsLease()
			is.True(!ok)
			c.stop(l, true)
			c.propose("y")
			c.start(l)
			c.converge()
			f := c.others(c.leader())[0]
			f.files.FailSyncAfter(0)
			c.propose("z")
			is.True(errors.Is(<-f.done, disk.ErrFatal))
			f.done <- nil
			c.stop(f, true)
			c.start(f)
		}
		c.converge()
	})
}

// Guards against a sync per command. Commands that wait at the same time share one.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3, 3).bootstrap()
		l := c.leader()
		c.sleep(time.Second)
		for _, i := range c.instances {
			i.files.SetSyncDelay(5 * time.Millisecond)
		}
		before := l.files.SyncCount()
		var wg sync.WaitGroup
		for k := range 500 {
			wg.Go(func() {
				_, err := l.node.Propose(t.Context(), []byte(fmt.Sprint(k)))
				if err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		is.True(l.files.SyncCount()-before <= 10)
	})
}

// Guards against an acknowledgement before the sync, which loses the command when all
// replicas crash right after it.
func TestCrashAfterAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 4, 3).bootstrap()
		for k := range 30 {
			l := c.leader()
			for _, i := range c.instances {
				i.files.SetSyncDelay(time.Duration(c.random.IntN(20)) * time.Millisecond)
			}
			command := fmt.Sprint("acknowledged ", k)
			_, err := l.node.Propose(t.Context(), []byte(command))
			if err != nil {
				continue
			}
			for _, i := range c.instances {
				c.stop(i, true)
			}
			for _, i := range c.instances {
				c.start(i)
			}
			c.converge()
			found := false
			for _, p := range c.instances[0].machine.list() {
				found = found || p.Command == command
			}
			is.True(found)
		}
	})
}

// Guards against a replica that does not start again from its disk, or a group that loses an
// acknowledged command, after processes were killed or all replicas lost power at the same
// moment, while disks are slow and snapshots are saved. Of what was not synced, any part may be
// left. Logs are not compacted: a leader that sends a snapshot waits for the one that it saves,
// and simulated time stands still while a goroutine waits for a lock.
func TestLossOfPowerOfAll(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, seed, 3)
				c.configure = func(n *replica.Node) { replica.SetCompaction(n, 3, 1<<20) }
				c.bootstrap()
				var acknowledged []string
				for k := range 15 {
					for _, i := range c.instances {
						i.files.SetSyncDelay(time.Duration(c.random.IntN(60)*c.random.IntN(10)) * time.Millisecond)
					}
					l := c.leader()
					c.isolate(c.others(l)[0], c.random.IntN(2) == 0)
					if c.random.IntN(3) == 0 {
						c.end(l, l.files.Kill)
						c.start(l)
						l = c.leader()
					}
					for n := range 5 + c.random.IntN(15) {
						command := fmt.Sprint("acknowledged ", k, " ", n)
						ctx, cancel := context.WithTimeout(t.Context(), time.Duration(c.random.IntN(400))*time.Millisecond)
						if _, err := l.node.Propose(ctx, []byte(command)); err == nil {
							acknowledged = append(acknowledged, command)
						}
						cancel()
					}
					for _, i := range c.instances {
						c.isolate(i, false)
					}
					c.sleep(time.Duration(c.random.IntN(1500)) * time.Millisecond)
					for _, i := range c.instances {
						c.end(i, func() { i.files.LosePower(c.random.IntN) })
					}
					for _, i := range c.instances {
						c.start(i)
					}
				}
				for _, i := range c.instances {
					i.files.SetSyncDelay(0)
				}
				c.converge()
				for _, a := range acknowledged {
					is.Equal(c.history.count[a], 1)
				}
			})
		})
	}
}

// Guards against a follower that can't start again after it saved a snapshot that a new leader
// sent, while the term of that leader still waited for its disk.
func TestSnapshotBeforeTerm(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, seed, 3)
				c.configure = func(n *replica.Node) { replica.SetCompaction(n, 4, 0) }
				c.bootstrap()
				l := c.leader()
				c.sleep(time.Second)
				f := c.others(l)[0]
				f.files.SetFileSyncDelay(10 * time.Second)
				before := f.node.Status()
				c.propose("before")
				c.isolate(f, true)
				c.end(l, l.files.Kill)
				c.start(l)
				for k := range 4 {
					c.propose(fmt.Sprint("in the new term ", k))
				}
				c.isolate(f, false)
				c.waitFor("a snapshot", func() bool { return f.node.Status().SnapshotIndex > before.SnapshotIndex })
				is.True(f.node.Status().Term > before.Term)
				c.end(f, func() { f.files.LosePower(func(int) int { return 0 }) })
				f.files.SetSyncDelay(0)
				c.start(f)
				is.Equal(f.self.Identity, before.Self.Identity)
				c.converge()
			})
		})
	}
}
