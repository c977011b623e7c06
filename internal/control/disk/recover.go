package disk

import (
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Recover makes durable what Load has returned, and opens the last segment for appending: the
// previous process may have ended between a change and its sync. SaveHardState, SaveSnapshot,
// ReadSnapshot and CheckSpace may be called at the same time.
func (s *Store) Recover() error {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	if err := s.priorError(); err != nil || s.recovered {
		return err
	}
	if err := s.recoverFiles(); err != nil {
		return s.setError(errors.Wrapf(err, "recover %s", s.dir))
	}
	s.recovered = true
	return nil
}

// recoverFiles syncs the directories and rewrites the last segment: after a failed sync the
// kernel may report success for a second sync of the same pages without having stored them. All
// names that Load found are durable before a file is replaced, since a truncation depends on the
// snapshot.
func (s *Store) recoverFiles() (err error) {
	r := &replacement{files: s.files, dir: s.dir}
	s.hardMu.Lock()
	if s.adopted == nil {
		s.hardMu.Unlock()
	} else {
		defer s.hardMu.Unlock()
		record, err := hardStateRecord(*s.adopted)
		if err != nil {
			return err
		}
		if err := r.write(hardStateFile, record); err != nil {
			return err
		}
	}
	var last string
	if n := len(s.segments); n > 0 {
		last = fmt.Sprintf(segmentFileFormat, s.segments[n-1].sequence)
		if err := r.write(last, s.lastSegment); err != nil {
			return err
		}
	}
	syncs := append(r.syncs, s.directory.recover, func() error { return s.files.SyncDir(s.dir) })
	if err := s.directory.inParallel(syncs...); err != nil {
		return err
	}
	if err := r.finish(); err != nil || last == "" {
		return err
	}
	s.active, err = s.files.OpenAppend(s.path(last))
	s.activeBytes, s.lastSegment = len(s.lastSegment), nil
	return err
}

// recover makes the names in the directory and its own name durable, once.
func (d *Directory) recover() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.recovered {
		return d.recoverError
	}
	d.recovered, d.recoverError = true, d.inParallel(
		func() error { return d.files.SyncDir(filepath.Dir(d.path)) },
		func() error { return d.files.SyncDir(d.path) },
	)
	return d.recoverError
}

// replacement replaces files of a directory together, each by WriteFileAtomic's steps.
type replacement struct {
	files FileSystem
	dir   string
	names []string
	syncs []func() error // make the new contents durable
}

// write writes the new content of a file, which is to be synced before finish.
func (r *replacement) write(name string, content []byte) error {
	sync, err := writeFile(r.files, filepath.Join(r.dir, name+tempSuffix), content)
	r.names, r.syncs = append(r.names, name), append(r.syncs, sync)
	return err
}

// finish puts the new files in place and makes their names durable.
func (r *replacement) finish() error {
	for _, n := range r.names {
		if err := r.files.Rename(filepath.Join(r.dir, n+tempSuffix), filepath.Join(r.dir, n)); err != nil {
			return err
		}
	}
	if len(r.names) == 0 {
		return nil
	}
	return r.files.SyncDir(r.dir)
}
