// Package demo runs the whole path as separate processes under load, kills
// some of them, and checks what the callers saw against the upstreams and the
// ledger.
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

// limit ends the demonstration whatever happens.
const limit = 58 * time.Second

// Options configures the demonstration.
type Options struct {
	// Binary is the path of wisteriakeel, Bench that of this program.
	Binary string
	Bench  string
	// Kill lists what is killed: entry, control, upstream or all.
	Kill  []string
	Seed  uint64
	Keep  bool
	Out   io.Writer
	Timer timer.Service
}

// accounts are the client accounts of the demonstration.
var accounts = []string{"harbison-desk", "granite-desk", "lakes-bulk"}

// demo is one run.
type demo struct {
	options Options
	cluster *cluster.Cluster
	begin   timer.Instant
	callers map[string]*caller.Caller
	small   []*cluster.Upstream
	large   []*cluster.Upstream
	desk    []*cluster.Upstream

	mu       sync.Mutex
	passed   int
	failures []string
	// applied is the highest revision that was reported as in force.
	applied uint64

	// pool is the revision of the pool's document.
	pool     uint64
	monitors []*monitor
	// withdrawn is what the withdrawn version had run when the change was in force.
	withdrawn fault.RunCounts
	elapsed   time.Duration
	changed   bool
	// drained is when an entry was told to drain; nothing is killed after it.
	drained timer.Instant
}

// ErrChecksFailed means that a check failed; all of them have been printed.
var ErrChecksFailed = errors.New("checks failed")

// Run runs the demonstration; it returns an error if any check failed.
func Run(ctx context.Context, o Options) (err error) {
	d := &demo{options: o, begin: o.Timer.Now(), callers: map[string]*caller.Caller{}}
	ctx, cancel := timer.WithTimeout(ctx, o.Timer, limit)
	defer cancel()
	d.cluster, err = cluster.New(cluster.Options{
		Binary: o.Binary, BenchBinary: o.Bench, ControlCount: 3, EntryCount: 3, Accounts: accounts, Timer: o.Timer,
	})
	if err != nil {
		return err
	}
	err = d.run(ctx)
	if err != nil {
		d.check("run", err)
		d.cluster.DumpGoroutines(ctx)
	}
	bad := len(d.failures) > 0
	if e := d.cluster.Close(bad || o.Keep); e != nil {
		d.check("stop of all processes", e)
	}
	if bad || o.Keep {
		fmt.Fprintln(o.Out, "logs are in", d.cluster.Directory)
	}
	fmt.Fprintf(o.Out, "%d passed, %d failed\n", d.passed, len(d.failures))
	if bad {
		return ErrChecksFailed
	}
	return nil
}

// kills tells whether that kind of process is killed.
func (d *demo) kills(kind string) bool {
	return slices.Contains(d.options.Kill, kind) || slices.Contains(d.options.Kill, "all")
}

// note prints what happens, with the time since the start.
func (d *demo) note(format string, args ...any) {
	at := d.options.Timer.Now().Sub(d.begin)
	fmt.Fprintf(d.options.Out, "%6.2fs %s\n", at.Seconds(), fmt.Sprintf(format, args...))
}

// check counts one check and prints it.
func (d *demo) check(what string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.passed++
		d.note("pass: %s", what)
		return
	}
	d.failures = append(d.failures, what)
	d.note("FAIL: %s: %v", what, err)
}

func (d *demo) run(ctx context.Context) (err error) {
	if err = d.start(ctx); err != nil {
		return err
	}
	if err = d.configure(ctx); err != nil {
		return err
	}
	if err = d.script(ctx); err != nil {
		return err
	}
	return d.checks(ctx)
}
