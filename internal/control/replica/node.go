package replica

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/fifo"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// role is the role of a node in its group.
type role int

const (
	follower     role = iota
	preCandidate      // requests pre-votes
	candidate         // requests votes
	leader
)

// never is before every instant of a timer. Differences with it don't overflow.
const never = timer.Instant(-1 << 62)

// Node is one replica of one group. The fields of the first block don't change after New.
// Those of the second are safe for concurrent use as noted. All others are owned by the
// goroutine of loop.
type Node struct {
	group     GroupID
	self      Member
	machine   StateMachine
	store     Store
	transport Transport
	timer     timer.Service
	log       *zap.Logger

	events          *fifo.Queue[func()]
	proposals       *fifo.Queue[*proposal]
	writes          *fifo.Queue[*diskWrite]
	completedWrites *fifo.Queue[*diskWrite]
	applyQueue      *fifo.Queue[*applyTask]
	progress        chan struct{} // the applier has processed a task
	stopped         chan struct{} // closed when Run returns
	recovered       chan struct{} // closed when what was loaded is durable
	recoverOnce     sync.Once
	recoverErr      error      // of the recovery; set by recoverOnce
	recovery        *diskWrite // completes when recovered is closed
	startMu         sync.Mutex // guards started, and until Run starts also the fields owned by loop
	started         bool
	appliedIndex    atomic.Uint64 // last entry applied; written by the applier

	random           *rand.Rand
	tasks            *group.Group
	raftLog          *raftLog
	term             Term
	votedFor         Identity
	role             role
	leader           Member
	peers            map[Identity]*peer
	startedAt        timer.Instant
	lastContact      timer.Instant // time of the last message from a leader of the current term
	electionDeadline timer.Instant // when to start an election unless a leader is heard from
	electionRound    uint64        // increases with every campaign and change of role; votes of earlier rounds are ignored
	campaignedAt     timer.Instant // when this replica last began to request pre-votes
	votesGranted     map[Identity]bool
	votesDenied      map[Identity]bool
	outvoted         bool                // a voter has refused its vote in this round for good
	loggedElection   string              // result of the last failed election that was logged
	loggedDenials    map[Identity]string // the last reason logged for which a candidate was denied a vote
	commitIndex      Index
	enqueuedIndex    Index // last entry queued for the applier
	stableIndex      Index // last entry that is durable on this replica
	pendingWrites    int   // writes submitted and not completed
	unsyncedBytes    int   // entry bytes submitted and not synced
	// unsyncedHardStates is the number of terms and votes submitted and not durable, and
	// lateReplies are replies to a leader that wait for the disk.
	unsyncedHardStates int
	changedHardState   *diskWrite // a term or vote that is not submitted yet; nil if there is none
	lateReplies        []lateReply
	voteUnsynced       bool          // the vote of the current term is not durable
	votedAt            timer.Instant // when the last vote became durable
	pendingProposals   map[Index]*proposal
	snapshotIndex      Index
	incoming           *incomingSnapshot
	restoring          bool // a received snapshot is being restored; meanwhile the replica neither votes nor appends
	fatalErr           error

	peerMembers []Member // the members for which peers was built

	// Valid while leading.
	electedAt    timer.Instant
	noopIndex    Index  // first entry of the term, a no-op
	sequence     uint64 // number of the last message to a peer
	pendingReads []*pendingRead

	compaction Compaction
	published  publishedState // state for other goroutines
	applier    *applier
}

// publishedState is a copy of the state of a node that other goroutines may read.
type publishedState struct {
	mu          sync.Mutex
	status      Status
	leaseEnd    timer.Instant // end of the leader lease
	ready       bool          // this node leads and has applied an entry of its term
	leaderKnown bool
}

// New loads the store and returns a node, which is started by Run.
func New(o Options) (n *Node, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "group %d", o.Group)
		}
	}()
	hard, entries, meta, err := o.Store.Load()
	if err != nil {
		return nil, err
	}
	l, err := newRaftLog(entries, meta)
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	n = &Node{
		group: o.Group, self: o.Self, machine: o.StateMachine, store: o.Store, transport: o.Transport,
		timer: o.Timer, random: o.Random, log: o.Log.With(zap.Uint32("group", uint32(o.Group))),
		events: fifo.New[func()](queueSize), proposals: fifo.New[*proposal](queueSize),
		// The loop accepts nothing that causes writes while queueSize of them are pending, so
		// offers to these two queues always succeed.
		writes: fifo.New[*diskWrite](4 * queueSize), completedWrites: fifo.New[*diskWrite](4 * queueSize),
		applyQueue: fifo.New[*applyTask](applyQueueSize), progress: make(chan struct{}, 1), stopped: make(chan struct{}),
		raftLog: l, term: hard.Term, votedFor: hard.Vote, peers: map[Identity]*peer{}, loggedDenials: map[Identity]string{}, lastContact: never, votedAt: never,
		commitIndex: meta.Index, enqueuedIndex: meta.Index, snapshotIndex: meta.Index, recovered: make(chan struct{}),
		pendingProposals: map[Index]*proposal{}, compaction: o.Compaction.withDefaults(),
	}
	n.expectRecovery()
	n.appliedIndex.Store(uint64(meta.Index))
	n.applier = &applier{
		node: n, index: meta.Index, term: meta.Term, members: meta.Members, lastSnapshot: meta.Index,
		snapshots: make(chan pendingSnapshot, 1),
	}
	n.startedAt = n.timer.Now()
	n.resetElectionTimeout()
	if err := n.restoreSavedSnapshot(meta); err != nil {
		return nil, err
	}
	n.publish()
	return n, nil
}

