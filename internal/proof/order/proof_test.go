package order

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	orders "wisteriakeel.example/wisteriakeel/internal/control/engine"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/proof/report"
)

// clockSlowdown is the factor by which the clock of a former leader runs slow, so that it
// believes it holds the lease while another replica leads. The wait of a new leader
// tolerates a slightly larger factor.
const clockSlowdown = 2

// randomDelay returns a function that draws a random duration from [shortest, longest).
func randomDelay(shortest, longest time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return shortest + time.Duration(r.Int64N(int64(longest-shortest))) }
}

// fixedDelay returns a function that always returns d.
func fixedDelay(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

// faults lists what happens to a leader once it has a token for an order: the pause before
// it continues, the time to open the connection, and the time for a write to arrive.
var faults = []struct {
	name            string
	pauseAfterToken func(*rand.Rand) time.Duration
	connectDelay    func(*rand.Rand) time.Duration
	writeDelay      func(*rand.Rand) time.Duration
	slowdown        int64
	freezeLeader    bool
}{
	{"orders-two-leaders", randomDelay(clockSlowdown*replica.LeaseDuration*2/5, clockSlowdown*replica.LeaseDuration), fixedDelay(0), randomDelay(clockSlowdown*orders.MaxDeliveryTime*3/4, clockSlowdown*orders.MaxDeliveryTime), clockSlowdown, false},
	{"orders-leader-frozen", fixedDelay(0), randomDelay(0, orders.MaxDeliveryTime), fixedDelay(0), 1, true},
	{"orders-leader-cut", fixedDelay(0), randomDelay(0, orders.MaxDeliveryTime), randomDelay(0, 3*time.Second), 1, false},
}

// Guards against an order of a former leader that reaches an engine after the first order
// of its successor. The engine ignores fencing tokens and would carry it out.
func TestProofOrders(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G2", f.name, 20, func(t *testing.T, seed uint64) {
				synctest.Test(t, func(t *testing.T) {
					cl := newCluster(t, seed)
					cl.freezeLeader, cl.pauseAfterToken, cl.connectDelay, cl.writeDelay = f.freezeLeader, f.pauseAfterToken, f.connectDelay, f.writeDelay
					for range 3 {
						cl.runRound(f.slowdown)
					}
				})
			})
		})
	}
}

// runRound deposes the leader while one of its orders is in flight, lets its successor send
// orders, and then ends the fault.
func (cl *cluster) runRound(slowdown int64) {
	cl.t.Helper()
	former := cl.waitForLeader(nil)
	former.clock.setSlowdown(slowdown)
	time.Sleep(randomDelay(0, time.Second)(cl.testRandom))
	cl.mu.Lock()
	cl.faultTarget, cl.faultInjected = former, false
	cl.mu.Unlock()
	successor := cl.waitForLeader(former)
	cl.mu.Lock()
	if !cl.faultInjected {
		cl.t.Errorf("%s became leader after %s before the fault was injected", successor.name, former.name)
	}
	cl.mu.Unlock()
	time.Sleep(randomDelay(0, 4*time.Second)(cl.testRandom))
	former.clock.setSlowdown(1)
	former.clock.thaw()
	cl.mu.Lock()
	cl.isolated = nil
	cl.mu.Unlock()
	time.Sleep(3 * time.Second)
}
