package replica

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// proposal is an entry that a caller waits for.
type proposal struct {
	kind   wire.Kind
	data   []byte
	term   Term
	result chan outcome
}

type outcome struct {
	result []byte
	err    error
}

func (p *proposal) finish(result []byte, err error) { p.result <- outcome{result, err} }

// read is a caller that waits for a confirmed read index.
type read struct {
	sequence  uint64 // requests with a higher one were sent after the call began
	index     Index  // 0 until the no-op of the term is committed
	confirmed bool
	done      chan error
}

// Propose appends a command to the log and returns the result of the state machine.
// After ErrNotLeader, ErrFull and ErrBusy nothing was done; after ErrUnknown the
// command may or may not have been committed, or may still be. The command must not be
// changed afterwards.
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

// leading tells whether the leader may act: its lease is valid.
func (n *Node) leading() bool {
	return n.role == leader && n.timer.Now().Before(n.confirmed().Add(LeaseDuration))
}

// propose appends the proposal and all that wait behind it, up to the bound of a batch.
func (n *Node) propose(first *proposal) {
	batch := []*proposal{first}
	size := len(first.data) + entryOverhead
	for size < batchBytes {
		more := n.proposals.TakeBatch(nil, 1)
		if len(more) == 0 {
			break
		}
		batch = append(batch, more[0])
		size += len(more[0].data) + entryOverhead
	}
	if err := n.appendProposals(batch, size); err != nil {
		for _, p := range batch {
			p.finish(nil, err)
		}
	}
}

func (n *Node) appendProposals(batch []*proposal, size int) error {
	if !n.leading() {
		return ErrNotLeader
	}
	if err := n.store.CheckSpace(n.unsynced + size); err != nil {
		return err
	}
	entries := make([]Entry, 0, len(batch))
	for _, p := range batch {
		p.term = n.term
		entries = append(entries, Entry{
			Index: n.journal.last() + 1 + Index(len(entries)), Term: n.term, Kind: p.kind, Data: p.data,
		})
	}
	if err := n.saveEntries(entries); err != nil {
		return err
	}
	for i, p := range batch {
		n.waiting[entries[i].Index] = p
	}
	return nil
}

func (n *Node) failWaiting(err error) {
	for i, p := range n.waiting {
		p.finish(nil, err)
		delete(n.waiting, i)
	}
}

