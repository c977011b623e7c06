package replica

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// proposal is a proposed entry whose result a caller waits for.
type proposal struct {
	kind   wire.Kind
	data   []byte
	term   Term // in which the entry was appended
	result chan outcome
}

// outcome is the result of a proposal, or the error with which it failed.
type outcome struct {
	result []byte
	err    error
}

func (p *proposal) complete(result []byte, err error) { p.result <- outcome{result, err} }

// pendingRead is a read barrier that waits for a majority to confirm the leadership.
type pendingRead struct {
	sequence  uint64 // messages with a higher sequence number were sent after the call began
	index     Index  // the read index; 0 until the no-op of the term is committed
	confirmed bool
	done      chan error
}

// Propose appends a command to the log, waits until it is committed and applied, and
// returns the result of the state machine. After ErrNotLeader, ErrStorageFull, ErrBusy and
// ErrTooLarge nothing was appended. After ErrOutcomeUnknown the command may have been
// committed, or may be committed later. The caller must not modify the command afterwards.
func (n *Node) Propose(ctx context.Context, command []byte) (result []byte, err error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrTooLarge
	}
	p := &proposal{kind: wire.Kind_KIND_COMMAND, data: command, result: make(chan outcome, 1)}
	select {
	case <-n.stopped:
		return nil, ErrNotLeader
	default:
	}
	if err := n.proposals.Put(ctx, p); err != nil {
		return nil, errors.Mark(err, ErrBusy)
	}
	return n.await(ctx, p)
}

// await waits for the outcome of a proposal. The outcome is unknown if the context ends or the
// node stops first.
func (n *Node) await(ctx context.Context, p *proposal) ([]byte, error) {
	select {
	case o := <-p.result:
		return o.result, o.err
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrap(context.Cause(ctx), "outcome unknown"), ErrOutcomeUnknown)
	case <-n.stopped:
	}
	select {
	case o := <-p.result:
		return o.result, o.err
	default:
		return nil, ErrOutcomeUnknown
	}
}

// leaseValid reports whether this node is a leader with an unexpired lease.
func (n *Node) leaseValid() bool {
	return n.role == leader && n.timer.Now().Before(n.lastQuorumContact().Add(LeaseDuration))
}

// proposeBatch appends a proposal together with those queued behind it, up to the maximum
// size of a batch.
func (n *Node) proposeBatch(first *proposal) {
	batch := []*proposal{first}
	size := len(first.data) + entryOverhead
	for size < maxBatchBytes {
		next := n.proposals.TakeBatch(nil, 1)
		if len(next) == 0 {
			break
		}
		batch = append(batch, next[0])
		size += len(next[0].data) + entryOverhead
	}
	if err := n.appendProposals(batch, size); err != nil {
		for _, p := range batch {
			p.complete(nil, err)
		}
	}
}

// appendProposals appends a batch of the given size in bytes to the log if this node holds the
// lease and the storage has space for it.
func (n *Node) appendProposals(batch []*proposal, size int) error {
	if !n.leaseValid() {
		return ErrNotLeader
	}
	if err := n.store.CheckSpace(n.unsyncedBytes + size); err != nil {
		return err
	}
	entries := make([]Entry, 0, len(batch))
	for _, p := range batch {
		p.term = n.term
		entries = append(entries, Entry{
			Index: n.raftLog.lastIndex() + 1 + Index(len(entries)), Term: n.term, Kind: p.kind, Data: p.data,
		})
	}
	if err := n.appendEntries(entries); err != nil {
		return err
	}
	for i, p := range batch {
		n.pendingProposals[entries[i].Index] = p
	}
	return nil
}

// failProposals fails the proposals that were appended and not yet passed to the applier.
func (n *Node) failProposals(err error) {
	for i, p := range n.pendingProposals {
		p.complete(nil, err)
		delete(n.pendingProposals, i)
	}
}

