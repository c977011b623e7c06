package outage

import (
	"context"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/soak"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// withoutNetwork lists the outages that a program without the network of this package can play.
var withoutNetwork = []string{"freeze", "lost-hosts", "planned-end", "repair-lost", "replace", "restart-all", "silent-leader", "wipe-again", "wipe-in-turn", "wipe-once", "wipe-repair"}

// catchUp is how long after its start or return an instance still counts as lost.
const catchUp = 4 * time.Second

// outages returns the names of the outages to play: all that can be played, shuffled, if none are
// named.
func (r *run) outages() ([]string, error) {
	names := slices.Clone(r.Patterns)
	if len(names) == 0 {
		names = Patterns()
		if r.Plain {
			names = slices.Clone(withoutNetwork)
		}
		r.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	}
	for _, name := range names {
		if r.Plain && !slices.Contains(withoutNetwork, name) {
			return nil, errors.Newf("%s needs the network of bench gateway, other programs play %s", name, strings.Join(withoutNetwork, ", "))
		}
	}
	return names, nil
}

// wipeOnce wipes the disk of one instance right after an acknowledgement. In the first round the
// deployment has just started.
func wipeOnce(ctx context.Context, r *run) error {
	n := r.core[r.random.IntN(len(r.core))]
	r.awaitChange(ctx)
	r.kill(n)
	if err := r.sleep(ctx, time.Second, time.Second); err != nil {
		return err
	}
	return r.restore(true, n)
}

// wipeInTurn wipes one disk, and a second one when the first has caught up and all lose power.
func wipeInTurn(ctx context.Context, r *run) error {
	list := r.drawCore(len(r.core))
	if err := r.sleep(ctx, catchUp, catchUp); err != nil {
		return err
	}
	r.kill(list[0])
	if err := r.sleep(ctx, time.Second, time.Second); err != nil {
		return err
	}
	if err := r.restore(true, list[0]); err != nil {
		return err
	}
	if err := r.sleep(ctx, catchUp, catchUp+time.Second); err != nil {
		return err
	}
	return r.restartWith(ctx, list[1])
}

// wipeAgain wipes the same disk again and again, soon after each start of its instance.
func wipeAgain(ctx context.Context, r *run) error {
	if err := r.sleep(ctx, catchUp, catchUp); err != nil {
		return err
	}
	leader := r.leader()
	at := slices.IndexFunc(r.core, func(n *instance) bool { return n != leader })
	for range 9 {
		r.kill(r.core[at])
		if err := r.sleep(ctx, 300*time.Millisecond, 300*time.Millisecond); err != nil {
			return err
		}
		if err := r.restore(true, r.core[at]); err != nil {
			return err
		}
		if err := r.sleep(ctx, 250*time.Millisecond, 700*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// restartAll kills all instances and wipes one disk in half of the cases.
func restartAll(ctx context.Context, r *run) error {
	if err := r.sleep(ctx, catchUp, catchUp); err != nil {
		return err
	}
	var wiped *instance
	if r.random.IntN(2) == 0 {
		wiped = r.core[r.random.IntN(len(r.core))]
	}
	return r.restartWith(ctx, wiped)
}

// awaitChange waits for the next acknowledged change, but no longer than the recovery time: a
// deployment that was lost before acknowledges none.
func (r *run) awaitChange(ctx context.Context) {
	ctx, cancel := timer.WithTimeout(ctx, r.Timer, r.Size.Recovery)
	defer cancel()
	_ = r.awaitAcknowledgement(ctx)
}

// restartWith kills all instances right after an acknowledgement, wipes the disk of one unless it is
// nil, and starts all.
func (r *run) restartWith(ctx context.Context, wiped *instance) error {
	r.awaitChange(ctx)
	// Some changes are on their way.
	if err := r.sleep(ctx, 0, 400*time.Millisecond); err != nil {
		return err
	}
	return r.restartNow(ctx, wiped)
}

// restartNow kills all instances, wipes the disk of one unless it is nil, and starts all. With
// journals the instances lose power.
func (r *run) restartNow(ctx context.Context, wiped *instance) error {
	if r.power.on && wiped != nil {
		return r.powerCycle(ctx, wiped, wiped)
	}
	all := slices.Clone(r.instances)
	r.kill(all...)
	if err := r.sleep(ctx, time.Second, 3*time.Second); err != nil {
		return err
	}
	if wiped != nil {
		if err := r.restore(true, wiped); err != nil {
			return err
		}
	}
	return r.restore(false, slices.DeleteFunc(all, func(n *instance) bool { return n == wiped })...)
}

// wipeRepair wipes one disk, and a second one as soon as the first no longer counts as lost, alone or
// with all others down.
func wipeRepair(ctx context.Context, r *run) error {
	list := r.drawCore(len(r.core))
	if err := r.sleep(ctx, catchUp, catchUp); err != nil {
		return err
	}
	if err := r.killFor(ctx, time.Second, true, list[0]); err != nil {
		return err
	}
	if err := r.sleep(ctx, catchUp, catchUp+time.Second); err != nil {
		return err
	}
	if r.random.IntN(2) == 0 {
		return r.restartNow(ctx, list[1])
	}
	return r.killFor(ctx, time.Second, true, list[1])
}

// repairLost lets one instance vanish for good while another is down, kills a third as soon as the
// replacement and the other one are started, and all as soon as none of them counts as lost, with one of
// the older disks wiped.
func repairLost(ctx context.Context, r *run) error {
	list := r.drawCore(len(r.core))
	if err := r.sleep(ctx, catchUp, catchUp); err != nil {
		return err
	}
	r.kill(list[0])
	if err := r.sleep(ctx, time.Second, 3*time.Second); err != nil {
		return err
	}
	if err := r.replaceAfter(ctx, 2*time.Second, list[1]); err != nil {
		return err
	}
	if err := r.sleep(ctx, 0, time.Second); err != nil {
		return err
	}
	if err := r.restore(false, list[0]); err != nil {
		return err
	}
	if err := r.killFor(ctx, time.Second, false, list[2]); err != nil {
		return err
	}
	if err := r.sleep(ctx, catchUp, catchUp+time.Second); err != nil {
		return err
	}
	// The replacement may not have a vote yet, so that its disk would be no loss.
	return r.restartNow(ctx, list[2*r.random.IntN(2)])
}

// plannedEnd ends an instance as planned once its successor has been there for long. As soon as a change is
// acknowledged after the end, another one loses its disk.
func plannedEnd(ctx context.Context, r *run) error {
	list := r.drawCore(len(r.core))
	if err := r.startSuccessor(list[0]); err != nil {
		return err
	}
	if err := r.sleep(ctx, 2*catchUp, 3*catchUp); err != nil {
		return err
	}
	r.printf("terminate %s", list[0].name)
	list[0].process.Signal(syscall.SIGTERM)
	if err := r.awaitEnd(ctx, list[0]); err != nil {
		return err
	}
	if err := r.awaitAcknowledgement(ctx); err != nil {
		return err
	}
	return r.killFor(ctx, time.Second, true, list[1])
}

// awaitEnd waits until the process of an instance has ended after SIGTERM.
func (r *run) awaitEnd(ctx context.Context, n *instance) error {
	for limit := r.Timer.Now().Add(soak.GracePeriod + time.Second); n.process.Alive(); {
		if r.Timer.Now() > limit {
			r.killOverdue(n)
		}
		if err := timer.Sleep(ctx, r.Timer, 5*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}
