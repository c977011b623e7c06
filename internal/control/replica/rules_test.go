package replica

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// stub is a store that discards writes and a state machine that does nothing.
type stub struct {
	hard    HardState
	entries []Entry
	meta    SnapshotMeta
}

func (s *stub) Load() (HardState, []Entry, SnapshotMeta, error) {
	return s.hard, s.entries, s.meta, nil
}
func (s *stub) ReadSnapshot() (SnapshotMeta, []byte, error) { return s.meta, nil, nil }
func (*stub) CheckSpace(int) error                          { return nil }
func (*stub) Recover() error                                { return nil }
func (*stub) SaveHardState(HardState) error                 { return nil }
func (*stub) Append([]Entry) error                          { return nil }
func (*stub) Truncate(Index) error                          { return nil }
func (*stub) SaveSnapshot(SnapshotMeta, []byte) error       { return nil }
func (*stub) Compact(Index) error                           { return nil }
func (*stub) Apply(Index, []byte) []byte                    { return nil }
func (*stub) Snapshot() ([]byte, error)                     { return nil, nil }
func (*stub) Restore([]byte) error                          { return nil }

// leadingNode returns a node that isn't running. It is the leader of a, b and c in term 4,
// and its log holds entries of terms 1, 2 and 4. The last is its no-op.
func leadingNode(t *testing.T) (*Node, *timer.Manual) {
	t.Helper()
	is := is.New(t)
	members := []Member{{"a", "1", true}, {"b", "2", true}, {"c", "3", true}}
	data, err := encodeMembers(members)
	is.NoErr(err)
	s := &stub{hard: HardState{Term: 4}, entries: []Entry{
		{Index: 1, Term: 1, Kind: wire.Kind_KIND_MEMBERS, Data: data},
		{Index: 2, Term: 2},
		{Index: 3, Term: 4, Kind: wire.Kind_KIND_NOOP},
	}}
	clock := timer.NewManual()
	clock.Advance(time.Minute)
	n, err := New(Options{
		Self: members[0], StateMachine: s, Store: s, Timer: clock, Random: rand.New(rand.NewPCG(1, 1)),
	})
	is.NoErr(err)
	is.NoErr(n.recover())
	n.completeWrite(<-n.completedWrites.C())
	n.role, n.noopIndex, n.sequence, n.leader, n.electedAt = leader, 3, 9, members[0], clock.Now()
	for _, m := range members[1:] {
		p := &peer{node: n, member: m, outgoing: make(chan *message, 1)}
		p.reset(4)
		n.peers[m.Identity] = p
	}
	n.peerMembers = members
	return n, clock
}

// receiveAck handles a successful reply to m from the address of a member. identity is that of
// the replica that replied.
func (n *Node) receiveAck(from, identity Identity, m *message, match Index) {
	m.request = &wire.AppendRequest{Previndex: uint64(match)}
	n.onAppendReply(n.peers[from], m, &wire.AppendReply{
		Term: uint64(n.term), Success: true, Match: uint64(match), Identity: string(identity),
	})
}

// Guards against committing an entry of an earlier term by counting the replicas that store
// it. A later leader may still replace such an entry.
func TestCommitOnlyOwnTerm(t *testing.T) {
	is := is.New(t)
	n, clock := leadingNode(t)
	n.receiveAck("b", "b", &message{term: 4, sentAt: clock.Now(), sequence: 1}, 2)
	is.Equal(n.commitIndex, Index(0))
	n.receiveAck("b", "b", &message{term: 4, sentAt: clock.Now(), sequence: 2}, 3)
	is.Equal(n.commitIndex, Index(3))
}

// Guards against counting replies from another identity at the address of a member, replies
// to messages of an earlier term, and votes of an earlier election round.
func TestUnexpectedReplies(t *testing.T) {
	tests := []struct {
		name     string
		identity Identity
		term     Term
	}{
		{"identity", "x", 4},
		{"other member", "c", 4},
		{"term", "b", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n, clock := leadingNode(t)
			n.receiveAck("b", tt.identity, &message{term: tt.term, sentAt: clock.Now(), sequence: 1}, 3)
			is.Equal(n.commitIndex, Index(0))
			n.appliedIndex.Store(3) // what it would be if the reply counted
			n.publish()
			_, ok := n.HoldsLease()
			is.True(!ok)
		})
	}
	is := is.New(t)
	n, _ := leadingNode(t)
	n.role, n.electionRound, n.votesGranted = candidate, 7, map[Identity]bool{"a": true}
	n.onVoteReply(n.peers["b"], &voteRequest{round: 7}, &wire.VoteReply{Term: 4, Granted: true, Identity: "x"})
	is.Equal(n.role, candidate)
	n.onVoteReply(n.peers["b"], &voteRequest{round: 6}, &wire.VoteReply{Term: 4, Granted: true, Identity: "b"})
	is.Equal(n.role, candidate)
	n.onVoteReply(n.peers["b"], &voteRequest{round: 7}, &wire.VoteReply{Term: 4, Granted: true, Identity: "b"})
	is.Equal(n.role, leader)
}