// quorumValue returns the highest value that a majority of the voters has reached. It takes
// own as the value of this node and absent as the value of a voter that has no peer.
func quorumValue[T timer.Instant | Index | uint64](n *Node, own, absent T, get func(p *peer) T) T {
	var values []T
	for _, m := range n.raftLog.latestMembership().members {
		switch p := n.peers[m.Identity]; {
		case !m.Voter:
		case m.Identity == n.self.Identity:
			values = append(values, own)
		case p == nil:
			values = append(values, absent)
		default:
			values = append(values, get(p))
		}
	}
	if len(values) == 0 {
		return absent
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// lastQuorumContact returns the latest instant such that a majority of the voters has
// acknowledged messages sent no earlier. At that instant the majority had not yet accepted
// another leader, so the lease counts from it.
func (n *Node) lastQuorumContact() timer.Instant {
	return quorumValue(n, n.timer.Now(), never, func(p *peer) timer.Instant { return p.ackedSentAt })
}

// advanceCommit advances the commit index of the leader. Entries of earlier terms are
// committed only together with an entry of the current term, since a later leader may still
// replace them although a majority stores them.
func (n *Node) advanceCommit() {
	if n.role != leader {
		return
	}
	i := quorumValue(n, n.stableIndex, 0, func(p *peer) Index { return p.matchIndex })
	if t, ok := n.raftLog.termAt(i); ok && t == n.term && i > n.commitIndex {
		n.commitIndex = i
	}
}

// stepDownWithoutVote makes the leader step down once its own removal or demotion is committed.
func (n *Node) stepDownWithoutVote() {
	latest := n.raftLog.latestMembership()
	if n.role == leader && n.commitIndex >= latest.index && !isVoter(latest.members, n.self.Identity) {
		n.log.Info("no vote in the group any more, stepping down")
		n.enqueueCommitted() // callers that wait for committed entries still get their results
		n.becomeFollower(n.term, Member{})
	}
}

// ReadBarrier returns nil once a majority has confirmed the leadership after the call began
// and everything committed before the call is applied. A read of the state machine after
// that is linearizable.
func (n *Node) ReadBarrier(ctx context.Context) error {
	r := &pendingRead{done: make(chan error, 1)}
	_, err := runInLoop(ctx, n, func(reply func(bool)) {
		defer reply(true)
		if !n.leaseValid() {
			r.done <- ErrNotLeader
			return
		}
		r.sequence = n.sequence
		n.pendingReads = append(n.pendingReads, r)
	})
	if errors.Is(err, ErrStopped) {
		return ErrNotLeader
	}
	if err != nil {
		return err
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-n.stopped:
		return ErrNotLeader
	}
}

// completeReads completes the pending reads that are confirmed and applied. A read gets its
// read index once the no-op of the term is committed, since only then does the commit index
// cover all committed entries of earlier terms.
func (n *Node) completeReads() {
	if len(n.pendingReads) == 0 {
		return
	}
	sequence := quorumValue(n, n.sequence+1, 0, func(p *peer) uint64 { return p.ackedSequence })
	kept := n.pendingReads[:0]
	for _, r := range n.pendingReads {
		if r.index == 0 && n.commitIndex >= n.noopIndex {
			r.index = n.commitIndex
		}
		r.confirmed = r.confirmed || sequence > r.sequence
		if r.confirmed && r.index > 0 && n.appliedIndex.Load() >= uint64(r.index) {
			r.done <- nil
			continue
		}
		kept = append(kept, r)
	}
	clear(n.pendingReads[len(kept):])
	n.pendingReads = kept
}

func (n *Node) failReads() {
	for _, r := range n.pendingReads {
		r.done <- ErrNotLeader
	}
	n.pendingReads = nil
}

// replicate sends the next entries, a heartbeat or a snapshot to a peer that has no append
// request in flight. Pending reads cause a heartbeat without delay. While a snapshot is being
// sent, heartbeats go on: its last chunk is acknowledged after several syncs, and a leader that
// depends on this peer for its majority would lose its lease meanwhile.
func (n *Node) replicate(p *peer, now timer.Instant) {
	if p.inFlight {
		return
	}
	hasEntries := p.nextIndex <= n.raftLog.lastIndex() && !p.stalled
	readPending := len(n.pendingReads) > 0 && n.pendingReads[len(n.pendingReads)-1].sequence >= p.lastSequence
	if !hasEntries && !readPending && now.Sub(p.lastSentAt) < HeartbeatInterval {
		return
	}
	previous := p.nextIndex - 1
	t, ok := n.raftLog.termAt(previous)
	if !ok && p.installing && !readPending && now.Sub(p.lastSentAt) < HeartbeatInterval {
		return
	}
	n.sequence++
	p.lastSentAt, p.lastSequence = now, n.sequence
	m := &message{term: n.term, sentAt: now, sequence: n.sequence}
	if !ok && !p.installing {
		p.install(m)
		return
	}
	if !ok {
		m.heartbeatOnly, hasEntries = true, false
		previous, t = n.raftLog.baseIndex, n.raftLog.baseTerm
	}
	m.request = &wire.AppendRequest{
		Group: uint32(n.group), Term: uint64(n.term), Leader: memberToWire(n.self),
		Previndex: uint64(previous), Prevterm: uint64(t), Commit: uint64(n.commitIndex),
		Target: string(p.member.Identity),
	}
	if hasEntries {
		m.request.Entries = EntriesToWire(n.raftLog.slice(p.nextIndex, n.raftLog.lastIndex(), maxBatchBytes))
	}
	p.send(m)
}

// onAppendReply handles the result of an append call; r is nil if the call failed.
func (n *Node) onAppendReply(p *peer, m *message, r *wire.AppendReply) {
	p.inFlight = false
	if !n.acceptReply(p, m, Term(r.GetTerm()), Identity(r.GetIdentity()), r == nil) || m.heartbeatOnly {
		return
	}
	previous, match := Index(m.request.GetPrevindex()), Index(r.GetMatch())
	if r.GetSuccess() {
		// The follower has received the last entry sent, and stores those up to match.
		last := previous + Index(len(m.request.GetEntries()))
		p.matchIndex, p.nextIndex, p.stalled = max(p.matchIndex, min(match, last)), last+1, false
		n.advanceCommit()
		n.stepDownWithoutVote()
		return
	}
	// A follower whose log differs asks to retry from an earlier index. One that doesn't
	// can't store entries at present, for example because its disk is full.
	p.stalled = match >= previous
	if !p.stalled {
		p.nextIndex, p.matchIndex = match+1, min(p.matchIndex, match)
	}
}

// onInstallReply handles the reply to one chunk of a snapshot; r is nil if the call failed.
// done is true after the last chunk and after a failure.
func (n *Node) onInstallReply(p *peer, m *message, r *wire.InstallReply, index Index, done bool) {
	p.installing = !done
	if !n.acceptReply(p, m, Term(r.GetTerm()), Identity(r.GetIdentity()), r == nil) || !done {
		return
	}
	p.stalled = !r.GetSuccess() || index == 0
	if !p.stalled {
		p.matchIndex, p.nextIndex = max(p.matchIndex, index), max(p.nextIndex, index+1)
		n.advanceCommit()
	}
}

// acceptReply reports whether a reply belongs to the current leadership and comes from the
// expected identity. If so, it records that the peer acknowledged the message, which
// confirms the leadership at the time of sending. A newer term makes the leader step down.
func (n *Node) acceptReply(p *peer, m *message, term Term, from Identity, failed bool) bool {
	if n.role != leader || n.term != m.term || n.peers[p.member.Identity] != p {
		return false
	}
	if failed || from != p.member.Identity {
		p.stalled = true
		return false
	}
	if term > n.term {
		n.log.Info("newer term seen, stepping down", zap.Uint64("term", uint64(term)))
		n.becomeFollower(term, Member{})
		return false
	}
	p.askedAt = never
	p.ackedSentAt, p.ackedSequence = max(p.ackedSentAt, m.sentAt), max(p.ackedSequence, m.sequence)
	return true
}
