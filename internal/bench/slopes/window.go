package slopes

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// roleUsage is the mean usage per process of each role, and for "control" the sum.
type roleUsage map[string]usage

// measureWindow measures and prints the usage of all processes during one window.
func (m *measurement) measureWindow(ctx context.Context, label string) (r roleUsage, err error) {
	t := m.options.Timer
	if err = timer.Sleep(ctx, t, m.plan.settleTime); err != nil {
		return nil, err
	}
	before, err := m.takeSamples()
	if err != nil {
		return nil, err
	}
	begin := t.Now()
	if err = timer.Sleep(ctx, t, m.plan.window); err != nil {
		return nil, err
	}
	after, err := m.takeSamples()
	if err != nil {
		return nil, err
	}
	r = m.usageByRole(before, after, elapsed(t, begin))
	fmt.Fprintf(m.options.Out, "%-16s", label)
	for _, role := range roles {
		u := r[role]
		fmt.Fprintf(m.options.Out, "  %s %5.2f%% CPU %6.1f MB %7.1f KB/s", role, 100*u.cpuShare, u.residentBytes/1e6, u.ioBytesPerSecond/1e3)
	}
	fmt.Fprintln(m.options.Out)
	return r, nil
}

// takeSamples takes a sample of each instance.
func (m *measurement) takeSamples() (list []sample, err error) {
	for _, i := range m.cluster.Instances {
		s, err := takeSample(i.Process().PID())
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

// usageByRole returns the usage between two lists of samples that were taken d apart.
func (m *measurement) usageByRole(before, after []sample, d time.Duration) roleUsage {
	usages := map[string][]usage{}
	for n, i := range m.cluster.Instances {
		role := m.roleOf(i)
		usages[role] = append(usages[role], usageBetween(before[n], after[n], d))
	}
	r := roleUsage{}
	for role, list := range usages {
		r[role] = meanUsage(list)
	}
	for _, u := range append(usages["leader"], usages["follower"]...) {
		c := r["control"]
		r["control"] = usage{cpuShare: c.cpuShare + u.cpuShare, residentBytes: c.residentBytes + u.residentBytes, ioBytesPerSecond: c.ioBytesPerSecond + u.ioBytesPerSecond}
	}
	return r
}

// roleOf returns the role of an instance in the table.
func (m *measurement) roleOf(i *cluster.Instance) string {
	switch {
	case i.Role == "entry":
		return "entry"
	case i == m.leader:
		return "leader"
	}
	return "follower"
}

// changeGenerator applies configuration changes at a fixed rate.
type changeGenerator struct {
	measurement      *measurement
	changesPerSecond int
	accepted         int
}

// run applies changes until the context is done.
func (c *changeGenerator) run(ctx context.Context) error {
	ticks := c.measurement.options.Timer.Subscribe(time.Second / time.Duration(c.changesPerSecond))
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			if err := c.measurement.applyChange(context.WithoutCancel(ctx)); err != nil {
				return err
			}
			c.accepted++
		}
	}
}

// measureChanges measures a window with a rate of changes per second.
func (m *measurement) measureChanges(ctx context.Context, rate int) (err error) {
	c := &changeGenerator{measurement: m, changesPerSecond: rate}
	g := group.New(ctx)
	g.Go("changer", c.run)
	r, err := m.measureWindow(ctx, fmt.Sprintf("%d changes/s", rate))
	if err = errors.CombineErrors(err, g.Stop()); err != nil {
		return err
	}
	m.acceptedChanges += c.accepted
	fmt.Fprintf(m.options.Out, "  %d changes accepted\n", c.accepted)
	m.table.add("change/s", float64(rate), float64(m.acceptedChanges), r)
	return nil
}

// table collects the measured settings of each factor.
type table struct {
	factors []string
	rows    map[string][]measuredSetting
}

// measuredSetting is the usage at one setting of a factor.
type measuredSetting struct {
	// x is the setting, retained the number of items that the processes keep in memory by then.
	x, retained float64
	usage       roleUsage
}

// add adds the usage at one setting of a factor.
func (t *table) add(factor string, x, retained float64, r roleUsage) {
	if t.rows == nil {
		t.rows = map[string][]measuredSetting{}
	}
	if t.rows[factor] == nil {
		t.factors = append(t.factors, factor)
	}
	t.rows[factor] = append(t.rows[factor], measuredSetting{x, retained, r})
}

// slopes returns how the usage of a role grows with a factor: processor time and I/O per unit of the
// setting, memory per retained item.
func (t *table) slopes(factor, role string) usage {
	var cpu, memory, bytes []point
	for _, s := range t.rows[factor] {
		u := s.usage[role]
		cpu = append(cpu, point{s.x, u.cpuShare})
		memory = append(memory, point{s.retained, u.residentBytes})
		bytes = append(bytes, point{s.x, u.ioBytesPerSecond})
	}
	return usage{cpuShare: slope(cpu), residentBytes: slope(memory), ioBytesPerSecond: slope(bytes)}
}

// renewalsPerSecond is the rate of lease renewals of an idle entry: the leader delays each reply by
// 500 ms.
const renewalsPerSecond = 2

// print writes one line per factor and role. Values are per event for factors that are rates, else per
// unit and second.
func (t *table) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "per\tin each\tCPU\tmemory\tbytes\t")
	for _, f := range t.factors {
		per := "/s"
		if strings.HasSuffix(f, "/s") {
			per = ""
		}
		for _, r := range roles {
			u := t.slopes(f, r)
			fmt.Fprintf(w, "%s\t%s\t%.1f us%s\t%.2f KB\t%.0f B%s\t\n",
				strings.TrimSuffix(f, "/s"), r, u.cpuShare*1e6, per, u.residentBytes/1e3, u.ioBytesPerSecond, per)
		}
	}
	// An idle entry only renews its lease; in control, the slope per lease is the usage of the renewals.
	idle := t.rows[leaseFactor][0].usage["entry"]
	control := t.slopes(leaseFactor, "control")
	fmt.Fprintf(w, "idle renewal\tentry\t%.1f us\t\t%.0f B\t\n", idle.cpuShare*1e6/renewalsPerSecond, idle.ioBytesPerSecond/renewalsPerSecond)
	fmt.Fprintf(w, "idle renewal\tcontrol\t%.1f us\t\t%.0f B\t\n", control.cpuShare*1e6/renewalsPerSecond, control.ioBytesPerSecond/renewalsPerSecond)
	_ = w.Flush()
}