// Guards against a lease that counts from the receipt of a reply instead of the sending of
// the message, so that a late reply extends it too far.
func TestLeaseStartsAtSend(t *testing.T) {
	is := is.New(t)
	n, clock := leadingNode(t)
	sent := clock.Now()
	clock.Advance(300 * time.Millisecond)
	n.receiveAck("b", "b", &message{term: 4, sentAt: sent, sequence: 1}, 3)
	n.appliedIndex.Store(3)
	n.publish()
	clock.Advance(199 * time.Millisecond)
	term, ok := n.HoldsLease()
	is.True(ok)
	is.Equal(term, Term(4))
	clock.Advance(time.Millisecond)
	_, ok = n.HoldsLease()
	is.True(!ok)
	is.True(!n.leaseValid())
}

// Guards against reads, leases and membership changes by a leader that has not committed an
// entry of its own term, and against reads and leases before that entry is applied.
func TestOwnTermCommitRequired(t *testing.T) {
	is := is.New(t)
	n, clock := leadingNode(t)
	n.receiveAck("b", "b", &message{term: 4, sentAt: clock.Now(), sequence: 2}, 2)
	n.commitIndex = 1
	n.publish()
	_, ok := n.HoldsLease()
	is.True(!ok)
	p := &proposal{result: make(chan outcome, 1)}
	_, err := n.startChange(p, func(m []Member) ([]Member, error) { return m[:2], nil })
	is.True(errors.Is(err, ErrChangePending))
	r := &pendingRead{sequence: 1, done: make(chan error, 1)}
	n.pendingReads = []*pendingRead{r}
	n.completeReads()
	n.appliedIndex.Store(2)
	n.completeReads()
	is.Equal(len(r.done), 0)
	n.receiveAck("b", "b", &message{term: 4, sentAt: clock.Now(), sequence: 3}, 3)
	n.completeReads()
	is.Equal(len(r.done), 0) // entry 3 is committed, but not applied
	n.publish()
	_, ok = n.HoldsLease()
	is.True(!ok)
	n.appliedIndex.Store(3)
	n.completeReads()
	is.Equal(len(r.done), 1)
	is.NoErr(<-r.done)
	n.publish()
	_, ok = n.HoldsLease()
	is.True(ok)
}

// Guards against handling messages for the former identity at the address of this replica.
func TestWrongTarget(t *testing.T) {
	is := is.New(t)
	n, _ := leadingNode(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // a call that passes the target check waits and returns another error
	_, err := n.Append(ctx, &wire.AppendRequest{Target: "b"})
	is.True(errors.Is(err, ErrWrongTarget))
	_, err = n.Vote(ctx, &wire.VoteRequest{Target: "b"})
	is.True(errors.Is(err, ErrWrongTarget))
	_, err = n.Install(ctx, &wire.InstallRequest{Target: "b"})
	is.True(errors.Is(err, ErrWrongTarget))
}

// Guards against accepting entries although the log before them differs, and against a retry
// index that doesn't lead back to where both logs agree.
func TestAcceptEntries(t *testing.T) {
	tests := []struct {
		name     string
		previous Index
		term     Term
		entries  []Entry
		success  bool
		match    Index
		last     Index
	}{
		{"beyond the end", 5, 4, nil, false, 3, 3},
		{"other term", 3, 5, nil, false, 2, 3},
		{"known entries", 1, 1, []Entry{{Index: 2, Term: 2}}, true, 2, 3},
		{"conflict", 1, 1, []Entry{{Index: 2, Term: 5}}, true, 2, 2},
		{"new entries", 3, 4, []Entry{{Index: 4, Term: 5}, {Index: 5, Term: 5}}, true, 5, 5},
		{"gap", 3, 4, []Entry{{Index: 5, Term: 5}}, false, 3, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n, _ := leadingNode(t)
			n.becomeFollower(5, Member{})
			success, match := n.acceptEntries(&wire.AppendRequest{
				Term: 5, Previndex: uint64(tt.previous), Prevterm: uint64(tt.term),
				Entries: EntriesToWire(tt.entries), Commit: 9,
			})
			is.Equal(success, tt.success)
			is.Equal(match, tt.match)
			is.Equal(n.raftLog.lastIndex(), tt.last)
			is.NoErr(n.fatalErr)
			if success {
				is.Equal(n.commitIndex, match)
			}
		})
	}
	is := is.New(t)
	n, _ := leadingNode(t)
	n.becomeFollower(5, Member{})
	n.commitIndex = 3
	_, _ = n.acceptEntries(&wire.AppendRequest{Previndex: 1, Prevterm: 1, Entries: EntriesToWire([]Entry{{Index: 2, Term: 5}})})
	is.True(n.fatalErr != nil) // a committed entry is never replaced
}

