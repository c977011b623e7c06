// Package faulty provides an in-memory file system for tests. It tracks which data and
// names were synced, simulates crashes that lose the rest, and injects faults.
package faulty

import (
	"bytes"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
)

// ErrInjected marks the errors of injected faults.
var ErrInjected = errors.New("injected fault")

// FileSystem holds the files of one simulated machine. Use New to create one.
type FileSystem struct {
	mu                sync.Mutex
	random            *rand.Rand
	files             map[string]*inode // files that the running process sees
	durableFiles      map[string]*inode // files that are left after a crash
	dirs              map[string]bool   // directories that were created
	changes           []change          // changes of names that were not synced, in order
	afterChange       func()            // called after each change or sync by a process; may be nil
	freeBytes         uint64
	generation        int // number of crashes
	syncsUntilFailure int // syncs that succeed before one fails; negative if none is to fail
	syncCount         int
	syncDelay         time.Duration
	dirSyncDelay      bool // syncs of directories are delayed as well
	varySyncDelay     bool
	delays            *rand.Rand    // draws the delays of syncs
	ended             chan struct{} // closed when the running process ends
}

// inode is the content of a file, independent of its names.
type inode struct {
	data       []byte // what the running process reads
	synced     []byte // what a crash leaves at least
	syncFailed bool   // later syncs succeed without storing anything
	writeEnds  []int  // where each write that was not synced ends in data
}

// Process gives one process access to the files until the next crash.
type Process struct {
	fileSystem *FileSystem
	generation int // that of the file system when the process started
}

// handle is a file that a process opened for writing.
type handle struct {
	process *Process
	inode   *inode
}

var _ disk.FileSystem = (*Process)(nil)

// New returns an empty file system. The seed determines how much unsynced data
// survives a crash.
func New(seed uint64) *FileSystem {
	return &FileSystem{
		random: rand.New(rand.NewPCG(seed, 0)), files: map[string]*inode{}, durableFiles: map[string]*inode{},
		dirs:      map[string]bool{},
		freeBytes: 1 << 40, syncsUntilFailure: -1,
		delays: rand.New(rand.NewPCG(seed, 1)), ended: make(chan struct{}),
	}
}

// Process returns access to the files for a process that starts now.
func (f *FileSystem) Process() *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &Process{fileSystem: f, generation: f.generation}
}

// lock locks the files for an operation. It fails if the process ended in a crash.
func (p *Process) lock() (unlock func(), err error) {
	p.fileSystem.mu.Lock()
	if p.generation != p.fileSystem.generation {
		p.fileSystem.mu.Unlock()
		return nil, errors.Wrap(ErrInjected, "access after a crash")
	}
	return p.fileSystem.mu.Unlock, nil
}

// SetFreeBytes sets the space that FreeBytes reports.
func (f *FileSystem) SetFreeBytes(bytes uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freeBytes = bytes
}

// FailSyncAfter lets the next n syncs succeed and makes the one after them fail. A
// negative n cancels the fault.
func (f *FileSystem) FailSyncAfter(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncsUntilFailure = n
}

// SetSyncDelay delays each sync of a file or directory. Syncs of several goroutines go on side by
// side, and end with the process.
func (f *FileSystem) SetSyncDelay(d time.Duration) { f.setSyncDelay(d, true, false) }

// SetFileSyncDelay delays each sync of a file, but not those of directories.
func (f *FileSystem) SetFileSyncDelay(d time.Duration) { f.setSyncDelay(d, false, false) }

// SetVaryingSyncDelay delays each sync by 0.5 to 1 times d, and one in 20 by three times that.
func (f *FileSystem) SetVaryingSyncDelay(d time.Duration) { f.setSyncDelay(d, true, true) }

func (f *FileSystem) setSyncDelay(d time.Duration, dirs, vary bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncDelay, f.dirSyncDelay, f.varySyncDelay = d, dirs, vary
}

