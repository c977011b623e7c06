package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a System whose monotonic clock also advances while the machine is
// suspended (CLOCK_BOOTTIME). A lease checked against a clock that stops during a
// suspension would still look valid after it has expired.
type BootClock struct{ *System }

// NewBootClock returns a clock that counts the time spent in suspension.
func NewBootClock() *BootClock { return &BootClock{System: NewSystem()} }

// Now reads CLOCK_BOOTTIME. It falls back to the monotonic clock on kernels
// older than 2.6.39, which lack it.
func (b *BootClock) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return b.System.Now()
	}
	return Instant(ts.Nano())
}

// Subscribe delivers a tick every d until the subscription is stopped.
func (b *BootClock) Subscribe(d time.Duration) *Subscription { return NewSubscription(b, d) }
