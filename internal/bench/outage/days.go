package outage

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/soak"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// dayStep is the resolution of what overlaps in a day.
	dayStep = 50 * time.Millisecond
	// stormInterval is the pause between two pairs of changes in a storm.
	stormInterval = 200 * time.Millisecond
	// seedAddresses is the number of seeds that instances are told.
	seedAddresses = 3
	// freezeTime is how long the leader is frozen.
	freezeTime = 7 * time.Second
	// electionTime is how long after the loss of the leader all voters have stored a new term.
	electionTime = 5 * time.Second
)

// Limits of an instance on the platform.
const (
	maxDiskBytes   = 64 << 20
	maxMemoryKB    = 284 << 10
	maxDescriptors = 3900
)

// day plays disturbances that overlap. Its methods run on one goroutine.
type day struct {
	*run
	// ending are the instances that drain after SIGTERM, with the time when they must have ended.
	ending map[*instance]timer.Instant
	// frozen are the instances whose processes are frozen.
	frozen map[*instance]bool
	// later is what is to be done at an instant.
	later []dueAction
	// stormUntil is the end of a storm of changes, and nextChanges when its next changes are sent.
	stormUntil, nextChanges timer.Instant
}

type dueAction struct {
	at  timer.Instant
	act func() error
}

func newDay(r *run) *day {
	return &day{run: r, ending: map[*instance]timer.Instant{}, frozen: map[*instance]bool{}}
}

// after lets an action follow after a random time.
func (d *day) after(least, most time.Duration, act func() error) {
	wait := least + time.Duration(d.random.Int64N(int64(most-least)+1))
	d.later = append(d.later, dueAction{d.Timer.Now().Add(wait), act})
}

