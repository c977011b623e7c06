package entry

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

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
func loadRecord(directory string) (r *record, err error) {
	path := filepath.Join(directory, recordName)
	defer func() {
		if err != nil {
			err = errors.Wrap(err, path)
		}
	}()
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
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
func (r *record) save(directory string) (err error) {
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
	if err := writeSynced(path+".tmp", text); err != nil {
		return err
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		return err
	}
	return syncDirectory(directory)
}

func writeSynced(path string, text []byte) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	if _, err := f.Write(text); err != nil {
		return err
	}
	return f.Sync()
}

func syncDirectory(path string) (err error) {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, d.Close()) }()
	return d.Sync()
}
