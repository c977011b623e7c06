package disk

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// descriptorPause is the pause before a file is opened again that could not be opened for want of
	// a descriptor.
	descriptorPause = 20 * time.Millisecond
	// maxDescriptorWait is how long an operation waits for a descriptor before it fails, which ends the
	// process.
	maxDescriptorWait = 10 * time.Second
)

// descriptorWaiter is a file system whose operations wait while the process has no free descriptor:
// connections of clients may take all of them for a while. An open that failed has changed nothing.
type descriptorWaiter struct {
	FileSystem
	timer timer.Service
	log   *zap.Logger
}

// WaitForDescriptors returns a file system that makes all operations on f, and waits if one fails for
// want of a descriptor.
func WaitForDescriptors(f FileSystem, t timer.Service, log *zap.Logger) FileSystem {
	return &descriptorWaiter{FileSystem: f, timer: t, log: log}
}

// retry calls operate until it does not fail for want of a descriptor.
func (d *descriptorWaiter) retry(name string, operate func() error) error {
	start := d.timer.Now()
	for attempt := 1; ; attempt++ {
		err := operate()
		if !errors.IsAny(err, syscall.EMFILE, syscall.ENFILE) || d.timer.Now().Sub(start) >= maxDescriptorWait {
			if attempt > 1 {
				d.log.Warn("waited for a descriptor", zap.String("name", name), zap.Duration("took", d.timer.Now().Sub(start)), zap.Error(err))
			}
			return err
		}
		if err := timer.Sleep(context.Background(), d.timer, descriptorPause); err != nil {
			return err
		}
	}
}

// Create creates a file, or truncates it if it exists.
func (d *descriptorWaiter) Create(name string) (file File, err error) {
	err = d.retry(name, func() (err error) {
		file, err = d.FileSystem.Create(name)
		return err
	})
	return file, err
}

// OpenAppend opens an existing file for appending.
func (d *descriptorWaiter) OpenAppend(name string) (file File, err error) {
	err = d.retry(name, func() (err error) {
		file, err = d.FileSystem.OpenAppend(name)
		return err
	})
	return file, err
}

// ReadFile returns the content of a file.
func (d *descriptorWaiter) ReadFile(name string) (data []byte, err error) {
	err = d.retry(name, func() (err error) {
		data, err = d.FileSystem.ReadFile(name)
		return err
	})
	return data, err
}

// List returns the sorted names of the files in a directory.
func (d *descriptorWaiter) List(dir string) (names []string, err error) {
	err = d.retry(dir, func() (err error) {
		names, err = d.FileSystem.List(dir)
		return err
	})
	return names, err
}

// SyncDir makes creations, renames and removals in a directory durable. Only the open can fail for
// want of a descriptor, so a failed sync is never repeated.
func (d *descriptorWaiter) SyncDir(dir string) error {
	return d.retry(dir, func() error { return d.FileSystem.SyncDir(dir) })
}
