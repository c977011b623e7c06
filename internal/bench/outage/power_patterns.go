package outage

import (
	"context"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// power is what a run knows of losses of power. Journals are kept only if one of the outages needs
// them, since writing and reading them takes time.
type power struct {
	on            bool
	random        *rand.Rand // for what a loss of power takes back
	delay         time.Duration
	smallSegments bool
	taken         Taken
}

func newPower(seed uint64, names []string) (p power) {
	p.random = rand.New(rand.NewPCG(seed, 3))
	p.on = slices.ContainsFunc(names, func(n string) bool { return strings.HasPrefix(n, "power-") })
	p.delay = time.Duration(4+p.random.IntN(9)) * time.Millisecond
	p.smallSegments = seed%4 != 0
	return p
}

func (r *run) journalPath(n *instance) string { return n.disk + ".journal" }

// mount prepares the data directory of an instance that is to be started.
func (r *run) mount(n *instance) (err error) {
	if !r.power.on {
		return os.MkdirAll(n.disk, 0o700)
	}
	n.mounted, err = Mount(n.disk, r.journalPath(n))
	return err
}

// storageEnvironment returns the variables that Storage reads.
func (r *run) storageEnvironment(n *instance) (list []string) {
	if n.disk == "" {
		return nil
	}
	if r.Syncs.Time > 0 {
		s := r.Syncs
		s.Seed = r.syncRandom.Uint64()
		list = append(list, s.variable(r.Timer.Now().Sub(r.started)))
	}
	if !r.power.on {
		return list
	}
	list = append(list, JournalVariable+"="+r.journalPath(n), SyncVariable+"="+r.power.delay.String())
	if r.power.smallSegments {
		list = append(list, SegmentsVariable+"=1")
	}
	return list
}

// losePower kills instances and takes back what their disks had not synced.
func (r *run) losePower(list ...*instance) error {
	r.kill(list...)
	for _, n := range list {
		if n.disk == "" {
			continue
		}
		taken, err := LosePower(n.disk, r.journalPath(n), r.Timer, r.chooser())
		if err != nil {
			return err
		}
		r.printf("%s lost power: %d of %d open changes of names, %d writes, %d bytes taken back", n.name, taken.Names, taken.Open, taken.Writes, taken.Bytes)
		r.power.taken.Names += taken.Names
		r.power.taken.Open += taken.Open
		r.power.taken.Writes += taken.Writes
		r.power.taken.Bytes += taken.Bytes
	}
	return nil
}

// chooser draws what one disk loses: all that was not synced, nothing, or a part.
func (r *run) chooser() func(outcomes int) int {
	switch r.power.random.IntN(6) {
	case 0, 1:
		return func(int) int { return 0 }
	case 2:
		return func(int) int { return 1 }
	default:
		return r.power.random.IntN
	}
}

// reportPower prints what all losses of power of the run took back.
func (r *run) reportPower() {
	if t := r.power.taken; r.power.on {
		r.printf("losses of power took back %d of %d open changes of names, %d writes, %d bytes; syncs took %s more, small segments %t",
			t.Names, t.Open, t.Writes, t.Bytes, r.power.delay, r.power.smallSegments)
	}
}

// aim is a kind of step during which an instance is to lose power.
type aim struct {
	kind stepKind
	name string // begin of the base name of the file
}

func (a aim) String() string { return string(a.kind) + " " + a.name }

var (
	// changeAims are steps of an instance that stores changes.
	changeAims = []aim{
		{createStep, "snapshot.tmp"}, {renameStep, "snapshot.tmp"}, {createStep, "log-"}, {removeStep, "log-"}, {writeStep, ""},
	}
	// setupAims are steps of an instance whose disk is empty: its identity, its first group, the
	// snapshot that the leader sends, and the log after it.
	setupAims = []aim{
		{createStep, "identity.tmp"},
		{renameStep, "identity.tmp"},
		{mkdirStep, "group-0"},
		{renameStep, "hard.tmp"},
		{renameStep, "groups.tmp"},
		{createStep, "snapshot.tmp"},
		{renameStep, "snapshot.tmp"},
		{createStep, "log-"},
		{removeStep, "log-"},
		{writeStep, ""},
	}
)

// aimTimeout bounds the wait for a step. Some kinds may not come, as those of a snapshot before the
// first one is due.
const aimTimeout = 4 * time.Second

// awaitStep waits until the journal of an instance has a step after an offset.
func (r *run) awaitStep(ctx context.Context, n *instance, a aim, offset int64) error {
	for end := r.Timer.Now().Add(aimTimeout); r.Timer.Now().Before(end); {
		steps, length, err := readSteps(r.journalPath(n), offset)
		if err != nil {
			return err
		}
		offset += length
		if slices.ContainsFunc(steps, func(s step) bool { return s.Kind == a.kind && strings.HasPrefix(filepath.Base(s.Name), a.name) }) {
			r.count("aims hit: " + a.String())
			return nil
		}
		if err := timer.Sleep(ctx, r.Timer, time.Millisecond); err != nil {
			return err
		}
	}
	r.count("aims missed: " + a.String())
	return nil
}

// readSteps reads the complete steps of a journal from an offset on, and returns their length.
func readSteps(path string, offset int64) (steps []step, length int64, err error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, 0, nil // the process has not begun it
	}
	if err != nil {
		return nil, 0, err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	if _, err := f.Seek(offset, io.SeekStart); err != nil {
		return nil, 0, err
	}
	text, err := io.ReadAll(f)
	if err != nil {
		return nil, 0, err
	}
	return decodeSteps(text)
}

// journalSize returns the size of the journal of an instance.
func (r *run) journalSize(n *instance) (int64, error) {
	i, err := os.Stat(r.journalPath(n))
	if err != nil {
		return 0, err
	}
	return i.Size(), nil
}

// awaitMoment waits for the moment of a loss of power: right after an acknowledgement, 5 to 400 ms
// after a change was sent, or during a step of an instance that stores changes.
func (r *run) awaitMoment(ctx context.Context, watched *instance) error {
	r.group.Go("burst", (&burst{run: r, end: r.Timer.Now().Add(burstTime)}).loop)
	if err := r.sleep(ctx, 0, burstTime/4); err != nil {
		return err
	}
	switch r.random.IntN(5) {
	case 0:
		r.awaitChange(ctx)
		return ctx.Err()
	case 1:
		r.awaitSending(ctx)
		return r.sleep(ctx, 5*time.Millisecond, 400*time.Millisecond)
	default:
		offset, err := r.journalSize(watched)
		if err != nil {
			return err
		}
		aims := changeAims
		if !r.power.smallSegments {
			aims = changeAims[len(changeAims)-1:] // no snapshot or full segment is to be expected
		}
		return r.awaitStep(ctx, watched, aims[r.random.IntN(len(aims))], offset)
	}
}

// awaitSending waits until the next change is sent, but no longer than the recovery time.
func (r *run) awaitSending(ctx context.Context) {
	ctx, cancel := timer.WithTimeout(ctx, r.Timer, r.Size.Recovery)
	defer cancel()
	newest := func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.checks.newest
	}
	for before := newest(); newest() == before && ctx.Err() == nil; {
		_ = timer.Sleep(ctx, r.Timer, time.Millisecond)
	}
}

