// Package disk stores the identity of a control instance and, for each of its groups,
// the log, the hard state (term and vote) and the snapshot in one data directory.
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
	// ErrCorrupt reports damage that a torn write at the end of the log can't explain.
	// The instance must not vote with the data; see SetAside.
	ErrCorrupt = errors.New("stored data is corrupt")
	// ErrStorageFull reports that a write would have used the reserve. Nothing was written.
	ErrStorageFull = replica.ErrStorageFull
	// ErrFatal reports that an operation on the file system failed, after which the
	// content of the files is unknown. The process must exit and must not retry the operation.
	ErrFatal = errors.New("storage failed")
)

// File is an open file.
type File interface {
	io.Writer
	// Sync makes everything written to the file durable.
	Sync() error
	Close() error
}

// FileSystem is the part of a file system that this package uses. Tests replace it.
type FileSystem interface {
	// Create creates a file, or truncates it if it exists.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// Rename renames a file or directory and replaces a file that has the new name.
	Rename(from, to string) error
	Remove(name string) error
	// List returns the sorted names of the files in a directory.
	List(dir string) ([]string, error)
	// MkdirAll creates a directory and its parents.
	MkdirAll(dir string) error
	// SyncDir makes creations, renames and removals in a directory durable.
	SyncDir(dir string) error
	// FreeBytes returns the space available for new data.
	FreeBytes(dir string) (uint64, error)
}

// OSFileSystem is the file system of the operating system.
type OSFileSystem struct{}

// Create creates a file, or truncates it if it exists.
func (OSFileSystem) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// OpenAppend opens an existing file for appending.
func (OSFileSystem) OpenAppend(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, 0o600)
}

// ReadFile returns the content of a file.
func (OSFileSystem) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Rename renames a file or directory and replaces a file that has the new name.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OSFileSystem) Remove(name string) error { return os.Remove(name) }

// List returns the sorted names of the files in a directory.
func (OSFileSystem) List(dir string) (names []string, err error) {
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// MkdirAll creates a directory and its parents.
func (OSFileSystem) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// SyncDir makes creations, renames and removals in a directory durable.
func (OSFileSystem) SyncDir(dir string) (err error) {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, d.Close()) }()
	return d.Sync()
}

// FreeBytes returns the space available to an unprivileged process.
func (OSFileSystem) FreeBytes(dir string) (uint64, error) {
	var s unix.Statfs_t
	if err := unix.Statfs(dir, &s); err != nil {
		return 0, err
	}
	return s.Bavail * uint64(s.Bsize), nil
}

// markFatal marks an error as ErrFatal.
func markFatal(err error) error {
	if err == nil || errors.Is(err, ErrFatal) {
		return err
	}
	return errors.Mark(errors.Wrap(err, "storage failed"), ErrFatal)
}

// WriteFileAtomic writes a file so that a crash leaves either the old or the new content.
// The new content is durable once it returns. It is the concatenation of parts.
func WriteFileAtomic(f FileSystem, dir, name string, parts ...[]byte) (err error) {
	if err := putFile(f, dir, name, parts...); err != nil {
		return err
	}
	return f.SyncDir(dir)
}

// putFile writes and syncs a file and gives it its name, which a sync of the directory makes durable.
func putFile(f FileSystem, dir, name string, parts ...[]byte) error {
	temp := filepath.Join(dir, name+tempSuffix)
	sync, err := writeFile(f, temp, parts...)
	if err != nil {
		return err
	}
	if err := sync(); err != nil {
		return err
	}
	return f.Rename(temp, filepath.Join(dir, name))
}

// writeFile writes a file and returns a call that syncs and closes it.
func writeFile(f FileSystem, name string, parts ...[]byte) (sync func() error, err error) {
	file, err := f.Create(name)
	if err != nil {
		return nil, err
	}
	for _, p := range parts {
		if _, err := file.Write(p); err != nil {
			return nil, errors.CombineErrors(err, file.Close())
		}
	}
	return func() error { return errors.CombineErrors(file.Sync(), file.Close()) }, nil
}
