package disk_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

// testSegmentBytes makes almost every record start a new segment.
const testSegmentBytes = 40

// stored is what one opening of a data directory yields.
type stored struct {
	identity replica.Identity
	hard     replica.HardState
	meta     replica.SnapshotMeta
	entries  []replica.Entry // those that the snapshot does not cover
}

// lossCheck runs operations on a store. After each change of a file or a name it ends the
// process, with and without a loss of power, and checks every state that may be left.
type lossCheck struct {
	t     *testing.T
	files *faulty.FileSystem
	store *disk.Store
	// What may be stored: the acknowledged value, followed by that of an operation in progress.
	identity replica.Identity // "" while the directory is being created
	hard     []replica.HardState
	logs     [][]replica.Entry
	metas    []replica.SnapshotMeta

	seen    map[string]bool // states that were checked since the expectations last changed
	checked int
	failed  bool
	order   int // of calls that are made in parallel, see inOrder
	// unchecked is true while operations repeat those that another row has checked.
	unchecked bool
	// interleaved is an operation of another goroutine to run after the given number of changes.
	interleaved func()
	after       int
}

func newLossCheck(t *testing.T, order int, unchecked bool) *lossCheck {
	t.Helper()
	c := &lossCheck{
		t: t, order: order, unchecked: unchecked, files: faulty.New(1), seen: map[string]bool{},
		hard: []replica.HardState{{}}, logs: [][]replica.Entry{nil}, metas: []replica.SnapshotMeta{{}},
	}
	c.files.AfterChange(c.onChange)
	c.open()
	return c
}

// eachOutcome calls visit with every sequence of choices that it can make.
func eachOutcome(visit func(choose func(outcomes int) int)) {
	var path, limits []int
	for {
		used := 0
		visit(func(outcomes int) int {
			if used == len(path) {
				path, limits = append(path, 0), append(limits, outcomes)
			}
			used++
			return path[used-1]
		})
		for len(path) > 0 && path[len(path)-1]+1 == limits[len(path)-1] {
			path, limits = path[:len(path)-1], limits[:len(path)-1]
		}
		if len(path) == 0 {
			return
		}
		path[len(path)-1]++
	}
}

// orders is the number of orders in which parallel calls are made.
const orders = 4

