package slopes

import (
	"math"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against counters that are not read or are interpreted in the wrong unit.
func TestTakeSample(t *testing.T) {
	is := is.New(t)
	before, err := takeSample(os.Getpid())
	is.NoErr(err)
	is.True(before.residentBytes > 1e6)
	is.True(before.ioBytes > 0)
	for begin := time.Now(); time.Since(begin) < 100*time.Millisecond; {
		continue
	}
	after, err := takeSample(os.Getpid())
	is.NoErr(err)
	is.True(after.cpu-before.cpu > 20*time.Millisecond)
	is.True(after.cpu-before.cpu < 5*time.Second)
}

// Guards against a memory slope over the rate instead of over the amount retained.
func TestTable(t *testing.T) {
	is := is.New(t)
	var tab table
	for i := range 3 {
		x := float64(i)
		tab.add("change/s", x, 100*x, roleUsage{"leader": usage{cpuShare: 2 * x, residentBytes: 500 * x, ioBytesPerSecond: 3 * x}})
	}
	is.Equal(tab.slopes("change/s", "leader"), usage{cpuShare: 2, residentBytes: 5, ioBytesPerSecond: 3})
}

// Guards against a slope that depends on a constant offset of the values.
func TestSlope(t *testing.T) {
	is := is.New(t)
	is.Equal(slope([]point{{0, 7}, {1, 9}, {3, 13}}), 2.0)
	is.Equal(slope([]point{{1, 5}}), 0.0)
	is.True(math.Abs(slope([]point{{0, 0}, {1, 2}, {2, 2}})-1) < 1e-9)
}
