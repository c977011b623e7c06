package replica

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// maxSyncBatchBytes bounds the size of entries that share one sync.
	maxSyncBatchBytes = 4 << 20
	// slowRecovery is how long the recovery of the stored state may take without a warning.
	slowRecovery = time.Second
)

// diskWrite is a change to the store. Without a change it is a barrier, which completes once
// all writes before it are durable.
type diskWrite struct {
	hardState    *HardState
	truncateFrom Index // no change if 0
	resetTo      Index // if not 0, a snapshot up to this index replaces the whole log
	compactTo    Index // no change if 0
	entries      []Entry
	size         int    // of the entries, in bytes
	done         func() // runs on the loop goroutine after the write
}

// isBarrier reports whether the write changes nothing.
func (w *diskWrite) isBarrier() bool {
	return w.hardState == nil && len(w.entries) == 0 && w.truncateFrom == 0 && w.resetTo == 0 && w.compactTo == 0
}

// expectRecovery makes all replies that depend on the disk wait for the recovery of what was loaded.
func (n *Node) expectRecovery() {
	last, term := n.raftLog.lastIndex(), n.raftLog.lastTerm()
	n.pendingWrites++
	n.unsyncedHardStates++
	n.recovery = &diskWrite{done: func() {
		n.unsyncedHardStates--
		n.onEntrySynced(last, term)
	}}
}

// recover makes what was loaded durable, once.
func (n *Node) recover() error {
	n.recoverOnce.Do(func() {
		if n.recoverErr = n.store.Recover(); n.recoverErr != nil {
			return
		}
		// The recovery completes before the writes that wait for it.
		n.completedWrites.Offer(n.recovery)
		close(n.recovered)
	})
	return errors.Wrap(n.recoverErr, "recover")
}

// runRecovery makes what was loaded durable. The node takes part in its group meanwhile, since a
// slow disk takes as long as an election.
func (n *Node) runRecovery(context.Context) error {
	start := n.timer.Now()
	if err := n.recover(); err != nil {
		n.logFailure(err)
		return err
	}
	if took := n.timer.Now().Sub(start); took >= slowRecovery {
		n.log.Warn("slow recovery of the stored state", zap.Duration("took", took))
	}
	return nil
}

// logFailure logs an error that ends the replica at once: another operation on the disk may hang, and
// the replica waits for it.
func (n *Node) logFailure(err error) { n.log.Error("replica failed, stopping", zap.Error(err)) }

