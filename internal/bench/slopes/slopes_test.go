package slopes

import (
	"math"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against counters that are not read, or read in another unit.
func TestTake(t *testing.T) {
	is := is.New(t)
	before, err := take(os.Getpid())
	is.NoErr(err)
	is.True(before.memory > 1e6)
	is.True(before.bytes > 0)
	for begin := time.Now(); time.Since(begin) < 100*time.Millisecond; {
		continue
	}
	after, err := take(os.Getpid())
	is.NoErr(err)
	is.True(after.cpu-before.cpu > 20*time.Millisecond)
	is.True(after.cpu-before.cpu < 5*time.Second)
}

// Guards against a memory slope over a rate instead of over what is kept.
func TestTable(t *testing.T) {
	is := is.New(t)
	var m table
	for i := range 3 {
		x := float64(i)
		m.add("change/s", x, 100*x, row{"leader": usage{cpu: 2 * x, memory: 500 * x, bytes: 3 * x}})
	}
	is.Equal(m.slopes("change/s", "leader"), usage{cpu: 2, memory: 5, bytes: 3})
}

// Guards against a slope that depends on the offset of the values.
func TestSlope(t *testing.T) {
	is := is.New(t)
	is.Equal(slope([]point{{0, 7}, {1, 9}, {3, 13}}), 2.0)
	is.Equal(slope([]point{{1, 5}}), 0.0)
	is.True(math.Abs(slope([]point{{0, 0}, {1, 2}, {2, 2}})-1) < 1e-9)
}
