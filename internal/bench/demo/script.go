package demo

import (
	"context"
	"fmt"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/bench/fault"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// sleep waits for a step of the script.
func (d *demo) sleep(ctx context.Context, t time.Duration) error {
	return timer.Sleep(ctx, d.options.Timer, t)
}

// script runs the load, the kills and the operator's change.
func (d *demo) script(ctx context.Context) (err error) {
	monitors := group.New(ctx)
	for _, i := range d.cluster.Instances {
		m := &monitor{demo: d, instance: i}
		d.monitors = append(d.monitors, m)
		monitors.Go("monitor", m.run)
	}
	l, err := d.startLoad(ctx)
	if err != nil {
		return err
	}
	err = d.events(ctx)
	err = errors.CombineErrors(err, l.end())
	d.note("load has ended")
	return errors.CombineErrors(err, monitors.Stop())
}

// events are what happens while the load runs.
func (d *demo) events(ctx context.Context) error {
	if err := d.sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	for _, e := range []struct {
		kind string
		run  func(ctx context.Context) error
	}{
		{"entry", d.killEntry},
		{"control", d.killLeader},
		{"upstream", d.killUpstreams},
	} {
		if !d.kills(e.kind) {
			continue
		}
		if err := e.run(ctx); err != nil {
			return errors.Wrapf(err, "kill %s", e.kind)
		}
	}
	if err := d.withdraw(ctx); err != nil {
		return errors.Wrap(err, "withdraw a version")
	}
	d.resend(ctx)
	if err := d.leave(ctx); err != nil {
		return errors.Wrap(err, "leave")
	}
	return errors.Wrap(d.drain(ctx), "drain")
}

// resend repeats the operator's change as after a lost answer, and races it
// with another one of the same base.
func (d *demo) resend(ctx context.Context) {
	a, err := d.cluster.Apply(ctx, pool("1"), d.pool, 0)
	if err == nil && (!a.Repeated || a.Revision != d.inforce()) {
		err = errors.Newf("answer is %+v, expected a repetition of revision %d", a, d.inforce())
	}
	d.check("a change that is sent again gets its first answer", err)
	if a, err = d.cluster.Apply(ctx, pool("2"), d.pool, 0); err == nil {
		err = errors.Newf("accepted as revision %d", a.Revision)
	} else {
		d.note("answer to the other change: %v", err)
		err = nil
	}
	d.check("another change with the same base is refused", err)
}

// leaving is the time after which an upstream that left gets no new work.
const leaving = 3 * time.Second

// leave ends one engine gracefully and looks whether it gets new work later on.
func (d *demo) leave(ctx context.Context) error {
	u := d.large[1]
	before, err := d.cluster.RunCounts(ctx, u)
	if err != nil {
		return err
	}
	u.Process().Signal(syscall.SIGTERM)
	d.note("%s is told to leave", u.Name)
	if err = d.sleep(ctx, leaving); err != nil {
		return err
	}
	then, err := d.cluster.RunCounts(ctx, u)
	if err != nil {
		return err
	}
	if err = d.sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	last, err := d.cluster.RunCounts(ctx, u)
	if err != nil {
		return err
	}
	if last.Started > then.Started {
		err = errors.Newf("%d runs later than %s", last.Started-then.Started, leaving)
	}
	d.check(fmt.Sprintf("an upstream that leaves gets no work after %s (%d runs before it)",
		leaving, then.Started-before.Started), err)
	return nil
}

// killInstance kills an instance and starts it again.
func (d *demo) killInstance(ctx context.Context, i *cluster.Instance) error {
	i.Process().Kill()
	<-i.Process().Done()
	d.note("%s is killed", i.Name)
	if err := d.sleep(ctx, 3500*time.Millisecond); err != nil {
		return err
	}
	if err := d.cluster.StartInstance(i); err != nil {
		return err
	}
	d.note("%s is started again", i.Name)
	begin := d.options.Timer.Now()
	if err := d.cluster.Await(ctx, "answer of all instances", 8*time.Second, d.cluster.CheckAllListed); err != nil {
		return err
	}
	d.note("all instances answer, %d ms after the start", d.options.Timer.Now().Sub(begin).Milliseconds())
	return nil
}

func (d *demo) killEntry(ctx context.Context) error {
	return d.killInstance(ctx, d.cluster.Entries()[0])
}

func (d *demo) killLeader(ctx context.Context) error {
	i, err := d.cluster.Leader(ctx)
	if err != nil {
		return err
	}
	return d.killInstance(ctx, i)
}

// killUpstreams kills one engine and one plain service and starts them again.
func (d *demo) killUpstreams(ctx context.Context) error {
	dead := []*cluster.Upstream{d.large[0], d.desk[0]}
	before, err := d.incarnations(ctx)
	if err != nil {
		return err
	}
	for _, u := range dead {
		u.Process().Kill()
		<-u.Process().Done()
		d.note("%s is killed", u.Name)
	}
	if err := d.sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	for _, u := range dead {
		if err := d.cluster.StartUpstream(u); err != nil {
			return err
		}
	}
	return d.cluster.Await(ctx, "registration after the restart", 8*time.Second, func(ctx context.Context) error {
		now, err := d.incarnations(ctx)
		if err != nil {
			return err
		}
		for _, u := range dead {
			if now[u.Name] <= before[u.Name] {
				return errors.Newf("%s has incarnation %d after %d", u.Name, now[u.Name], before[u.Name])
			}
		}
		return nil
	})
}

// incarnations returns the registered incarnation of each upstream.
func (d *demo) incarnations(ctx context.Context) (all map[string]uint64, err error) {
	s, err := d.cluster.Status(ctx)
	if err != nil {
		return nil, err
	}
	all = map[string]uint64{}
	for _, u := range s.Upstreams {
		all[u.Name] = u.Incarnation
	}
	return all, nil
}

// withdraw takes version 1 of the small model out of service.
func (d *demo) withdraw(ctx context.Context) (err error) {
	a, err := d.cluster.Apply(ctx, pool("1"), d.pool, 5*time.Second)
	if err != nil {
		return err
	}
	if !a.InForce {
		return errors.New("change is not in force within 5 s")
	}
	d.note("small@1 is withdrawn as revision %d, in force %d ms after it was accepted", a.Revision, a.ElapsedMillis)
	d.mu.Lock()
	d.applied = max(d.applied, a.Revision)
	d.mu.Unlock()
	d.elapsed = time.Duration(a.ElapsedMillis) * time.Millisecond
	d.withdrawn, err = d.cluster.RunCounts(ctx, d.small[0])
	d.changed = err == nil
	return err
}

// drain takes one entry out of the lists and then ends it gracefully; it has to
// finish its requests.
func (d *demo) drain(ctx context.Context) (err error) {
	i := d.cluster.Entries()[1]
	d.drained = d.options.Timer.Now()
	if _, err = d.cluster.RunOperatorCommand(ctx, "drain", i.Name); err != nil {
		return err
	}
	d.note("%s is told to drain", i.Name)
	d.check("no list names the drained entry", d.cluster.Await(ctx, "list without "+i.Name, 3*time.Second,
		func(ctx context.Context) error { return d.cluster.CheckListed(ctx, i, false) }))
	i.Process().Signal(syscall.SIGTERM)
	d.note("%s is told to end", i.Name)
	ctx, cancel := timer.WithTimeout(ctx, d.options.Timer, 12*time.Second)
	defer cancel()
	select {
	case <-i.Process().Done():
		d.note("%s has ended", i.Name)
		err = i.Process().Err()
	case <-ctx.Done():
		err = errors.New("still runs after 12 s")
	}
	d.check("the drained entry ends by itself", err)
	return nil
}

// runs returns the run counts of several upstreams as one. They are read from
// the journals, since some of the upstreams may have ended.
func (d *demo) runs(list ...*cluster.Upstream) (map[string]int, error) {
	var r fault.RunCounter
	for _, u := range list {
		if err := r.ReadJournal(filepath.Join(d.cluster.Directory, journal(u.Name))); err != nil {
			return nil, errors.Wrap(err, u.Name)
		}
	}
	return r.Counts().ByID, nil
}

// journal names the file with the runs of an upstream.
func journal(name string) string { return name + ".runs" }
