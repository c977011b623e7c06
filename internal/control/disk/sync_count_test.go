package disk_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// slowFiles is a file system on which each sync of a file or directory takes a second.
type slowFiles struct{ disk.FileSystem }

func (f slowFiles) Create(name string) (disk.File, error) {
	file, err := f.FileSystem.Create(name)
	return slowFile{file}, err
}

func (f slowFiles) OpenAppend(name string) (disk.File, error) {
	file, err := f.FileSystem.OpenAppend(name)
	return slowFile{file}, err
}

func (f slowFiles) SyncDir(dir string) error {
	time.Sleep(time.Second)
	return f.FileSystem.SyncDir(dir)
}

type slowFile struct{ disk.File }

func (f slowFile) Sync() error {
	time.Sleep(time.Second)
	return f.File.Sync()
}

// Guards against operations that wait for several syncs one after the other, although these
// don't depend on each other.
func TestSyncsInSeries(t *testing.T) {
	open := func(is *is.I, f *faulty.FileSystem) *disk.Store {
		d, err := disk.Open(slowFiles{f.Process()}, "data", 0)
		is.NoErr(err)
		d.SetSegmentBytes(testSegmentBytes)
		s, err := d.OpenGroup(0)
		is.NoErr(err)
		_, _, _, err = s.Load()
		is.NoErr(err)
		return s
	}
	tests := []struct {
		name   string
		filled bool // a previous process has stored entries
		before func(s *disk.Store) error
		run    func(s *disk.Store) error
		syncs  int
	}{
		{name: "load of an empty disk", run: func(*disk.Store) error { return nil }},
		{name: "creation", run: (*disk.Store).Recover, syncs: 3},
		{name: "term beside a creation", run: func(s *disk.Store) error { return together(s.Recover, saveTerm, s) }, syncs: 3},
		{name: "load", filled: true, run: func(*disk.Store) error { return nil }},
		{name: "recovery", filled: true, run: (*disk.Store).Recover, syncs: 2},
		{name: "term", filled: true, before: (*disk.Store).Recover, run: saveTerm, syncs: 2},
		{name: "term beside a recovery", filled: true, run: func(s *disk.Store) error { return together(s.Recover, saveTerm, s) }, syncs: 2},
		{name: "snapshot", filled: true, before: (*disk.Store).Recover, run: saveState, syncs: 2},
		{name: "snapshot beside a recovery", filled: true, run: func(s *disk.Store) error { return together(s.Recover, saveState, s) }, syncs: 2},
		{name: "entry in a new segment", filled: true, before: (*disk.Store).Recover, run: appendEntry, syncs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := faulty.New(1)
				if tt.filled {
					f = newFilledGroup(t)
				}
				start := time.Now()
				s := open(is, f)
				if tt.before != nil {
					is.NoErr(tt.before(s))
					start = time.Now()
				}
				is.NoErr(tt.run(s))
				is.Equal(time.Since(start), time.Duration(tt.syncs)*time.Second)
			})
		})
	}
}

func saveTerm(s *disk.Store) error { return s.SaveHardState(replica.HardState{Term: 9}) }

func saveState(s *disk.Store) error {
	return s.SaveSnapshot(replica.SnapshotMeta{Index: 9, Term: 3}, []byte("state"))
}

func appendEntry(s *disk.Store) error { return s.Append(entries(11, 11, 3)) }

// together makes two calls at the same time and returns the error of one that failed.
func together(a func() error, b func(s *disk.Store) error, s *disk.Store) error {
	failed := make(chan error, 1)
	go func() { failed <- b(s) }()
	if err := a(); err != nil {
		return err
	}
	return <-failed
}