// burstTime is how long a burst sends changes.
const burstTime = 4 * time.Second

// burst sends changes one after the other without a pause.
type burst struct {
	*run
	end timer.Instant
}

func (b *burst) loop(ctx context.Context) error {
	for ctx.Err() == nil && b.Timer.Now().Before(b.end) {
		b.change(ctx, b.nextChange())
	}
	return nil
}

// powerLeader lets the leader lose power, with as many others as may be lost.
func powerLeader(ctx context.Context, r *run) error {
	list := r.leaderAndOthers()
	if list == nil {
		return nil
	}
	if err := r.awaitMoment(ctx, list[0]); err != nil {
		return err
	}
	if err := r.losePower(list...); err != nil {
		return err
	}
	if err := r.sleep(ctx, 200*time.Millisecond, 4*time.Second); err != nil {
		return err
	}
	return r.restore(false, list...)
}

// powerAll lets all instances lose power, with as many disks as may be lost.
func powerAll(ctx context.Context, r *run) error {
	return r.losePowerOfAll(ctx, r.drawCore(r.Size.Losses)...)
}

// losePowerOfAll lets all instances lose power at one moment, of which some lose their disks too.
func (r *run) losePowerOfAll(ctx context.Context, wiped ...*instance) error {
	watched := r.core[r.random.IntN(len(r.core))]
	if err := r.awaitMoment(ctx, watched); err != nil {
		return err
	}
	return r.powerCycle(ctx, watched, wiped...)
}

