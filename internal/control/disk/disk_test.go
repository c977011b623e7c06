package disk_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

const groupDir = "data/group-0/"

// openGroup opens group 0 as a new process, with a reserve of 1000 bytes.
func openGroup(t *testing.T, f *faulty.FileSystem) (*disk.Directory, *disk.Store) {
	t.Helper()
	is := is.New(t)
	d, err := disk.Open(f.Process(), "data", 1000)
	is.NoErr(err)
	s, err := d.OpenGroup(0)
	is.NoErr(err)
	return d, s
}

// reopen opens group 0 as a new process, loads it and makes durable what was loaded.
func reopen(t *testing.T, f *faulty.FileSystem) (s *disk.Store, h replica.HardState, e []replica.Entry, m replica.SnapshotMeta) {
	t.Helper()
	is := is.New(t)
	_, s = openGroup(t, f)
	h, e, m, err := s.Load()
	is.NoErr(err)
	is.NoErr(s.Recover())
	return s, h, e, m
}

func entries(from, to replica.Index, term replica.Term) (out []replica.Entry) {
	for i := from; i <= to; i++ {
		out = append(out, replica.Entry{Index: i, Term: term, Data: []byte(fmt.Sprint("entry ", i, " of term ", term))})
	}
	return out
}

// newFilledGroup returns a file system that stores a group with ten entries in five records.
func newFilledGroup(t *testing.T) *faulty.FileSystem {
	t.Helper()
	is := is.New(t)
	f := faulty.New(1)
	s, _, _, _ := reopen(t, f)
	is.NoErr(s.SaveHardState(replica.HardState{Term: 3, Vote: "x"}))
	for i := replica.Index(1); i <= 9; i += 2 {
		is.NoErr(s.Append(entries(i, i+1, 3)))
	}
	return f
}

// Guards against an identity that changes on restart, is lost in a crash after Open
// returned it, or is generated in a directory that holds other data.
func TestIdentity(t *testing.T) {
	is := is.New(t)
	f := faulty.New(1)
	d, s := openGroup(t, f)
	is.Equal(len(d.Identity()), 32)
	is.NoErr(s.Recover())
	f.Crash()
	again, _ := openGroup(t, f)
	is.Equal(again.Identity(), d.Identity())
	is.NoErr(f.Process().Remove("data/identity"))
	_, err := disk.Open(f.Process(), "data", 0)
	is.True(errors.Is(err, disk.ErrCorrupt))
	other, _ := openGroup(t, faulty.New(1))
	is.True(other.Identity() != d.Identity())
}

// creationSyncs is the number of syncs that create a directory with a group: three files, the
// directory, its parent and that of the group, and the directory again for the list of groups.
const creationSyncs = 7

// Guards against an identity or a group that counts as durable although a sync failed.
func TestIdentitySync(t *testing.T) {
	is := is.New(t)
	for n := range creationSyncs + 1 {
		f := faulty.New(1)
		f.FailSyncAfter(n)
		_, s := openGroup(t, f)
		err := s.Recover()
		is.Equal(errors.Is(err, disk.ErrFatal), n < creationSyncs)
		is.Equal(err == nil, n == creationSyncs)
	}
}

// Guards against a crash that loses synced entries, terms, votes or truncations.
func TestCrashKeepsSynced(t *testing.T) {
	is := is.New(t)
	f := newFilledGroup(t)
	f.Crash()
	s, h, e, m := reopen(t, f)
	is.Equal(h, replica.HardState{Term: 3, Vote: "x"})
	is.Equal(e, entries(1, 10, 3))
	is.Equal(m.Index, replica.Index(0))
	is.NoErr(s.Truncate(6))
	is.NoErr(s.SaveHardState(replica.HardState{Term: 4}))
	is.NoErr(s.Append(entries(6, 7, 4)))
	f.Crash()
	s, _, e, _ = reopen(t, f)
	is.Equal(e, append(entries(1, 5, 3), entries(6, 7, 4)...))
}

