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

// parentVariable is the environment variable that makes the test binary start a child
// process and wait, as the bench program does. Its value is the log directory.
const parentVariable = "WISTERIAKEEL_TEST_PARENT"

func TestMain(m *testing.M) {
	if directory := os.Getenv(parentVariable); directory != "" {
		p, err := NewLauncher(directory).Start("child", "sleep", "30")
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

// isRunning reports whether a process exists and is not a zombie.
func isRunning(pid string) bool {
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	return !strings.HasPrefix(rest, "Z")
}

// waitUntilEnded fails the test if the process does not end within five seconds.
func waitUntilEnded(t *testing.T, pid string) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); isRunning(pid); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("child process is still running")
		}
	}
}

// Children must not outlive a parent that was killed.
func TestChildrenEndWithKilledParent(t *testing.T) {
	is := is.New(t)
	self, err := os.Executable()
	is.NoErr(err)
	c := exec.Command(self)
	c.Env = append(os.Environ(), parentVariable+"="+t.TempDir())
	out, err := c.StdoutPipe()
	is.NoErr(err)
	is.NoErr(c.Start())
	line, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	pid := strings.TrimSpace(line)
	is.True(isRunning(pid))
	is.NoErr(c.Process.Kill())
	_ = c.Wait()
	waitUntilEnded(t, pid)
}

// Closing the launcher must kill its children and prevent further starts.
func TestLauncherClose(t *testing.T) {
	is := is.New(t)
	l := NewLauncher(t.TempDir())
	p, err := l.Start("child", "sleep", "30")
	is.NoErr(err)
	is.True(p.Alive())
	is.NoErr(l.Close())
	is.True(!p.Alive())
	is.True(!isRunning(fmt.Sprint(p.PID())))
	_, err = l.Start("late", "sleep", "30")
	is.True(err != nil)
}
