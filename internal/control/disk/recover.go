package disk

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
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
	run := s.recoverFiles
	if s.newGroup != "" {
		run = s.create
	}
	if err := run(); err != nil {
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
	// While the lock is held, a newer hard state than the adopted one is being saved.
	switch locked := s.hardMu.TryLock(); {
	case locked && s.adopted == nil:
		s.hardMu.Unlock()
	case locked:
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
	return d.syncNames()
}

// syncNames makes the names in the directory and its own name durable, beside other syncs. d.mu must be
// held.
func (d *Directory) syncNames(others ...func() error) error {
	d.recovered, d.recoverError = true, d.inParallel(append([]func() error{
		func() error { return d.files.SyncDir(filepath.Dir(d.path)) },
		func() error { return d.files.SyncDir(d.path) },
	}, others...)...)
	return d.recoverError
}

// create creates the group, and the identity if it is new. The group is listed last, so that every
// listed group has a hard state and an identity unless they were lost.
func (s *Store) create() error {
	d := s.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.recoverError != nil {
		return d.recoverError
	}
	groups := append(slices.Clone(d.groups), s.newGroup)
	list := &replacement{files: d.files, dir: d.path}
	if err := list.write(groupsFile, encodeRecord(recordGroups, []byte(strings.Join(groups, "\n")))); err != nil {
		return err
	}
	writes := append(list.syncs, s.writeInitialState)
	if d.isNew {
		writes = append(writes, d.writeIdentity)
	}
	if err := d.inParallel(writes...); err != nil {
		return err
	}
	if err := d.syncNames(func() error { return s.files.SyncDir(s.dir) }); err != nil {
		return err
	}
	if err := s.ensureState(); err != nil {
		return err
	}
	if err := list.finish(); err != nil {
		return err
	}
	d.groups, d.isNew = groups, false
	return nil
}

// writeInitialState puts the hard state of a new group in place, unless another one has been or is
// being saved.
func (s *Store) writeInitialState() error {
	if !s.hardMu.TryLock() {
		return nil
	}
	defer s.hardMu.Unlock()
	return s.putInitialState()
}

// putInitialState puts the hard state of a new group in place unless there is one. s.hardMu must be
// held.
func (s *Store) putInitialState() error {
	if s.hardExists.Load() {
		return nil
	}
	record, err := hardStateRecord(replica.HardState{})
	if err != nil {
		return err
	}
	err = putFile(s.files, s.dir, hardStateFile, record)
	s.hardExists.Store(err == nil)
	return err
}

// ensureState returns once a hard state has been written. If none has, it waits for the one that is
// being saved, if there is one, or else writes the initial one.
func (s *Store) ensureState() error {
	if s.hardExists.Load() {
		return nil
	}
	s.hardMu.Lock()
	defer s.hardMu.Unlock()
	if err := s.priorError(); err != nil || s.hardExists.Load() {
		return err
	}
	return errors.CombineErrors(s.putInitialState(), s.files.SyncDir(s.dir))
}

// writeIdentity puts the identity in place.
func (d *Directory) writeIdentity() error {
	return putFile(d.files, d.path, identityFile, encodeRecord(recordIdentity, []byte(d.identity)))
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
