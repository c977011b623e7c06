package server

import (
	"encoding/json"
	"io/fs"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// recordName is the file that tells how an instance came into the control group.
const recordName = "formed.json"

// record says that an instance belongs to a control group. Members is empty for
// one that joined after the formation.
type record struct {
	Groups  uint32          `json:"groups"`
	Members []*wire.Founder `json:"members,omitempty"`
}

// loadRecord returns nil if the instance belongs to no group yet.
func loadRecord(f disk.FileSystem, directory string) (r *record, err error) {
	path := filepath.Join(directory, recordName)
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
	r = &record{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, err
	}
	return r, nil
}

// save writes the record and syncs it before it takes effect.
func (r *record) save(f disk.FileSystem, directory string) (err error) {
	path := filepath.Join(directory, recordName)
	defer func() {
		if err != nil {
			err = errors.Wrap(err, path)
		}
	}()
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return disk.WriteFileAtomic(f, directory, recordName, text)
}
