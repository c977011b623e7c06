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
)

// Guards against a group that cannot elect, commit, or answer a read.
func TestCommitAndRead(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, uint64(size), size).form()
				l := c.leader()
				result, err := l.node.Propose(t.Context(), []byte("a"))
				is.NoErr(err)
				is.Equal(string(result), "1")
				is.NoErr(l.node.Read(t.Context()))
				for _, i := range c.running() {
					if i != l {
						_, err := i.node.Propose(t.Context(), []byte("b"))
						is.True(errors.Is(err, replica.ErrNotLeader))
						is.True(errors.Is(i.node.Read(t.Context()), replica.ErrNotLeader))
					}
				}
				c.converge()
			})
		})
	}
}

// Guards against entries that are lost or changed by restarts, clean or not, in
// between 1,000 changes, and against compaction that loses or repeats entries.
func TestThousandChangesWithRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3, 3)
		c.tune = func(n *replica.Node) { replica.SetLimits(n, 200, 20) }
		c.form()
		for k := range 1000 {
			c.propose(fmt.Sprint("change ", k))
			if k%50 == 49 {
				i := c.all[c.random.IntN(3)]
				c.stop(i, k%100 == 99)
				c.start(i)
			}
		}
		c.converge()
		for k := range 1000 {
			is.True(c.history.count[fmt.Sprint("change ", k)] >= 1)
		}
		is.True(c.leader().node.Status().First > 1)
	})
}

// Guards against random faults in any combination: what was acknowledged stays, all
// replicas apply the same, and no two hold a lease.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, 3+2*int(seed%2))
				c.tune = func(n *replica.Node) { replica.SetLimits(n, 50, 10) }
				c.form()
				acknowledged := runFaults(c, 60)
				for _, i := range c.all {
					c.isolate(i, false)
				}
				c.mu.Lock()
				c.drop, c.delay = 0, 0
				c.mu.Unlock()
				for _, i := range c.all {
					c.stop(i, true)
					c.start(i)
				}
				c.converge()
				for _, a := range acknowledged {
					if c.history.count[a] != 1 {
						t.Errorf("%q committed %d times", a, c.history.count[a])
					}
				}
			})
		})
	}
}

// runFaults injects one fault per round while changes are proposed, and returns those
// that were acknowledged.
func runFaults(c *cluster, rounds int) (acknowledged []string) {
	for k := range rounds {
		i, o := c.all[c.random.IntN(len(c.all))], c.all[c.random.IntN(len(c.all))]
		switch c.random.IntN(7) {
		case 0:
			c.stop(i, true)
		case 1:
			c.stop(i, false)
		case 2:
			c.isolate(i, true)
		case 3:
			c.block(i, o, true)
		case 4, 5:
			for _, i := range c.all {
				c.isolate(i, false)
			}
		}
		c.mu.Lock()
		c.drop, c.delay = 0.1*c.random.Float64(), time.Duration(c.random.IntN(150))*time.Millisecond
		c.mu.Unlock()
		for n := range 5 {
			command := fmt.Sprint("round ", k, " change ", n)
			for _, l := range c.leading() {
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				if _, err := l.node.Propose(ctx, []byte(command)); err == nil {
					acknowledged = append(acknowledged, command)
				}
				cancel()
			}
			c.sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
		}
		for _, i := range c.all {
			if c.random.IntN(2) == 0 {
				c.mu.Lock()
				stopped := c.open[i.name] != i
				c.mu.Unlock()
				if stopped {
					c.start(i)
				}
			}
		}
	}
	return acknowledged
}
