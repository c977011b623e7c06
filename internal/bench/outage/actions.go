package outage

import (
	"context"
	"os"
	"syscall"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/soak"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// direction is the direction of a cut, as seen from the smaller side.
type direction int

const (
	bothWays direction = iota
	outbound
	inbound
)

func (d direction) String() string { return [...]string{"both ways", "outbound", "inbound"}[d] }

// direction draws a direction.
func (r *run) direction() direction { return direction(r.random.IntN(int(inbound) + 1)) }

// updateLinks changes the state of the network for all instances.
func (r *run) updateLinks(change func(ls *links)) {
	change(&r.links)
	if err := r.links.write(r.linksPath()); err != nil {
		r.violation("links", "%v", err)
	}
	r.touch()
}

// cut cuts the network between each instance and each of the others.
func (r *run) cut(some, others []*instance, d direction) {
	r.impair(true, some...)
	r.printf("cut %s from %s, %s", namesOf(some), namesOf(others), d)
	r.updateLinks(func(ls *links) {
		for _, a := range some {
			for _, b := range others {
				if d != inbound {
					ls.blocked[link{a.ip, b.ip}] = true
				}
				if d != outbound {
					ls.blocked[link{b.ip, a.ip}] = true
				}
			}
		}
	})
}

// heal heals all cuts.
func (r *run) heal() {
	var alive []*instance
	for _, n := range r.core {
		if n.process.Alive() {
			alive = append(alive, n)
		}
	}
	r.impair(false, alive...)
	if len(r.links.blocked) > 0 {
		r.printf("heal")
	}
	r.updateLinks(func(ls *links) { clear(ls.blocked) })
}

// vanish kills instances whose connections to all others fall silent before.
func (r *run) vanish(list ...*instance) {
	if r.Plain {
		r.kill(list...)
		return
	}
	r.printf("%s vanish", namesOf(list))
	r.impair(true, list...)
	r.updateLinks(func(ls *links) {
		for _, n := range list {
			ls.blocked[link{n.ip, anyHost}], ls.blocked[link{anyHost, n.ip}] = true, true
		}
	})
	// All instances must have read the state before a connection can be reset.
	_ = timer.Sleep(context.Background(), r.Timer, 3*linksInterval)
	for _, n := range list {
		n.process.Kill()
		<-n.process.Done()
	}
}

// kill kills instances, whose hosts go on and reset connections.
func (r *run) kill(list ...*instance) {
	r.printf("kill %s", namesOf(list))
	r.impair(true, list...)
	for _, n := range list {
		n.process.Kill()
	}
	for _, n := range list {
		<-n.process.Done()
	}
	r.touch()
}

// restore starts instances that vanished or were killed.
func (r *run) restore(wiped bool, list ...*instance) error {
	r.printf("start %s, wiped %t", namesOf(list), wiped)
	r.updateLinks(func(ls *links) {
		for _, n := range list {
			delete(ls.blocked, link{n.ip, anyHost})
			delete(ls.blocked, link{anyHost, n.ip})
		}
	})
	for _, n := range list {
		if wiped {
			if err := os.RemoveAll(n.disk); err != nil {
				return err
			}
		}
		if err := r.startProcess(n, false); err != nil {
			return err
		}
	}
	r.impair(false, list...)
	return nil
}

// vanishFor lets instances vanish and starts them again after a time, half of the times without their
// disks if they may lose them.
func (r *run) vanishFor(ctx context.Context, down time.Duration, mayLoseDisks bool, list ...*instance) error {
	r.vanish(list...)
	if err := r.sleep(ctx, down, down); err != nil {
		return err
	}
	return r.restore(mayLoseDisks && r.random.IntN(2) == 0, list...)
}

// killFor kills instances and starts them again after a time.
func (r *run) killFor(ctx context.Context, down time.Duration, wiped bool, list ...*instance) error {
	r.kill(list...)
	if err := r.sleep(ctx, down, down); err != nil {
		return err
	}
	return r.restore(wiped, list...)
}

func namesOf(list []*instance) (names []string) {
	for _, n := range list {
		names = append(names, n.name)
	}
	return names
}

// sleep waits for a random time.
func (r *run) sleep(ctx context.Context, least, most time.Duration) error {
	return timer.Sleep(ctx, r.Timer, least+time.Duration(r.random.Int64N(int64(most-least)+1)))
}

// pauseProcess freezes the process of an instance.
func (r *run) pauseProcess(ctx context.Context, n *instance, length time.Duration) error {
	r.printf("freeze %s", n.name)
	r.impair(true, n)
	n.process.Signal(syscall.SIGSTOP)
	err := timer.Sleep(ctx, r.Timer, length)
	n.process.Signal(syscall.SIGCONT)
	r.impair(false, n)
	return err
}

// startReplacement starts an instance in place of another and tells all others its address.
func (r *run) startReplacement(old, next *instance) error {
	r.replaceInstance(old, next)
	if err := r.startProcess(next, false); err != nil {
		return err
	}
	for _, n := range r.instances {
		if err := r.writeSettings(n, false); err != nil {
			return err
		}
		// A new process has read the addresses, and does not handle the signal at once.
		if n != next {
			n.process.Signal(syscall.SIGHUP)
		}
	}
	return nil
}

// replaceAfter lets an instance vanish for good, and starts one with an empty disk and a new address
// after a time.
func (r *run) replaceAfter(ctx context.Context, down time.Duration, old *instance) error {
	r.vanish(old)
	if err := timer.Sleep(ctx, r.Timer, down); err != nil {
		return err
	}
	return r.replaceNow(old)
}

// replaceNow starts an instance with an empty disk and a new address in place of one that is gone.
func (r *run) replaceNow(old *instance) error {
	err := r.startSuccessor(old)
	r.touch()
	return err
}

// startSuccessor starts an instance with an empty disk and a new address in place of one that may still run.
func (r *run) startSuccessor(old *instance) error {
	r.mu.Lock()
	next := r.add(true)
	r.mu.Unlock()
	r.printf("%s replaces %s", next.name, old.name)
	return r.startReplacement(old, next)
}

// killOverdue kills an instance that should have ended by itself.
func (r *run) killOverdue(n *instance) {
	r.violation("end", "%s has not ended %s after SIGTERM", n.name, soak.GracePeriod+time.Second)
	n.process.Kill()
	<-n.process.Done()
}

// awaitAcknowledgement waits for the next acknowledged change.
func (r *run) awaitAcknowledgement(ctx context.Context) error {
	acknowledged := func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.checks.acknowledged
	}
	for before := acknowledged(); acknowledged() == before; {
		if err := timer.Sleep(ctx, r.Timer, 5*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}
