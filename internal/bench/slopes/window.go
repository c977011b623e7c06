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

// row is the mean use per process of each role.
type row map[string]usage

// window measures all processes for the length of the plan's window.
func (m *measurement) window(ctx context.Context, what string) (r row, err error) {
	t := m.options.Timer
	if err = timer.Sleep(ctx, t, m.plan.settle); err != nil {
		return nil, err
	}
	before, err := m.samples()
	if err != nil {
		return nil, err
	}
	begin := t.Now()
	if err = timer.Sleep(ctx, t, m.plan.window); err != nil {
		return nil, err
	}
	after, err := m.samples()
	if err != nil {
		return nil, err
	}
	r = m.row(before, after, elapsed(t, begin))
	fmt.Fprintf(m.options.Out, "%-16s", what)
	for _, o := range roles {
		u := r[o]
		fmt.Fprintf(m.options.Out, "  %s %5.2f%% CPU %6.1f MB %7.1f KB/s", o, 100*u.cpu, u.memory/1e6, u.bytes/1e3)
	}
	fmt.Fprintln(m.options.Out)
	return r, nil
}

// samples reads the counters of all instances.
func (m *measurement) samples() (list []sample, err error) {
	for _, i := range m.cluster.Instances {
		s, err := take(i.Process().PID())
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

func (m *measurement) row(before, after []sample, d time.Duration) row {
	uses := map[string][]usage{}
	for n, i := range m.cluster.Instances {
		role := m.role(i)
		uses[role] = append(uses[role], between(before[n], after[n], d))
	}
	r := row{}
	for role, list := range uses {
		r[role] = mean(list)
	}
	for _, u := range append(uses["leader"], uses["follower"]...) {
		c := r["control"]
		r["control"] = usage{cpu: c.cpu + u.cpu, memory: c.memory + u.memory, bytes: c.bytes + u.bytes}
	}
	return r
}

func (m *measurement) role(i *cluster.Instance) string {
	switch {
	case i.Role == "entry":
		return "entry"
	case i == m.leader:
		return "leader"
	}
	return "follower"
}

// changer applies changes at a fixed rate.
type changer struct {
	measurement *measurement
	rate        int
	count       int
}

// run applies changes until the context is done.
func (c *changer) run(ctx context.Context) error {
	ticks := c.measurement.options.Timer.Subscribe(time.Second / time.Duration(c.rate))
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			if err := c.measurement.change(context.WithoutCancel(ctx)); err != nil {
				return err
			}
			c.count++
		}
	}
}

func (m *measurement) withChanges(ctx context.Context, rate int) (err error) {
	c := &changer{measurement: m, rate: rate}
	g := group.New(ctx)
	g.Go("changer", c.run)
	r, err := m.window(ctx, fmt.Sprintf("%d changes/s", rate))
	if err = errors.CombineErrors(err, g.Stop()); err != nil {
		return err
	}
	m.changes += c.count
	fmt.Fprintf(m.options.Out, "  %d changes accepted\n", c.count)
	m.table.add("change/s", float64(rate), float64(m.changes), r)
	return nil
}

// table collects the points of each factor.
type table struct {
	order []string
	rows  map[string][]setting
}

// setting is the use at one setting of a factor.
type setting struct {
	// x is the factor, kept how much of it the processes hold by then.
	x, kept float64
	r       row
}

func (t *table) add(factor string, x, kept float64, r row) {
	if t.rows == nil {
		t.rows = map[string][]setting{}
	}
	if t.rows[factor] == nil {
		t.order = append(t.order, factor)
	}
	t.rows[factor] = append(t.rows[factor], setting{x, kept, r})
}

// slopes returns how the use in one role grows with a factor: processor time
// and bytes with the factor itself, memory with what is kept of it.
func (t *table) slopes(factor, role string) usage {
	var cpu, memory, bytes []point
	for _, s := range t.rows[factor] {
		u := s.r[role]
		cpu = append(cpu, point{s.x, u.cpu})
		memory = append(memory, point{s.kept, u.memory})
		bytes = append(bytes, point{s.x, u.bytes})
	}
	return usage{cpu: slope(cpu), memory: slope(memory), bytes: slope(bytes)}
}

// renewals is the number of renewals per second of an idle entry: the leader
// holds each of them back for 500 ms.
const renewals = 2

// print writes one line per factor and role. Factors that are rates give
// figures per event, the others give figures per unit and second.
func (t *table) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "per\tin each\tCPU\tmemory\tbytes\t")
	for _, f := range t.order {
		per := "/s"
		if strings.HasSuffix(f, "/s") {
			per = ""
		}
		for _, r := range roles {
			u := t.slopes(f, r)
			fmt.Fprintf(w, "%s\t%s\t%.1f us%s\t%.2f KB\t%.0f B%s\t\n",
				strings.TrimSuffix(f, "/s"), r, u.cpu*1e6, per, u.memory/1e3, u.bytes, per)
		}
	}
	// An idle entry does nothing but renew; in control the slope per lease is what renewals use.
	idle := t.rows[leases][0].r["entry"]
	control := t.slopes(leases, "control")
	fmt.Fprintf(w, "idle renewal\tentry\t%.1f us\t\t%.0f B\t\n", idle.cpu*1e6/renewals, idle.bytes/renewals)
	fmt.Fprintf(w, "idle renewal\tcontrol\t%.1f us\t\t%.0f B\t\n", control.cpu*1e6/renewals, control.bytes/renewals)
	_ = w.Flush()
}
