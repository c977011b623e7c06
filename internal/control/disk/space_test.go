package disk_test

import (
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// unknownSpace is a file system that does not tell its free space while failure is set.
type unknownSpace struct {
	disk.FileSystem
	failure error
}

func (u *unknownSpace) FreeBytes(dir string) (uint64, error) {
	if u.failure != nil {
		return 0, u.failure
	}
	return u.FileSystem.FreeBytes(dir)
}

// Guards against a store that fails for good because the free space could not be read once, although
// nothing was written.
func TestUnknownSpace(t *testing.T) {
	is := is.New(t)
	files := &unknownSpace{FileSystem: disk.OSFileSystem{}}
	d, err := disk.Open(files, t.TempDir(), 0)
	is.NoErr(err)
	s, err := d.OpenGroup(0)
	is.NoErr(err)
	_, _, _, err = s.Load()
	is.NoErr(err)
	files.failure = syscall.EINTR
	is.True(errors.Is(s.CheckSpace(1), disk.ErrStorageFull))
	is.True(errors.Is(s.SaveSnapshot(replica.SnapshotMeta{Index: 1, Term: 1}, nil), disk.ErrStorageFull))
	files.failure = nil
	is.NoErr(s.CheckSpace(1))
	is.NoErr(s.SaveHardState(replica.HardState{Term: 1}))
	files.failure = syscall.EIO // a failed disk ends the replica, so that its process is started again
	is.True(errors.Is(s.CheckSpace(1), disk.ErrFatal))
	is.NoErr(s.Close())
}
