package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// Guards against a voter that is lost for good and stays a member, because its successor was there
// before the loss was noticed and both counted as live.
func TestSuccessorBeforeLossIsNoticed(t *testing.T) {
	for size := 3; size <= MaxVoters-1; size++ {
		t.Run(fmt.Sprint(size, " disks"), func(t *testing.T) {
			is := is.New(t)
			d := newDisks(t, size)
			gone := d.identity[1]
			d.identity[1] = "new"
			d.live["new"] = address(size)
			d.silent = map[replica.Identity]time.Duration{gone: noticeTime - 1}
			d.settle()
			delete(d.live, gone)
			d.unreachable[gone] = voterTimeout
			d.settle()
			all, present := d.voters()
			is.Equal(present, all)
			is.True(d.hasMajority((largestOdd(size) - 1) / 2))
		})
	}
}
