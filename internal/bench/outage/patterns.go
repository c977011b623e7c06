package outage

import (
	"context"
	"maps"
	"slices"
	"time"
)

// patterns are the outages. When one returns, all processes run; cuts are healed after it.
var patterns = map[string]func(ctx context.Context, r *run) error{
	"clock-step": clockStep, "half-closed": halfClosed, "lossy": lossy, "slow-links": slowLinks,
	"isolate": isolate, "behind": behind, "relieve": relieve, "both": both, "halves": halves, "dark": dark, "long-cut": longCut,
	"silent-leader": silentLeader, "lost-hosts": lostHosts, "orphan": orphan, "stale": stale, "freeze": freeze, "replace": replace, "series": series, "stale-lost": staleLost,
	"wipe-once": wipeOnce, "wipe-in-turn": wipeInTurn, "wipe-again": wipeAgain, "wipe-repair": wipeRepair, "repair-lost": repairLost, "restart-all": restartAll, "planned-end": plannedEnd,
	"rolling": rolling, "whole-day": wholeDay, "failed-disks": failedDisks,
	"power-leader": powerLeader, "power-all": powerAll, "power-twice": powerTwice, "power-setup": powerSetup, "power-series": powerSeries,
	"power-repair": repairLost,
}

// Patterns returns the names of all outages.
func Patterns() []string { return slices.Sorted(maps.Keys(patterns)) }

// drawCore draws instances with a disk.
func (r *run) drawCore(count int) []*instance {
	list := slices.Clone(r.core)
	r.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:count]
}

// minority draws a minority of the core that may be lost, with the leader in half of the cases,
// and returns the others too.
func (r *run) minority() (some, others []*instance) {
	list, leader := r.drawCore(len(r.core)), r.leader()
	if i := slices.Index(list, leader); i >= 0 {
		end := 0
		if r.random.IntN(2) == 0 {
			end = len(list) - 1
		}
		list[i], list[end] = list[end], list[i]
	}
	n := 1 + r.random.IntN(r.Size.Losses)
	return list[:n], list[n:]
}

// isolate cuts a minority from the rest of the core; all other instances reach both.
func isolate(ctx context.Context, r *run) error {
	some, others := r.minority()
	r.cut(some, others, r.direction())
	return r.sleep(ctx, 4*time.Second, 7*time.Second)
}

// behind lets a minority miss changes, and then takes the others away from it.
func behind(ctx context.Context, r *run) error {
	some, others := r.minority()
	r.cut(some, others, bothWays)
	if err := r.sleep(ctx, 2*time.Second, 4*time.Second); err != nil {
		return err
	}
	r.kill(others[0])
	if err := r.sleep(ctx, time.Second, time.Second); err != nil {
		return err
	}
	if err := r.restore(true, others[0]); err != nil {
		return err
	}
	if err := r.sleep(ctx, time.Second, 4*time.Second); err != nil {
		return err
	}
	r.vanish(others[1:]...)
	if err := r.sleep(ctx, 0, time.Second); err != nil {
		return err
	}
	r.heal()
	if err := r.sleep(ctx, 4*time.Second, 6*time.Second); err != nil {
		return err
	}
	return r.restore(false, others[1:]...)
}

// relieve kills the others as soon as a cut has healed.
func relieve(ctx context.Context, r *run) error {
	some, others := r.minority()
	r.cut(some, others, bothWays)
	if err := r.sleep(ctx, 4*time.Second, 6*time.Second); err != nil {
		return err
	}
	r.heal()
	if err := r.sleep(ctx, 0, 500*time.Millisecond); err != nil {
		return err
	}
	if r.random.IntN(2) == 0 {
		r.vanish(others...)
	} else {
		r.kill(others...)
	}
	if err := r.sleep(ctx, time.Second, 5*time.Second); err != nil {
		return err
	}
	return r.restore(false, others...)
}

// both restarts those that are cut off, and then the others.
func both(ctx context.Context, r *run) error {
	some, others := r.minority()
	r.cut(some, others, r.direction())
	for _, list := range [][]*instance{some, others} {
		if err := r.sleep(ctx, 2*time.Second, 3*time.Second); err != nil {
			return err
		}
		r.kill(list...)
		if err := r.sleep(ctx, 0, time.Second); err != nil {
			return err
		}
		if err := r.restore(false, list...); err != nil {
			return err
		}
	}
	return r.sleep(ctx, 0, time.Second)
}

// halves splits the core in halves.
func halves(ctx context.Context, r *run) error {
	list, leader := r.drawCore(len(r.core)), r.leader()
	r.cut(list[:len(list)/2], list[len(list)/2:], bothWays)
	if leader != nil {
		r.insist(leader)
	}
	return r.sleep(ctx, 6*time.Second, 6*time.Second)
}

// silentLeader lets the leader vanish right after an acknowledgement, or the oldest instances.
func silentLeader(ctx context.Context, r *run) error {
	list, down := []*instance{r.leader()}, 3*time.Second
	switch {
	case r.random.IntN(2) == 0:
		down = 10 * time.Second
	case r.Size.Losses > 1:
		list, down = slices.Clone(r.core[:r.Size.Losses]), 7*time.Second
	}
	if list[0] == nil {
		return nil
	}
	if err := r.awaitAcknowledgement(ctx); err != nil {
		return err
	}
	return r.vanishFor(ctx, down, true, list...)
}

