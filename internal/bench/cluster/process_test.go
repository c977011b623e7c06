package cluster

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// parent tells the test binary to start a child and wait, as bench does.
const parent = "WISTERIAKEEL_TEST_PARENT"

func TestMain(m *testing.M) {
	if folder := os.Getenv(parent); folder != "" {
		p, err := NewLauncher(folder).Start("child", "sleep", "30")
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(p.PID())
		time.Sleep(30 * time.Second)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// running tells whether a process exists and has not ended.
func running(pid string) bool {
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	return !strings.HasPrefix(rest, "Z")
}

func gone(t *testing.T, pid string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); running(pid); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("child still runs")
		}
	}
}

// Guards against children that outlive a parent that was killed.
func TestChildrenEndWithKilledParent(t *testing.T) {
	is := is.New(t)
	self, err := os.Executable()
	is.NoErr(err)
	c := exec.Command(self)
	c.Env = append(os.Environ(), parent+"="+t.TempDir())
	out, err := c.StdoutPipe()
	is.NoErr(err)
	is.NoErr(c.Start())
	line, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	pid := strings.TrimSpace(line)
	is.True(running(pid))
	is.NoErr(c.Process.Kill())
	_ = c.Wait()
	gone(t, pid)
}

// Guards against children that outlive the launcher, and against starts after its end.
func TestClose(t *testing.T) {
	is := is.New(t)
	l := NewLauncher(t.TempDir())
	p, err := l.Start("child", "sleep", "30")
	is.NoErr(err)
	is.True(p.Alive())
	is.NoErr(l.Close())
	is.True(!p.Alive())
	is.True(!running(fmt.Sprint(p.PID())))
	_, err = l.Start("late", "sleep", "30")
	is.True(err != nil)
}
