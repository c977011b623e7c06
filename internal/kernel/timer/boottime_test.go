package timer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a clock that goes backwards or runs slower than the timers.
func TestBootClock(t *testing.T) {
	is := is.New(t)
	clock := NewBootClock()
	start, last := clock.Now(), clock.Now()
	ticks := clock.Subscribe(10 * time.Millisecond)
	defer ticks.Stop()
	for range 5 {
		at := <-ticks.C
		is.True(!at.Before(last))
		last = at
	}
	is.True(last.Sub(start) >= 45*time.Millisecond)
}
