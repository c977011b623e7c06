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

// sleep waits for a duration. It returns the context's error if that ends first.
func (d *demo) sleep(ctx context.Context, t time.Duration) error {
	return timer.Sleep(ctx, d.options.Timer, t)
}

// runScript runs the load and the monitors during the steps of the script.
func (d *demo) runScript(ctx context.Context) (err error) {
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
	err = d.runSteps(ctx)
	err = errors.CombineErrors(err, l.stopAndWait())
	d.logf("load has ended")
	return errors.CombineErrors(err, monitors.Stop())
}

// runSteps kills processes, changes the configuration and drains an entry while the load runs.
func (d *demo) runSteps(ctx context.Context) error {
	if err := d.sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	for _, step := range []struct {
		kind string
		run  func(ctx context.Context) error
	}{
		{"entry", d.killEntry},
		{"control", d.killLeader},
		{"upstream", d.killUpstreams},
	} {
		if !d.shouldKill(step.kind) {
			continue
		}
		if err := step.run(ctx); err != nil {
			return errors.Wrapf(err, "kill %s", step.kind)
		}
	}
	if err := d.withdrawVersion(ctx); err != nil {
		return errors.Wrap(err, "withdraw a version")
	}
	d.checkResentChange(ctx)
	if err := d.checkDeregistration(ctx); err != nil {
		return errors.Wrap(err, "deregister an upstream")
	}
	return errors.Wrap(d.checkDrain(ctx), "drain an entry")
}

// checkResentChange sends the operator's change again, as after a lost response, and then another
// change with the same base revision, which must be refused.
func (d *demo) checkResentChange(ctx context.Context) {
	a, err := d.cluster.Apply(ctx, poolDocument("1"), d.poolRevision, 0)
	if err == nil && (!a.Repeated || a.Revision != d.revisionInForce()) {
		err = errors.Newf("reply is %+v, expected the first reply with revision %d", a, d.revisionInForce())
	}
	d.check("a change that is sent again gets its first answer", err)
	if a, err = d.cluster.Apply(ctx, poolDocument("2"), d.poolRevision, 0); err == nil {
		err = errors.Newf("conflicting change was accepted as revision %d", a.Revision)
	} else {
		d.logf("answer to the other change: %v", err)
		err = nil
	}
	d.check("another change with the same base is refused", err)
}

// deregistrationTime is the time after which an upstream that deregisters gets no more requests.
const deregistrationTime = 3 * time.Second

// checkDeregistration shuts one engine down gracefully and checks that it gets no requests after
// deregistrationTime.
func (d *demo) checkDeregistration(ctx context.Context) error {
	u := d.largeEngines[1]
	before, err := d.cluster.RunCounts(ctx, u)
	if err != nil {
		return err
	}
	u.Process().Signal(syscall.SIGTERM)
	d.logf("%s is told to leave", u.Name)
	if err = d.sleep(ctx, deregistrationTime); err != nil {
		return err
	}
	after, err := d.cluster.RunCounts(ctx, u)
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
	if last.Started > after.Started {
		err = errors.Newf("%d runs more than %s after the shutdown began", last.Started-after.Started, deregistrationTime)
	}
	d.check(fmt.Sprintf("an upstream that leaves gets no work after %s (%d runs before it)",
		deregistrationTime, after.Started-before.Started), err)
	return nil
}

// killInstance kills an instance, starts it again and waits until all instances answer.
func (d *demo) killInstance(ctx context.Context, i *cluster.Instance) error {
	i.Process().Kill()
	<-i.Process().Done()
	d.logf("%s is killed", i.Name)
	if err := d.sleep(ctx, 3500*time.Millisecond); err != nil {
		return err
	}
	if err := d.cluster.StartInstance(i); err != nil {
		return err
	}
	d.logf("%s is started again", i.Name)
	begin := d.options.Timer.Now()
	if err := d.cluster.Await(ctx, "answer of all instances", 8*time.Second, d.cluster.CheckAllListed); err != nil {
		return err
	}
	d.logf("all instances answer, %d ms after the start", d.options.Timer.Now().Sub(begin).Milliseconds())
	return nil
}