// restoreSavedSnapshot loads the stored snapshot into the state machine, if there is one.
func (n *Node) restoreSavedSnapshot(meta SnapshotMeta) error {
	if meta.Index == 0 {
		return nil
	}
	_, data, err := n.store.ReadSnapshot()
	if err != nil {
		return err
	}
	return errors.Wrap(n.machine.Restore(data), "restore snapshot")
}

// Run runs the node until the context is done. After an error that is not due to the
// context, for example a failed sync, the process must end.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "group %d", n.group)
		}
	}()
	n.startMu.Lock()
	n.tasks = group.New(ctx)
	// Run may be called long after New. The previous process may have acknowledged messages
	// right before New, so the wait before votes and elections starts here.
	n.startedAt = n.timer.Now()
	n.resetElectionTimeout()
	n.started = true
	n.startMu.Unlock()
	defer close(n.stopped)
	n.tasks.Go("recovery", n.runRecovery)
	n.tasks.Go("disk", n.runWriter)
	n.tasks.Go("save", n.applier.runSnapshotWriter)
	n.tasks.Go("apply", n.applier.run)
	n.tasks.Go("loop", n.loop)
	return n.tasks.Wait()
}

// loop handles all events of the node, one at a time.
func (n *Node) loop(ctx context.Context) error {
	ticks := n.timer.Subscribe(tickInterval)
	defer ticks.Stop()
	defer n.failPending()
	n.processPending()
	for {
		events, proposals := n.events.C(), n.proposals.C()
		if n.pendingWrites >= queueSize {
			events, proposals = nil, nil
		}
		// A leader leaves proposals in the queue while the applier is behind. Other roles
		// refuse them at once.
		if n.role == leader && n.raftLog.lastIndex() > Index(n.appliedIndex.Load())+maxUnappliedEntries {
			proposals = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w := <-n.completedWrites.C():
			n.completeWrite(w)
		case f := <-events:
			f()
		case p := <-proposals:
			n.proposeBatch(p)
		case <-ticks.C:
			n.tick()
		case <-n.progress:
		}
		n.processPending()
		if n.fatalErr != nil {
			return n.fatalErr
		}
	}
}

// processPending does all work that the last event may have enabled.
func (n *Node) processPending() {
	n.submitHardState()
	if !slices.Equal(n.peerMembers, n.raftLog.latestMembership().members) {
		n.reconcilePeers()
	}
	n.enqueueCommitted()
	n.completeReads()
	if n.role == leader {
		now := n.timer.Now()
		for _, p := range n.peers {
			n.replicate(p, now)
		}
	}
	n.publish()
}

// tick handles the timeouts of elections and of the leadership.
func (n *Node) tick() {
	now := n.timer.Now()
	n.answerLate(now)
	switch {
	case n.role == leader:
		if now.Sub(max(n.lastQuorumContact(), n.electedAt)) > MinElectionTimeout {
			n.log.Warn("no majority, stepping down", zap.Uint64("term", uint64(n.term)))
			n.becomeFollower(n.term, Member{})
		}
	case !now.Before(n.electionDeadline):
		n.resetElectionTimeout()
		n.forgetLeader()
		n.logFailedElection()
		n.callElection()
	}
	n.stepDownWithoutVote()
}

// failPending fails the pending calls when the node stops.
func (n *Node) failPending() {
	n.failProposals(ErrOutcomeUnknown)
	n.failReads()
	for _, p := range n.proposals.TakeBatch(nil, queueSize) {
		p.complete(nil, ErrNotLeader)
	}
	n.published.mu.Lock()
	n.published.ready, n.published.leaderKnown, n.published.status.HoldsLease = false, false, false
	n.published.mu.Unlock()
}

// publish updates the state that other goroutines read.
func (n *Node) publish() {
	leaseEnd := never
	if n.role == leader {
		leaseEnd = n.lastQuorumContact().Add(LeaseDuration)
	}
	s := &n.published
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseEnd = leaseEnd
	// The no-op comes after everything that former leaders have committed and acknowledged.
	s.ready = n.role == leader && Index(n.appliedIndex.Load()) >= n.noopIndex
	s.leaderKnown = n.leader.Identity != ""
	s.status = Status{
		Group: n.group, Self: n.self, Term: n.term, Leader: n.leader,
		CommitIndex: n.commitIndex, FirstIndex: n.raftLog.baseIndex + 1, LastIndex: n.raftLog.lastIndex(),
		SnapshotIndex: n.snapshotIndex,
		Members:       n.raftLog.latestMembership().members, MembershipIndex: n.raftLog.latestMembership().index,
	}
}