// AwaitRecovery waits until what was loaded is durable, the identity of a new replica included.
func (n *Node) AwaitRecovery(ctx context.Context) error {
	select {
	case <-n.recovered:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// submitWrite queues a write for the disk goroutine, which does them in order, after a changed
// term or vote.
func (n *Node) submitWrite(w *diskWrite) {
	n.submitHardState()
	n.pendingWrites++
	n.unsyncedBytes += w.size
	n.writes.Offer(w)
}

// whenDurable calls f once all writes submitted so far are durable.
func (n *Node) whenDurable(f func()) {
	n.submitHardState()
	if n.pendingWrites == 0 {
		f()
		return
	}
	n.submitWrite(&diskWrite{done: f})
}

// lateReply is a reply to a leader that waits for the disk.
type lateReply struct {
	deadline timer.Instant
	answer   func(durable bool)
}

// whenDurableOrLate calls f(true) once all writes submitted so far are durable, or f(false) if
// they are not after maxReplyDelay. The term is durable in both cases.
func (n *Node) whenDurableOrLate(f func(durable bool)) {
	n.submitHardState()
	if n.pendingWrites == 0 {
		f(true)
		return
	}
	answered := false
	answer := func(durable bool) {
		if !answered {
			answered = true
			f(durable)
		}
	}
	n.lateReplies = append(n.lateReplies, lateReply{n.timer.Now().Add(maxReplyDelay), answer})
	n.whenDurable(func() { answer(true) })
}

// answerLate gives the late replies that are due. While the term is not durable, none is given.
func (n *Node) answerLate(now timer.Instant) {
	if n.unsyncedHardStates > 0 {
		return
	}
	n.lateReplies = slices.DeleteFunc(n.lateReplies, func(l lateReply) bool {
		if now.Before(l.deadline) {
			return false
		}
		l.answer(false)
		return true
	})
}

// saveHardState has the current term and vote written. A voter changes both in one event, so the
// write is submitted once, by submitHardState. done may be nil.
func (n *Node) saveHardState(done func()) {
	if n.changedHardState == nil {
		n.unsyncedHardStates++
		n.changedHardState = &diskWrite{done: func() { n.unsyncedHardStates-- }}
	}
	if before := n.changedHardState.done; done != nil {
		n.changedHardState.done = func() {
			before()
			done()
		}
	}
}

// submitHardState submits the current term and vote if they have changed.
func (n *Node) submitHardState() {
	w := n.changedHardState
	if w == nil {
		return
	}
	n.changedHardState = nil
	w.hardState = &HardState{Term: n.term, Vote: n.votedFor}
	n.submitWrite(w)
}

// appendEntries adds entries to the log in memory and submits them to the disk goroutine.
func (n *Node) appendEntries(entries []Entry) error {
	if err := n.raftLog.append(entries...); err != nil {
		return err
	}
	size := 0
	for _, e := range entries {
		size += len(e.Data) + entryOverhead
	}
	last := entries[len(entries)-1]
	n.submitWrite(&diskWrite{entries: entries, size: size, done: func() { n.onEntrySynced(last.Index, last.Term) }})
	return nil
}

// onEntrySynced advances stableIndex to an entry that is now durable, unless the entry was
// replaced in the meantime.
func (n *Node) onEntrySynced(i Index, t Term) {
	if current, ok := n.raftLog.termAt(i); ok && current == t && i > n.stableIndex {
		n.stableIndex = i
		n.advanceCommit()
	}
}

// completeWrite runs the function that waits for a write. It runs on the loop goroutine.
func (n *Node) completeWrite(w *diskWrite) {
	n.pendingWrites--
	n.unsyncedBytes -= w.size
	if w.done != nil {
		w.done()
	}
}

// runWriter does the writes in order. Entries that wait at the same time share one sync.
func (n *Node) runWriter(ctx context.Context) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = errors.Wrap(err, "write")
			n.logFailure(err)
		}
	}()
	for {
		w, err := n.writes.Take(ctx)
		if err != nil {
			return err
		}
		batch := n.writes.TakeBatch([]*diskWrite{w}, queueSize)
		for len(batch) > 0 {
			done, err := n.writeBatch(ctx, batch)
			if err != nil {
				return err
			}
			for _, w := range batch[:done] {
				n.completedWrites.Offer(w)
			}
			batch = batch[done:]
		}
	}
}

// writeBatch does the first write of the batch and the following ones that can share its
// sync, barriers between them included. It returns how many were done. Of several hard states
// only the last is written. It may be written during the recovery, but nothing is durable before.
func (n *Node) writeBatch(ctx context.Context, batch []*diskWrite) (done int, err error) {
	w := batch[0]
	if w.hardState != nil {
		for done = 1; done < len(batch) && batch[done].hardState != nil; done++ {
			w = batch[done]
		}
		if err := n.store.SaveHardState(*w.hardState); err != nil {
			return 0, err
		}
		return done, n.AwaitRecovery(ctx)
	}
	if err := n.AwaitRecovery(ctx); err != nil {
		return 0, err
	}
	if len(w.entries) == 0 {
		return 1, n.writeSingle(w)
	}
	entries, size := w.entries[:len(w.entries):len(w.entries)], w.size
	for done = 1; done < len(batch); done++ {
		next := batch[done]
		if next.isBarrier() {
			continue
		}
		if len(next.entries) == 0 || size+next.size > maxSyncBatchBytes {
			break
		}
		entries = append(entries, next.entries...)
		size += next.size
	}
	return done, n.store.Append(entries)
}

// writeSingle does a write without a hard state or entries. A barrier needs no action.
func (n *Node) writeSingle(w *diskWrite) error {
	switch {
	case w.truncateFrom != 0:
		return n.store.Truncate(w.truncateFrom)
	case w.resetTo != 0:
		// If the process ends between the two calls, Load drops the log that the snapshot
		// replaces.
		if err := n.store.Truncate(1); err != nil {
			return err
		}
		return n.store.Compact(w.resetTo)
	case w.compactTo != 0:
		return n.store.Compact(w.compactTo)
	}
	return nil
}
