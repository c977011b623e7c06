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

// role is what a node currently does in its group.
type role int

const (
	follower role = iota
	precandidate
	candidate
	leader
)

// never lies before every instant and leaves room for subtraction.
const never = timer.Instant(-1 << 62)

// Node is one replica of one group. Fields below the first block belong to the
// goroutine of loop unless a comment says otherwise.
type Node struct {
	group     GroupID
	self      Member
	machine   StateMachine
	store     Store
	transport Transport
	timer     timer.Service
	log       *zap.Logger

	events    *fifo.Queue[func()]
	proposals *fifo.Queue[*proposal]
	writes    *fifo.Queue[*write]
	written   *fifo.Queue[*write]
	work      *fifo.Queue[*work]
	progress  chan struct{} // the applier has advanced
	stopped   chan struct{} // Run has returned
	begin     sync.Mutex    // guards started, and the other fields until then
	started   bool
	applied   atomic.Uint64 // written by the applier

	random   *rand.Rand
	members  *group.Group
	journal  *journal
	term     Term
	vote     Identity
	role     role
	leader   Member
	peers    map[Identity]*peer
	start    timer.Instant
	contact  timer.Instant // last message from a leader of the current term
	election timer.Instant // when to campaign
	round    uint64        // changes with every campaign and change of role
	granted  map[Identity]bool
	commit   Index
	handed   Index // last entry given to the applier
	stable   Index // last entry that is synced on this disk
	pending  int   // writes in flight
	unsynced int   // bytes in flight
	waiting  map[Index]*proposal
	snapshot Index
	incoming *incoming
	restore  bool // a received snapshot is being restored
	fault    error

	configured []Member // the membership that peers fits

	// Valid while leading.
	elected  timer.Instant
	noop     Index
	sequence uint64
	reads    []*read

	limits Compaction
	state  state // read by other goroutines under state.mu
	apply  *applier
}

// state is what other goroutines see of a node.
type state struct {
	mu     sync.Mutex
	status Status
	lease  timer.Instant // end of the leader lease
	ready  bool          // leading, and an entry of the own term is committed
	known  bool
}

// New loads the store and returns a node that does nothing until Run.
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
	j, err := newJournal(entries, meta)
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	n = &Node{
		group: o.Group, self: o.Self, machine: o.StateMachine, store: o.Store, transport: o.Transport,
		timer: o.Timer, random: o.Random, log: o.Log.With(zap.Uint32("group", uint32(o.Group))),
		events: fifo.New[func()](ringSize), proposals: fifo.New[*proposal](ringSize),
		// A write is taken up only while there is room for it, so neither ring ever blocks the loop.
		writes: fifo.New[*write](4 * ringSize), written: fifo.New[*write](4 * ringSize),
		work: fifo.New[*work](workSize), progress: make(chan struct{}, 1), stopped: make(chan struct{}),
		journal: j, term: hard.Term, vote: hard.Vote, peers: map[Identity]*peer{}, contact: never,
		commit: meta.Index, handed: meta.Index, stable: j.last(), snapshot: meta.Index,
		waiting: map[Index]*proposal{}, limits: o.Compaction.complete(),
	}
	n.applied.Store(uint64(meta.Index))
	n.apply = &applier{
		node: n, index: meta.Index, term: meta.Term, members: meta.Members, saved: meta.Index,
		saves: make(chan stored, 1),
	}
	n.start = n.timer.Now()
	n.deferElection()
	if err := n.restoreStored(meta); err != nil {
		return nil, err
	}
	n.publish()
	return n, nil
}

func (n *Node) restoreStored(meta SnapshotMeta) error {
	if meta.Index == 0 {
		return nil
	}
	_, data, err := n.store.ReadSnapshot()
	if err != nil {
		return err
	}
	return errors.Wrap(n.machine.Restore(data), "restore snapshot")
}

// Run runs the node until the context is done. It returns an error if the process
// must end, for example after a failed sync.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "group %d", n.group)
		}
	}()
	n.begin.Lock()
	n.members = group.New(ctx)
	// The time since New may have been long, and messages may have been acknowledged
	// by a former process right before New.
	n.start = n.timer.Now()
	n.deferElection()
	n.started = true
	n.begin.Unlock()
	defer close(n.stopped)
	n.members.Go("disk", n.runDisk)
	n.members.Go("save", n.apply.runSave)
	n.members.Go("apply", n.apply.run)
	n.members.Go("loop", n.loop)
	return n.members.Wait()
}

func (n *Node) loop(ctx context.Context) error {
	ticks := n.timer.Subscribe(tick)
	defer ticks.Stop()
	defer n.drain()
	n.settle()
	for {
		events, proposals := n.events.C(), n.proposals.C()
		if n.pending >= ringSize {
			events, proposals = nil, nil
		}
		// A follower refuses at once, so only a leader lets proposals wait.
		if n.role == leader && n.journal.last() > Index(n.applied.Load())+maxUncommitted {
			proposals = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w := <-n.written.C():
			n.finish(w)
		case f := <-events:
			f()
		case p := <-proposals:
			n.propose(p)
		case <-ticks.C:
			n.tick()
		case <-n.progress:
		}
		n.settle()
		if n.fault != nil {
			return n.fault
		}
	}
}