// runInLoop runs f on the goroutine of loop and returns the value that f passes to reply.
func runInLoop[T any](ctx context.Context, n *Node, f func(reply func(T))) (out T, err error) {
	select {
	case <-n.stopped:
		return out, ErrStopped
	default:
	}
	result := make(chan T, 1)
	if err := n.events.Put(ctx, func() { f(func(v T) { result <- v }) }); err != nil {
		return out, err
	}
	select {
	case out = <-result:
		return out, nil
	case <-ctx.Done():
		return out, context.Cause(ctx)
	case <-n.stopped:
		return out, ErrStopped
	}
}

// Leader returns the last known leader of the current term. It may be outdated.
func (n *Node) Leader() (m Member, term Term, known bool) {
	s := &n.published
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Leader, s.status.Term, s.leaderKnown
}

// HoldsLease reports whether this replica is the leader, has applied an entry of its term and
// holds an unexpired lease. Its state machine is then as new as every acknowledged command.
func (n *Node) HoldsLease() (term Term, ok bool) {
	s := &n.published
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Term, s.ready && n.timer.Now().Before(s.leaseEnd)
}

// LeaseRemaining returns the time until the leader lease expires, or zero if HoldsLease
// returns false.
func (n *Node) LeaseRemaining() (term Term, remaining time.Duration) {
	s := &n.published
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return s.status.Term, 0
	}
	return s.status.Term, max(s.leaseEnd.Sub(n.timer.Now()), 0)
}

// Status returns the current status of the node.
func (n *Node) Status() Status {
	_, leading := n.HoldsLease()
	s := &n.published
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.status
	out.HoldsLease = leading
	out.AppliedIndex = Index(n.appliedIndex.Load())
	out.Members = append([]Member(nil), out.Members...)
	return out
}

// Bootstrap creates the group with the given members, in any order. It does nothing if the
// group was created with the same members before, and returns ErrAlreadyBootstrapped if it
// was created with others.
func (n *Node) Bootstrap(members []Member) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "bootstrap group %d", n.group)
		}
	}()
	if !isVoter(members, n.self.Identity) {
		return errors.Wrap(ErrInvalidChange, "this replica is not among the voters")
	}
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Identity, b.Identity) })
	n.startMu.Lock()
	if !n.started {
		defer n.startMu.Unlock()
		if err := n.recover(); err != nil {
			return err
		}
		for _, w := range n.completedWrites.TakeBatch(nil, 1) {
			n.completeWrite(w)
		}
		return n.storeInitialMembers(members)
	}
	n.startMu.Unlock()
	result, err := runInLoop(context.Background(), n, func(reply func(error)) {
		if n.isNew() && len(members) == 1 {
			n.found(members, reply)
			return
		}
		n.whenDurable(func() { reply(n.storeInitialMembers(members)) })
	})
	if err != nil {
		return err
	}
	return result
}

// isNew reports whether this replica has never been a member or heard of a term.
func (n *Node) isNew() bool {
	return n.term == 0 && n.votedFor == "" && n.raftLog.lastIndex() == 0 && !n.raftLog.hasMembers() && n.changedHardState == nil
}

// found creates a group of this replica alone, which leads it in term 1: its own vote is the
// majority. What it appends is committed only once the term is durable too, since the disk does the
// writes in order.
func (n *Node) found(members []Member, reply func(error)) {
	data, err := encodeMembers(members)
	if err != nil {
		reply(err)
		return
	}
	n.term, n.votedFor = 1, n.self.Identity
	n.saveHardState(nil)
	n.becomeLeader(Entry{Index: 1, Term: n.term, Kind: wire.Kind_KIND_MEMBERS, Data: data})
	n.whenDurable(func() { reply(nil) })
}

// storeInitialMembers stores the first entry, which holds the initial members. It is the
// same on every member and therefore counts as committed in term 1 before any election.
func (n *Node) storeInitialMembers(members []Member) error {
	data, err := encodeMembers(members)
	if err != nil {
		return err
	}
	if n.raftLog.hasMembers() || n.raftLog.lastIndex() > 0 || n.pendingWrites > 0 || n.changedHardState != nil {
		if e := n.raftLog.slice(1, 1, maxBatchBytes); len(e) == 1 && string(e[0].Data) == string(data) {
			return nil
		}
		return ErrAlreadyBootstrapped
	}
	hard := HardState{Term: max(n.term, 1), Vote: n.votedFor}
	entry := Entry{Index: 1, Term: 1, Kind: wire.Kind_KIND_MEMBERS, Data: data}
	if err := n.store.SaveHardState(hard); err != nil {
		return err
	}
	if err := n.store.Append([]Entry{entry}); err != nil {
		return err
	}
	n.term, n.commitIndex, n.stableIndex = hard.Term, 1, 1
	if err := n.raftLog.append(entry); err != nil {
		return err
	}
	n.publish()
	return nil
}
