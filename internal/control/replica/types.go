// Package replica implements a replicated log after the Raft consensus algorithm: elections
// with pre-vote, log replication, membership changes with learners, snapshots, read barriers
// and a leader lease. Each group of control state has a log of its own.
package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// GroupID is the number of a group. The replicas of a group share one replicated log.
type GroupID uint32

// Term is the number of an election term, which has at most one leader.
type Term uint64

// Index is a position in the log; the first entry has index 1.
type Index uint64

// Identity identifies a replica. It is stored on the replica's disk: a replica that lost its
// disk gets a new identity.
type Identity string

// Address is the network address at which a replica accepts connections.
type Address string

// Errors of Node.
var (
	// ErrNotLeader is returned if this replica is not a leader with a valid lease. Nothing was
	// appended.
	ErrNotLeader = errors.New("not the leader")
	// ErrStorageFull is returned if the storage is full. Nothing was written.
	ErrStorageFull = errors.New("storage full")
	// ErrOutcomeUnknown is returned if a command or change may or may not have been committed.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrBusy is returned if the queue of proposals stayed full. Nothing was appended.
	ErrBusy = errors.New("too many proposals")
	// ErrTooLarge is returned if a command exceeds MaxCommandBytes. Nothing was appended.
	ErrTooLarge = errors.New("command too large")
	// ErrChangePending is returned if an earlier membership change may not be committed yet.
	// Nothing was appended.
	ErrChangePending = errors.New("membership change pending")
	// ErrInvalidChange is returned if the membership can't be changed as requested. Nothing
	// was appended.
	ErrInvalidChange = errors.New("membership change not possible")
	// ErrWrongTarget is returned for a message whose target has another identity.
	ErrWrongTarget = errors.New("message for another identity")
	// ErrAlreadyBootstrapped is returned if the replica already belongs to a group.
	ErrAlreadyBootstrapped = errors.New("already formed")
	// ErrStopped is returned once the node or transport has stopped.
	ErrStopped = errors.New("node stopped")
)

// Timing of elections and leases. After a message from a leader a follower denies votes for
// MinElectionTimeout. This is a fifth longer than the lease, so leases stay exclusive while
// clock rates differ by no more than that. Two replicas whose election timeouts end within
// one tick may split the vote.
const (
	HeartbeatInterval  = 100 * time.Millisecond
	MinElectionTimeout = 600 * time.Millisecond
	MaxElectionTimeout = 1200 * time.Millisecond
	LeaseDuration      = 500 * time.Millisecond
	tickInterval       = 20 * time.Millisecond
	// maxReplyDelay is how long a follower waits for its disk before it replies to a leader. A
	// leader needs replies of a majority within LeaseDuration, however slow the disks are.
	maxReplyDelay = HeartbeatInterval / 2
	// maxPrecedence is how long a replica that requests pre-votes denies them to others that do the
	// same: election timeouts that end within one tick, and a message.
	maxPrecedence = 2 * tickInterval
	// maxVoteSync is how long a candidate waits for its own vote to become durable before it
	// starts another election.
	maxVoteSync = 10 * time.Second
)

// Timeouts of calls to peers. preVoteTimeout bounds requests for pre-votes only: a vote is
// awaited until the election ends, since the voter syncs it first.
const (
	appendTimeout  = 400 * time.Millisecond
	preVoteTimeout = 250 * time.Millisecond
	installTimeout = 2 * time.Second
)

// Bounds on queues and messages.
const (
	queueSize           = 1024      // capacity of the queues of events and proposals, and limit on pending writes
	maxBatchBytes       = 512 << 10 // of entries that are sent, proposed or applied together
	snapshotChunkBytes  = 256 << 10
	maxUnappliedEntries = 8192 // above this a leader accepts no proposals until the applier has caught up
)

// MaxCommandBytes is the maximum size of a command. With it, a batch fits the 4 MiB that
// drpc accepts as one message by default.
const MaxCommandBytes = 3 << 20

// Member is one replica of a group.
type Member struct {
	Identity Identity
	Address  Address
	Voter    bool
}

// Entry is an entry of the log.
type Entry struct {
	Index Index
	Term  Term
	Kind  wire.Kind
	Data  []byte
}

// HardState is the term and the vote given in it. It must be durable before a reply that
// depends on it is sent.
type HardState struct {
	Term Term
	Vote Identity
}

// SnapshotMeta holds the index and term of the last entry that a snapshot covers, and the
// members at that index.
type SnapshotMeta struct {
	Index   Index
	Term    Term
	Members []Member
}

