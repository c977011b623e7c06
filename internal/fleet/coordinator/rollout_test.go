package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Guards against a short roll-out that is completed after its time, since its stages wait for the next check.
func TestStagesAreOnTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		duration time.Duration
		reserve  time.Duration // between the completion and the end
	}{
		{"10 s", 10 * time.Second, 458 * time.Millisecond},
		{"10.1 s", 10100 * time.Millisecond, 462 * time.Millisecond},
		{"24 s", 24 * time.Second, 800 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, f, ctx := is.New(t), newFixture(), context.Background()
			is.True(f.coordinator.checkLeadership())
			command := beginCommand()
			command.GetBegin().Duration = uint32(c.duration.Milliseconds())
			f.propose(is, command)
			for f.coordinator.active["pool"] != nil && f.clock.Now() < timer.Instant(c.duration) {
				f.clock.Advance(checkInterval - time.Duration(f.clock.Now())%checkInterval)
				_, ok := f.coordinator.ApplyReport(ctx, &wire.TellRequest{Outcomes: []*wire.Outcome{
					{Service: "pool", Version: "v1", Route: "r", Good: 20}, {Service: "pool", Version: "v2", Route: "r", Good: 1},
				}})
				is.True(ok)
				f.coordinator.advance(ctx)
				for wait := f.coordinator.untilStage(); wait < checkInterval; wait = f.coordinator.untilStage() {
					f.clock.Advance(wait)
					f.coordinator.advance(ctx)
				}
			}
			is.Equal(f.replica.state.Rollouts()[0].GetPhase(), wire.Phase_PHASE_DONE)
			is.True(c.duration-time.Duration(f.clock.Now()) >= c.reserve)
		})
	}
}
