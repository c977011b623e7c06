package faulty

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against simulated disks that are faster than their figure: syncs of names without a delay,
// delays outside of their range, and syncs that wait for each other or outlive their process.
func TestSyncDelay(t *testing.T) {
	const figure = 100 * time.Millisecond
	for _, c := range []struct {
		name     string
		set      func(f *FileSystem)
		min, max time.Duration
	}{
		{"none", func(f *FileSystem) { f.SetSyncDelay(0) }, 0, 0},
		{"fixed", func(f *FileSystem) { f.SetSyncDelay(figure) }, figure, figure},
		{"varying", func(f *FileSystem) { f.SetVaryingSyncDelay(figure) }, figure / 2, 3 * figure},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := New(1)
				c.set(f)
				p := f.Process()
				file, err := p.Create("data/file")
				is.NoErr(err)
				start := time.Now()
				long := 0
				for range 1000 {
					var both sync.WaitGroup
					for _, run := range []func() error{file.Sync, func() error { return p.SyncDir("data") }} {
						both.Go(func() {
							before := time.Now()
							is.NoErr(run())
							took := time.Since(before)
							is.True(took >= c.min && took <= c.max)
						})
					}
					before := time.Now()
					both.Wait()
					if time.Since(before) > figure {
						long++
					}
				}
				is.True(time.Since(start) <= 1000*c.max) // side by side
				is.Equal(long > 0, c.max > figure)
				is.True(long < 200)
				if c.max == 0 {
					return
				}
				var ended sync.WaitGroup
				ended.Go(func() { is.True(file.Sync() != nil) })
				time.Sleep(figure / 4)
				f.Kill()
				before := time.Now()
				ended.Wait()
				is.Equal(time.Since(before), time.Duration(0))
			})
		})
	}
}
