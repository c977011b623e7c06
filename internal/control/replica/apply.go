package replica

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// workSize bounds the batches that wait for the state machine.
const workSize = 64

// work is a batch of committed entries, or a received snapshot.
type work struct {
	entries  []Entry
	waiters  []*proposal // same length as entries; nil where nobody waits
	snapshot *incoming
	done     func(saved bool) // called by the loop after a snapshot
}

// applier feeds the state machine. Its fields belong to the goroutine of run.
type applier struct {
	node    *Node
	index   Index
	term    Term
	members []Member // at index
	saved   Index    // end of the last snapshot
	bytes   int      // applied since then
	saving  atomic.Bool
	saves   chan stored // at most one, see saving
}

// hand gives committed entries to the applier, as far as there is room.
func (n *Node) hand() {
	for n.handed < n.commit && !n.restore && n.work.Len() < workSize-1 {
		entries := n.journal.slice(n.handed+1, n.commit, batchBytes)
		if len(entries) == 0 {
			n.fault = errors.AssertionFailedf("committed entry %d is not in the log", n.handed+1)
			return
		}
		w := &work{entries: entries, waiters: make([]*proposal, len(entries))}
		for i, e := range entries {
			if p, ok := n.waiting[e.Index]; ok && p.term == e.Term {
				w.waiters[i] = p
				delete(n.waiting, e.Index)
			}
		}
		n.work.Offer(w)
		n.handed = entries[len(entries)-1].Index
	}
}

func (a *applier) run(ctx context.Context) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = errors.Wrapf(err, "apply after entry %d", a.index)
		}
	}()
	defer a.drain()
	for {
		w, err := a.node.work.Take(ctx)
		if err != nil {
			return err
		}
		if w.snapshot != nil {
			err = a.restore(ctx, w)
		} else {
			err = a.applyAll(w)
		}
		if err != nil {
			return err
		}
		select {
		case a.node.progress <- struct{}{}:
		default:
		}
	}
}

// drain tells those who still wait that their entry is committed but not applied here.
func (a *applier) drain() {
	for _, w := range a.node.work.TakeBatch(nil, workSize) {
		for _, p := range w.waiters {
			if p != nil {
				p.finish(nil, ErrOutcomeUnknown)
			}
		}
	}
}

func (a *applier) applyAll(w *work) error {
	n := a.node
	for i, e := range w.entries {
		var result []byte
		switch e.Kind {
		case wire.Kind_KIND_COMMAND:
			result = n.machine.Apply(e.Index, e.Data)
		case wire.Kind_KIND_MEMBERS:
			members, err := decodeMembers(e.Data)
			if err != nil {
				return err
			}
			a.members = members
		case wire.Kind_KIND_NOOP:
		}
		a.index, a.term = e.Index, e.Term
		a.bytes += len(e.Data) + entryOverhead
		n.applied.Store(uint64(e.Index))
		if p := w.waiters[i]; p != nil {
			p.finish(result, nil)
		}
	}
	if int(a.index-a.saved) < n.limits.MaxEntries && a.bytes < n.limits.MaxBytes {
		return nil
	}
	return a.save()
}

// stored is a snapshot on its way to the disk.
type stored struct {
	meta SnapshotMeta
	data []byte
}

// save takes a snapshot. It is written by another goroutine, so that a large state does
// not hold back the entries that follow.
func (a *applier) save() error {
	if !a.saving.CompareAndSwap(false, true) {
		return nil // the one before is still being written
	}
	data, err := a.node.machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "snapshot")
	}
	// The next attempt follows after as many entries again, also on a full disk.
	a.saved, a.bytes = a.index, 0
	a.saves <- stored{SnapshotMeta{Index: a.index, Term: a.term, Members: a.members}, data}
	return nil
}

// runSave writes snapshots and lets the loop compact the log.
func (a *applier) runSave(ctx context.Context) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = errors.Wrap(err, "save snapshot")
		}
	}()
	n := a.node
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-a.saves:
			err := n.store.SaveSnapshot(s.meta, s.data)
			a.saving.Store(false)
			if errors.Is(err, ErrStorageFull) {
				n.log.Warn("no snapshot", zap.Error(err))
				continue
			}
			if err != nil {
				return err
			}
			if err := n.events.Put(ctx, func() { n.compacted(s.meta) }); err != nil {
				return err
			}
		}
	}
}

func (n *Node) compacted(m SnapshotMeta) {
	n.snapshot = max(n.snapshot, m.Index)
	if m.Index <= n.limits.TrailingEntries {
		return
	}
	upTo := m.Index - n.limits.TrailingEntries
	n.journal.compact(upTo)
	n.submit(&write{compact: upTo})
}

// restore replaces the state by a received snapshot, which is durable first.
func (a *applier) restore(ctx context.Context, w *work) error {
	n, in := a.node, w.snapshot
	if in.meta.Index > a.index {
		err := n.store.SaveSnapshot(in.meta, in.data)
		if errors.Is(err, ErrStorageFull) {
			return n.events.Put(ctx, func() { w.done(false) })
		}
		if err != nil {
			return err
		}
		if err := n.machine.Restore(in.data); err != nil {
			return errors.Wrap(err, "restore snapshot")
		}
		a.index, a.term, a.members = in.meta.Index, in.meta.Term, in.meta.Members
		a.saved, a.bytes = a.index, 0
		n.applied.Store(uint64(a.index))
	}
	return n.events.Put(ctx, func() { w.done(true) })
}
