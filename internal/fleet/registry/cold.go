package registry

import (
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// coldMargin is added to the time for which an upstream says to be cold, for clocks of different speed.
	coldMargin = 20 * time.Millisecond
	// MinProlongation is by how much an announcement must prolong the time of an upstream that is cold
	// already to be passed on without delay.
	MinProlongation = 100 * time.Millisecond
)

// ColdEnd returns until when an upstream is cold by an announcement that is heard now, or now if it is not. The
// announcement was made earlier, so that this is never too early.
func ColdEnd(u *wire.Upstream, now timer.Instant) timer.Instant {
	if u.GetCold() == 0 {
		return now
	}
	return now.Add(time.Duration(u.GetCold())*time.Millisecond + coldMargin)
}
