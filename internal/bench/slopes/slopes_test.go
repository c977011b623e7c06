package slopes

import (
	"math"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process name that shifts the fields of /proc/PID/stat.
func TestCPU(t *testing.T) {
	is := is.New(t)
	d, err := cpu("7 (a b) c) S 1 7 7 0 -1 4194304 10 0 0 0 12 30 0 0 20 0 1 0 5 6 7")
	is.NoErr(err)
	is.Equal(d, 420*time.Millisecond)
	s, err := take(os.Getpid())
	is.NoErr(err)
	is.True(s.memory > 1e6)
	is.True(s.bytes > 0)
}

// Guards against a slope that depends on the offset of the values.
func TestSlope(t *testing.T) {
	is := is.New(t)
	is.Equal(slope([]point{{0, 7}, {1, 9}, {3, 13}}), 2.0)
	is.Equal(slope([]point{{1, 5}}), 0.0)
	is.True(math.Abs(slope([]point{{0, 0}, {1, 2}, {2, 2}})-1) < 1e-9)
}