// Guards against a leader that has not stored its term. After a restart it would forget the
// term, could be elected in it a second time, since the others have voted for it already, and
// would replace entries by others of the same index and term.
func TestLeaderStoresTermFirst(t *testing.T) {
	is := is.New(t)
	n, _ := leadingNode(t)
	for _, p := range n.peers {
		p.voteRequests = make(chan *voteRequest, 1)
	}
	n.becomeFollower(4, Member{})
	n.campaign(false)
	for _, m := range []Identity{"b", "c"} {
		p := n.peers[m]
		n.onVoteReply(p, p.lastVote, &wire.VoteReply{Term: 5, Granted: true, Identity: string(m)})
	}
	is.Equal(n.role, candidate)
	is.Equal(n.raftLog.lastIndex(), Index(3))
	n.completeWrite(<-n.writes.C())
	is.Equal(n.role, leader)
	is.Equal(n.raftLog.lastIndex(), Index(4))
}

// failedStore is a store whose recovery fails.
type failedStore struct{ stub }

var errRecovery = errors.New("recovery failed")

func (*failedStore) Recover() error { return errRecovery }

// Guards against a replica that waits for ever for a recovery that has failed before it ran.
func TestFailedRecovery(t *testing.T) {
	is := is.New(t)
	self, s := Member{"a", "1", true}, &failedStore{}
	n, err := New(Options{Self: self, StateMachine: s, Store: s, Timer: timer.NewSystem(), Random: rand.New(rand.NewPCG(1, 1))})
	is.NoErr(err)
	is.True(errors.Is(n.Bootstrap([]Member{self}), errRecovery))
	is.True(errors.Is(n.Run(t.Context()), errRecovery))
}

// Guards against split votes of two replicas that request pre-votes at the same time: only one of them
// gets the pre-vote of the other. Neither is kept from an election for long.
func TestPreVotesAtTheSameTime(t *testing.T) {
	for _, c := range []struct {
		name      string
		candidate Identity
		after     time.Duration
		last      Index
		granted   bool
	}{
		{"higher identity", "b", 0, 3, false},
		{"higher identity with a longer log", "b", 0, 4, true},
		{"higher identity, after a while", "b", maxPrecedence, 3, true},
		{"lower identity", "A", 0, 3, true},
		{"lower identity with a shorter log", "A", 0, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n, clock := leadingNode(t)
			for _, p := range n.peers {
				p.voteRequests = make(chan *voteRequest, 1)
			}
			n.becomeFollower(4, Member{})
			clock.Advance(MinElectionTimeout)
			n.campaign(true)
			clock.Advance(c.after)
			round := n.electionRound
			lastTerm := Term(4)
			if c.last == 2 {
				lastTerm = 2
			}
			is.Equal(n.decideVote(&wire.VoteRequest{
				Prevote: true, Term: 5, Candidate: memberToWire(Member{Identity: c.candidate}), Lastindex: uint64(c.last), Lastterm: uint64(lastTerm),
			}), c.granted)
			is.Equal(n.role == preCandidate, !c.granted)
			is.Equal(n.electionRound == round, !c.granted)
		})
	}
}

// Guards against votes that take twice the time of a write on a slow disk: the term and the vote of a
// voter are written together.
func TestVoteIsOneWrite(t *testing.T) {
	is := is.New(t)
	n, clock := leadingNode(t)
	n.becomeFollower(4, Member{})
	clock.Advance(MinElectionTimeout)
	is.True(n.decideVote(&wire.VoteRequest{Term: 5, Candidate: memberToWire(Member{Identity: "b"}), Lastindex: 3, Lastterm: 4}))
	durable := false
	n.whenDurable(func() { durable = true })
	writes := n.writes.TakeBatch(nil, queueSize)
	is.Equal(len(writes), 2)
	is.Equal(*writes[0].hardState, HardState{Term: 5, Vote: "b"})
	is.True(writes[1].isBarrier())
	for _, w := range writes {
		is.True(!durable)
		n.completeWrite(w)
	}
	is.True(durable)
	is.Equal(n.unsyncedHardStates, 0)
}

// Guards against a membership that stays in effect after its entry was truncated.
func TestTruncatedMembership(t *testing.T) {
	is := is.New(t)
	n, _ := leadingNode(t)
	data, err := encodeMembers([]Member{{"x", "9", true}})
	is.NoErr(err)
	is.NoErr(n.raftLog.append(Entry{Index: 4, Term: 4, Kind: wire.Kind_KIND_MEMBERS, Data: data}))
	is.Equal(n.raftLog.latestMembership().members[0].Identity, Identity("x"))
	n.raftLog.truncate(4)
	is.Equal(len(n.raftLog.latestMembership().members), 3)
}

// Guards against a snapshot that is assembled from chunks of two transfers.
func TestSnapshotChunks(t *testing.T) {
	tests := []struct {
		name    string
		index   uint64
		offset  uint64
		success bool
	}{
		{"next", 9, 3, true},
		{"repeated", 9, 1, false},
		{"gap", 9, 5, false},
		{"other snapshot", 8, 3, false},
		{"again from the start", 8, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n, _ := leadingNode(t)
			n.becomeFollower(5, Member{})
			n.receiveChunk(&wire.InstallRequest{Term: 5, Lastindex: 9, Data: []byte("abc")}, func(ok bool) { is.True(ok) })
			n.receiveChunk(&wire.InstallRequest{Term: 5, Lastindex: tt.index, Offset: tt.offset, Data: []byte("def")},
				func(ok bool) { is.Equal(ok, tt.success) })
		})
	}
}
