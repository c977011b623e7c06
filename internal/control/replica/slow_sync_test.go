package replica_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// Guards against a group that elects no leader, or loses it again and again, because each sync
// of its disks takes longer than a message may: votes and acknowledgements depend on the disk,
// the lease does not. The bound is the time in which a deployment recovers.
func TestSlowSync(t *testing.T) {
	const recovery = 12 * time.Second
	for _, c := range []struct {
		size int
		sync time.Duration
	}{
		{3, 50 * time.Millisecond},
		{3, 250 * time.Millisecond},
		{3, 500 * time.Millisecond},
		{3, 1500 * time.Millisecond},
		{7, 50 * time.Millisecond},
		{7, 250 * time.Millisecond},
		{7, 500 * time.Millisecond},
		{7, 1500 * time.Millisecond},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(c.size, " voters, ", c.sync, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					g := newCluster(t, seed, c.size).bootstrap()
					g.leader()
					g.sleep(time.Second)
					for _, i := range g.instances {
						i.files.SetSyncDelay(c.sync)
					}
					g.stop(g.leader(), true)
					start := time.Now()
					for len(g.leaseHolders()) == 0 {
						is.True(time.Since(start) < recovery)
						g.sleep(10 * time.Millisecond)
					}
					l := g.leaseHolders()[0]
					var committed atomic.Int32
					for n := range 20 {
						go func() {
							if _, err := l.node.Propose(t.Context(), []byte(fmt.Sprint(n))); err == nil {
								committed.Add(1)
							}
						}()
						for range 50 {
							g.sleep(10 * time.Millisecond)
							_, ok := l.node.HoldsLease()
							is.True(ok)
						}
					}
					g.sleep(4 * c.sync)
					is.Equal(committed.Load(), int32(20))
				})
			})
		}
	}
}

// Guards against a leader that loses its majority, and with it its lease, while one of the
// voters that it depends on restores a snapshot on a slow disk.
func TestLeaseDuringInstallation(t *testing.T) {
	for _, sync := range []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(fmt.Sprint(sync), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 12, 3)
				c.configure = func(n *replica.Node) { replica.SetCompaction(n, 20, 5) }
				c.bootstrap()
				l := c.leader()
				behind, lost := c.others(l)[0], c.others(l)[1]
				c.stop(behind, true)
				for k := range 100 {
					c.propose(fmt.Sprint(k))
				}
				is.True(l.node.Status().FirstIndex > 2)
				c.start(behind)
				behind.files.SetSyncDelay(sync)
				c.sleep(5 * replica.HeartbeatInterval) // what it acknowledged before the crash no longer counts
				c.waitFor("contact", func() bool {
					acknowledging, err := l.node.Acknowledging(t.Context())
					return err == nil && acknowledging[behind.self.Identity]
				})
				is.True(sync < 100*time.Millisecond || behind.node.Status().AppliedIndex < l.node.Status().CommitIndex)
				c.stop(lost, true)
				for behind.node.Status().AppliedIndex < l.node.Status().CommitIndex {
					_, leads := l.node.HoldsLease()
					is.True(leads)
					c.sleep(10 * time.Millisecond)
				}
				c.propose("after")
			})
		})
	}
}
