package replica

import (
	"context"

	"github.com/cockroachdb/errors"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// incoming is a snapshot that is being received.
type incoming struct {
	term Term
	meta SnapshotMeta
	data []byte
}

// obey notes a message from the leader of a term. It returns false if the term is over.
func (n *Node) obey(term Term, from *wire.Member) bool {
	if term < n.term || (term == n.term && n.role == leader) {
		return false
	}
	n.follow(term, fromWire(from))
	n.contact = n.timer.Now()
	n.deferElection()
	return true
}

// Append handles entries, or a heartbeat, of a leader. The reply is sent once
// everything that it confirms is durable.
func (n *Node) Append(ctx context.Context, r *wire.AppendRequest) (*wire.AppendReply, error) {
	if Identity(r.GetTarget()) != n.self.Identity {
		return nil, ErrWrongTarget
	}
	return call(ctx, n, func(answer func(*wire.AppendReply)) {
		reply := &wire.AppendReply{Identity: string(n.self.Identity), Match: r.GetPrevindex()}
		if n.obey(Term(r.GetTerm()), r.GetLeader()) && !n.restore {
			success, match := n.accept(r)
			reply.Success, reply.Match = success, uint64(match)
		}
		reply.Term = uint64(n.term)
		n.durable(func() { answer(reply) })
	})
}

// accept stores the entries if the log matches up to the one before them.
// Otherwise it returns where the leader should go on.
func (n *Node) accept(r *wire.AppendRequest) (success bool, match Index) {
	previous, entries := Index(r.GetPrevindex()), EntriesFromWire(r.GetEntries())
	for i, e := range entries {
		if e.Index != previous+1+Index(i) {
			return false, previous
		}
	}
	match = previous + Index(len(entries))
	if previous >= n.journal.base {
		t, ok := n.journal.term(previous)
		if !ok {
			return false, n.journal.last()
		}
		if t != Term(r.GetPrevterm()) {
			return false, n.beforeTerm(previous, t)
		}
	}
	for i, e := range entries {
		t, ok := n.journal.term(e.Index)
		// What lies at or before the base is committed and therefore the same.
		if e.Index <= n.journal.base || (ok && t == e.Term) {
			continue
		}
		if !n.overwrite(entries[i:]) {
			return false, previous
		}
		break
	}
	n.commit = max(n.commit, min(Index(r.GetCommit()), match))
	return true, match
}

// beforeTerm returns the last index before the entries of a term that ends at i.
func (n *Node) beforeTerm(i Index, term Term) Index {
	for i > n.journal.base && i > n.commit {
		if t, _ := n.journal.term(i); t != term {
			break
		}
		i--
	}
	return i
}

// overwrite replaces everything from the first of the entries on.
func (n *Node) overwrite(entries []Entry) bool {
	first, size := entries[0].Index, 0
	for _, e := range entries {
		size += len(e.Data) + entryOverhead
	}
	if err := n.store.CheckSpace(n.unsynced + size); err != nil {
		return false
	}
	if first <= n.journal.last() {
		if first <= n.commit {
			n.fault = errors.AssertionFailedf("leader replaces committed entry %d", first)
			return false
		}
		n.journal.truncate(first)
		n.stable = min(n.stable, first-1)
		n.submit(&write{truncate: first})
	}
	if err := n.saveEntries(entries); err != nil {
		n.fault = err
		return false
	}
	return true
}

// Install handles one chunk of a snapshot.
func (n *Node) Install(ctx context.Context, r *wire.InstallRequest) (*wire.InstallReply, error) {
	if Identity(r.GetTarget()) != n.self.Identity {
		return nil, ErrWrongTarget
	}
	return call(ctx, n, func(answer func(*wire.InstallReply)) {
		finish := func(success bool) {
			reply := &wire.InstallReply{Term: uint64(n.term), Success: success, Identity: string(n.self.Identity)}
			n.durable(func() { answer(reply) })
		}
		if !n.obey(Term(r.GetTerm()), r.GetLeader()) || n.restore {
			finish(false)
			return
		}
		n.receive(r, finish)
	})
}

func (n *Node) receive(r *wire.InstallRequest, finish func(success bool)) {
	meta := SnapshotMeta{
		Index: Index(r.GetLastindex()), Term: Term(r.GetLastterm()), Members: MembersFromWire(r.GetMembers()),
	}
	if meta.Index <= n.commit {
		finish(true)
		return
	}
	if r.GetOffset() == 0 {
		n.incoming = &incoming{term: Term(r.GetTerm()), meta: meta}
	}
	in := n.incoming
	if in == nil || in.term != Term(r.GetTerm()) || in.meta.Index != meta.Index || uint64(len(in.data)) != r.GetOffset() {
		finish(false)
		return
	}
	in.data = append(in.data, r.GetData()...)
	if !r.GetDone() {
		finish(true)
		return
	}
	n.incoming, n.restore = nil, true
	offered := n.work.Offer(&work{snapshot: in, done: func(saved bool) {
		n.restored(in.meta, saved)
		finish(saved)
	}})
	if !offered {
		n.restore = false
		finish(false)
	}
}

// restored continues the log behind an installed snapshot.
func (n *Node) restored(m SnapshotMeta, saved bool) {
	n.restore = false
	if !saved {
		return
	}
	n.snapshot = max(n.snapshot, m.Index)
	n.commit, n.handed = max(n.commit, m.Index), max(n.handed, m.Index)
	if t, ok := n.journal.term(m.Index); ok && t == m.Term {
		return
	}
	n.journal.reset(m)
	n.stable = m.Index
	n.submit(&write{reset: m.Index})
}
