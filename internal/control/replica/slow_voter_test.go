package replica_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// Guards against elections that are given up and called again although no message was lost, while
// voters that the majority needs store their votes on slow disks. Each new term makes them store
// another vote.
func TestSlowVoters(t *testing.T) {
	for _, c := range []struct{ voters, running, slow int }{
		{3, 2, 1},
		{5, 3, 1},
		{5, 3, 2},
		{7, 4, 3},
		{7, 5, 2},
	} {
		for _, sync := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("%d of %d voters, %d with %v, seed %d", c.running, c.voters, c.slow, sync, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						g := newCluster(t, seed, c.voters).bootstrap()
						g.leader()
						g.sleep(time.Second)
						l := g.leader()
						before := l.node.Status().Term
						for k, i := range g.others(l) {
							i.files.SetSyncDelay(20 * time.Millisecond)
							if k < c.slow {
								i.files.SetSyncDelay(sync)
							}
							if k >= c.running {
								g.stop(i, true)
							}
						}
						g.stop(l, true)
						start := time.Now()
						for len(g.leaseHolders()) == 0 && time.Since(start) < time.Minute {
							g.sleep(5 * time.Millisecond)
						}
						is.True(time.Since(start) <= 2*replica.MaxElectionTimeout+4*sync)
						term, _ := g.leader().node.HoldsLease()
						is.Equal(term, before+1)
					})
				})
			}
		}
	}
}