// inOrder makes calls one after the other: in their order or the reverse, from the first or from
// the one in the middle.
func (c *lossCheck) inOrder(calls ...func() error) error {
	calls = slices.Clone(calls)
	if c.order%2 == 1 {
		slices.Reverse(calls)
	}
	first := c.order / 2 * len(calls) / 2
	for _, f := range slices.Concat(calls[first:], calls[:first]) {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// read opens the directory as a new process, without making durable what it finds.
func (c *lossCheck) read(f *faulty.FileSystem) (out stored, s *disk.Store, err error) {
	syncs := f.SyncCount()
	d, err := disk.Open(f.Process(), "data", 0)
	if err != nil {
		return out, nil, err
	}
	d.SetSegmentBytes(testSegmentBytes)
	d.InSequence(c.inOrder)
	if s, err = d.OpenGroup(0); err != nil {
		return out, nil, err
	}
	out.identity = d.Identity()
	if out.hard, out.entries, out.meta, err = s.Load(); err != nil {
		return out, nil, err
	}
	if len(out.entries) > 0 && out.entries[0].Index > out.meta.Index+1 {
		s.Close()
		return out, nil, disk.ErrCorrupt
	}
	if c.identity != "" && f.SyncCount() != syncs {
		return out, nil, errors.New("synced before the recovery")
	}
	out.entries = slices.DeleteFunc(slices.Clone(out.entries), func(e replica.Entry) bool { return e.Index <= out.meta.Index })
	return out, s, nil
}

// load opens the directory as a new process, up to the end of the recovery.
func (c *lossCheck) load(f *faulty.FileSystem) (out stored, s *disk.Store, err error) {
	if out, s, err = c.read(f); err != nil {
		return out, nil, err
	}
	return out, s, s.Recover()
}

func (a stored) equal(b stored) bool {
	return a.identity == b.identity && a.hard == b.hard && a.meta.Index == b.meta.Index && a.meta.Term == b.meta.Term &&
		slices.EqualFunc(a.entries, b.entries, func(x, y replica.Entry) bool {
			return x.Index == y.Index && x.Term == y.Term && string(x.Data) == string(y.Data)
		})
}

// combine returns what a directory yields that stores the given hard state, log and snapshot.
func combine(i replica.Identity, h replica.HardState, log []replica.Entry, m replica.SnapshotMeta) stored {
	if h.Term < m.Term {
		h = replica.HardState{Term: m.Term, Vote: i}
	}
	out := stored{identity: i, hard: h, meta: m}
	for _, e := range log {
		if e.Index == m.Index && e.Term != m.Term {
			return out
		}
	}
	for _, e := range log {
		if e.Index > m.Index {
			out.entries = append(out.entries, e)
		}
	}
	return out
}

// allows reports whether a directory may yield that state now.
func (c *lossCheck) allows(s stored) bool {
	identity := c.identity
	if identity == "" {
		identity = s.identity
	}
	for _, h := range c.hard {
		for _, l := range c.logs {
			for _, m := range c.metas {
				if s.equal(combine(identity, h, l, m)) {
					return true
				}
			}
		}
	}
	return false
}

func (c *lossCheck) onChange() {
	if f := c.interleaved; f != nil {
		if c.after--; c.after < 0 {
			c.interleaved = nil
			f()
		}
	}
	if c.failed || c.unchecked {
		return
	}
	killed := c.files.Clone()
	killed.Kill()
	c.check(killed, 1, "killed")
	c.checkLosses(c.files, 1)
}

// checkLosses checks all states that a loss of power may leave now. depth is the number of
// further losses during each reopening.
func (c *lossCheck) checkLosses(f *faulty.FileSystem, depth int) {
	eachOutcome(func(choose func(int) int) {
		lost := f.Clone()
		lost.LosePower(choose)
		if dump := fmt.Sprintln(depth, "more losses:") + lost.Dump(); !c.seen[dump] {
			c.seen[dump] = true
			c.check(lost, depth, dump)
		}
	})
}

// check opens the directory and checks what it yields, also after losses of power while it is
// opened and right after it.
func (c *lossCheck) check(f *faulty.FileSystem, depth int, description string) {
	if c.failed {
		return
	}
	c.checked++
	fresh := f.Clone()
	if depth > 0 {
		f.AfterChange(func() { c.checkLosses(f, depth-1) })
	}
	got, s, err := c.load(f)
	f.AfterChange(nil)
	if err != nil || !c.allows(got) {
		c.failed = true
		c.t.Errorf("loaded %+v, error %v;\nidentity %s, hard states %v, snapshots %v, logs %v;\n%q",
			got, err, c.identity, c.hard, c.metas, c.logs, description)
		return
	}
	c.checkReloads(f, got, "loaded", description)
	// What the process stores next must not rest on a name that it found and that is not durable.
	voted := got
	voted.hard = replica.HardState{Term: got.hard.Term + 1, Vote: "z"}
	if err := s.SaveHardState(voted.hard); err != nil {
		c.t.Fatal(err)
	}
	c.checkReloads(f, voted, "stored", description)
	if depth > 0 {
		c.checkBeside(fresh, description)
	}
}

// checkBeside opens the directory and stores a term, a vote and a snapshot before the recovery.
func (c *lossCheck) checkBeside(f *faulty.FileSystem, description string) {
	if c.failed {
		return
	}
	got, s, err := c.read(f)
	if err != nil {
		c.t.Fatal(err)
	}
	h := replica.HardState{Term: got.hard.Term + 1, Vote: "z"}
	m := replica.SnapshotMeta{Index: 90, Term: got.hard.Term}
	seen, hard, metas := c.seen, c.hard, c.metas
	c.seen, c.hard, c.metas = map[string]bool{}, append(slices.Clone(hard), h), append(slices.Clone(metas), m)
	f.AfterChange(func() { c.checkReads(f, description) })
	for _, store := range []func() error{
		func() error { return s.SaveHardState(h) },
		func() error { return s.SaveSnapshot(m, nil) },
		s.Recover,
	} {
		if err := store(); err != nil {
			c.t.Fatal(err)
		}
	}
	f.AfterChange(nil)
	c.seen, c.hard, c.metas = seen, hard, metas
	c.checkReloads(f, stored{identity: got.identity, hard: h, meta: m}, "stored before the recovery", description)
}

// checkReads checks what each state that a loss of power may leave now yields.
func (c *lossCheck) checkReads(f *faulty.FileSystem, description string) {
	eachOutcome(func(choose func(int) int) {
		lost := f.Clone()
		lost.LosePower(choose)
		dump := lost.Dump()
		if c.failed || c.seen[dump] {
			return
		}
		c.seen[dump] = true
		if got, _, err := c.read(lost); err != nil || !c.allows(got) {
			c.failed = true
			c.t.Errorf("read %+v, error %v;\nidentity %s, hard states %v, snapshots %v, logs %v;\n%q, then %q",
				got, err, c.identity, c.hard, c.metas, c.logs, description, dump)
		}
	})
}

// checkReloads checks that what was loaded or stored is loaded again after another loss of power.
func (c *lossCheck) checkReloads(f *faulty.FileSystem, known stored, how, description string) {
	eachOutcome(func(choose func(int) int) {
		again := f.Clone()
		again.LosePower(choose)
		if next, _, err := c.load(again); !c.failed && (err != nil || !known.equal(next)) {
			c.failed = true
			c.t.Errorf("%s %+v, and loaded %+v after another loss of power, error %v;\n%q", how, known, next, err, description)
		}
	})
}

// do runs an operation that must succeed, and forgets the states seen before and during it.
func (c *lossCheck) do(operation func() error) {
	c.t.Helper()
	c.seen = map[string]bool{}
	if err := operation(); err != nil {
		c.t.Fatal(err)
	}
	c.seen = map[string]bool{}
}

// open opens the directory as a new process.
func (c *lossCheck) open() {
	c.t.Helper()
	c.reopen(nil, 0)
}

// reopen opens the directory as a new process, and makes an operation of another goroutine, if
// there is one, after the given number of changes of the recovery.
func (c *lossCheck) reopen(beside func(), after int) {
	c.t.Helper()
	c.files.Kill()
	c.do(func() error {
		var got stored
		var err error
		if got, c.store, err = c.read(c.files); err != nil {
			return err
		}
		if !c.allows(got) {
			c.t.Fatalf("loaded %+v after a kill", got)
		}
		c.interleaved, c.after = beside, after
		err = c.store.Recover()
		c.identity = got.identity
		return err
	})
}

func (c *lossCheck) saveHardState(h replica.HardState) {
	c.t.Helper()
	c.hard = append(c.hard, h)
	c.do(func() error { return c.store.SaveHardState(h) })
	c.hard = []replica.HardState{h}
}

func (c *lossCheck) setLog(log []replica.Entry, operation func() error) {
	c.t.Helper()
	c.logs = append(c.logs, log)
	c.do(operation)
	c.logs = [][]replica.Entry{log}
}

func (c *lossCheck) append(from, to replica.Index, term replica.Term) {
	c.t.Helper()
	added := entries(from, to, term)
	c.setLog(append(slices.Clone(c.logs[0]), added...), func() error { return c.store.Append(added) })
}

func (c *lossCheck) truncate(from replica.Index) {
	c.t.Helper()
	kept := slices.DeleteFunc(slices.Clone(c.logs[0]), func(e replica.Entry) bool { return e.Index >= from })
	c.setLog(kept, func() error { return c.store.Truncate(from) })
}

func (c *lossCheck) saveSnapshot(i replica.Index, term replica.Term) {
	c.t.Helper()
	m := replica.SnapshotMeta{Index: i, Term: term}
	c.metas = append(c.metas, m)
	c.do(func() error { return c.store.SaveSnapshot(m, []byte("state")) })
	c.metas = []replica.SnapshotMeta{m}
}

func (c *lossCheck) compact(upTo replica.Index) {
	c.t.Helper()
	c.do(func() error { return c.store.Compact(upTo) })
}

// reset replaces the log by a snapshot, as after an installation.
func (c *lossCheck) reset(upTo replica.Index) {
	c.t.Helper()
	c.truncate(1)
	c.compact(upTo)
}
