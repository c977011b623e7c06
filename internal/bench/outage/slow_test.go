package outage_test

import (
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/bench/outage"
	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against runs on slow disks whose syncs are not slow, all alike, or slow from the start on,
// which would show instances that hold on disks that are not slow.
func TestSlowFiles(t *testing.T) {
	const figure = 600 * time.Millisecond
	for _, c := range []struct {
		name string
		from time.Duration
		slow bool
	}{
		{name: "from the start on", slow: true},
		{name: "later", from: time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				dir := t.TempDir()
				files := outage.SlowFiles(disk.OSFileSystem{}, outage.SlowSyncs{Time: figure, From: c.from, Seed: 7}, timer.NewSystem())
				file, err := files.Create(filepath.Join(dir, "file"))
				is.NoErr(err)
				var took []time.Duration
				for i := range 400 {
					start := time.Now()
					if i%2 == 0 {
						is.NoErr(file.Sync())
					} else {
						is.NoErr(files.SyncDir(dir))
					}
					took = append(took, time.Since(start))
				}
				is.NoErr(file.Close())
				if !c.slow {
					is.Equal(slices.Max(took), time.Duration(0))
					return
				}
				long := 0
				for _, d := range took {
					if d == 3*figure {
						long++
						continue
					}
					is.True(d >= figure/2 && d <= figure)
				}
				is.True(long > 8 && long < 40)
				is.True(len(slices.Compact(slices.Sorted(slices.Values(took)))) > 100)
			})
		})
	}
}