// StateMachine is the state machine of one group. While the node runs, all its methods are
// called from one goroutine.
type StateMachine interface {
	// Apply applies a committed command and returns its result for the caller of Propose.
	Apply(i Index, command []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Store stores the log, the hard state and the latest snapshot of one group durably. It is
// safe for concurrent use. All changes are synced on return. After any error other than
// ErrStorageFull the process must end. Truncate removes the entries from the given index on,
// Compact those up to and including it.
type Store interface {
	// Load reads what is stored and syncs nothing. Nothing that depends on the result, or on what
	// is stored before Recover returns, may be acknowledged before then.
	Load() (HardState, []Entry, SnapshotMeta, error)
	// Recover makes durable what Load has returned. SaveHardState and SaveSnapshot may run beside
	// it; Append, Truncate and Compact must not be called before it returns.
	Recover() error
	// ReadSnapshot returns the last saved snapshot.
	ReadSnapshot() (SnapshotMeta, []byte, error)
	// CheckSpace returns ErrStorageFull unless that many more bytes can be stored without
	// using the space reserve.
	CheckSpace(bytes int) error
	SaveHardState(h HardState) error
	Append(entries []Entry) error
	Truncate(from Index) error
	SaveSnapshot(m SnapshotMeta, snapshot []byte) error
	Compact(upTo Index) error
}

// Transport sends messages to other replicas.
type Transport interface {
	Append(ctx context.Context, to Address, r *wire.AppendRequest) (*wire.AppendReply, error)
	Vote(ctx context.Context, to Address, r *wire.VoteRequest) (*wire.VoteReply, error)
	Install(ctx context.Context, to Address, r *wire.InstallRequest) (*wire.InstallReply, error)
}

// Options configures a node. Log may be nil.
type Options struct {
	Group        GroupID
	Self         Member
	StateMachine StateMachine
	Store        Store
	Transport    Transport
	Timer        timer.Service
	// Random must not be used elsewhere.
	Random *rand.Rand
	Log    *zap.Logger
	// Compaction sets when the log is compacted. Fields that are zero get their defaults.
	Compaction Compaction
}

// Compaction sets when a snapshot is taken and the log before it is removed.
type Compaction struct {
	// A snapshot is due after MaxEntries entries or MaxBytes bytes have been applied.
	MaxEntries int
	MaxBytes   int
	// TrailingEntries is the number of entries before the snapshot that stay in the log,
	// so that replicas slightly behind need no snapshot.
	TrailingEntries Index
}

// withDefaults replaces the fields that are zero by their defaults.
func (c Compaction) withDefaults() Compaction {
	if c.MaxEntries == 0 {
		c.MaxEntries = 4096
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = 16 << 20
	}
	if c.TrailingEntries == 0 {
		c.TrailingEntries = 512
	}
	return c
}

// Status is the status of a node at one moment.
type Status struct {
	Group         GroupID
	Self          Member
	Term          Term
	Leader        Member
	HoldsLease    bool
	CommitIndex   Index
	AppliedIndex  Index
	FirstIndex    Index // first entry that the log still holds
	LastIndex     Index
	SnapshotIndex Index // last entry that the latest snapshot covers
	// Members is the latest membership, which takes effect before it is committed, and MembershipIndex that
	// of its entry.
	Members         []Member
	MembershipIndex Index
}

func memberToWire(m Member) *wire.Member {
	return &wire.Member{Identity: string(m.Identity), Address: string(m.Address), Voter: m.Voter}
}

func memberFromWire(m *wire.Member) Member {
	return Member{Identity: Identity(m.GetIdentity()), Address: Address(m.GetAddress()), Voter: m.GetVoter()}
}

// MembersToWire converts members to wire messages.
func MembersToWire(members []Member) []*wire.Member {
	out := make([]*wire.Member, 0, len(members))
	for _, m := range members {
		out = append(out, memberToWire(m))
	}
	return out
}

// MembersFromWire converts wire messages to members.
func MembersFromWire(members []*wire.Member) []Member {
	out := make([]Member, 0, len(members))
	for _, m := range members {
		out = append(out, memberFromWire(m))
	}
	return out
}

// EntriesToWire converts entries to wire messages.
func EntriesToWire(entries []Entry) []*wire.Entry {
	out := make([]*wire.Entry, 0, len(entries))
	for _, e := range entries {
		out = append(out, &wire.Entry{Index: uint64(e.Index), Term: uint64(e.Term), Kind: e.Kind, Data: e.Data})
	}
	return out
}

// EntriesFromWire converts wire messages to entries.
func EntriesFromWire(entries []*wire.Entry) []Entry {
	out := make([]Entry, 0, len(entries))
	for _, e := range entries {
		out = append(out, Entry{Index: Index(e.GetIndex()), Term: Term(e.GetTerm()), Kind: e.GetKind(), Data: e.GetData()})
	}
	return out
}
