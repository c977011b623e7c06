// Package disk keeps the identity of a control instance and the log, hard state
// and snapshots of its groups in one data directory.
package disk

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// Errors of this package.
var (
	// ErrCorrupt says that stored data was damaged before the tail of the log. The
	// instance must not vote with it; see SetAside.
	ErrCorrupt = errors.New("stored data is corrupt")
	// ErrFull says that less than the space reserve would be left; nothing was written.
	ErrFull = replica.ErrStorageFull
	// ErrFatal says that a write or sync failed, after which the state of the files is
	// unknown. The process must end; the operation is never retried.
	ErrFatal = errors.New("storage failed")
)

// File is an open file.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// FileSystem is the access to the file system.
type FileSystem interface {
	// Create makes or empties a file.
	Create(name string) (File, error)
	// OpenAppend opens a file for writing at its end.
	OpenAppend(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names in a directory in order.
	List(dir string) ([]string, error)
	// MkdirAll makes a directory with its parents.
	MkdirAll(dir string) error
	SyncDir(dir string) error
	// FreeBytes returns the bytes that are left for new data.
	FreeBytes(dir string) (uint64, error)
}

// OSFileSystem is the file system of the machine.
type OSFileSystem struct{}

// Create makes or empties a file.
func (OSFileSystem) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// OpenAppend opens a file for writing at its end.
func (OSFileSystem) OpenAppend(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, 0o600)
}

// ReadFile returns the content of a file.
func (OSFileSystem) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Rename replaces a file by another.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OSFileSystem) Remove(name string) error { return os.Remove(name) }

// List returns the names in a directory in order.
func (OSFileSystem) List(dir string) (names []string, err error) {
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// MkdirAll makes a directory with its parents.
func (OSFileSystem) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// SyncDir makes the names in a directory durable.
func (OSFileSystem) SyncDir(dir string) (err error) {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, d.Close()) }()
	return d.Sync()
}

// FreeBytes returns the bytes that an unprivileged process may still write.
func (OSFileSystem) FreeBytes(dir string) (uint64, error) {
	var s unix.Statfs_t
	if err := unix.Statfs(dir, &s); err != nil {
		return 0, err
	}
	return s.Bavail * uint64(s.Bsize), nil
}

// fatal marks an error as one that must end the process.
func fatal(err error) error {
	if err == nil || errors.Is(err, ErrFatal) {
		return err
	}
	return errors.Mark(errors.Wrap(err, "storage failed"), ErrFatal)
}

// WriteFileAtomic writes a file so that either the old or the new content is found after a crash.
func WriteFileAtomic(f FileSystem, dir, name string, parts ...[]byte) (err error) {
	temporary := filepath.Join(dir, name+temporarySuffix)
	if err := writeSynced(f, temporary, parts); err != nil {
		return err
	}
	if err := f.Rename(temporary, filepath.Join(dir, name)); err != nil {
		return err
	}
	return f.SyncDir(dir)
}

func writeSynced(f FileSystem, name string, parts [][]byte) (err error) {
	file, err := f.Create(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	for _, p := range parts {
		if _, err := file.Write(p); err != nil {
			return err
		}
	}
	return file.Sync()
}
