// Package demo runs a complete deployment as separate processes under load, kills some of them, and
// checks what the callers observed against the runs of the upstreams and the ledger.
package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/caller"
	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/bench/fault"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// maxDuration is the time limit of the whole demonstration.
const maxDuration = 58 * time.Second

// Options configures the demonstration.
type Options struct {
	// Binary is the path of wisteriakeel, Bench the path of the running program.
	Binary      string
	BenchBinary string
	// Kill lists the kinds of processes to kill: entry, control, upstream or all.
	Kill  []string
	Seed  uint64 // of the random numbers of the callers
	Keep  bool   // keep the directory of a passed run too
	Out   io.Writer
	Timer timer.Service
}

// accounts are the client accounts of the demonstration.
var accounts = []string{"harbison-desk", "granite-desk", "lakes-bulk"}

// demo is the state of one run.
type demo struct {
	options      Options
	cluster      *cluster.Cluster
	startTime    timer.Instant
	callers      map[string]*caller.Caller
	smallEngines []*cluster.Upstream
	largeEngines []*cluster.Upstream
	deskServices []*cluster.Upstream

	mu       sync.Mutex
	passed   int
	failures []string
	// inForceRevision is the highest revision that was reported as in force on all entries.
	inForceRevision uint64

	// poolRevision is the first revision of the pool's document.
	poolRevision uint64
	monitors     []*monitor
	// withdrawnRuns counts the runs of the withdrawn version until the change was in force.
	withdrawnRuns fault.RunCounts
	// propagationTime is the time from the acceptance of the change until it was in force.
	propagationTime  time.Duration
	versionWithdrawn bool
	// drainStart is when an entry was told to drain. No process is killed after that.
	drainStart timer.Instant
}

// ErrChecksFailed means that checks failed, which were printed.
var ErrChecksFailed = errors.New("checks failed")

// Run runs the demonstration; it returns an error if any check failed.
func Run(ctx context.Context, o Options) (err error) {
	d := &demo{options: o, startTime: o.Timer.Now(), callers: map[string]*caller.Caller{}}
	ctx, cancel := timer.WithTimeout(ctx, o.Timer, maxDuration)
	defer cancel()
	d.cluster, err = cluster.New(cluster.Options{
		Binary: o.Binary, BenchBinary: o.BenchBinary, ControlCount: 3, EntryCount: 3, Accounts: accounts, Timer: o.Timer,
	})
	if err != nil {
		return err
	}
	err = d.run(ctx)
	if err != nil {
		d.check("run", err)
		d.cluster.DumpGoroutines(ctx)
	}
	failed := len(d.failures) > 0
	if e := d.cluster.Close(failed || o.Keep); e != nil {
		d.check("stop of all processes", e)
	}
	if failed || o.Keep {
		fmt.Fprintln(o.Out, "logs are in", d.cluster.Directory)
	}
	fmt.Fprintf(o.Out, "%d passed, %d failed\n", d.passed, len(d.failures))
	if failed {
		return ErrChecksFailed
	}
	return nil
}

// shouldKill reports whether processes of a kind are to be killed.
func (d *demo) shouldKill(kind string) bool {
	return slices.Contains(d.options.Kill, kind) || slices.Contains(d.options.Kill, "all")
}

// logf prints a line with the time since the start.
func (d *demo) logf(format string, args ...any) {
	at := d.options.Timer.Now().Sub(d.startTime)
	fmt.Fprintf(d.options.Out, "%6.2fs %s\n", at.Seconds(), fmt.Sprintf(format, args...))
}

// check counts and prints the result of a check.
func (d *demo) check(what string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.passed++
		d.logf("pass: %s", what)
		return
	}
	d.failures = append(d.failures, what)
	d.logf("FAIL: %s: %v", what, err)
}

// run starts the processes, runs the script and checks the result.
func (d *demo) run(ctx context.Context) (err error) {
	if err = d.start(ctx); err != nil {
		return err
	}
	if err = d.applyDocuments(ctx); err != nil {
		return err
	}
	if err = d.runScript(ctx); err != nil {
		return err
	}
	return d.runChecks(ctx)
}