// nextSyncDelay returns the delay of the next sync of a file system whose lock is held.
func (f *FileSystem) nextSyncDelay() time.Duration {
	d := f.syncDelay
	if d <= 0 || !f.varySyncDelay {
		return d
	}
	d = d/2 + time.Duration(f.delays.Int64N(int64(d/2)+1))
	if f.delays.IntN(20) == 0 {
		d *= 3
	}
	return d
}

// waitSyncDelay delays a sync of a file or directory, at most until the process ends.
func (p *Process) waitSyncDelay(dir bool) {
	unlock, err := p.lock()
	if err != nil {
		return
	}
	d, ended := p.fileSystem.nextSyncDelay(), p.fileSystem.ended
	if dir && !p.fileSystem.dirSyncDelay {
		d = 0
	}
	unlock()
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ended:
	}
}

// endProcess ends the access of the running process. f.mu must be held.
func (f *FileSystem) endProcess() {
	f.generation++
	f.syncsUntilFailure = -1
	close(f.ended)
	f.ended = make(chan struct{})
}

// SyncCount returns the number of syncs of files and directories so far.
func (f *FileSystem) SyncCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncCount
}

// Crash ends the access of the running process. Names that were not synced are lost,
// and appended data that was not synced is cut at a random offset.
func (f *FileSystem) Crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endProcess()
	for _, c := range f.changes {
		if c.kind == createDir {
			f.loseDir(c.name, f.durableFiles)
		}
	}
	f.changes = nil
	f.files = map[string]*inode{}
	for _, n := range sortedNames(f.durableFiles) {
		i := f.durableFiles[n]
		data := slices.Clone(i.synced)
		if unsynced := len(i.data) - len(i.synced); unsynced > 0 && bytes.HasPrefix(i.data, i.synced) {
			data = slices.Clone(i.data[:len(i.synced)+f.random.IntN(unsynced+1)])
		}
		f.files[n] = &inode{data: data, synced: slices.Clone(data)}
		f.durableFiles[n] = f.files[n]
	}
}

