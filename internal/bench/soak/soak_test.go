package soak_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/bench/soak"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/platform/dialect"
)

// seeds are run in CI: the first always, the others since they failed once.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "instances that started at the same moment founded no control group"},
}

// Guards against broken promises to callers while processes, connections and disks
// fail: a short run of the soak with each seed that ever failed.
func TestSoak(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "wisteriakeel")
	build := exec.Command("go", "build", "-o", binary, "wisteriakeel.example/wisteriakeel")
	out, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, s := range seeds {
		t.Run(fmt.Sprint("seed=", s.seed), func(t *testing.T) {
			is := is.New(t)
			folder := t.TempDir()
			var report bytes.Buffer
			err := soak.Run(context.Background(), soak.Options{
				Dialect: dialect.Dialect{}, Binary: binary, Directory: folder, Seed: s.seed, FaultDuration: 10 * time.Second,
				Timer: timer.NewSystem(), Out: &report,
			})
			t.Log(report.String())
			if err != nil {
				logs, failure := filepath.Glob(filepath.Join(folder, "*.log"))
				is.NoErr(failure)
				for _, path := range logs {
					text, failure := os.ReadFile(path)
					is.NoErr(failure)
					t.Logf("%s:\n%s", filepath.Base(path), text[max(0, len(text)-4000):])
				}
			}
			is.NoErr(err)
		})
	}
}
