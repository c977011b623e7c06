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
	recovered    bool     // the names that Open found were synced, without success if recoverError is set
	recoverError error
}

// Open opens a data directory and creates it if necessary. A new identity is generated
// only if the directory is empty, and it is durable before Open returns. Names that a previous
// process left may be lost with the power until Recover returns for a store of the directory.
// reserveBytes is the disk space to keep free; see DefaultReserveBytes.
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
		if err := f.SyncDir(filepath.Dir(path)); err != nil {
			return nil, markFatal(err)
		}
		return d, d.generateIdentity()
	}
	return d, d.load(names)
}

// isUninitialized reports whether a data directory holds no data. It ignores an identity
// that was still being written when a previous process ended, and the lost+found
// directory that some file systems have at their root.
func isUninitialized(names []string) bool {
	for _, n := range names {
		if n != identityFile+tempSuffix && n != "lost+found" {
			return false
		}
	}
	return true
}

func (d *Directory) generateIdentity() error {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		return markFatal(err)
	}
	d.identity = replica.Identity(hex.EncodeToString(b[:]))
	return markFatal(WriteFileAtomic(d.files, d.path, identityFile, encodeRecord(recordIdentity, []byte(d.identity))))
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

// OpenGroup opens the store of one group. It creates the store if the group was never
// opened before.
func (d *Directory) OpenGroup(g replica.GroupID) (s *Store, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := fmt.Sprintf("group-%d", g)
	dir := filepath.Join(d.path, name)
	s = &Store{
		directory: d, files: d.files, dir: dir, identity: d.identity, reserveBytes: d.reserveBytes, segmentBytes: d.segmentBytes,
	}
	// A listed group is not created again: if its files were lost, it must not vote as if it were new.
	if slices.Contains(d.groups, name) {
		return s, nil
	}
	if err := d.createGroup(s, name); err != nil {
		return nil, errors.Wrapf(markFatal(err), "create group %d", g)
	}
	return s, nil
}

// createGroup stores an empty hard state before it lists the group, so that every listed
// group has one unless it was lost.
func (d *Directory) createGroup(s *Store, name string) error {
	if err := d.files.MkdirAll(s.dir); err != nil {
		return err
	}
	if err := d.files.SyncDir(d.path); err != nil {
		return err
	}
	if err := s.SaveHardState(replica.HardState{}); err != nil {
		return err
	}
	groups := append(slices.Clone(d.groups), name)
	record := encodeRecord(recordGroups, []byte(strings.Join(groups, "\n")))
	if err := WriteFileAtomic(d.files, d.path, groupsFile, record); err != nil {
		return err
	}
	d.groups = groups
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
