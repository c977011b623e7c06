package outage_test

import (
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/bench/outage"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/platform/dialect"
)

// seeds are the seeds that the test runs, each with the failure that it guards against.
var seeds = []struct {
	seed    uint64
	cause   string
	pattern string
}{
	{20, "no leader after a cut healed and the other replicas were lost", "relieve"},
	{100, "polls waited for silent connections one after the other, past the lease of the configuration", "stale"},
}

// Guards against reads, changes and requests that stay refused after outages in which nothing
// answers, and against acknowledged changes that are lost.
func TestOutages(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "bench")
	out, err := exec.Command("go", "build", "-o", binary, "wisteriakeel.example/wisteriakeel/cmd/bench").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for i, s := range seeds {
		t.Run(fmt.Sprint("seed=", s.seed), func(t *testing.T) {
			t.Parallel()
			var report bytes.Buffer
			err := outage.Run(context.Background(), outage.Options{
				Dialect: dialect.Dialect{}, Binary: binary, Directory: t.TempDir(), Seed: s.seed, Size: outage.Small,
				Subnet: i, Patterns: []string{s.pattern}, Rounds: 1, Timer: timer.NewSystem(), Out: &report,
			})
			t.Log(report.String())
			is.New(t).NoErr(err)
		})
	}
}
