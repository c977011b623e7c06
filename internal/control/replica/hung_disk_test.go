package replica_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a group without a leader, or with one that commits nothing, while the disk of one
// replica hangs and all others work.
func TestHungDisk(t *testing.T) {
	const hang, bound = 10 * time.Second, 3 * time.Second
	for _, c := range []struct {
		name    string
		leader  bool // the disk of the leader hangs
		restart bool // another replica is killed and starts again
	}{
		{"leader of 3", true, false},
		{"follower of 3", false, false},
		{"leader of 3, restart", true, true},
		{"follower of 3, leader restarts", false, true},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(c.name, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					g := newCluster(t, seed, 3).bootstrap()
					l := g.leader()
					g.sleep(time.Second)
					hung, restarted := g.others(l)[0], l
					if c.leader {
						hung, restarted = l, g.others(l)[0]
					}
					hung.files.SetSyncDelay(hang)
					if c.restart {
						g.stop(restarted, true)
						g.sleep(200 * time.Millisecond)
						g.start(restarted)
					}
					start := time.Now()
					longest, committed := time.Duration(0), start
					for n := 0; time.Since(start) < hang-time.Second; n++ {
						for _, i := range g.leaseHolders() {
							ctx, cancel := context.WithTimeout(t.Context(), time.Second)
							_, err := i.node.Propose(ctx, []byte(fmt.Sprint(n)))
							cancel()
							if err == nil {
								committed = time.Now()
							}
						}
						g.sleep(10 * time.Millisecond)
						longest = max(longest, time.Since(committed))
					}
					is.True(longest < bound) // without a commit
				})
			})
		}
	}
}