// settle does what any event may have made possible.
func (n *Node) settle() {
	if !slices.Equal(n.configured, n.journal.config().members) {
		n.reconcilePeers()
	}
	n.hand()
	n.answerReads()
	if n.role == leader {
		now := n.timer.Now()
		for _, p := range n.peers {
			n.replicate(p, now)
		}
	}
	n.publish()
}

func (n *Node) tick() {
	now := n.timer.Now()
	switch {
	case n.role == leader:
		if now.Sub(max(n.confirmed(), n.elected)) > MinElectionTimeout {
			n.log.Info("no majority, stepping down", zap.Uint64("term", uint64(n.term)))
			n.follow(n.term, Member{})
		}
	case !now.Before(n.election):
		n.deferElection()
		if n.mayCampaign() && n.pending < ringSize {
			n.campaign(true)
		}
	}
	n.checkRemoved()
}

// drain answers what is left when the node stops.
func (n *Node) drain() {
	n.failWaiting(ErrOutcomeUnknown)
	n.failReads()
	for _, p := range n.proposals.TakeBatch(nil, ringSize) {
		p.finish(nil, ErrNotLeader)
	}
	n.state.mu.Lock()
	n.state.ready, n.state.known, n.state.status.HoldsLease = false, false, false
	n.state.mu.Unlock()
}

// publish makes the state visible to other goroutines.
func (n *Node) publish() {
	lease := never
	if n.role == leader {
		lease = n.confirmed().Add(LeaseDuration)
	}
	s := &n.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = lease
	s.ready = n.role == leader && n.commit >= n.noop
	s.known = n.leader.Identity != ""
	s.status = Status{
		Group: n.group, Self: n.self, Term: n.term, Leader: n.leader,
		CommitIndex: n.commit, FirstIndex: n.journal.base + 1, LastIndex: n.journal.last(), SnapshotIndex: n.snapshot,
		Members: n.journal.config().members,
	}
}

// call runs f on the goroutine of loop and waits until it has called reply.
func call[T any](ctx context.Context, n *Node, f func(reply func(T))) (out T, err error) {
	select {
	case <-n.stopped:
		return out, ErrStopped
	default:
	}
	answer := make(chan T, 1)
	if err := n.events.Put(ctx, func() { f(func(v T) { answer <- v }) }); err != nil {
		return out, err
	}
	select {
	case out = <-answer:
		return out, nil
	case <-ctx.Done():
		return out, context.Cause(ctx)
	case <-n.stopped:
		return out, ErrStopped
	}
}

// Leader returns the leader of the current term, if one is known. It is a hint.
func (n *Node) Leader() (m Member, term Term, known bool) {
	s := &n.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Leader, s.status.Term, s.known
}

// HoldsLease tells whether this replica leads and holds an unexpired lease now.
func (n *Node) HoldsLease() (term Term, ok bool) {
	s := &n.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Term, s.ready && n.timer.Now().Before(s.lease)
}

// LeaseRemaining returns the time until the leader lease runs out, zero unless Leading holds.
func (n *Node) LeaseRemaining() (term Term, left time.Duration) {
	s := &n.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return s.status.Term, 0
	}
	return s.status.Term, max(s.lease.Sub(n.timer.Now()), 0)
}

// Status describes the node.
func (n *Node) Status() Status {
	_, leading := n.HoldsLease()
	s := &n.state
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.status
	out.HoldsLease = leading
	out.AppliedIndex = Index(n.applied.Load())
	out.Members = append([]Member(nil), out.Members...)
	return out
}

// Bootstrap forms the group with the members, in any order. It does nothing if the same
// members formed it before, and fails with ErrFormed if others did.
func (n *Node) Bootstrap(members []Member) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "bootstrap group %d", n.group)
		}
	}()
	if !voter(members, n.self.Identity) {
		return errors.Wrap(ErrInvalidChange, "this replica is not among the voters")
	}
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Identity, b.Identity) })
	n.begin.Lock()
	if !n.started {
		defer n.begin.Unlock()
		return n.form(members)
	}
	n.begin.Unlock()
	formed, err := call(context.Background(), n, func(reply func(error)) { reply(n.form(members)) })
	if err != nil {
		return err
	}
	return formed
}

// form stores the first entry. It is the same on every member and therefore counts
// as committed in term 1, before the first election.
func (n *Node) form(members []Member) error {
	data, err := encodeMembers(members)
	if err != nil {
		return err
	}
	if n.journal.formed() || n.journal.last() > 0 || n.pending > 0 {
		if e := n.journal.slice(1, 1, batchBytes); len(e) == 1 && string(e[0].Data) == string(data) {
			return nil
		}
		return ErrAlreadyBootstrapped
	}
	hard := HardState{Term: max(n.term, 1), Vote: n.vote}
	entry := Entry{Index: 1, Term: 1, Kind: wire.Kind_KIND_MEMBERS, Data: data}
	if err := n.store.SaveHardState(hard); err != nil {
		return err
	}
	if err := n.store.Append([]Entry{entry}); err != nil {
		return err
	}
	n.term, n.commit, n.stable = hard.Term, 1, 1
	if err := n.journal.append(entry); err != nil {
		return err
	}
	n.publish()
	return nil
}
