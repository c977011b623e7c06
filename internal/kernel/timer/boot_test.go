package timer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a clock that goes back or at another rate than the timers.
func TestBoot(t *testing.T) {
	is := is.New(t)
	b := NewBootClock()
	begun, last := b.Now(), b.Now()
	ticks := b.Subscribe(10 * time.Millisecond)
	defer ticks.Stop()
	for range 5 {
		at := <-ticks.C
		is.True(!at.Before(last))
		last = at
	}
	is.True(last.Sub(begun) >= 45*time.Millisecond)
}
