package outage

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/fleet/consensus"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Environment variables of an instance whose machine may lose power.
const (
	// JournalVariable names the file of its Journal, SyncVariable holds how long a sync takes.
	JournalVariable = "BENCH_JOURNAL"
	SyncVariable    = "BENCH_SYNC"
	// SegmentsVariable is set if segments are small and snapshots frequent.
	SegmentsVariable = "BENCH_SMALL_SEGMENTS"
)

// smallRetention has several snapshots and segments within a few seconds of changes, each of which
// takes under 1 KB of the log, so that losses of power hit their creation and removal.
var smallRetention = consensus.Retention{
	Compaction: replica.Compaction{MaxEntries: 4, MaxBytes: 1 << 20, TrailingEntries: 2}, SegmentBytes: 2 << 10,
}

// Storage returns the file system and the retention that the environment of this process asks for.
func Storage(t timer.Service) (files disk.FileSystem, retention consensus.Retention, err error) {
	if os.Getenv(SegmentsVariable) != "" {
		retention = smallRetention
	}
	slow, err := slowSyncs()
	if err != nil {
		return nil, retention, err
	}
	files = disk.OSFileSystem{}
	if slow.Time > 0 {
		files = SlowFiles(files, slow, t)
	}
	path := os.Getenv(JournalVariable)
	if path == "" {
		return files, retention, nil
	}
	delay, err := time.ParseDuration(os.Getenv(SyncVariable))
	if err != nil {
		return nil, retention, errors.Wrap(err, SyncVariable)
	}
	// A sync is in the journal for as long as it lasts, so that a loss of power can come meanwhile.
	j, err := OpenJournal(files, path, delay, t)
	return j, retention, err
}

// stepKind is the kind of a step in a journal.
type stepKind string

const (
	createStep   stepKind = "create"
	openStep     stepKind = "open"
	writeStep    stepKind = "write"
	syncStep     stepKind = "sync"
	renameStep   stepKind = "rename"
	removeStep   stepKind = "remove"
	mkdirStep    stepKind = "mkdir"
	syncDirStep  stepKind = "syncdir"
	finishedStep stepKind = "finished" // of a sync
)

// step is one line of a journal. A sync counts from where it began, but only if its end is in the
// journal: what was done during a sync may or may not be durable after it.
type step struct {
	// ID is where the step stands in the journal, so that it is unique over several processes.
	ID   int64    `json:"id"`
	Kind stepKind `json:"kind"`
	// Of is the step that opened the file or began the sync.
	Of   int64  `json:"of,omitempty"`
	Name string `json:"name,omitempty"`
	To   string `json:"to,omitempty"`
	Data []byte `json:"data,omitempty"`
}

// Journal is a file system that records what is written and what is synced in a file, so that a loss
// of power can be played after the process was killed at any moment: a step is in the journal before
// it is made, and the end of a sync before the caller gets it.
type Journal struct {
	disk.FileSystem
	delay time.Duration // how long a sync takes in addition
	timer timer.Service

	mu   sync.Mutex // guards the file and size
	file *os.File
	size int64
}

var _ disk.FileSystem = (*Journal)(nil)

// OpenJournal opens the journal at path, of what is done on files, and creates it if it does not exist.
func OpenJournal(files disk.FileSystem, path string, delay time.Duration, t timer.Service) (*Journal, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	size, err := f.Seek(0, io.SeekEnd)
	return &Journal{FileSystem: files, delay: delay, timer: t, file: f, size: size}, err
}

// Close closes the journal.
func (j *Journal) Close() error { return j.file.Close() }

// record appends a step, and sets and returns its id.
func (j *Journal) record(s step) (id int64, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.ID = j.size + 1
	line, err := json.Marshal(s)
	if err != nil {
		return 0, err
	}
	n, err := j.file.Write(append(line, '\n'))
	j.size += int64(n)
	return s.ID, err
}

// Create creates a file, or truncates it if it exists.
func (j *Journal) Create(name string) (disk.File, error) {
	return j.open(step{Kind: createStep, Name: name}, j.FileSystem.Create)
}