// powerCycle lets all instances lose power now, one of them first, and starts them again after about a
// second.
func (r *run) powerCycle(ctx context.Context, first *instance, wiped ...*instance) error {
	all := slices.DeleteFunc(slices.Clone(r.instances), func(n *instance) bool { return n == first })
	all = append([]*instance{first}, all...)
	if err := r.losePower(all...); err != nil {
		return err
	}
	if err := r.sleep(ctx, 800*time.Millisecond, 1200*time.Millisecond); err != nil {
		return err
	}
	r.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if len(wiped) > 0 {
		if err := r.restore(true, wiped...); err != nil {
			return err
		}
	}
	return r.restore(false, slices.DeleteFunc(all, func(n *instance) bool { return slices.Contains(wiped, n) })...)
}

// powerTwice lets instances lose their disks, and later all lose power and others their disks.
func powerTwice(ctx context.Context, r *run) error {
	list := r.drawCore(2 * r.Size.Losses)
	first, second := list[:r.Size.Losses], list[r.Size.Losses:]
	if err := r.losePower(first...); err != nil {
		return err
	}
	if err := r.sleep(ctx, time.Second, time.Second); err != nil {
		return err
	}
	if err := r.restore(true, first...); err != nil {
		return err
	}
	if err := r.sleep(ctx, catchUp, catchUp+time.Second); err != nil {
		return err
	}
	return r.losePowerOfAll(ctx, second...)
}

// powerSetup lets instances lose their disks, and then lose power during the set-up of the new ones,
// alone or with all others.
func powerSetup(ctx context.Context, r *run) error {
	list := r.drawCore(r.Size.Losses)
	if err := r.losePower(list...); err != nil {
		return err
	}
	if err := r.sleep(ctx, 0, time.Second); err != nil {
		return err
	}
	if err := r.restore(true, list...); err != nil {
		return err
	}
	for range 1 + r.random.IntN(3) {
		if err := r.awaitStep(ctx, list[0], setupAims[r.random.IntN(len(setupAims))], list[0].mounted); err != nil {
			return err
		}
		if r.random.IntN(2) == 0 {
			if err := r.powerCycle(ctx, list[0]); err != nil {
				return err
			}
			continue
		}
		if err := r.losePower(list...); err != nil {
			return err
		}
		if err := r.sleep(ctx, 0, time.Second); err != nil {
			return err
		}
		if err := r.restore(false, list...); err != nil {
			return err
		}
	}
	return nil
}

// powerSeries plays several losses of power with hardly any time between them. Disks are lost in the
// first only, since those that come after it do not wait until an empty disk has caught up.
func powerSeries(ctx context.Context, r *run) error {
	first := []func(ctx context.Context, r *run) error{powerAll, powerTwice, powerSetup}
	if err := first[r.random.IntN(len(first))](ctx, r); err != nil {
		return err
	}
	for range 6 {
		if err := r.sleep(ctx, 0, 2*time.Second); err != nil {
			return err
		}
		var err error
		if r.random.IntN(2) == 0 {
			err = powerLeader(ctx, r)
		} else {
			err = r.losePowerOfAll(ctx)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
