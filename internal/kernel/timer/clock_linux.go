package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a System whose clock also counts the time in which the machine was
// suspended. A lease that is compared on a clock that stands still meanwhile would
// outlive a suspension.
type BootClock struct{ *System }

// NewBootClock returns a service on the clock that counts suspension.
func NewBootClock() *BootClock { return &BootClock{System: NewSystem()} }

// Now reads the clock. The kernel has had it since version 2.6.39; on one without it,
// the monotonic clock is read.
func (b *BootClock) Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return b.System.Now()
	}
	return Instant(t.Nano())
}

// Subscribe delivers a tick every d.
func (b *BootClock) Subscribe(d time.Duration) *Subscription { return NewSubscription(b, d) }
