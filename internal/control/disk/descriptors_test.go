package disk_test

import (
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// withoutDescriptors is a file system that fails with an error until an instant.
type withoutDescriptors struct {
	disk.FileSystem
	until time.Time
	err   error
}

func (w *withoutDescriptors) fail() error {
	if time.Now().Before(w.until) {
		return errors.Wrap(w.err, "open")
	}
	return nil
}

func (w *withoutDescriptors) Create(name string) (disk.File, error) {
	if err := w.fail(); err != nil {
		return nil, err
	}
	return w.FileSystem.Create(name)
}

func (w *withoutDescriptors) SyncDir(dir string) error {
	if err := w.fail(); err != nil {
		return err
	}
	return w.FileSystem.SyncDir(dir)
}

// Guards against a replica that ends because connections took all descriptors for a while, and
// against one that goes on after another failure or waits for ever.
func TestWaitForDescriptors(t *testing.T) {
	for _, c := range []struct {
		name   string
		err    error
		length time.Duration
		wait   time.Duration // least time that a call takes
		fails  bool
	}{
		{"descriptors free", syscall.EMFILE, 0, 0, false},
		{"no descriptor for some seconds", syscall.EMFILE, 3 * time.Second, 3 * time.Second, false},
		{"no descriptor on the machine", syscall.ENFILE, 3 * time.Second, 3 * time.Second, false},
		{"no descriptor for a minute", syscall.EMFILE, time.Minute, 10 * time.Second, true},
		{"another failure", syscall.EIO, time.Second, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, operate := range []func(f disk.FileSystem) error{
				func(f disk.FileSystem) error {
					_, err := f.Create("file")
					return err
				},
				func(f disk.FileSystem) error { return f.SyncDir("directory") },
			} {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					start := time.Now()
					f := &withoutDescriptors{FileSystem: faulty.New(1).Process(), until: start.Add(c.length), err: c.err}
					err := operate(disk.WaitForDescriptors(f, timer.NewSystem(), zap.NewNop()))
					is.Equal(err != nil, c.fails)
					took := time.Since(start)
					is.True(took >= c.wait && took < c.wait+100*time.Millisecond)
				})
			}
		})
	}
}
