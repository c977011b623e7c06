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
	identityName    = "identity"
	groupsName      = "groups"
	temporarySuffix = ".tmp"
)

// DefaultReserveBytes is the space that is never used for changes, so that terms, votes
// and the entries in flight can still be written on a full disk.
const DefaultReserveBytes = 64 << 20

// Directory is the data directory of one control instance.
type Directory struct {
	files    FileSystem
	path     string
	reserve  uint64
	identity replica.Identity

	mu     sync.Mutex
	groups []string
}

// Open opens a data directory. An identity is generated only if the directory is
// empty; it is synced before Open returns.
func Open(f FileSystem, path string, reserve uint64) (d *Directory, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "data directory %s", path)
		}
	}()
	if err := f.MkdirAll(path); err != nil {
		return nil, fatal(err)
	}
	if err := f.SyncDir(filepath.Dir(path)); err != nil {
		return nil, fatal(err)
	}
	names, err := f.List(path)
	if err != nil {
		return nil, fatal(err)
	}
	d = &Directory{files: f, path: path, reserve: reserve}
	if empty(names) {
		return d, d.generate()
	}
	return d, d.load(names)
}

// empty allows for an identity that was being written when the process ended, and
// for the directory that some file systems keep at their root.
func empty(names []string) bool {
	for _, n := range names {
		if n != identityName+temporarySuffix && n != "lost+found" {
			return false
		}
	}
	return true
}

func (d *Directory) generate() error {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		return fatal(err)
	}
	d.identity = replica.Identity(hex.EncodeToString(b[:]))
	return fatal(WriteFileAtomic(d.files, d.path, identityName, encode(kindIdentity, []byte(d.identity))))
}

func (d *Directory) load(names []string) error {
	// A rename that was found may not be durable yet.
	if err := d.files.SyncDir(d.path); err != nil {
		return fatal(err)
	}
	if !slices.Contains(names, identityName) {
		return errors.Wrap(ErrCorrupt, "no identity in a directory that is not empty")
	}
	b, err := d.files.ReadFile(filepath.Join(d.path, identityName))
	if err != nil {
		return fatal(err)
	}
	payload, err := single(b, kindIdentity)
	if err != nil {
		return errors.Wrap(err, identityName)
	}
	d.identity = replica.Identity(payload)
	if !slices.Contains(names, groupsName) {
		return nil
	}
	b, err = d.files.ReadFile(filepath.Join(d.path, groupsName))
	if err != nil {
		return fatal(err)
	}
	payload, err = single(b, kindGroups)
	if err != nil {
		return errors.Wrap(err, groupsName)
	}
	d.groups = strings.Fields(string(payload))
	return nil
}

// Identity returns the identity of this directory.
func (d *Directory) Identity() replica.Identity { return d.identity }

// OpenGroup opens the store of one group and makes it if it was never opened before.
func (d *Directory) OpenGroup(g replica.GroupID) (s *Store, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := fmt.Sprintf("group-%d", g)
	dir := filepath.Join(d.path, name)
	s = &Store{files: d.files, dir: dir, reserve: d.reserve}
	// A group that is listed but has lost its files must not vote again as if it were new.
	if slices.Contains(d.groups, name) {
		return s, nil
	}
	if err := d.create(s, name); err != nil {
		return nil, errors.Wrapf(fatal(err), "group %d", g)
	}
	return s, nil
}

func (d *Directory) create(s *Store, name string) error {
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
	record := encode(kindGroups, []byte(strings.Join(groups, "\n")))
	if err := WriteFileAtomic(d.files, d.path, groupsName, record); err != nil {
		return err
	}
	d.groups = groups
	return nil
}

// SetAside renames a corrupt data directory, so that the next Open makes a new
// one with a new identity. It returns the new name.
func SetAside(f FileSystem, path string) (name string, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(fatal(err), "set aside %s", path)
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
