package server

import (
	"encoding/json"
	"io/fs"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// recordFile is the file in the data directory that stores the membership record.
const recordFile = "formed.json"

// membershipRecord states that an instance is a member of a control group. Members holds
// the first members; it is empty if the instance joined after the bootstrap.
type membershipRecord struct {
	Groups  uint32          `json:"groups"`
	Members []*wire.Founder `json:"members,omitempty"`
}

// loadRecord returns nil if the instance is not a member of a control group yet.
func loadRecord(f disk.FileSystem, directory string) (r *membershipRecord, err error) {
	path := filepath.Join(directory, recordFile)
	defer func() {
		if err != nil {
			err = errors.Wrap(err, path)
		}
	}()
	text, err := f.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	r = &membershipRecord{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, err
	}
	return r, nil
}

// save writes the record atomically and syncs it.
func (r *membershipRecord) save(f disk.FileSystem, directory string) (err error) {
	path := filepath.Join(directory, recordFile)
	defer func() {
		if err != nil {
			err = errors.Wrap(err, path)
		}
	}()
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return disk.WriteFileAtomic(f, directory, recordFile, text)
}
