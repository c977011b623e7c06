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

// slowness is the factor by which the clock of a former leader runs slow, so that it holds
// its lease while another replica leads. A new leader's wait covers slightly more.
const slowness = 2

// between returns a random duration up to most, from least on.
func between(least, most time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return least + time.Duration(r.Int64N(int64(most-least))) }
}

// at returns always the same duration.
func at(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

// faults lists what happens to a leader just when it has a token for an order: how long it
// then takes to go on, the connection to open, and what is written to arrive.
var faults = []struct {
	name    string
	pause   func(*rand.Rand) time.Duration
	connect func(*rand.Rand) time.Duration
	flight  func(*rand.Rand) time.Duration
	slow    int64
	frozen  bool
}{
	{"orders-two-leaders", between(slowness*replica.LeaseDuration*2/5, slowness*replica.LeaseDuration), at(0), between(slowness*orders.MaxDeliveryTime*3/4, slowness*orders.MaxDeliveryTime), slowness, false},
	{"orders-leader-frozen", at(0), between(0, orders.MaxDeliveryTime), at(0), 1, true},
	{"orders-leader-cut", at(0), between(0, orders.MaxDeliveryTime), between(0, 3*time.Second), 1, false},
}

// Guards against an order of a former leader that arrives after the first one of its
// successor, at an engine that ignores fencing tokens.
func TestProofOrders(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G2", f.name, 20, func(t *testing.T, seed uint64) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, seed)
					w.frozen, w.pause, w.connect, w.flight = f.frozen, f.pause, f.connect, f.flight
					for range 3 {
						w.round(f.slow)
					}
				})
			})
		})
	}
}

// round makes a leader a former leader while an order of it is on its way, lets its
// successor send orders, and brings it back.
func (w *world) round(slow int64) {
	w.t.Helper()
	former := w.leader(nil)
	former.clock.run(slow)
	time.Sleep(between(0, time.Second)(w.schedule))
	w.mu.Lock()
	w.armed, w.met = former, false
	w.mu.Unlock()
	next := w.leader(former)
	w.mu.Lock()
	if !w.met {
		w.t.Errorf("%s led after %s without the fault", next.name, former.name)
	}
	w.mu.Unlock()
	time.Sleep(between(0, 4*time.Second)(w.schedule))
	former.clock.run(1)
	former.clock.thaw()
	w.mu.Lock()
	w.cut = nil
	w.mu.Unlock()
	time.Sleep(3 * time.Second)
}
