package disk

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

const (
	identityFile = "identity"
	// groupsFile lists the directories of the groups that were created.
	groupsFile = "groups"
	// groupPrefix begins the names of the directories of groups.
	groupPrefix = "group-"
	// tempSuffix ends the names of files that WriteFileAtomic has not renamed yet.
	tempSuffix = ".tmp"
)

// DefaultReserveBytes is the disk space that new entries and snapshots must leave free,
// so that terms, votes and the entries in flight can still be written on a full disk.
const DefaultReserveBytes = 64 << 20

// Directory is the data directory of one control instance.
type Directory struct {
	files        FileSystem
	path         string
	reserveBytes uint64
	segmentBytes int // see Store
	identity     replica.Identity
	inParallel   func(calls ...func() error) error

	mu           sync.Mutex
	groups       []string // directory names of the groups that were created
	recovered    bool     // the identity and the names that Open found were synced, without success if recoverError is set
	recoverError error
	isNew        bool // the identity is not stored yet
}

// Open opens a data directory. A new identity is generated only if the directory holds no data.
// That, and names that a previous process left, may be lost with the power until Recover returns
// for a store of the directory. reserveBytes is the disk space to keep free; see
// DefaultReserveBytes.
func Open(f FileSystem, path string, reserveBytes uint64) (d *Directory, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "data directory %s", path)
		}
	}()
	if err := f.MkdirAll(path); err != nil {
		return nil, markFatal(err)
	}
	names, err := f.List(path)
	if err != nil {
		return nil, markFatal(err)
	}
	d = &Directory{files: f, path: path, reserveBytes: reserveBytes, segmentBytes: maxSegmentBytes, inParallel: inParallel}
	if isUninitialized(names) {
		return d, d.generateIdentity()
	}
	return d, d.load(names)
}

// isUninitialized reports whether a data directory holds no data. It ignores what a previous
// process that ended while it created the directory may have left, and the lost+found directory
// that some file systems have at their root.
func isUninitialized(names []string) bool {
	return !slices.ContainsFunc(names, func(n string) bool {
		remains := n == identityFile+tempSuffix || n == groupsFile+tempSuffix || strings.HasPrefix(n, groupPrefix)
		return !remains && n != "lost+found"
	})
}

func (d *Directory) generateIdentity() error {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		return markFatal(err)
	}
	d.identity, d.isNew = replica.Identity(hex.EncodeToString(b[:])), true
	return nil
}

func (d *Directory) load(names []string) error {
	if !slices.Contains(names, identityFile) {
		return errors.Wrap(ErrCorrupt, "directory is not empty but has no identity file")
	}
	b, err := d.files.ReadFile(filepath.Join(d.path, identityFile))
	if err != nil {
		return markFatal(err)
	}
	payload, err := decodeSingleRecord(b, recordIdentity)
	if err != nil {
		return errors.Wrap(err, identityFile)
	}
	d.identity = replica.Identity(payload)
	if !slices.Contains(names, groupsFile) {
		return nil
	}
	b, err = d.files.ReadFile(filepath.Join(d.path, groupsFile))
	if err != nil {
		return markFatal(err)
	}
	payload, err = decodeSingleRecord(b, recordGroups)
	if err != nil {
		return errors.Wrap(err, groupsFile)
	}
	d.groups = strings.Fields(string(payload))
	return nil
}

// SetSegmentBytes sets the size at which groups that are opened later start a new segment of their logs.
func (d *Directory) SetSegmentBytes(n int) { d.segmentBytes = n }

// Identity returns the replica identity stored in the directory.
func (d *Directory) Identity() replica.Identity { return d.identity }

// OpenGroup opens the store of one group. If the group was never opened before, Recover creates
// it.
func (d *Directory) OpenGroup(g replica.GroupID) (s *Store, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := fmt.Sprint(groupPrefix, g)
	dir := filepath.Join(d.path, name)
	s = &Store{
		directory: d, files: d.files, dir: dir, identity: d.identity, reserveBytes: d.reserveBytes, segmentBytes: d.segmentBytes,
		hardMu: newMutex(),
	}
	// A listed group is not created again: if its files were lost, it must not vote as if it were new.
	if slices.Contains(d.groups, name) {
		return s, nil
	}
	s.newGroup = name
	return s, s.prepare()
}

// prepare makes an empty directory for a group that is not listed. A previous process may have
// ended while it created the group; entries are only stored after that.
func (s *Store) prepare() error {
	if err := s.files.MkdirAll(s.dir); err != nil {
		return markFatal(err)
	}
	names, err := s.files.List(s.dir)
	if err != nil {
		return markFatal(err)
	}
	for _, n := range names {
		if strings.HasPrefix(n, segmentPrefix) {
			return errors.Wrapf(ErrCorrupt, "%s is not listed but has entries", s.dir)
		}
	}
	for _, n := range names {
		if err := s.files.Remove(s.path(n)); err != nil {
			return markFatal(err)
		}
	}
	return nil
}

// SetAside renames a corrupt data directory, so that the next Open creates a new one
// with a new identity. It returns the new path of the corrupt directory.
func SetAside(f FileSystem, path string) (name string, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(markFatal(err), "set aside %s", path)
		}
	}()
	parent, base := filepath.Dir(path), filepath.Base(path)
	names, err := f.List(parent)
	if err != nil {
		return "", err
	}
	for i := 1; ; i++ {
		name = fmt.Sprintf("%s.corrupt-%d", base, i)
		if !slices.Contains(names, name) {
			break
		}
	}
	name = filepath.Join(parent, name)
	if err := f.Rename(path, name); err != nil {
		return "", err
	}
	return name, f.SyncDir(parent)
}
