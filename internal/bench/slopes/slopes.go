// Package slopes measures what the processes of small clusters use per
// request, renewal, change and upstream, so that larger sizes can be estimated.
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

// account is the only client account.
const account = "measure"

// Options configures a measurement.
type Options struct {
	Binary string
	Bench  string
	// Quick measures fewer settings for a shorter time.
	Quick bool
	Out   io.Writer
	Timer timer.Service
}

// plan is the settings that are measured.
type plan struct {
	entries   []int
	upstreams []int
	changes   []int
	requests  []int
	window    time.Duration
	// settle is the wait before a window begins.
	settle time.Duration
	limit  time.Duration
}

var (
	full = plan{
		entries: []int{3, 6, 12}, upstreams: []int{100, 200, 400}, changes: []int{1, 5, 10}, requests: []int{50, 100, 200},
		window: 7 * time.Second, settle: time.Second, limit: 175 * time.Second,
	}
	quick = plan{
		entries: []int{3, 6}, upstreams: []int{200}, changes: []int{5}, requests: []int{100},
		window: 2 * time.Second, settle: 500 * time.Millisecond, limit: 29 * time.Second,
	}
)

// leases is the factor that the number of entries stands for.
const leases = "entry lease"

// roles in the order of the table. The leader is that of group 0; which control
// instance leads the data groups differs between clusters, so "control" adds up
// all control instances.
var roles = []string{"entry", "leader", "follower", "control"}

// measurement is one run.
type measurement struct {
	options Options
	plan    plan
	cluster *cluster.Cluster
	fleet   *fleet
	leader  *cluster.Instance
	table   *table
	base    uint64
	turn    uint32
	// changes and requests count what was accepted and answered so far.
	changes  int
	requests int
}

// Run measures and prints the table.
func Run(ctx context.Context, o Options) (err error) {
	m := &measurement{options: o, plan: full, table: &table{}}
	if o.Quick {
		m.plan = quick
	}
	ctx, cancel := timer.WithTimeout(ctx, o.Timer, m.plan.limit)
	defer cancel()
	for i, n := range m.plan.entries {
		if err = m.with(ctx, n, i == 0); err != nil {
			return err
		}
	}
	m.table.print(o.Out)
	return nil
}

// with measures on a cluster with that many entries.
func (m *measurement) with(ctx context.Context, entries int, all bool) (err error) {
	m.base = 0
	m.cluster, err = cluster.New(cluster.Options{
		Binary: m.options.Binary, BenchBinary: m.options.Bench, ControlCount: 3, EntryCount: entries,
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
	if err = m.change(ctx); err != nil {
		return err
	}
	if m.leader, err = m.cluster.Leader(ctx); err != nil {
		return err
	}
	idle, err := m.window(ctx, fmt.Sprintf("%d entries", entries))
	if err != nil {
		return err
	}
	m.table.add(leases, float64(entries), float64(entries), idle)
	if !all {
		return nil
	}
	return m.factors(ctx, idle)
}

// factors varies the changes, the upstreams and the requests, one at a time.
func (m *measurement) factors(ctx context.Context, idle row) (err error) {
	m.table.add("change/s", 0, 0, idle)
	for _, n := range m.plan.changes {
		if err = m.withChanges(ctx, n); err != nil {
			return err
		}
	}
	if idle, err = m.window(ctx, "no upstreams"); err != nil {
		return err
	}
	m.table.add("upstream", 0, 0, idle)
	if m.fleet, err = newFleet(ctx, m.options.Timer, m.cluster); err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, m.fleet.close()) }()
	for i, n := range m.plan.upstreams {
		if err = m.grow(ctx, n); err != nil {
			return err
		}
		r, err := m.window(ctx, fmt.Sprintf("%d upstreams", n))
		if err != nil {
			return err
		}
		m.table.add("upstream", float64(n), float64(n), r)
		if i == len(m.plan.upstreams)-1 {
			// The requests are measured with all upstreams announced.
			m.table.add("request/s", 0, 0, m.together(r))
		}
	}
	for _, n := range m.plan.requests {
		if err = m.withRequests(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// grow announces upstreams and waits until they are registered.
func (m *measurement) grow(ctx context.Context, count int) error {
	m.fleet.grow(count)
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

func (m *measurement) withRequests(ctx context.Context, rate int) (err error) {
	s, err := newSenders(ctx, m.options.Timer, m.cluster, rate)
	if err != nil {
		return err
	}
	r, err := m.window(ctx, fmt.Sprintf("%d requests/s", rate))
	answered, other, stop := s.close()
	if err = errors.CombineErrors(err, stop); err != nil {
		return err
	}
	fmt.Fprintf(m.options.Out, "  %d requests answered, not answered: %v\n", answered, other)
	m.requests += answered
	m.table.add("request/s", float64(rate), float64(m.requests), m.together(r))
	return nil
}

// together returns the row with the use of all entries instead of the mean, as
// each request goes through one of them only.
func (m *measurement) together(r row) row {
	n := float64(len(m.cluster.Entries()))
	e := r["entry"]
	r = maps.Clone(r)
	r["entry"] = usage{cpu: n * e.cpu, memory: n * e.memory, bytes: n * e.bytes}
	return r
}

// change applies the document with another weight.
func (m *measurement) change(ctx context.Context) error {
	m.turn++
	d := document.Document{
		Service: "pool", Kind: document.KindEngine,
		Models: []document.ModelSpec{{
			Name: "small", Versions: []document.VersionSpec{{Name: "1", State: document.StateActive}},
		}},
		Accounts: []document.AccountSpec{{Name: account, Models: []string{"small"}, Weight: 1 + m.turn%100}},
	}
	a, err := m.cluster.Apply(ctx, d, m.base, 0)
	m.base = a.Revision
	return err
}
