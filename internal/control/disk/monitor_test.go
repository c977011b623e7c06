package disk_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against logs that don't tell slow disks from other reasons for a missing leader, and
// against a warning for each of many slow syncs.
func TestSlowSyncsAreLogged(t *testing.T) {
	for _, c := range []struct {
		sync     time.Duration
		count    int
		warnings map[string]int
	}{
		{200 * time.Millisecond, 10, map[string]int{}},
		{300 * time.Millisecond, 10, map[string]int{"slow sync": 3}},
		{3 * time.Second, 2, map[string]int{"slow sync": 2, "sync has not ended": 2}},
	} {
		t.Run(c.sync.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				core, logs := observer.New(zap.WarnLevel)
				files := faulty.New(1)
				f, err := disk.Monitor(files.Process(), timer.NewSystem(), zap.New(core)).Create("file")
				is.NoErr(err)
				files.SetSyncDelay(c.sync)
				for range c.count {
					is.NoErr(f.Sync())
				}
				got := map[string]int{}
				for _, l := range logs.All() {
					got[l.Message]++
				}
				is.Equal(got, c.warnings)
			})
		})
	}
}
