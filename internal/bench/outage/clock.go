package outage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// ClockVariable is the environment variable that names the file with the clocks of an instance.
const ClockVariable = "BENCH_CLOCK"

const (
	// maxWallOffset is how far a wall clock may be off.
	maxWallOffset = 10 * time.Minute
	// maxRecentBoot and maxUptime limit the monotonic clock at the start of a process.
	maxRecentBoot = 2 * time.Second
	maxUptime     = 400 * 24 * time.Hour
	// clockSteps is how often wall clocks are stepped in an outage.
	clockSteps = 3
)

// clocks are the clocks of a process: what the monotonic one shows at the start, and how far the wall
// clock is ahead of that of the machine.
type clocks struct{ uptime, wall time.Duration }

// drawClocks draws the clocks of a process: every other machine has just booted.
func drawClocks(random *rand.Rand) clocks {
	limit := maxUptime
	if random.IntN(2) == 0 {
		limit = maxRecentBoot
	}
	return clocks{time.Duration(random.Int64N(int64(limit))), drawWallOffset(random)}
}

func drawWallOffset(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(2*int64(maxWallOffset))) - maxWallOffset
}

// write replaces the file at path.
func (c clocks) write(path string) error {
	return replaceFile(path, fmt.Sprintln(int64(c.uptime), int64(c.wall)))
}

// readClocks is the inverse of clocks.write.
func readClocks(path string) (c clocks, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return clocks{}, err
	}
	_, err = fmt.Sscan(string(text), &c.uptime, &c.wall)
	return c, errors.Wrap(err, "clocks")
}

// Clock is the clock of an instance on a machine of its own, whose clocks differ from those of the
// others.
type Clock struct {
	*timer.System
	path   string
	uptime time.Duration // at the start of the process
	wall   atomic.Int64  // time.Duration
}

// NewClock returns the clock of the instance that the environment describes.
func NewClock() (c *Clock, err error) {
	c = &Clock{System: timer.NewSystem(), path: os.Getenv(ClockVariable)}
	start, err := readClocks(c.path)
	c.uptime = start.uptime
	c.wall.Store(int64(start.wall))
	return c, err
}

// Run follows the steps of the wall clock until the context is done.
func (c *Clock) Run(ctx context.Context) error {
	for timer.Sleep(ctx, c.System, linksInterval) == nil {
		next, err := readClocks(c.path)
		if err != nil {
			return err
		}
		c.wall.Store(int64(next.wall))
	}
	return nil
}

// Now returns the time since the boot of the instance's machine.
func (c *Clock) Now() timer.Instant { return c.System.Now().Add(c.uptime) }

// Wall returns the time of day of the instance's machine.
func (c *Clock) Wall() time.Time { return c.System.Wall().Add(time.Duration(c.wall.Load())) }

// Subscribe delivers a tick every d until the subscription is stopped.
func (c *Clock) Subscribe(d time.Duration) *timer.Subscription { return timer.NewSubscription(c, d) }

// clockPath returns the path of the file with the clocks of an instance.
func (r *run) clockPath(n *instance) string { return r.settingsPath(n) + ".clock" }

// bootClocks gives an instance the clocks of a machine that was booted some time ago.
func (r *run) bootClocks(n *instance) error { return drawClocks(r.clockRandom).write(r.clockPath(n)) }

// clockStep steps wall clocks forward and back, those of the core with some of the others, and then
// lets the leader vanish, so that the next one goes on with other clocks. Steps are no disturbance:
// nothing that the checks cover depends on wall clocks.
func clockStep(ctx context.Context, r *run) error {
	for range clockSteps {
		for _, n := range r.instances {
			if n.disk == "" && r.random.IntN(2) == 0 {
				continue
			}
			c, err := readClocks(r.clockPath(n))
			if err != nil {
				return err
			}
			c.wall = drawWallOffset(r.random)
			if err := c.write(r.clockPath(n)); err != nil {
				return err
			}
		}
		r.printf("wall clocks step")
		if err := r.sleep(ctx, time.Second, 3*time.Second); err != nil {
			return err
		}
	}
	leader := r.leader()
	if leader == nil {
		return nil
	}
	return r.vanishFor(ctx, 3*time.Second, true, leader)
}
