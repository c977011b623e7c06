package outage_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/bench/outage"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/platform/dialect"
)

// binary is the path of bench, which TestMain builds.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "outage-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binary = filepath.Join(directory, "bench")
	if out, err := exec.Command("go", "build", "-o", binary, "wisteriakeel.example/wisteriakeel/cmd/bench").CombinedOutput(); err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// seeds are the seeds that TestOutages runs, each with the failure that it guards against.
var seeds = []struct {
	seed    uint64
	cause   string
	pattern string
}{
	{20, "no leader after a cut healed and the other replicas were lost", "relieve"},
}

// Guards against reads, changes and requests that stay refused after outages in which nothing
// answers, and against acknowledged changes that are lost.
func TestOutages(t *testing.T) {
	t.Parallel()
	for i, s := range seeds {
		t.Run(fmt.Sprint("seed=", s.seed), func(t *testing.T) {
			t.Parallel()
			play(t, s.seed, s.pattern, i)
		})
	}
}

// Guards against polls and fetches that wait for silent connections one after the other, until the
// instance no longer serves although the leader is there.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	play(t, 600, "stale", len(seeds))
}

// Guards against an earlier release that plays an outage without the network that it needs, and so
// appears to hold.
func TestNetworkNeeded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	err := outage.Run(context.Background(), outage.Options{
		Dialect: dialect.Dialect{}, Binary: binary, Plain: true, Directory: t.TempDir(), Size: outage.Small,
		Patterns: []string{"freeze", "isolate"}, Rounds: 2, Timer: timer.NewSystem(), Out: io.Discard,
	})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "isolate needs the network"))
}

// play plays one outage on the small deployment.
func play(t *testing.T, seed uint64, pattern string, subnet int) {
	is := is.New(t)
	var report bytes.Buffer
	err := outage.Run(context.Background(), outage.Options{
		Dialect: dialect.Dialect{}, Binary: binary, Directory: t.TempDir(), Seed: seed, Size: outage.Small,
		Subnet: subnet, Patterns: []string{pattern}, Rounds: 1, Timer: timer.NewSystem(), Out: &report,
	})
	t.Log(report.String())
	is.NoErr(err)
}
