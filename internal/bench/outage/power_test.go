package outage_test

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/bench/outage"
	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against losses of power that take back what was synced, or keep what was not, on the disk
// of a process that was killed: the checks of a run would then blame the instances, or see nothing.
func TestLosePower(t *testing.T) {
	for _, c := range []struct {
		name    string
		act     func(is *is.I, f disk.FileSystem, dir string)
		torn    string // appended to the journal, as by a process that was killed within a step
		outcome int    // 0 takes back all that was not synced, 1 nothing, 4 the bytes but not their number
		want    string // names and contents
	}{
		{name: "synced", act: writeSynced, want: "a=one"},
		{name: "write", act: appendUnsynced, want: "a=one"},
		{name: "write kept", act: appendUnsynced, outcome: 1, want: "a=onetwo"},
		{name: "length kept", act: appendUnsynced, outcome: 4, want: "a=one\x00\x00\x00"},
		{name: "name", act: renameUnsynced, want: "a=one"},
		{name: "name kept", act: renameUnsynced, outcome: 1, want: "b=one"},
		{name: "removal", act: removeUnsynced, want: "a=one"},
		{name: "removal kept", act: removeUnsynced, outcome: 1, want: ""},
		{name: "directory", act: addDirectory, want: "a=one"},
		{name: "torn step", act: writeSynced, torn: `{"id":1,"kind":"rem`, outcome: 1, want: "a=one"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			dir, journal := filepath.Join(t.TempDir(), "disk"), filepath.Join(t.TempDir(), "journal")
			_, err := outage.Mount(dir, journal)
			is.NoErr(err)
			j, err := outage.OpenJournal(disk.OSFileSystem{}, journal, 0, timer.NewSystem())
			is.NoErr(err)
			c.act(is, j, dir)
			_, err = j.OpenAppend(filepath.Join(dir, "missing"))
			is.True(errors.Is(err, fs.ErrNotExist))
			is.NoErr(j.Close())
			appendTo(is, journal, c.torn)
			before := listFiles(is, dir)
			_, err = outage.Mount(dir, journal)
			is.NoErr(err)
			is.Equal(listFiles(is, dir), before) // a kill takes nothing back
			// What one loss leaves, a second leaves too.
			for range 2 {
				_, err = outage.LosePower(dir, journal, timer.NewSystem(), func(int) int { return c.outcome })
				is.NoErr(err)
				is.Equal(listFiles(is, dir), c.want)
				_, err = outage.Mount(dir, journal)
				is.NoErr(err)
				is.Equal(listFiles(is, dir), c.want)
			}
		})
	}
}

func writeSynced(is *is.I, f disk.FileSystem, dir string) {
	is.NoErr(disk.WriteFileAtomic(f, dir, "a", []byte("one")))
}

func appendUnsynced(is *is.I, f disk.FileSystem, dir string) {
	writeSynced(is, f, dir)
	file, err := f.OpenAppend(filepath.Join(dir, "a"))
	is.NoErr(err)
	_, err = file.Write([]byte("two"))
	is.NoErr(err)
	is.NoErr(file.Close())
}

func renameUnsynced(is *is.I, f disk.FileSystem, dir string) {
	writeSynced(is, f, dir)
	is.NoErr(f.Rename(filepath.Join(dir, "a"), filepath.Join(dir, "b")))
}

func removeUnsynced(is *is.I, f disk.FileSystem, dir string) {
	writeSynced(is, f, dir)
	is.NoErr(f.Remove(filepath.Join(dir, "a")))
}

// addDirectory adds a directory whose name is not synced, with a file that is.
func addDirectory(is *is.I, f disk.FileSystem, dir string) {
	writeSynced(is, f, dir)
	is.NoErr(f.MkdirAll(filepath.Join(dir, "group")))
	writeSynced(is, f, filepath.Join(dir, "group"))
}

func appendTo(is *is.I, path, text string) {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	is.NoErr(err)
	_, err = f.WriteString(text)
	is.NoErr(err)
	is.NoErr(f.Close())
}

// listFiles returns the names and contents of all files in a directory.
func listFiles(is *is.I, dir string) string {
	var list []string
	is.NoErr(filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		list = append(list, strings.TrimPrefix(path, dir+"/")+"="+string(data))
		return err
	}))
	return strings.Join(list, " ")
}
