package replica_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// timeouts makes the election timeouts of an instance that starts equal to those of others, or the
// longest ones if common is nil.
type timeouts struct {
	common, own rand.Source
	left        int // numbers that are not drawn from own
}

// Uint64 returns the next number.
func (s *timeouts) Uint64() uint64 {
	switch s.left--; {
	case s.left < 0:
		return s.own.Uint64()
	case s.common == nil:
		return math.MaxUint64
	}
	return s.common.Uint64()
}

// Guards against elections that end without a leader because the timeouts of several replicas end at
// the same time. Each further election waits for the disks again.
func TestSimultaneousCandidates(t *testing.T) {
	for _, c := range []struct{ voters, running, candidates int }{
		{3, 2, 2},
		{3, 3, 2},
		{3, 3, 3},
		{5, 3, 3},
		{7, 4, 2},
		{7, 5, 3},
		{7, 7, 2},
		{7, 7, 3},
		{7, 7, 7},
	} {
		for _, delay := range []time.Duration{0, 2 * time.Millisecond, 10 * time.Millisecond} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%d of %d voters, %d candidates, delay %v, seed %d", c.running, c.voters, c.candidates, delay, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						const sync = 100 * time.Millisecond
						is := is.New(t)
						g := newCluster(t, seed, c.voters).bootstrap()
						g.leader()
						g.propose("before")
						g.sleep(time.Second)
						var before replica.Term
						for _, i := range g.instances {
							before = max(before, i.node.Status().Term)
							g.stop(i, true)
						}
						g.maxDelay = delay
						started := 0
						g.source = func(own uint64) rand.Source {
							out := &timeouts{own: rand.NewPCG(own, 3), left: 2}
							if started++; started <= c.candidates {
								out.common = rand.NewPCG(seed, 9)
							}
							return out
						}
						for _, i := range g.instances[:c.running] {
							g.start(i)
						}
						for _, i := range g.instances[:c.running] {
							i.files.SetSyncDelay(sync)
						}
						start := time.Now()
						l := g.leader()
						t.Logf("leader after %v", time.Since(start))
						is.True(time.Since(start) <= 2*replica.MaxElectionTimeout+4*sync)
						term, _ := l.node.HoldsLease()
						is.Equal(term, before+1)
					})
				})
			}
		}
	}
}