// pass lets a random time pass, in which what is due is done.
func (d *day) pass(ctx context.Context, least, most time.Duration) error {
	end := d.Timer.Now().Add(least + time.Duration(d.random.Int64N(int64(most-least)+1)))
	for d.Timer.Now().Before(end) {
		if err := d.step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// settle lets time pass until all instances run and nothing is due.
func (d *day) settle(ctx context.Context) error {
	for len(d.ending) > 0 || len(d.later) > 0 || d.Timer.Now().Before(d.stormUntil) {
		if err := d.step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *day) step(ctx context.Context) error {
	if err := timer.Sleep(ctx, d.Timer, dayStep); err != nil {
		return err
	}
	now := d.Timer.Now()
	for i := 0; i < len(d.later); i++ {
		if due := d.later[i]; !now.Before(due.at) {
			d.later = slices.Delete(d.later, i, i+1)
			i--
			if err := due.act(); err != nil {
				return err
			}
		}
	}
	if now.Before(d.stormUntil) && !now.Before(d.nextChanges) {
		d.nextChanges = now.Add(stormInterval)
		d.insist(d.up(d.random))
	}
	return d.startEnded(now)
}

// startEnded starts instances again that have ended after SIGTERM.
func (d *day) startEnded(now timer.Instant) error {
	for _, n := range slices.Clone(d.instances) {
		limit, ending := d.ending[n]
		if !ending {
			continue
		}
		if n.process.Alive() {
			if now.Before(limit) || d.frozen[n] {
				continue
			}
			d.killOverdue(n)
		}
		delete(d.ending, n)
		if err := d.restore(false, n); err != nil {
			return err
		}
	}
	return nil
}

// terminate stops an instance as planned. It is started again once it has ended.
func (d *day) terminate(n *instance) {
	d.printf("terminate %s", n.name)
	d.impair(true, n)
	n.process.Signal(syscall.SIGTERM)
	d.ending[n] = d.Timer.Now().Add(soak.GracePeriod + time.Second)
}

// roll terminates all instances in turn, and calls between before each one with its number.
func (d *day) roll(ctx context.Context, between func(i int) error) error {
	list := slices.Clone(d.instances)
	d.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for i, n := range list {
		if err := between(i); err != nil {
			return err
		}
		if _, ending := d.ending[n]; !ending && slices.Contains(d.instances, n) && n.process.Alive() {
			d.terminate(n)
		}
		if err := d.pass(ctx, time.Second, 2*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// storm begins a storm of changes, which are sent in pairs to random instances.
func (d *day) storm(length time.Duration) {
	d.printf("storm of changes for %s", length)
	d.stormUntil = d.Timer.Now().Add(length)
}

// exchangeSeeds names other instances as seeds, half of the times without one that has a disk.
func (d *day) exchangeSeeds() error {
	list := slices.Clone(d.instances)
	if d.random.IntN(2) == 0 {
		list = slices.DeleteFunc(list, func(n *instance) bool { return n.disk != "" })
	}
	d.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(seedAddresses, len(list))]
	d.printf("seeds are now %s", namesOf(list))
	d.mu.Lock()
	d.seeds = nil
	for _, n := range list {
		d.seeds = append(d.seeds, n.ip)
	}
	d.mu.Unlock()
	for _, n := range d.instances {
		if err := d.writeSettings(n, false); err != nil {
			return err
		}
	}
	return nil
}

// freezeLeader stops the process of the leader for some seconds while changes are sent to it.
func (d *day) freezeLeader() error {
	n := d.leader()
	if n == nil || !n.process.Alive() || d.frozen[n] {
		return nil
	}
	d.printf("freeze %s", n.name)
	d.impair(true, n)
	frozen := n.process
	frozen.Signal(syscall.SIGSTOP)
	d.frozen[n] = true
	d.insist(n)
	d.after(freezeTime, freezeTime, func() error {
		frozen.Signal(syscall.SIGCONT)
		delete(d.frozen, n)
		if _, ending := d.ending[n]; ending {
			// It may get the signal only now.
			d.ending[n] = d.Timer.Now().Add(soak.GracePeriod + time.Second)
			return nil
		}
		d.impair(false, n)
		return nil
	})
	return nil
}

// cutOne cuts one instance of the core from the others for some seconds.
func (d *day) cutOne() error {
	some, others := d.minority()
	d.cut(some, others, d.direction())
	d.after(3*time.Second, 6*time.Second, func() error {
		d.printf("heal")
		d.impair(false, slices.DeleteFunc(some, func(n *instance) bool {
			_, ending := d.ending[n]
			return ending || !n.process.Alive()
		})...)
		d.updateLinks(func(ls *links) { clear(ls.blocked) })
		return nil
	})
	return nil
}

// replaceOne lets an instance with a disk vanish for good and starts another one some seconds later.
func (d *day) replaceOne() error {
	old := d.core[d.random.IntN(len(d.core))]
	delete(d.ending, old)
	d.vanish(old)
	d.after(time.Second, 3*time.Second, func() error { return d.replaceNow(old) })
	return nil
}

// finish ends the day with a final fault while what has begun goes on: all are killed right after an
// acknowledgement, and the disk of one is wiped in half of the cases.
func (d *day) finish(ctx context.Context) error {
	var wiped *instance
	if d.random.IntN(2) == 0 {
		wiped = d.core[d.random.IntN(len(d.core))]
	}
	d.reportUse()
	d.printf("final fault, wiped %s", nameOf(wiped))
	clear(d.ending)
	clear(d.frozen)
	d.later, d.stormUntil = nil, 0
	return d.restartWith(ctx, wiped)
}

// rolling terminates all instances in turn, twice.
func rolling(ctx context.Context, r *run) error {
	d := newDay(r)
	for range 2 {
		if err := d.roll(ctx, func(int) error { return nil }); err != nil {
			return err
		}
	}
	err := d.settle(ctx)
	d.reportUse()
	return err
}

// wholeDay plays a rolling restart with storms, exchanged seeds, a frozen leader, cuts and a replaced
// instance, and a final fault some seconds after it.
func wholeDay(ctx context.Context, r *run) error {
	d := newDay(r)
	size := len(d.instances)
	parts := map[int]func() error{}
	for _, part := range []func() error{d.freezeLeader, d.cutOne, d.cutOne, d.exchangeSeeds, d.replaceOne} {
		at := d.random.IntN(size)
		for parts[at] != nil {
			at = (at + 1) % size
		}
		parts[at] = part
	}
	err := d.roll(ctx, func(i int) error {
		if d.random.IntN(3) == 0 {
			d.storm(2 * time.Second)
		}
		if parts[i] == nil {
			return nil
		}
		return parts[i]()
	})
	if err != nil {
		return err
	}
	if err := d.settle(ctx); err != nil {
		return err
	}
	// An instance that was replaced counts again.
	if err := d.pass(ctx, catchUp, catchUp+time.Second); err != nil {
		return err
	}
	if err := d.exchangeSeeds(); err != nil {
		return err
	}
	d.storm(3 * time.Second)
	for _, part := range []func() error{d.freezeLeader, d.cutOne, nil} {
		if part != nil && d.random.IntN(2) == 0 {
			if err := part(); err != nil {
				return err
			}
		}
		if err := d.pass(ctx, time.Second, 2*time.Second); err != nil {
			return err
		}
	}
	return d.finish(ctx)
}

// failedDisks lets the disks of two instances refuse the next term or vote, one some seconds after the
// other has caught up. An instance whose disk has failed ends by itself and is started again.
func failedDisks(ctx context.Context, r *run) error {
	d := newDay(r)
	var before *instance
	for range 2 {
		leader := d.leader()
		n := slices.DeleteFunc(d.drawCore(len(d.core)), func(n *instance) bool { return n == leader || n == before })[0]
		before = n
		if err := d.refuseWrites(ctx, n); err != nil {
			return err
		}
		if err := d.pass(ctx, catchUp, catchUp+time.Second); err != nil {
			return err
		}
	}
	return nil
}

// refuseWrites lets the disk of an instance refuse a term until the process has ended, and takes the
// leader from it.
func (d *day) refuseWrites(ctx context.Context, n *instance) error {
	leader := d.leader()
	if leader == nil {
		return nil
	}
	d.printf("the disk of %s refuses terms", n.name)
	d.impair(true, n)
	// A directory can't be opened as a file.
	blocked := filepath.Join(n.disk, "control", "group-0", "hard.tmp")
	if err := os.Mkdir(blocked, 0o700); err != nil {
		return err
	}
	d.kill(leader)
	if err := d.pass(ctx, time.Second, 2*time.Second); err != nil {
		return err
	}
	if err := d.restore(false, leader); err != nil {
		return err
	}
	// The election comes within seconds, and the process ends within its grace period.
	limit := d.Timer.Now().Add(electionTime + soak.GracePeriod + time.Second)
	for n.process.Alive() && d.Timer.Now().Before(limit) {
		if err := d.step(ctx); err != nil {
			return err
		}
	}
	if err := os.RemoveAll(blocked); err != nil {
		return err
	}
	if n.process.Alive() {
		d.violation("end", "%s goes on although its disk has failed", n.name)
		d.impair(false, n)
		return nil
	}
	return d.restore(false, n)
}

// reportUse prints the largest use of disk, memory and descriptors of an instance, and checks them
// against the limits of the platform.
func (d *day) reportUse() {
	var disk, memory, descriptors int64
	for _, n := range d.instances {
		size, err := memoryKB(n.process.PID())
		if err != nil {
			d.printf("memory of %s is unknown: %v", n.name, err)
		}
		memory = max(memory, size)
		if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.PID())); err == nil {
			descriptors = max(descriptors, int64(len(list)))
		}
		if n.disk != "" {
			disk = max(disk, sizeOf(n.disk))
		}
	}
	d.printf("largest use of an instance: disk %d KB, memory %d KB, %d descriptors", disk>>10, memory, descriptors)
	if disk > maxDiskBytes || memory > maxMemoryKB || descriptors > maxDescriptors {
		d.violation("limit", "an instance uses %d KB of disk, %d KB of memory, %d descriptors", disk>>10, memory, descriptors)
	}
}

// memoryKB returns the resident memory of a process.
func memoryKB(pid int) (size int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	_, err = fmt.Sscan(rest, &size)
	return size, err
}

// sizeOf returns the size of the files below a directory. Files may be removed meanwhile.
func sizeOf(directory string) (size int64) {
	_ = filepath.WalkDir(directory, func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return nil
		}
		if info, err := e.Info(); err == nil {
			size += info.Size()
		}
		return nil
	})
	return size
}
