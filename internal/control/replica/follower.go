package replica

import (
	"context"

	"github.com/cockroachdb/errors"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	term Term
	meta SnapshotMeta
	data []byte
}

// observeLeader records a message from the leader of a term and makes this replica its
// follower. It returns false if the term has ended.
func (n *Node) observeLeader(term Term, from *wire.Member) bool {
	if term < n.term || (term == n.term && n.role == leader) {
		return false
	}
	n.becomeFollower(term, memberFromWire(from))
	n.lastContact = n.timer.Now()
	n.resetElectionTimeout()
	return true
}

// Append handles entries or a heartbeat from a leader (AppendEntries in Raft). The reply
// acknowledges only what is durable. If the disk is slow, it is sent after maxReplyDelay all the
// same, since it also confirms the leadership.
func (n *Node) Append(ctx context.Context, r *wire.AppendRequest) (*wire.AppendReply, error) {
	if Identity(r.GetTarget()) != n.self.Identity {
		return nil, ErrWrongTarget
	}
	return runInLoop(ctx, n, func(answer func(*wire.AppendReply)) {
		reply := &wire.AppendReply{Identity: string(n.self.Identity), Match: r.GetPrevindex()}
		if n.observeLeader(Term(r.GetTerm()), r.GetLeader()) && !n.restoring {
			success, match := n.acceptEntries(r)
			reply.Success, reply.Match = success, uint64(match)
		}
		reply.Term = uint64(n.term)
		n.whenDurableOrLate(func(durable bool) {
			if !durable && reply.GetSuccess() {
				// In a later term the log may have been replaced since.
				reply.Success = reply.GetTerm() == uint64(n.term)
				reply.Match = min(reply.GetMatch(), uint64(n.stableIndex))
			}
			answer(reply)
		})
	})
}

// acceptEntries appends the entries if the log matches the leader's log at the entry before
// them; match is then the last matching index. Otherwise match is the index after which
// the leader should retry.
func (n *Node) acceptEntries(r *wire.AppendRequest) (success bool, match Index) {
	previous, entries := Index(r.GetPrevindex()), EntriesFromWire(r.GetEntries())
	for i, e := range entries {
		if e.Index != previous+1+Index(i) {
			return false, previous
		}
	}
	match = previous + Index(len(entries))
	if previous >= n.raftLog.baseIndex {
		t, ok := n.raftLog.termAt(previous)
		if !ok {
			return false, n.raftLog.lastIndex()
		}
		if t != Term(r.GetPrevterm()) {
			return false, n.lastIndexBeforeTerm(previous, t)
		}
	}
	for i, e := range entries {
		t, ok := n.raftLog.termAt(e.Index)
		// Entries up to the base index are committed, so they are identical.
		if e.Index <= n.raftLog.baseIndex || (ok && t == e.Term) {
			continue
		}
		if !n.replaceFrom(entries[i:]) {
			return false, previous
		}
		break
	}
	n.commitIndex = max(n.commitIndex, min(Index(r.GetCommit()), match))
	return true, match
}

// lastIndexBeforeTerm steps back from index i over entries of the given term. It returns
// the index of the entry before them, but stops at the commit or base index.
func (n *Node) lastIndexBeforeTerm(i Index, term Term) Index {
	for i > n.raftLog.baseIndex && i > n.commitIndex {
		if t, _ := n.raftLog.termAt(i); t != term {
			break
		}
		i--
	}
	return i
}

// replaceFrom removes the log from the first of the entries on and appends the entries. It
// returns false if there is no space for them or an invariant is violated.
func (n *Node) replaceFrom(entries []Entry) bool {
	from, size := entries[0].Index, 0
	for _, e := range entries {
		size += len(e.Data) + entryOverhead
	}
	if err := n.store.CheckSpace(n.unsyncedBytes + size); err != nil {
		return false
	}
	if from <= n.raftLog.lastIndex() {
		if from <= n.commitIndex {
			n.fatalErr = errors.AssertionFailedf("leader replaces committed entry %d", from)
			return false
		}
		n.raftLog.truncate(from)
		n.stableIndex = min(n.stableIndex, from-1)
		n.submitWrite(&diskWrite{truncateFrom: from})
	}
	if err := n.appendEntries(entries); err != nil {
		n.fatalErr = err
		return false
	}
	return true
}

// Install handles one chunk of a snapshot from a leader (InstallSnapshot in Raft).
func (n *Node) Install(ctx context.Context, r *wire.InstallRequest) (*wire.InstallReply, error) {
	if Identity(r.GetTarget()) != n.self.Identity {
		return nil, ErrWrongTarget
	}
	return runInLoop(ctx, n, func(answer func(*wire.InstallReply)) {
		respond := func(success bool) {
			reply := &wire.InstallReply{Term: uint64(n.term), Success: success, Identity: string(n.self.Identity)}
			n.whenDurable(func() { answer(reply) })
		}
		if !n.observeLeader(Term(r.GetTerm()), r.GetLeader()) || n.restoring {
			respond(false)
			return
		}
		n.receiveChunk(r, respond)
	})
}

// receiveChunk adds a chunk to the incoming snapshot, and passes a complete snapshot to the
// applier. It calls respond once, for the last chunk after the snapshot is restored.
func (n *Node) receiveChunk(r *wire.InstallRequest, respond func(success bool)) {
	meta := SnapshotMeta{
		Index: Index(r.GetLastindex()), Term: Term(r.GetLastterm()), Members: MembersFromWire(r.GetMembers()),
	}
	if meta.Index <= n.commitIndex {
		respond(true)
		return
	}
	if r.GetOffset() == 0 {
		n.incoming = &incomingSnapshot{term: Term(r.GetTerm()), meta: meta}
	}
	in := n.incoming
	if in == nil || in.term != Term(r.GetTerm()) || in.meta.Index != meta.Index || uint64(len(in.data)) != r.GetOffset() {
		respond(false)
		return
	}
	in.data = append(in.data, r.GetData()...)
	if !r.GetDone() {
		respond(true)
		return
	}
	// The last chunk is acknowledged once the applier has stored and restored the snapshot.
	n.incoming, n.restoring = nil, true
	offered := n.applyQueue.Offer(&applyTask{snapshot: in, done: func(saved bool) {
		n.onSnapshotRestored(in.meta, saved)
		respond(saved)
	}})
	if !offered {
		n.restoring = false
		respond(false)
	}
}

// onSnapshotRestored resumes after an installed snapshot. It keeps the log if that holds
// the snapshot's last entry, and otherwise lets the log start after the snapshot.
func (n *Node) onSnapshotRestored(m SnapshotMeta, saved bool) {
	n.restoring = false
	if !saved {
		return
	}
	n.snapshotIndex = max(n.snapshotIndex, m.Index)
	n.commitIndex, n.enqueuedIndex = max(n.commitIndex, m.Index), max(n.enqueuedIndex, m.Index)
	if t, ok := n.raftLog.termAt(m.Index); ok && t == m.Term {
		return
	}
	n.raftLog.reset(m)
	n.stableIndex = m.Index
	n.submitWrite(&diskWrite{resetTo: m.Index})
}
