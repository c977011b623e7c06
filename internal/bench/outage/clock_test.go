package outage

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against instances that share a clock after all: timers and ticks on another origin than Now,
// and steps that don't arrive.
func TestClock(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "clock")
	t.Setenv(ClockVariable, path)
	is.NoErr(clocks{uptime: 24 * time.Hour, wall: time.Hour}.write(path))
	c, err := NewClock()
	is.NoErr(err)
	g := group.New(context.Background())
	defer func() { is.NoErr(g.Stop()) }()
	g.Go("clock", c.Run)
	near := func(d, expected time.Duration) bool { return (d - expected).Abs() < 10*time.Second }
	is.True(near(time.Duration(c.Now()), 24*time.Hour))
	is.True(near(time.Until(c.Wall()), time.Hour))
	ticks := c.Subscribe(time.Millisecond)
	defer ticks.Stop()
	is.True(near(time.Duration(<-ticks.C), 24*time.Hour))

	is.NoErr(clocks{wall: -time.Hour}.write(path))
	for begin := time.Now(); !near(time.Until(c.Wall()), -time.Hour); {
		is.True(time.Since(begin) < 5*time.Second)
		is.NoErr(timer.Sleep(context.Background(), c, linksInterval))
	}
	is.True(near(time.Duration(c.Now()), 24*time.Hour)) // a step leaves the monotonic clock alone
}