// killEntry kills the first entry and starts it again.
func (d *demo) killEntry(ctx context.Context) error {
	return d.killInstance(ctx, d.cluster.Entries()[0])
}

// killLeader kills the leader of the control group and starts it again.
func (d *demo) killLeader(ctx context.Context) error {
	i, err := d.cluster.Leader(ctx)
	if err != nil {
		return err
	}
	return d.killInstance(ctx, i)
}

// killUpstreams kills one engine and one plain service, starts them again and waits until they are
// registered with a new incarnation.
func (d *demo) killUpstreams(ctx context.Context) error {
	killed := []*cluster.Upstream{d.largeEngines[0], d.deskServices[0]}
	before, err := d.incarnations(ctx)
	if err != nil {
		return err
	}
	for _, u := range killed {
		u.Process().Kill()
		<-u.Process().Done()
		d.logf("%s is killed", u.Name)
	}
	if err := d.sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	for _, u := range killed {
		if err := d.cluster.StartUpstream(u); err != nil {
			return err
		}
	}
	return d.cluster.Await(ctx, "registration after the restart", 8*time.Second, func(ctx context.Context) error {
		now, err := d.incarnations(ctx)
		if err != nil {
			return err
		}
		for _, u := range killed {
			if now[u.Name] <= before[u.Name] {
				return errors.Newf("%s is registered with incarnation %d after %d", u.Name, now[u.Name], before[u.Name])
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

// withdrawVersion withdraws version 1 of the small model and waits until the change is in force.
func (d *demo) withdrawVersion(ctx context.Context) (err error) {
	a, err := d.cluster.Apply(ctx, poolDocument("1"), d.poolRevision, 5*time.Second)
	if err != nil {
		return err
	}
	if !a.InForce {
		return errors.New("the change was not in force within 5 s")
	}
	d.logf("small@1 is withdrawn as revision %d, in force %d ms after it was accepted", a.Revision, a.ElapsedMillis)
	d.mu.Lock()
	d.inForceRevision = max(d.inForceRevision, a.Revision)
	d.mu.Unlock()
	d.propagationTime = time.Duration(a.ElapsedMillis) * time.Millisecond
	d.withdrawnRuns, err = d.cluster.RunCounts(ctx, d.smallEngines[0])
	d.versionWithdrawn = err == nil
	return err
}

// checkDrain removes one entry from the lists of entries and then shuts it down gracefully. It must
// finish its requests.
func (d *demo) checkDrain(ctx context.Context) (err error) {
	i := d.cluster.Entries()[1]
	d.drainStart = d.options.Timer.Now()
	if _, err = d.cluster.RunOperatorCommand(ctx, "drain", i.Name); err != nil {
		return err
	}
	d.logf("%s is told to drain", i.Name)
	d.check("no list names the drained entry", d.cluster.Await(ctx, "list without "+i.Name, 3*time.Second,
		func(ctx context.Context) error { return d.cluster.CheckListed(ctx, i, false) }))
	i.Process().Signal(syscall.SIGTERM)
	d.logf("%s is told to end", i.Name)
	ctx, cancel := timer.WithTimeout(ctx, d.options.Timer, 12*time.Second)
	defer cancel()
	select {
	case <-i.Process().Done():
		d.logf("%s has ended", i.Name)
		err = i.Process().Err()
	case <-ctx.Done():
		err = errors.New("still running after 12 s")
	}
	d.check("the drained entry ends by itself", err)
	return nil
}

// runCounts returns how often each request ran on several upstreams in total. The counts are read
// from the journals, since some of the upstreams may have exited.
func (d *demo) runCounts(list ...*cluster.Upstream) (map[string]int, error) {
	var r fault.RunCounter
	for _, u := range list {
		if err := r.ReadJournal(filepath.Join(d.cluster.Directory, journalName(u.Name))); err != nil {
			return nil, errors.Wrap(err, u.Name)
		}
	}
	return r.Counts().ByID, nil
}

// journalName returns the name of the file in which an upstream records its runs.
func journalName(name string) string { return name + ".runs" }
