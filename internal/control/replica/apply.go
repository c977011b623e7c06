package replica

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// applyQueueSize is the capacity of the applier's queue, in tasks.
const applyQueueSize = 64

// applyTask is a batch of committed entries to apply, or a received snapshot to restore.
type applyTask struct {
	entries  []Entry
	waiters  []*proposal // one per entry; nil if no caller waits for it
	snapshot *incomingSnapshot
	done     func(saved bool) // runs on the loop goroutine once the snapshot is handled
}

// applier applies committed entries to the state machine. Its fields are owned by the
// goroutine of run.
type applier struct {
	node               *Node
	index              Index
	term               Term
	members            []Member             // membership at index
	lastSnapshot       Index                // index of the latest snapshot taken
	bytesSinceSnapshot int                  // log bytes applied since the latest snapshot
	saving             atomic.Bool          // a snapshot is queued or being written
	snapshots          chan pendingSnapshot // holds at most one
}

// enqueueCommitted queues committed entries for the applier while its queue has room.
// One slot is kept free for a received snapshot.
func (n *Node) enqueueCommitted() {
	for n.enqueuedIndex < n.commitIndex && !n.restoring && n.applyQueue.Len() < applyQueueSize-1 {
		entries := n.raftLog.slice(n.enqueuedIndex+1, n.commitIndex, maxBatchBytes)
		if len(entries) == 0 {
			n.fatalErr = errors.AssertionFailedf("committed entry %d is not in the log", n.enqueuedIndex+1)
			return
		}
		t := &applyTask{entries: entries, waiters: make([]*proposal, len(entries))}
		for i, e := range entries {
			if p, ok := n.pendingProposals[e.Index]; ok && p.term == e.Term {
				t.waiters[i] = p
				delete(n.pendingProposals, e.Index)
			}
		}
		n.applyQueue.Offer(t)
		n.enqueuedIndex = entries[len(entries)-1].Index
	}
}

// run applies committed entries and restores received snapshots, in the order of the queue.
func (a *applier) run(ctx context.Context) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = errors.Wrapf(err, "apply after entry %d", a.index)
		}
	}()
	defer a.failUnapplied()
	for {
		t, err := a.node.applyQueue.Take(ctx)
		if err != nil {
			return err
		}
		if t.snapshot != nil {
			err = a.restoreSnapshot(ctx, t)
		} else {
			err = a.applyEntries(t)
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

// failUnapplied fails the proposals whose entries are committed but were not applied
// before the node stopped.
func (a *applier) failUnapplied() {
	for _, t := range a.node.applyQueue.TakeBatch(nil, applyQueueSize) {
		for _, p := range t.waiters {
			if p != nil {
				p.complete(nil, ErrOutcomeUnknown)
			}
		}
	}
}

// applyEntries applies a batch of entries, passes the results to the waiting callers and takes a
// snapshot if one is due.
func (a *applier) applyEntries(t *applyTask) error {
	n := a.node
	for i, e := range t.entries {
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
		a.bytesSinceSnapshot += len(e.Data) + entryOverhead
		n.appliedIndex.Store(uint64(e.Index))
		if p := t.waiters[i]; p != nil {
			p.complete(result, nil)
		}
	}
	if int(a.index-a.lastSnapshot) < n.compaction.MaxEntries && a.bytesSinceSnapshot < n.compaction.MaxBytes {
		return nil
	}
	return a.takeSnapshot()
}

// pendingSnapshot is a snapshot that is to be written to disk.
type pendingSnapshot struct {
	meta SnapshotMeta
	data []byte
}

// takeSnapshot takes a snapshot of the state machine. Another goroutine writes it to disk,
// so that a large state doesn't delay the entries that follow.
func (a *applier) takeSnapshot() error {
	if !a.saving.CompareAndSwap(false, true) {
		return nil // the previous snapshot is still being written
	}
	data, err := a.node.machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "snapshot")
	}
	// If the write fails because the disk is full, the next attempt is made after the
	// full number of entries or bytes again.
	a.lastSnapshot, a.bytesSinceSnapshot = a.index, 0
	a.snapshots <- pendingSnapshot{SnapshotMeta{Index: a.index, Term: a.term, Members: a.members}, data}
	return nil
}

// runSnapshotWriter writes snapshots to disk and has the loop goroutine compact the log.
func (a *applier) runSnapshotWriter(ctx context.Context) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = errors.Wrap(err, "save snapshot")
			a.node.logFailure(err)
		}
	}()
	n := a.node
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-a.snapshots:
			err := n.store.SaveSnapshot(s.meta, s.data)
			a.saving.Store(false)
			if errors.Is(err, ErrStorageFull) {
				n.log.Warn("snapshot not saved", zap.Error(err))
				continue
			}
			if err != nil {
				return err
			}
			if err := n.events.Put(ctx, func() { n.onSnapshotSaved(s.meta) }); err != nil {
				return err
			}
		}
	}
}

// onSnapshotSaved compacts the log up to the trailing entries before a saved snapshot.
func (n *Node) onSnapshotSaved(m SnapshotMeta) {
	n.snapshotIndex = max(n.snapshotIndex, m.Index)
	if m.Index <= n.compaction.TrailingEntries {
		return
	}
	upTo := m.Index - n.compaction.TrailingEntries
	n.raftLog.compact(upTo)
	n.submitWrite(&diskWrite{compactTo: upTo})
}

// restoreSnapshot makes a received snapshot durable and then replaces the state of the
// state machine by it.
func (a *applier) restoreSnapshot(ctx context.Context, t *applyTask) error {
	n, in := a.node, t.snapshot
	if in.meta.Index > a.index {
		err := n.store.SaveSnapshot(in.meta, in.data)
		if errors.Is(err, ErrStorageFull) {
			return n.events.Put(ctx, func() { t.done(false) })
		}
		if err != nil {
			return err
		}
		if err := n.machine.Restore(in.data); err != nil {
			return errors.Wrap(err, "restore snapshot")
		}
		a.index, a.term, a.members = in.meta.Index, in.meta.Term, in.meta.Members
		a.lastSnapshot, a.bytesSinceSnapshot = a.index, 0
		n.appliedIndex.Store(uint64(a.index))
	}
	return n.events.Put(ctx, func() { t.done(true) })
}
