// Package faulty is a file system in memory for tests. It keeps apart what was
// written and what was synced, and fails on demand.
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

// ErrInjected is the error of an injected fault.
var ErrInjected = errors.New("injected fault")

// FileSystem is the file system. The zero value is not usable; see New.
type FileSystem struct {
	mu         sync.Mutex
	random     *rand.Rand
	names      map[string]*inode // as seen by the running process
	durable    map[string]*inode // as found after a crash
	free       uint64
	generation int
	failSync   int
	syncs      int
	delay      time.Duration
}

type inode struct {
	data   []byte
	synced []byte
	lost   bool // a sync failed; later ones succeed without effect
}

// Process is the access of one process. It ends with the next crash.
type Process struct {
	files      *FileSystem
	generation int
}

type handle struct {
	process *Process
	inode   *inode
}

var _ disk.FileSystem = (*Process)(nil)

// New returns an empty file system; the seed decides what a crash leaves behind.
func New(seed uint64) *FileSystem {
	return &FileSystem{
		random: rand.New(rand.NewPCG(seed, 0)), names: map[string]*inode{}, durable: map[string]*inode{},
		free: 1 << 40, failSync: -1,
	}
}

// Process returns the access for a process that starts now.
func (f *FileSystem) Process() *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &Process{files: f, generation: f.generation}
}

// lock locks the files for an operation, unless the process has ended.
func (p *Process) lock() (unlock func(), err error) {
	p.files.mu.Lock()
	if p.generation != p.files.generation {
		p.files.mu.Unlock()
		return nil, errors.Wrap(ErrInjected, "access after a crash")
	}
	return p.files.mu.Unlock, nil
}

// SetFreeBytes sets the space that is reported as free.
func (f *FileSystem) SetFreeBytes(bytes uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.free = bytes
}

// FailSyncAfter makes the sync after the next n ones fail.
func (f *FileSystem) FailSyncAfter(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failSync = n
}

// SetSyncDelay makes each sync of a file take that long.
func (f *FileSystem) SetSyncDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

func (f *FileSystem) wait() {
	f.mu.Lock()
	d := f.delay
	f.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

// SyncCount returns the number of syncs so far.
func (f *FileSystem) SyncCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

// Crash ends the access of the running process. Of what was not synced, names are lost
// and appended data is cut at a random place.
func (f *FileSystem) Crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	f.failSync = -1
	f.names = map[string]*inode{}
	for _, n := range sorted(f.durable) {
		i := f.durable[n]
		data := slices.Clone(i.synced)
		if extra := len(i.data) - len(i.synced); extra > 0 && bytes.HasPrefix(i.data, i.synced) {
			data = slices.Clone(i.data[:len(i.synced)+f.random.IntN(extra+1)])
		}
		f.names[n] = &inode{data: data, synced: slices.Clone(data)}
		f.durable[n] = f.names[n]
	}
}

// Corrupt edits the content of a file, as a defective disk would.
func (f *FileSystem) Corrupt(name string, edit func(data []byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.names[name]
	i.data = edit(slices.Clone(i.data))
	i.synced = slices.Clone(i.data)
}

// Names returns all files that begin with a prefix, in order.
func (f *FileSystem) Names(prefix string) (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range sorted(f.names) {
		if strings.HasPrefix(n, prefix) {
			names = append(names, n)
		}
	}
	return names
}

func sorted(m map[string]*inode) (names []string) {
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// covers tells whether a sync of a directory makes a name durable: that of a file in it,
// or one in a directory that was itself renamed.
func (f *FileSystem) covers(dir, name string) bool {
	if filepath.Dir(name) == dir {
		return true
	}
	below := name
	for filepath.Dir(below) != dir {
		if below = filepath.Dir(below); below == "." {
			return false
		}
	}
	has := func(m map[string]*inode) bool {
		for n := range m {
			if strings.HasPrefix(n, below+"/") {
				return true
			}
		}
		return false
	}
	return has(f.names) != has(f.durable)
}

// stored tells whether a file is durable under any name.
func (f *FileSystem) stored(i *inode) bool {
	for _, o := range f.durable {
		if o == i {
			return true
		}
	}
	return false
}

// sync counts a sync and returns the injected fault when its time has come.
func (f *FileSystem) sync() error {
	f.syncs++
	if f.failSync < 0 {
		return nil
	}
	f.failSync--
	if f.failSync < 0 {
		return errors.Wrap(ErrInjected, "sync")
	}
	return nil
}

// Create makes or empties a file.
func (p *Process) Create(name string) (disk.File, error) {
	unlock, err := p.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	f := p.files
	f.names[name] = &inode{}
	return &handle{process: p, inode: f.names[name]}, nil
}

// OpenAppend opens a file for writing at its end.
func (p *Process) OpenAppend(name string) (disk.File, error) {
	unlock, err := p.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	f := p.files
	i, ok := f.names[name]
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
	f := p.files
	i, ok := f.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(i.data), nil
}

// Rename replaces a file by another, or renames a directory.
func (p *Process) Rename(from, to string) error {
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer unlock()
	f := p.files
	for _, n := range sorted(f.names) {
		if n == from || strings.HasPrefix(n, from+"/") {
			f.names[to+strings.TrimPrefix(n, from)] = f.names[n]
			delete(f.names, n)
		}
	}
	return nil
}

// Remove deletes a file.
func (p *Process) Remove(name string) error {
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer unlock()
	f := p.files
	delete(f.names, name)
	return nil
}

// List returns the names in a directory in order.
func (p *Process) List(dir string) (names []string, err error) {
	unlock, err := p.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	f := p.files
	for _, n := range sorted(f.names) {
		if rest, ok := strings.CutPrefix(n, dir+"/"); ok {
			first, _, _ := strings.Cut(rest, "/")
			if !slices.Contains(names, first) {
				names = append(names, first)
			}
		}
	}
	return names, nil
}

// MkdirAll does nothing: a directory exists with its first file.
func (*Process) MkdirAll(string) error { return nil }

// SyncDir makes the names in a directory durable.
func (p *Process) SyncDir(dir string) error {
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer unlock()
	f := p.files
	if err := f.sync(); err != nil {
		return err
	}
	durable := map[string]*inode{}
	for n, i := range f.durable {
		if !f.covers(dir, n) {
			durable[n] = i
		}
	}
	for n, i := range f.names {
		// A new directory becomes durable without the files in it, a renamed one with them.
		if filepath.Dir(n) == dir || (f.covers(dir, n) && f.stored(i)) {
			durable[n] = i
		}
	}
	f.durable = durable
	return nil
}

// FreeBytes returns the space set with SetFree.
func (p *Process) FreeBytes(string) (uint64, error) {
	unlock, err := p.lock()
	if err != nil {
		return 0, err
	}
	defer unlock()
	f := p.files
	return f.free, nil
}

func (h *handle) Write(b []byte) (int, error) {
	unlock, err := h.process.lock()
	if err != nil {
		return 0, err
	}
	defer unlock()
	h.inode.data = append(h.inode.data, b...)
	return len(b), nil
}

func (h *handle) Sync() error {
	h.process.files.wait()
	unlock, err := h.process.lock()
	if err != nil {
		return err
	}
	defer unlock()
	if err := h.process.files.sync(); err != nil {
		h.inode.lost = true
		return err
	}
	if h.inode.lost {
		return nil
	}
	// A handle only appends, so what was synced before is a prefix.
	h.inode.synced = append(h.inode.synced, h.inode.data[len(h.inode.synced):]...)
	return nil
}

func (h *handle) Close() error { return nil }
