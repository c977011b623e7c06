// Package retryafter reads the Retry-After header of responses.
package retryafter

import (
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// Max is the longest time. A sender that wants more is as good as gone, and its successor at the
	// same address does not inherit the time.
	Max = 24 * time.Hour
	// Default is used if the value is not a number of seconds.
	Default = 500 * time.Millisecond
)

// Parse returns the time of a value in seconds, which may have a fraction. It returns Max and an error
// for a longer time, and Default and an error for another value, a date included.
func Parse(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(value, 64)
	switch tooLarge := errors.Is(err, strconv.ErrRange); {
	case err != nil && !tooLarge, !(seconds >= 0), math.IsInf(seconds, 0) && !tooLarge:
		return Default, errors.Newf("expected a number of seconds, found %q", value)
	case seconds > Max.Seconds():
		return Max, errors.Newf("expected at most %g seconds, found %q", Max.Seconds(), value)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