// Corrupt changes the stored content of a file, as a defective disk would.
func (f *FileSystem) Corrupt(name string, edit func(data []byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.files[name]
	i.data = edit(slices.Clone(i.data))
	i.synced, i.writeEnds = slices.Clone(i.data), nil
}

// Names returns the sorted names of the files that begin with a prefix.
func (f *FileSystem) Names(prefix string) (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range sortedNames(f.files) {
		if strings.HasPrefix(n, prefix) {
			names = append(names, n)
		}
	}
	return names
}

func sortedNames(m map[string]*inode) (names []string) {
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// covers reports whether a sync of the directory makes the name of the file durable. It
// does for a file directly in the directory, and for a file in a subdirectory that was
// itself renamed.
func (f *FileSystem) covers(dir, name string) bool {
	if filepath.Dir(name) == dir {
		return true
	}
	child := name
	for filepath.Dir(child) != dir {
		if child = filepath.Dir(child); child == "." {
			return false
		}
	}
	hasChild := func(m map[string]*inode) bool {
		for n := range m {
			if strings.HasPrefix(n, child+"/") {
				return true
			}
		}
		return false
	}
	return hasChild(f.files) != hasChild(f.durableFiles)
}

// isDurable reports whether a file is durable under any name.
func (f *FileSystem) isDurable(i *inode) bool {
	for _, o := range f.durableFiles {
		if o == i {
			return true
		}
	}
	return false
}

// countSync counts a sync and returns the injected fault if this sync is to fail.
func (f *FileSystem) countSync() error {
	f.syncCount++
	if f.syncsUntilFailure < 0 {
		return nil
	}
	f.syncsUntilFailure--
	if f.syncsUntilFailure < 0 {
		return errors.Wrap(ErrInjected, "sync")
	}
	return nil
}

// Create creates a file, or truncates it if it exists.
func (p *Process) Create(name string) (disk.File, error) {
	unlock, err := p.lock()
	if err != nil {
		return nil, err
	}
	defer p.fileSystem.notify()
	defer unlock()
	i := &inode{}
	p.fileSystem.change(change{kind: createFile, name: name, inode: i})
	return &handle{process: p, inode: i}, nil
}

// OpenAppend opens an existing file for appending.
func (p *Process) OpenAppend(name string) (disk.File, error) {
	unlock, err := p.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	f := p.fileSystem
	i, ok := f.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &handle{process: p, inode: i}, nil
}

// ReadFile returns the content of a file.
func (p *Process) ReadFile(name string) ([]byte, error) {
	unlock, err := p.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	f := p.fileSystem
	i, ok := f.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(i.data), nil
}

// Rename renames a file or directory and replaces a file that has the new name.
func (p *Process) Rename(from, to string) error {
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer p.fileSystem.notify()
	defer unlock()
	f := p.fileSystem
	f.change(change{kind: renameFile, name: from, to: to, inode: f.files[from]})
	return nil
}

// Remove deletes a file.
func (p *Process) Remove(name string) error {
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer p.fileSystem.notify()
	defer unlock()
	f := p.fileSystem
	f.change(change{kind: removeFile, name: name, inode: f.files[name]})
	return nil
}

// List returns the sorted names of the files in a directory.
func (p *Process) List(dir string) (names []string, err error) {
	unlock, err := p.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	f := p.fileSystem
	for _, n := range sortedNames(f.files) {
		if rest, ok := strings.CutPrefix(n, dir+"/"); ok {
			child, _, _ := strings.Cut(rest, "/")
			if !slices.Contains(names, child) {
				names = append(names, child)
			}
		}
	}
	return names, nil
}

// MkdirAll creates a directory. Its parent is taken to exist.
func (p *Process) MkdirAll(dir string) error {
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer p.fileSystem.notify()
	defer unlock()
	f := p.fileSystem
	if !f.dirs[dir] {
		f.dirs[dir] = true
		f.change(change{kind: createDir, name: dir})
	}
	return nil
}

// SyncDir makes creations, renames and removals in a directory durable.
func (p *Process) SyncDir(dir string) error {
	p.waitSyncDelay(true)
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer p.fileSystem.notify()
	defer unlock()
	f := p.fileSystem
	if err := f.countSync(); err != nil {
		return err
	}
	durable := map[string]*inode{}
	for n, i := range f.durableFiles {
		if !f.covers(dir, n) {
			durable[n] = i
		}
	}
	for n, i := range f.files {
		// Syncing the parent of a new directory does not make the files in it durable, but
		// files that were durable before their directory was renamed stay durable.
		if filepath.Dir(n) == dir || (f.covers(dir, n) && f.isDurable(i)) {
			durable[n] = i
		}
	}
	f.durableFiles = durable
	f.changes = slices.DeleteFunc(f.changes, func(c change) bool { return filepath.Dir(c.name) == dir })
	return nil
}

// FreeBytes returns the space set with SetFreeBytes.
func (p *Process) FreeBytes(string) (uint64, error) {
	unlock, err := p.lock()
	if err != nil {
		return 0, err
	}
	defer unlock()
	f := p.fileSystem
	return f.freeBytes, nil
}

func (h *handle) Write(b []byte) (int, error) {
	unlock, err := h.process.lock()
	if err != nil {
		return 0, err
	}
	defer h.process.fileSystem.notify()
	defer unlock()
	h.inode.data = append(h.inode.data, b...)
	h.inode.writeEnds = append(h.inode.writeEnds, len(h.inode.data))
	return len(b), nil
}

func (h *handle) Sync() error {
	h.process.waitSyncDelay(false)
	unlock, err := h.process.lock()
	if err != nil {
		return err
	}
	defer h.process.fileSystem.notify()
	defer unlock()
	if err := h.process.fileSystem.countSync(); err != nil {
		h.inode.syncFailed = true
		return err
	}
	if h.inode.syncFailed {
		return nil
	}
	// A handle only appends, so the synced data is a prefix of the data.
	h.inode.synced = append(h.inode.synced, h.inode.data[len(h.inode.synced):]...)
	h.inode.writeEnds = nil
	return nil
}

func (h *handle) Close() error { return nil }