// Guards against an instance that refuses to start after a torn write at the end of its
// log, and against damage elsewhere that is cut off together with acknowledged entries.
func TestDamage(t *testing.T) {
	tests := []struct {
		name string
		file string
		edit func(b []byte) []byte
		kept replica.Index // last entry that is loaded, 0 if Load must fail
	}{
		{"last record cut off", "log-0000000000000001", func(b []byte) []byte { return b[:len(b)-1] }, 8},
		{"header cut off after the last record", "log-0000000000000001", func(b []byte) []byte { return append(b, 1, 2, 3) }, 10},
		{"last record damaged", "log-0000000000000001", func(b []byte) []byte { b[len(b)-1]++; return b }, 8},
		{"zeros at the end", "log-0000000000000001", func(b []byte) []byte { return append(b, make([]byte, 99)...) }, 10},
		{"record in the middle damaged", "log-0000000000000001", func(b []byte) []byte { b[len(b)/2]++; return b }, 0},
		{"length of the first record damaged", "log-0000000000000001", func(b []byte) []byte { b[3]++; return b }, 0},
		{"hard state damaged", "hard", func(b []byte) []byte { b[len(b)-1]++; return b }, 0},
		{"hard state cut off", "hard", func(b []byte) []byte { return b[:4] }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFilledGroup(t)
			f.Corrupt(groupDir+tt.file, tt.edit)
			_, s := openGroup(t, f)
			_, e, _, err := s.Load()
			if tt.kept == 0 {
				is.True(errors.Is(err, disk.ErrCorrupt))
				return
			}
			is.NoErr(err)
			is.Equal(e, entries(1, tt.kept, 3))
			is.NoErr(s.Recover())
			is.NoErr(s.Append(entries(tt.kept+1, 20, 3)))
			f.Crash()
			_, _, e, _ = reopen(t, f)
			is.Equal(e, entries(1, 20, 3))
		})
	}
}

// Guards against a group that lost its files and votes as if it were new.
func TestLostFiles(t *testing.T) {
	for _, names := range [][]string{{"hard"}, {"log-0000000000000001", "hard"}} {
		is := is.New(t)
		f := newFilledGroup(t)
		for _, n := range names {
			is.NoErr(f.Process().Remove(groupDir + n))
		}
		_, s := openGroup(t, f)
		_, _, _, err := s.Load()
		is.True(errors.Is(err, disk.ErrCorrupt))
	}
}

// Guards against a segment, snapshot or log that is lost or used wrongly: after a
// compaction, when a snapshot supersedes the log, or when the snapshot is damaged or
// missing so that the log does not reach back to it.
func TestSnapshotAndSegments(t *testing.T) {
	is := is.New(t)
	f := newFilledGroup(t)
	s, _, _, _ := reopen(t, f)
	members := []replica.Member{{Identity: "x", Address: "a", Voter: true}}
	meta := replica.SnapshotMeta{Index: 10, Term: 3, Members: members}
	data := make([]byte, 3<<20)
	is.NoErr(s.SaveSnapshot(meta, data))
	is.NoErr(s.SaveSnapshot(replica.SnapshotMeta{Index: 5, Term: 3}, nil)) // older: ignored
	is.NoErr(s.Compact(10))
	is.NoErr(s.Append(entries(11, 12, 3)))
	is.Equal(f.Names(groupDir+"log"), []string{groupDir + "log-0000000000000002"})
	f.Crash()
	s, _, e, m := reopen(t, f)
	is.Equal(e, entries(11, 12, 3))
	is.Equal(m, meta)
	_, got, err := s.ReadSnapshot()
	is.NoErr(err)
	is.Equal(len(got), len(data))
	// The process crashes after a snapshot superseded the log and before the log is removed.
	is.NoErr(s.SaveSnapshot(replica.SnapshotMeta{Index: 20, Term: 3, Members: members}, data))
	f.Crash()
	s, _, e, _ = reopen(t, f)
	is.Equal(len(e), 0)
	is.NoErr(s.Append(entries(21, 22, 3)))
	f.Crash()
	s, _, e, _ = reopen(t, f)
	is.Equal(e, entries(21, 22, 3))
	f.Corrupt(groupDir+"snapshot", func(b []byte) []byte { b[2<<20]++; return b })
	_, s = openGroup(t, f)
	_, _, _, err = s.Load()
	is.True(errors.Is(err, disk.ErrCorrupt))
	is.NoErr(f.Process().Remove(groupDir + "snapshot"))
	_, s = openGroup(t, f)
	_, _, _, err = s.Load()
	is.True(errors.Is(err, disk.ErrCorrupt))
}