// majority returns the highest value that a majority of the voters has reached.
func majority[T timer.Instant | Index | uint64](n *Node, own, absent T, of func(p *peer) T) T {
	var values []T
	for _, m := range n.journal.config().members {
		switch p := n.peers[m.Identity]; {
		case !m.Voter:
		case m.Identity == n.self.Identity:
			values = append(values, own)
		case p == nil:
			values = append(values, absent)
		default:
			values = append(values, of(p))
		}
	}
	if len(values) == 0 {
		return absent
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// confirmed returns an instant at which a majority had not yet accepted another leader:
// each of them answered a message that was sent no earlier.
func (n *Node) confirmed() timer.Instant {
	return majority(n, n.timer.Now(), never, func(p *peer) timer.Instant { return p.heard })
}

// advance moves the commit index. Entries of earlier terms are committed only
// together with one of the own term, since a majority alone does not protect them.
func (n *Node) advance() {
	if n.role != leader {
		return
	}
	i := majority(n, n.stable, 0, func(p *peer) Index { return p.match })
	if t, ok := n.journal.term(i); ok && t == n.term && i > n.commit {
		n.commit = i
	}
}

// checkRemoved steps down once the removal of this replica is committed.
func (n *Node) checkRemoved() {
	c := n.journal.config()
	if n.role == leader && n.commit >= c.index && !voter(c.members, n.self.Identity) {
		n.log.Info("removed from the group, stepping down")
		n.hand() // whoever waits for a committed entry gets its result
		n.follow(n.term, Member{})
	}
}

// ReadBarrier returns nil once a majority has confirmed the leadership after the call began
// and everything committed before it is applied.
func (n *Node) ReadBarrier(ctx context.Context) error {
	r := &read{done: make(chan error, 1)}
	_, err := call(ctx, n, func(reply func(bool)) {
		defer reply(true)
		if !n.leading() {
			r.done <- ErrNotLeader
			return
		}
		r.sequence = n.sequence
		n.reads = append(n.reads, r)
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

// answerReads advances the reads. The read index is taken once the no-op of the term is
// committed, since only then the commit index covers everything of earlier terms.
func (n *Node) answerReads() {
	if len(n.reads) == 0 {
		return
	}
	sequence := majority(n, n.sequence+1, 0, func(p *peer) uint64 { return p.answered })
	kept := n.reads[:0]
	for _, r := range n.reads {
		if r.index == 0 && n.commit >= n.noop {
			r.index = n.commit
		}
		r.confirmed = r.confirmed || sequence > r.sequence
		if r.confirmed && r.index > 0 && n.applied.Load() >= uint64(r.index) {
			r.done <- nil
			continue
		}
		kept = append(kept, r)
	}
	clear(n.reads[len(kept):])
	n.reads = kept
}

func (n *Node) failReads() {
	for _, r := range n.reads {
		r.done <- ErrNotLeader
	}
	n.reads = nil
}

// replicate sends the next message to a peer that has none outstanding.
func (n *Node) replicate(p *peer, now timer.Instant) {
	if p.busy {
		return
	}
	behind := p.next <= n.journal.last() && !p.stalled
	asked := len(n.reads) > 0 && n.reads[len(n.reads)-1].sequence >= p.sequence
	if !behind && !asked && now.Sub(p.sent) < HeartbeatInterval {
		return
	}
	n.sequence++
	p.busy, p.sent, p.sequence = true, now, n.sequence
	m := &message{term: n.term, sent: now, sequence: n.sequence}
	t, ok := n.journal.term(p.next - 1)
	if !ok {
		m.install = true
		p.send(m)
		return
	}
	m.request = &wire.AppendRequest{
		Group: uint32(n.group), Term: uint64(n.term), Leader: toWire(n.self),
		Previndex: uint64(p.next - 1), Prevterm: uint64(t), Commit: uint64(n.commit),
		Target: string(p.member.Identity),
	}
	if behind {
		m.request.Entries = EntriesToWire(n.journal.slice(p.next, n.journal.last(), batchBytes))
	}
	p.send(m)
}

// replied handles the end of an append call; r is nil if it failed.
func (n *Node) replied(p *peer, m *message, r *wire.AppendReply) {
	p.busy = false
	if !n.current(p, m, Term(r.GetTerm()), Identity(r.GetIdentity()), r == nil) {
		return
	}
	previous, match := Index(m.request.GetPrevindex()), Index(r.GetMatch())
	if r.GetSuccess() {
		match = min(match, previous+Index(len(m.request.GetEntries())))
		p.match, p.next, p.stalled = max(p.match, match), match+1, false
		n.advance()
		n.checkRemoved()
		return
	}
	// A hint that leads no further back comes from a peer that cannot store at the moment.
	p.stalled = match >= previous
	if !p.stalled {
		p.next, p.match = match+1, min(p.match, match)
	}
}

// installed handles the end of an install call, or of one chunk if done is false.
func (n *Node) installed(p *peer, m *message, r *wire.InstallReply, index Index, done bool) {
	p.busy = !done
	if !n.current(p, m, Term(r.GetTerm()), Identity(r.GetIdentity()), r == nil) || !done {
		return
	}
	p.stalled = !r.GetSuccess() || index == 0
	if !p.stalled {
		p.match, p.next = max(p.match, index), max(p.next, index+1)
		n.advance()
	}
}

// current tells whether a reply belongs to the present leadership and comes from the
// expected identity. If so it confirms the leadership at the time of sending.
func (n *Node) current(p *peer, m *message, term Term, from Identity, failed bool) bool {
	if n.role != leader || n.term != m.term || n.peers[p.member.Identity] != p {
		return false
	}
	if failed || from != p.member.Identity {
		p.stalled = true
		return false
	}
	if term > n.term {
		n.log.Info("newer term seen, stepping down", zap.Uint64("term", uint64(term)))
		n.follow(term, Member{})
		return false
	}
	p.heard, p.answered = max(p.heard, m.sent), max(p.answered, m.sequence)
	return true
}
