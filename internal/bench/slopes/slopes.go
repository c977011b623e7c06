// Package slopes measures how the resource usage of the processes of small clusters grows per request,
// lease renewal, configuration change and upstream, to estimate the usage of larger deployments.
package slopes

import (
	"context"
	"fmt"
	"io"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// account is the only client account of the measured clusters.
const account = "measure"

// Options configures a measurement.
type Options struct {
	// Binary is the path of wisteriakeel, Bench the path of the running program.
	Binary      string
	BenchBinary string
	// Quick selects fewer settings and shorter windows.
	Quick bool
	Out   io.Writer
	Timer timer.Service
}

// plan holds the settings to measure: numbers of entries and upstreams, and changes and requests per
// second.
type plan struct {
	entries   []int
	upstreams []int
	changes   []int
	requests  []int
	window    time.Duration
	// settleTime is the pause before each window.
	settleTime  time.Duration
	maxDuration time.Duration
}

var (
	fullPlan = plan{
		entries: []int{3, 6, 12}, upstreams: []int{100, 200, 400}, changes: []int{1, 5, 10}, requests: []int{50, 100, 200},
		window: 7 * time.Second, settleTime: time.Second, maxDuration: 175 * time.Second,
	}
	quickPlan = plan{
		entries: []int{3, 6}, upstreams: []int{200}, changes: []int{5}, requests: []int{100},
		window: 2 * time.Second, settleTime: 500 * time.Millisecond, maxDuration: 29 * time.Second,
	}
)

// leaseFactor is the name of the factor measured by the number of entries, each of which renews one lease.
const leaseFactor = "entry lease"

// roles are the roles in the order of the table. "leader" is the leader of group 0. As the leaders of
// the data groups differ between clusters, "control" is the sum over all control instances.
var roles = []string{"entry", "leader", "follower", "control"}

// measurement is the state of one run.
type measurement struct {
	options      Options
	plan         plan
	cluster      *cluster.Cluster
	fleet        *simulatedFleet
	leader       *cluster.Instance
	table        *table
	baseRevision uint64
	changeNumber uint32
	// acceptedChanges and answeredRequests are the totals so far on the first cluster.
	acceptedChanges  int
	answeredRequests int
}

// Run measures all settings and prints the table.
func Run(ctx context.Context, o Options) (err error) {
	m := &measurement{options: o, plan: fullPlan, table: &table{}}
	if o.Quick {
		m.plan = quickPlan
	}
	ctx, cancel := timer.WithTimeout(ctx, o.Timer, m.plan.maxDuration)
	defer cancel()
	for i, n := range m.plan.entries {
		if err = m.measureCluster(ctx, n, i == 0); err != nil {
			return err
		}
	}
	m.table.print(o.Out)
	return nil
}

// measureCluster measures an idle cluster with a number of entries, and with allFactors the other
// factors as well.
func (m *measurement) measureCluster(ctx context.Context, entries int, allFactors bool) (err error) {
	m.baseRevision = 0
	m.cluster, err = cluster.New(cluster.Options{
		Binary: m.options.Binary, BenchBinary: m.options.BenchBinary, ControlCount: 3, EntryCount: entries,
		Accounts: []string{account}, Timer: m.options.Timer,
	})
	if err != nil {
		return err
	}
	keep := false
	defer func() {
		keep = err != nil
		err = errors.CombineErrors(err, m.cluster.Close(keep))
		if keep {
			err = errors.Wrapf(err, "logs are in %s", m.cluster.Directory)
		}
	}()
	if err = m.cluster.StartAll(); err != nil {
		return err
	}
	if err = m.cluster.Await(ctx, "answer of all instances", 15*time.Second, m.cluster.CheckAllListed); err != nil {
		return err
	}
	if err = m.applyChange(ctx); err != nil {
		return err
	}
	if m.leader, err = m.cluster.Leader(ctx); err != nil {
		return err
	}
	idle, err := m.measureWindow(ctx, fmt.Sprintf("%d entries", entries))
	if err != nil {
		return err
	}
	m.table.add(leaseFactor, float64(entries), float64(entries), idle)
	if !allFactors {
		return nil
	}
	return m.measureFactors(ctx, idle)
}

// measureFactors varies the rate of changes, the number of upstreams and the rate of requests, one at
// a time.
func (m *measurement) measureFactors(ctx context.Context, idle roleUsage) (err error) {
	m.table.add("change/s", 0, 0, idle)
	for _, n := range m.plan.changes {
		if err = m.measureChanges(ctx, n); err != nil {
			return err
		}
	}
	if idle, err = m.measureWindow(ctx, "no upstreams"); err != nil {
		return err
	}
	m.table.add("upstream", 0, 0, idle)
	if m.fleet, err = newSimulatedFleet(ctx, m.options.Timer, m.cluster); err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, m.fleet.close()) }()
	for i, n := range m.plan.upstreams {
		if err = m.registerUpstreams(ctx, n); err != nil {
			return err
		}
		r, err := m.measureWindow(ctx, fmt.Sprintf("%d upstreams", n))
		if err != nil {
			return err
		}
		m.table.add("upstream", float64(n), float64(n), r)
		if i == len(m.plan.upstreams)-1 {
			// Requests are measured with all upstreams announced, so this is the setting without requests.
			m.table.add("request/s", 0, 0, m.sumOverEntries(r))
		}
	}
	for _, n := range m.plan.requests {
		if err = m.measureRequests(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// registerUpstreams announces upstreams and waits until count of them are registered.
func (m *measurement) registerUpstreams(ctx context.Context, count int) error {
	m.fleet.announceUpTo(count)
	return m.cluster.Await(ctx, "registration of all upstreams", 15*time.Second, func(ctx context.Context) error {
		s, err := m.cluster.Status(ctx)
		if err != nil {
			return err
		}
		if len(s.Upstreams) < count {
			return errors.Newf("%d of %d upstreams are registered", len(s.Upstreams), count)
		}
		return nil
	})
}

// measureRequests measures a window with a rate of requests per second.
func (m *measurement) measureRequests(ctx context.Context, rate int) (err error) {
	g, err := newLoadGenerator(ctx, m.options.Timer, m.cluster, rate)
	if err != nil {
		return err
	}
	r, err := m.measureWindow(ctx, fmt.Sprintf("%d requests/s", rate))
	answered, other, stopErr := g.close()
	if err = errors.CombineErrors(err, stopErr); err != nil {
		return err
	}
	fmt.Fprintf(m.options.Out, "  %d requests answered, not answered: %v\n", answered, other)
	m.answeredRequests += answered
	m.table.add("request/s", float64(rate), float64(m.answeredRequests), m.sumOverEntries(r))
	return nil
}

// sumOverEntries returns the usage with the sum over all entries instead of their mean, as each request
// is handled by only one of them.
func (m *measurement) sumOverEntries(r roleUsage) roleUsage {
	n := float64(len(m.cluster.Entries()))
	e := r["entry"]
	r = maps.Clone(r)
	r["entry"] = usage{cpuShare: n * e.cpuShare, residentBytes: n * e.residentBytes, ioBytesPerSecond: n * e.ioBytesPerSecond}
	return r
}

// applyChange applies the document with a changed weight of the account.
func (m *measurement) applyChange(ctx context.Context) error {
	m.changeNumber++
	d := document.Document{
		Service: "pool", Kind: document.KindEngine,
		Models: []document.ModelSpec{{
			Name: "small", Versions: []document.VersionSpec{{Name: "1", State: document.StateActive}},
		}},
		Accounts: []document.AccountSpec{{Name: account, Models: []string{"small"}, Weight: 1 + m.changeNumber%100}},
	}
	a, err := m.cluster.Apply(ctx, d, m.baseRevision, 0)
	m.baseRevision = a.Revision
	return err
}
