package replica_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// Guards against a group that can't elect a leader, commit a command or serve a read, and
// against followers that accept commands or reads.
func TestCommitAndRead(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, uint64(size), size).bootstrap()
				l := c.leader()
				result, err := l.node.Propose(t.Context(), []byte("a"))
				is.NoErr(err)
				is.Equal(string(result), "1")
				is.NoErr(l.node.ReadBarrier(t.Context()))
				for _, i := range c.running() {
					if i != l {
						_, err := i.node.Propose(t.Context(), []byte("b"))
						is.True(errors.Is(err, replica.ErrNotLeader))
						is.True(errors.Is(i.node.ReadBarrier(t.Context()), replica.ErrNotLeader))
					}
				}
				c.converge()
			})
		})
	}
}

// Guards against a second bootstrap that replaces the members of the first, and against a
// bootstrap by a replica that is not among the voters.
func TestBootstrapOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 4, 3).bootstrap()
		c.propose("a")
		var members []replica.Member
		for _, i := range c.instances {
			members = append(members, i.self)
		}
		for _, i := range c.instances {
			is.NoErr(i.node.Bootstrap([]replica.Member{members[2], members[0], members[1]}))
			is.True(errors.Is(i.node.Bootstrap([]replica.Member{i.self}), replica.ErrAlreadyBootstrapped))
			is.True(errors.Is(i.node.Bootstrap([]replica.Member{{Identity: "x", Voter: true}}), replica.ErrInvalidChange))
			is.Equal(len(i.node.Status().Members), 3)
		}
		c.converge()
	})
}

// Guards against entries that are lost or changed by restarts and crashes during 1,000
// changes, and against compaction that loses or repeats entries.
func TestThousandChangesWithRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3, 3)
		c.configure = func(n *replica.Node) { replica.SetCompaction(n, 200, 20) }
		c.bootstrap()
		for k := range 1000 {
			c.propose(fmt.Sprint("change ", k))
			if k%50 == 49 {
				i := c.instances[c.random.IntN(3)]
				c.stop(i, k%100 == 99)
				c.start(i)
			}
		}
		c.converge()
		for k := range 1000 {
			is.True(c.history.count[fmt.Sprint("change ", k)] >= 1)
		}
		is.True(c.leader().node.Status().FirstIndex > 1)
	})
}

// Guards against lost acknowledged commands, replicas that apply different commands, and two
// leases at a time, under random combinations of faults.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, 3+2*int(seed%2))
				c.configure = func(n *replica.Node) { replica.SetCompaction(n, 50, 10) }
				c.bootstrap()
				acknowledged := runFaults(c, 60)
				for _, i := range c.instances {
					c.isolate(i, false)
					i.timer.setPaused(false)
					i.files.SetFreeBytes(1 << 40)
					i.files.FailSyncAfter(-1)
				}
				c.mu.Lock()
				c.dropRate, c.maxDelay = 0, 0
				c.mu.Unlock()
				for _, i := range c.instances {
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

// runFaults injects a random fault per round while it proposes commands. It returns the
// acknowledged commands.
func runFaults(c *cluster, rounds int) (acknowledged []string) {
	for k := range rounds {
		i, o := c.instances[c.random.IntN(len(c.instances))], c.instances[c.random.IntN(len(c.instances))]
		switch c.random.IntN(11) {
		case 0:
			c.stop(i, true)
		case 1:
			c.stop(i, false)
		case 2:
			c.isolate(i, true)
		case 3:
			c.block(i, o, true)
		case 4:
			i.files.SetFreeBytes(0)
		case 5:
			i.files.FailSyncAfter(c.random.IntN(5))
		case 6:
			i.timer.setPaused(true)
		case 7, 8, 9:
			i.timer.setPaused(false)
			i.files.SetFreeBytes(1 << 40)
			for _, i := range c.instances {
				c.isolate(i, false)
			}
		}
		c.mu.Lock()
		c.dropRate, c.maxDelay = 0.1*c.random.Float64(), time.Duration(c.random.IntN(150))*time.Millisecond
		c.mu.Unlock()
		for n := range 5 {
			command := fmt.Sprint("round ", k, " change ", n)
			for _, l := range c.leaseHolders() {
				checkRead(c, l, acknowledged)
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				if _, err := l.node.Propose(ctx, []byte(command)); err == nil {
					acknowledged = append(acknowledged, command)
				}
				cancel()
			}
			c.sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
		}
		for _, i := range c.instances {
			if c.random.IntN(2) == 0 {
				c.mu.Lock()
				stopped := c.byAddress[i.name] != i
				c.mu.Unlock()
				if stopped {
					if err := c.tryStart(i); !errors.Is(err, disk.ErrFatal) {
						c.must(err)
					}
				}
			}
		}
	}
	return acknowledged
}

// checkRead reads from an instance. If the read is confirmed, it must show all acknowledged
// commands.
func checkRead(c *cluster, i *instance, acknowledged []string) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if i.node.ReadBarrier(ctx) != nil {
		return
	}
	seen := map[string]bool{}
	for _, p := range i.machine.list() {
		seen[p.Command] = true
	}
	for _, a := range acknowledged {
		if !seen[a] {
			c.t.Errorf("%s: confirmed read doesn't show acknowledged command %q", i.name, a)
		}
	}
}

// Guards against entries that are lost over many replacements of a lost disk, each followed
// immediately by the crash of another replica. The network drops and delays messages.
func TestRandomRepairs(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 100+seed, 3+2*int(seed%2))
				c.configure = func(n *replica.Node) { replica.SetCompaction(n, 20, 5) }
				c.bootstrap()
				c.mu.Lock()
				c.dropRate, c.maxDelay = 0.05, 30*time.Millisecond
				c.mu.Unlock()
				for k := range 8 {
					i := c.instances[c.random.IntN(len(c.instances))]
					former := i.self.Identity
					c.stop(i, true)
					i.files = faulty.New(c.random.Uint64())
					c.start(i)
					c.propose(fmt.Sprint("during ", k))
					c.waitFor("repair", func() bool { return c.tryReplace(i, former) == nil })
					other := c.others(i)[c.random.IntN(len(c.instances)-1)]
					c.stop(other, true)
					c.propose(fmt.Sprint("after ", k))
					c.start(other)
				}
				c.converge()
				for k := range 8 {
					if c.history.count[fmt.Sprint("during ", k)] == 0 || c.history.count[fmt.Sprint("after ", k)] == 0 {
						t.Errorf("command of round %d is lost", k)
					}
				}
			})
		})
	}
}
