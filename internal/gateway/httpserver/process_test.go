package httpserver

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// drainer notes when it is told to refuse.
type drainer struct {
	timer   timer.Service
	running int64
	refused timer.Instant
}

func (d *drainer) Drain()         {}
func (d *drainer) Refuse()        { d.refused = d.timer.Now() }
func (d *drainer) Running() int64 { return d.running }

// Guards against a request that is taken more than 3 s after SIGTERM and cut off at the
// end of the grace time: only those sent before may be. The signal itself and the way
// of a request to the handler take time, too.
func TestRefusesBeforeTheBound(t *testing.T) {
	const bound, transit = 3 * time.Second, 50 * time.Millisecond
	for _, c := range []struct {
		name    string
		running int64
		least   time.Duration
	}{
		{"idle", 0, leaveAfter},
		{"requests that do not end", 3, 8*time.Second - margin},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.AutoAdvancing{Manual: timer.NewManual()}
			clock.Advance(time.Hour)
			d := &drainer{timer: clock, running: c.running}
			p, err := New(Options{Drainer: d, Deregister: func() {}, GracePeriod: 8 * time.Second, Timer: clock, Log: zap.NewNop()})
			is.NoErr(err)
			begun := clock.Now()
			ctx, stop := context.WithCancel(context.Background())
			stop()
			is.NoErr(p.Run(ctx))
			is.True(d.refused.Sub(begun) <= bound-transit)
			is.True(d.refused.Sub(begun) >= 2*time.Second) // lists of entries live so long
			is.True(clock.Now().Sub(begun) >= c.least)
			is.True(clock.Now().Sub(begun) < 8*time.Second)
		})
	}
}