// OpenAppend opens an existing file for appending.
func (j *Journal) OpenAppend(name string) (disk.File, error) {
	return j.open(step{Kind: openStep, Name: name}, j.FileSystem.OpenAppend)
}

func (j *Journal) open(s step, open func(name string) (disk.File, error)) (disk.File, error) {
	id, err := j.record(s)
	if err != nil {
		return nil, err
	}
	f, err := open(s.Name)
	if err != nil {
		return nil, err
	}
	return &journalFile{File: f, journal: j, id: id}, nil
}

// Rename renames a file or directory and replaces a file that has the new name.
func (j *Journal) Rename(from, to string) error {
	if _, err := j.record(step{Kind: renameStep, Name: from, To: to}); err != nil {
		return err
	}
	return j.FileSystem.Rename(from, to)
}

// Remove deletes a file.
func (j *Journal) Remove(name string) error {
	if _, err := j.record(step{Kind: removeStep, Name: name}); err != nil {
		return err
	}
	return j.FileSystem.Remove(name)
}

// MkdirAll creates a directory and its parents.
func (j *Journal) MkdirAll(dir string) error {
	if _, err := j.record(step{Kind: mkdirStep, Name: dir}); err != nil {
		return err
	}
	return j.FileSystem.MkdirAll(dir)
}

// SyncDir makes creations, renames and removals in a directory durable.
func (j *Journal) SyncDir(dir string) error {
	return j.sync(step{Kind: syncDirStep, Name: dir}, func() error { return j.FileSystem.SyncDir(dir) })
}

// sync runs a sync and records its begin and its end.
func (j *Journal) sync(s step, run func() error) error {
	id, err := j.record(s)
	if err != nil {
		return err
	}
	if err := run(); err != nil {
		return err
	}
	if err := timer.Sleep(context.Background(), j.timer, j.delay); err != nil {
		return err
	}
	_, err = j.record(step{Kind: finishedStep, Of: id})
	return err
}

// journalFile is an open file of a Journal.
type journalFile struct {
	disk.File
	journal *Journal
	id      int64
}

func (f *journalFile) Write(b []byte) (int, error) {
	if _, err := f.journal.record(step{Kind: writeStep, Of: f.id, Data: b}); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

func (f *journalFile) Sync() error {
	return f.journal.sync(step{Kind: syncStep, Of: f.id}, f.File.Sync)
}

// decodeSteps returns the complete steps at the beginning of a text, and their length. A process that
// is killed may leave a part of its last step.
func decodeSteps(text []byte) (steps []step, length int64, err error) {
	for line := range bytes.Lines(text) {
		if !bytes.HasSuffix(line, []byte("\n")) {
			break
		}
		var s step
		if err := json.Unmarshal(line, &s); err != nil {
			return nil, 0, errors.Wrapf(err, "journal at %d", length)
		}
		steps, length = append(steps, s), length+int64(len(line))
	}
	return steps, length, nil
}

// replay returns the files as the journal at path leaves them, and the length of its complete steps.
func replay(path string) (f *faulty.FileSystem, length int64, err error) {
	defer func() { err = errors.Wrapf(err, "replay %s", path) }()
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, 0, err
	}
	steps, length, err := decodeSteps(text)
	if err != nil {
		return nil, 0, err
	}
	finished := map[int64]bool{}
	for _, s := range steps {
		if s.Kind == finishedStep {
			finished[s.Of] = true
		}
	}
	f = faulty.New(0)
	p, opened := f.Process(), map[int64]disk.File{}
	for _, s := range steps {
		if err := s.apply(p, opened, finished[s.ID]); err != nil {
			return nil, 0, errors.Wrapf(err, "step %d", s.ID)
		}
	}
	return f, length, nil
}

