package replica

import (
	"context"

	"github.com/cockroachdb/errors"
)

// maxMerged bounds the entries that are synced together.
const maxMerged = 4 << 20

// write is one change for the disk goroutine. A write without a change is a
// barrier: it is finished once everything before it is durable.
type write struct {
	hard     *HardState
	truncate Index // if not 0
	reset    Index // if not 0, a snapshot up to here replaces the log
	compact  Index // if not 0
	entries  []Entry
	size     int
	done     func() // called by the loop
}

// submit hands a write to the disk goroutine. Writes are done in order.
func (n *Node) submit(w *write) {
	n.pending++
	n.unsynced += w.size
	n.writes.Offer(w)
}

// durable calls f once everything submitted so far is durable.
func (n *Node) durable(f func()) {
	if n.pending == 0 {
		f()
		return
	}
	n.submit(&write{done: f})
}

// saveHard submits term and vote.
func (n *Node) saveHard(done func()) {
	n.submit(&write{hard: &HardState{Term: n.term, Vote: n.vote}, done: done})
}

// saveEntries adds entries to the journal and submits them.
func (n *Node) saveEntries(entries []Entry) error {
	if err := n.journal.append(entries...); err != nil {
		return err
	}
	size := 0
	for _, e := range entries {
		size += len(e.Data) + entryOverhead
	}
	last := entries[len(entries)-1]
	n.submit(&write{entries: entries, size: size, done: func() { n.synced(last.Index, last.Term) }})
	return nil
}

// synced notes that the entry is durable, unless it was replaced in the meantime.
func (n *Node) synced(i Index, t Term) {
	if got, ok := n.journal.term(i); ok && got == t && i > n.stable {
		n.stable = i
		n.advance()
	}
}

func (n *Node) finish(w *write) {
	n.pending--
	n.unsynced -= w.size
	if w.done != nil {
		w.done()
	}
}

// runDisk does the writes. Entries that wait together share one sync.
func (n *Node) runDisk(ctx context.Context) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = errors.Wrap(err, "write")
		}
	}()
	for {
		w, err := n.writes.Take(ctx)
		if err != nil {
			return err
		}
		batch := n.writes.TakeBatch([]*write{w}, ringSize)
		for len(batch) > 0 {
			done, err := n.writeSome(batch)
			if err != nil {
				return err
			}
			for _, w := range batch[:done] {
				n.written.Offer(w)
			}
			batch = batch[done:]
		}
	}
}

// writeSome does the first write and all that can share its sync.
func (n *Node) writeSome(batch []*write) (done int, err error) {
	w := batch[0]
	if w.hard != nil {
		for done = 1; done < len(batch) && batch[done].hard != nil; done++ {
			w = batch[done]
		}
		return done, n.store.SaveHardState(*w.hard)
	}
	if len(w.entries) == 0 {
		return 1, n.writeOne(w)
	}
	entries, size := w.entries[:len(w.entries):len(w.entries)], w.size
	for done = 1; done < len(batch); done++ {
		next := batch[done]
		if len(next.entries) == 0 || size+next.size > maxMerged {
			break
		}
		entries = append(entries, next.entries...)
		size += next.size
	}
	return done, n.store.Append(entries)
}

func (n *Node) writeOne(w *write) error {
	switch {
	case w.truncate != 0:
		return n.store.Truncate(w.truncate)
	case w.reset != 0:
		// Load drops an overtaken log by itself if the process ends in between.
		if err := n.store.Truncate(1); err != nil {
			return err
		}
		return n.store.Compact(w.reset)
	case w.compact != 0:
		return n.store.Compact(w.compact)
	}
	return nil
}
