package faulty

import (
	"slices"
	"strings"
)

// changeKind is the kind of a change of names.
type changeKind int

const (
	createFile changeKind = iota
	createDir
	renameFile // or a directory
	removeFile
)

// change is a change of names in one directory.
type change struct {
	kind  changeKind
	name  string
	to    string // new name, for renameFile
	inode *inode // the file that has the name; nil for a directory
}

// apply applies the change to a set of files, which may lack earlier changes.
func (c *change) apply(files map[string]*inode) {
	switch {
	case c.kind == createFile:
		files[c.name] = c.inode
	case c.kind == renameFile && c.inode == nil:
		for _, n := range sortedNames(files) {
			if isUnder(c.name, n) {
				files[c.to+strings.TrimPrefix(n, c.name)] = files[n]
				delete(files, n)
			}
		}
	case c.kind == renameFile:
		if files[c.name] == c.inode {
			delete(files, c.name)
		}
		files[c.to] = c.inode
	case c.kind == removeFile && files[c.name] == c.inode:
		delete(files, c.name)
	}
}

// change makes a change that is not durable yet. f.mu must be held.
func (f *FileSystem) change(c change) {
	f.changes = append(f.changes, c)
	c.apply(f.files)
}

// isUnder reports whether a file is in a directory or one of its subdirectories.
func isUnder(dir, name string) bool { return strings.HasPrefix(name, dir+"/") }

// loseDir removes a directory whose name was not synced, with all files in it.
func (f *FileSystem) loseDir(dir string, files map[string]*inode) {
	delete(f.dirs, dir)
	for _, n := range sortedNames(files) {
		if isUnder(dir, n) {
			delete(files, n)
		}
	}
}

// Kill ends the access of the running process. All that it did stays visible to the next
// process, and what was not synced may still be lost with the power.
func (f *FileSystem) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endProcess()
}

// LosePower ends the access of the running process. For each change of a name that was not
// synced, choose decides whether it is lost (0) or kept (1), and for each write that was not
// synced, whether it is missing (0), present (1), only its first (2) or second half (3) is, or
// only its length (4). choose gets the number of outcomes. What is missing before later data or
// before the end of the file reads as zeros.
func (f *FileSystem) LosePower(choose func(outcomes int) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endProcess()
	files := f.durableFiles
	var lostDirs []string
	for _, c := range f.changes {
		switch kept := choose(2) == 1; {
		case kept:
			c.apply(files)
		case c.kind == createDir:
			lostDirs = append(lostDirs, c.name)
		}
	}
	for _, d := range lostDirs {
		f.loseDir(d, files)
	}
	f.changes = nil
	f.files, f.durableFiles = map[string]*inode{}, map[string]*inode{}
	for _, n := range sortedNames(files) {
		data := files[n].afterLoss(choose)
		f.files[n] = &inode{data: data, synced: slices.Clone(data)}
		f.durableFiles[n] = f.files[n]
	}
}

// afterLoss returns what a loss of power leaves of the content.
func (i *inode) afterLoss(choose func(outcomes int) int) []byte {
	data := slices.Clone(i.synced)
	start := len(i.synced)
	for _, end := range i.writeEnds {
		from, to := start, end
		switch choose(5) {
		case 0:
			to = start
		case 4:
			from = end
		case 2:
			to = start + (end-start)/2
		case 3:
			from = start + (end-start)/2
		}
		if start < to {
			data = append(data, make([]byte, from-len(data))...)
			data = append(data, i.data[from:to]...)
		}
		start = end
	}
	return data
}

// Clone returns an independent copy, in which nothing that was not synced is durable either.
// It has no running process.
func (f *FileSystem) Clone() *FileSystem {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := New(0)
	c.freeBytes = f.freeBytes
	copies := map[*inode]*inode{nil: nil}
	copyOf := func(i *inode) *inode {
		if _, ok := copies[i]; !ok {
			// The content of an inode only grows, so the copies share it.
			copies[i] = &inode{
				data: slices.Clip(i.data), synced: slices.Clip(i.synced), syncFailed: i.syncFailed,
				writeEnds: slices.Clone(i.writeEnds),
			}
		}
		return copies[i]
	}
	for n, i := range f.files {
		c.files[n] = copyOf(i)
	}
	for n, i := range f.durableFiles {
		c.durableFiles[n] = copyOf(i)
	}
	for _, o := range f.changes {
		o.inode = copyOf(o.inode)
		c.changes = append(c.changes, o)
	}
	for d := range f.dirs {
		c.dirs[d] = true
	}
	return c
}

// Dump returns the names and contents of all files.
func (f *FileSystem) Dump() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b strings.Builder
	for _, n := range sortedNames(f.files) {
		b.WriteString(n + "=")
		b.Write(f.files[n].data)
		b.WriteString("\n")
	}
	return b.String()
}

// AfterChange sets a function that is called after each change or sync by a process, on the
// goroutine that made it.
func (f *FileSystem) AfterChange(call func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.afterChange = call
}

// notify calls the function set by AfterChange.
func (f *FileSystem) notify() {
	f.mu.Lock()
	call := f.afterChange
	f.mu.Unlock()
	if call != nil {
		call()
	}
}