// Guards against a failed sync that is retried or treated as success.
func TestFailedSync(t *testing.T) {
	is := is.New(t)
	f := newFilledGroup(t)
	s, _, _, _ := reopen(t, f)
	f.FailSyncAfter(0)
	is.True(errors.Is(s.Append(entries(11, 11, 3)), disk.ErrFatal))
	is.True(errors.Is(s.Append(entries(11, 11, 3)), disk.ErrFatal))
	is.True(errors.Is(s.SaveHardState(replica.HardState{Term: 9}), disk.ErrFatal))
}

// Guards against a vote or an identity that a process loads and uses, but that a later
// crash loses because the directory was never synced after the rename.
func TestRecoverSyncsDirectory(t *testing.T) {
	is := is.New(t)
	f := faulty.New(1)
	s, _, _, _ := reopen(t, f)
	f.FailSyncAfter(1) // the sync of the directory fails
	is.True(errors.Is(s.SaveHardState(replica.HardState{Term: 5, Vote: "x"}), disk.ErrFatal))
	for range 2 {
		_, h, _, _ := reopen(t, f)
		is.Equal(h, replica.HardState{Term: 5, Vote: "x"})
		f.Crash()
	}
	for n := range creationSyncs {
		f = faulty.New(1)
		f.FailSyncAfter(n)
		_, s = openGroup(t, f)
		is.True(errors.Is(s.Recover(), disk.ErrFatal))
		d, s := openGroup(t, f)
		is.NoErr(s.Recover())
		f.Crash()
		again, err := disk.Open(f.Process(), "data", 0)
		is.NoErr(err)
		is.Equal(again.Identity(), d.Identity())
	}
}

// Guards against an entry that was written but not synced before a restart, is treated
// as durable afterwards, and is lost in a later crash.
func TestRecoverSyncsLog(t *testing.T) {
	is := is.New(t)
	f := newFilledGroup(t)
	s, _, _, _ := reopen(t, f)
	f.FailSyncAfter(0)
	is.True(s.Append(entries(11, 11, 3)) != nil)
	_, _, e, _ := reopen(t, f)
	is.Equal(e, entries(1, 11, 3))
	f.Crash()
	s, _, e, _ = reopen(t, f)
	is.Equal(e, entries(1, 11, 3))
}

// Guards against log entries or a snapshot that are accepted although they would use the
// reserve.
func TestReserve(t *testing.T) {
	is := is.New(t)
	f := newFilledGroup(t)
	s, _, _, _ := reopen(t, f)
	f.SetFreeBytes(1100) // openGroup keeps 1000 of them in reserve
	is.NoErr(s.CheckSpace(100))
	is.True(errors.Is(s.CheckSpace(101), disk.ErrStorageFull))
	is.True(errors.Is(s.SaveSnapshot(replica.SnapshotMeta{Index: 1, Term: 3}, make([]byte, 101)), disk.ErrStorageFull))
	is.NoErr(s.SaveHardState(replica.HardState{Term: 4})) // terms and votes may use the reserve
}

// Guards against a corrupt directory that is opened again, and against a new directory
// with the identity of the corrupt one.
func TestSetAside(t *testing.T) {
	is := is.New(t)
	f := newFilledGroup(t)
	d, _ := openGroup(t, f)
	name, err := disk.SetAside(f.Process(), "data")
	is.NoErr(err)
	is.Equal(name, "data.corrupt-1")
	again, s := openGroup(t, f)
	is.True(again.Identity() != d.Identity())
	_, e, _, err := s.Load()
	is.NoErr(err)
	is.Equal(len(e), 0)
}

// Guards against behavior of the operating system's files that the in-memory file system
// does not have.
func TestOSFileSystem(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir() + "/data"
	for k := replica.Index(0); k < 3; k++ {
		d, err := disk.Open(disk.OSFileSystem{}, dir, 0)
		is.NoErr(err)
		s, err := d.OpenGroup(7)
		is.NoErr(err)
		_, e, m, err := s.Load()
		is.NoErr(err)
		is.Equal(m.Index, 4*k)
		is.Equal(len(e), int(4*k)) // compaction keeps the active segment
		is.NoErr(s.Recover())
		is.NoErr(s.SaveHardState(replica.HardState{Term: 1}))
		is.NoErr(s.Append(entries(4*k+1, 4*k+4, 1)))
		is.NoErr(s.SaveSnapshot(replica.SnapshotMeta{Index: 4*k + 4, Term: 1}, []byte("state")))
		is.NoErr(s.Compact(4 * k))
		is.NoErr(s.Close())
	}
}