// leaderAndOthers returns the leader and as many other instances with a disk as may be lost with
// it, or nil if no instance leads.
func (r *run) leaderAndOthers() (list []*instance) {
	leader := r.leader()
	if leader == nil {
		return nil
	}
	list = append(list, leader)
	for _, n := range r.core {
		if n != leader && len(list) < r.Size.Losses {
			list = append(list, n)
		}
	}
	return list
}

// lostHosts lets the leader vanish right after an acknowledgement, with as many others as may be
// lost at the same time.
func lostHosts(ctx context.Context, r *run) error {
	list := r.leaderAndOthers()
	if list == nil {
		return nil
	}
	if err := r.awaitAcknowledgement(ctx); err != nil {
		return err
	}
	return r.vanishFor(ctx, 7*time.Second, true, list...)
}

// stale silences all open connections, after short freezes of leaders that made instances open
// connections to several replicas.
func stale(ctx context.Context, r *run) error {
	for range 2 {
		if leader := r.leader(); leader != nil {
			if err := r.pauseProcess(ctx, leader, 1500*time.Millisecond); err != nil {
				return err
			}
		}
		if err := r.sleep(ctx, 2*time.Second, 3*time.Second); err != nil {
			return err
		}
	}
	r.printf("all open connections fall silent")
	r.updateLinks(func(ls *links) { ls.generation++ })
	return nil
}

// freeze stops the leader's process while changes are sent to it.
func freeze(ctx context.Context, r *run) error {
	leader := r.leader()
	if leader == nil {
		return nil
	}
	r.insist(leader)
	return r.pauseProcess(ctx, leader, 7*time.Second)
}

// replace lets an instance with a disk vanish for good and adds one at a new address.
func replace(ctx context.Context, r *run) error {
	old := r.core[r.random.IntN(len(r.core))]
	return r.replaceAfter(ctx, time.Second+time.Duration(r.random.Int64N(int64(3*time.Second)+1)), old)
}

// longCut cuts a minority until the others may have removed it, and then takes the leader.
func longCut(ctx context.Context, r *run) error {
	some, others := r.minority()
	r.cut(some, others, r.direction())
	if err := r.sleep(ctx, 8*time.Second, 25*time.Second); err != nil {
		return err
	}
	leader := r.leader()
	r.heal()
	if leader == nil {
		return nil
	}
	if err := r.sleep(ctx, 0, 3*time.Second); err != nil {
		return err
	}
	return r.vanishFor(ctx, 3*time.Second, false, leader)
}

// dark lets a cut heal while all others are gone, which return later.
func dark(ctx context.Context, r *run) error {
	some, others := r.minority()
	r.cut(some, others, bothWays)
	if err := r.sleep(ctx, 4*time.Second, 6*time.Second); err != nil {
		return err
	}
	r.vanish(others...)
	r.heal()
	r.vanish(others...)
	if err := r.sleep(ctx, 2*time.Second, 5*time.Second); err != nil {
		return err
	}
	return r.restore(false, others...)
}

// orphan lets an instance hear that it was removed while nobody hears it, and then takes the leader
// that it knows.
func orphan(ctx context.Context, r *run) error {
	leader := r.leader()
	if leader == nil {
		return nil
	}
	var others []*instance
	for _, n := range r.core {
		if n != leader {
			others = append(others, n)
		}
	}
	at := r.random.IntN(len(others))
	r.cut(others[at:at+1], slices.DeleteFunc(slices.Clone(r.core), func(n *instance) bool { return n == others[at] }), outbound)
	if err := r.sleep(ctx, 4*time.Second, 7*time.Second); err != nil {
		return err
	}
	if r.random.IntN(2) == 0 {
		r.vanish(leader)
	} else {
		r.kill(leader)
	}
	r.impair(false, others[at])
	r.updateLinks(func(ls *links) {
		maps.DeleteFunc(ls.blocked, func(l link, _ bool) bool { return l.from == others[at].ip })
	})
	if err := r.sleep(ctx, 10*time.Second, 10*time.Second); err != nil {
		return err
	}
	return r.restore(false, leader)
}

// series plays several outages with hardly any time between them.
func series(ctx context.Context, r *run) error {
	list := []func(ctx context.Context, r *run) error{isolate, behind, relieve, both, halves, silentLeader, stale, freeze, dark, orphan}
	for range 3 {
		if err := list[r.random.IntN(len(list))](ctx, r); err != nil {
			return err
		}
		r.heal()
		if err := r.sleep(ctx, 0, 3*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// staleLost is stale, and the leader and others that may be lost vanish at the same time.
func staleLost(ctx context.Context, r *run) error {
	if err := stale(ctx, r); err != nil {
		return err
	}
	list := r.leaderAndOthers()
	if list == nil {
		return nil
	}
	return r.vanishFor(ctx, 7*time.Second, false, list...)
}