// apply makes a step on p. opened holds the open files by the steps that opened them; finished is
// true for a sync that ended.
func (s *step) apply(p *faulty.Process, opened map[int64]disk.File, finished bool) (err error) {
	// The names of package faulty are relative.
	name, to := strings.TrimPrefix(s.Name, "/"), strings.TrimPrefix(s.To, "/")
	switch s.Kind {
	case createStep:
		opened[s.ID], err = p.Create(name)
	case openStep:
		// A file that does not exist is not opened.
		if opened[s.ID], err = p.OpenAppend(name); errors.Is(err, fs.ErrNotExist) {
			err = nil
		}
	case writeStep:
		_, err = opened[s.Of].Write(s.Data)
	case renameStep:
		err = p.Rename(name, to)
	case removeStep:
		err = p.Remove(name)
	case mkdirStep:
		err = p.MkdirAll(name)
	case syncStep:
		if finished {
			err = opened[s.Of].Sync()
		}
	case syncDirStep:
		if finished {
			err = p.SyncDir(name)
		}
	case finishedStep:
	}
	return err
}

// contents returns the contents of all files.
func contents(f *faulty.FileSystem) (files map[string][]byte, err error) {
	p := f.Process()
	files = map[string][]byte{}
	for _, n := range f.Names("") {
		if files["/"+n], err = p.ReadFile(n); err != nil {
			return nil, err
		}
	}
	return files, nil
}

// Mount brings the files of a data directory to the state that its journal leaves without a loss of
// power, and returns the size of the journal. The two may differ by the steps that a killed process
// was in.
func Mount(directory, journal string) (size int64, err error) {
	defer func() { err = errors.Wrapf(err, "mount %s", directory) }()
	if _, err := os.Stat(directory); errors.Is(err, fs.ErrNotExist) {
		// A new disk, or one that was wiped.
		if err := os.Remove(journal); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return 0, err
		}
		return 0, os.MkdirAll(directory, 0o700)
	}
	f, size, err := replay(journal)
	if err != nil {
		return 0, err
	}
	if err := os.Truncate(journal, size); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return 0, err
	}
	files, err := contents(f)
	if err != nil {
		return 0, err
	}
	return size, writeFiles(disk.OSFileSystem{}, directory, files)
}

// writeFiles replaces all files of a directory, durably.
func writeFiles(f disk.FileSystem, directory string, files map[string][]byte) (err error) {
	if err := os.RemoveAll(directory); err != nil {
		return err
	}
	// The directory itself is a mount point, whose name is never lost.
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return err
	}
	for name, data := range files {
		dir := filepath.Dir(name)
		if dir != directory {
			if err := f.MkdirAll(dir); err != nil {
				return err
			}
		}
		if err := writeFile(f, name, data); err != nil {
			return err
		}
		for ; strings.HasPrefix(dir+"/", directory+"/"); dir = filepath.Dir(dir) {
			if err := f.SyncDir(dir); err != nil {
				return err
			}
		}
	}
	return nil
}

func writeFile(f disk.FileSystem, name string, data []byte) (err error) {
	file, err := f.Create(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}

// Taken is what losses of power took back.
type Taken struct {
	// Names are changes of names, Writes are writes that were missing or torn.
	Names, Writes, Bytes int
	// Open counts the changes of names that were not synced, whether kept or taken back.
	Open int
}

// LosePower plays a loss of power on a data directory whose process was killed. choose draws one of
// several outcomes; see faulty.FileSystem.LosePower.
func LosePower(directory, journal string, t timer.Service, choose func(outcomes int) int) (taken Taken, err error) {
	defer func() { err = errors.Wrapf(err, "loss of power of %s", directory) }()
	f, _, err := replay(journal)
	if err != nil {
		return taken, err
	}
	before, err := contents(f)
	if err != nil {
		return taken, err
	}
	f.LosePower(func(outcomes int) int {
		outcome := choose(outcomes)
		isName := outcomes == 2
		if isName {
			taken.Open++
		}
		switch {
		case outcome == 1: // kept
		case isName:
			taken.Names++
		default:
			taken.Writes++
		}
		return outcome
	})
	after, err := contents(f)
	if err != nil {
		return taken, err
	}
	for name, data := range before {
		kept := 0
		for kept < min(len(data), len(after[name])) && data[kept] == after[name][kept] {
			kept++
		}
		taken.Bytes += len(data) - kept
	}
	if err := os.Remove(journal); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return taken, err
	}
	j, err := OpenJournal(disk.OSFileSystem{}, journal, 0, t)
	if err != nil {
		return taken, err
	}
	defer func() { err = errors.CombineErrors(err, j.Close()) }()
	return taken, writeFiles(j, directory, after)
}
