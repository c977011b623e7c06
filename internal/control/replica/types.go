// Package replica keeps one replicated log per group of control state:
// election, replication, membership, snapshots and the leader lease.
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

// GroupID numbers a replicated log.
type GroupID uint32

// Term numbers a period with at most one leader.
type Term uint64

// Index is a position in the log; the first entry has index 1.
type Index uint64

// Identity names a replica; it lasts exactly as long as the replica's disk.
type Identity string

// Address is where a replica accepts connections.
type Address string

// Errors of Node.
var (
	// ErrNotLeader says that this replica leads no majority; nothing was done.
	ErrNotLeader = errors.New("not the leader")
	// ErrStorageFull says that the storage is full; nothing was done.
	ErrStorageFull = errors.New("storage full")
	// ErrOutcomeUnknown says that the command may or may not have been committed.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrBusy says that the queue of proposals stayed full; nothing was done.
	ErrBusy = errors.New("too many proposals")
	// ErrTooLarge says that a command exceeds MaxCommand; nothing was done.
	ErrTooLarge = errors.New("command too large")
	// ErrChangePending says that another membership change is not committed yet; nothing was done.
	ErrChangePending = errors.New("membership change pending")
	// ErrInvalidChange says that the membership change is not possible; nothing was done.
	ErrInvalidChange = errors.New("membership change not possible")
	// ErrWrongTarget says that a message was meant for another identity.
	ErrWrongTarget = errors.New("message for another identity")
	// ErrAlreadyBootstrapped says that the replica already belongs to a group.
	ErrAlreadyBootstrapped = errors.New("already formed")
	// ErrStopped says that the node does not run any more.
	ErrStopped = errors.New("node stopped")
)

// Timing of elections and leases. A follower denies votes for the minimum
// election timeout, which is a fifth longer than the lease, so that clocks may
// differ in rate by that much. Two replicas whose timeouts end within one tick may
// split the votes.
const (
	HeartbeatInterval  = 100 * time.Millisecond
	MinElectionTimeout = 600 * time.Millisecond
	MaxElectionTimeout = 1200 * time.Millisecond
	LeaseDuration      = 500 * time.Millisecond
	tick               = 20 * time.Millisecond
)

// Deadlines of calls to peers.
const (
	appendTimeout  = 400 * time.Millisecond
	voteTimeout    = 250 * time.Millisecond
	installTimeout = 2 * time.Second
)

// Bounds on queues and messages.
const (
	ringSize       = 1024
	batchBytes     = 512 << 10
	chunkBytes     = 256 << 10
	maxUncommitted = 8192
)

// MaxCommandBytes bounds a command, so that a batch with it fits the 4 MiB that drpc
// accepts as one message by default.
const MaxCommandBytes = 3 << 20

// Member is one replica of a group.
type Member struct {
	Identity Identity
	Address  Address
	Voter    bool
}

// Entry is one position of the log.
type Entry struct {
	Index Index
	Term  Term
	Kind  wire.Kind
	Data  []byte
}

// HardState is the state that must be durable before a reply depends on it.
type HardState struct {
	Term Term
	Vote Identity
}

// SnapshotMeta says which log prefix a snapshot replaces, and the members at its end.
type SnapshotMeta struct {
	Index   Index
	Term    Term
	Members []Member
}

// StateMachine is the state machine of one group. All calls come from one goroutine.
type StateMachine interface {
	Apply(i Index, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Store keeps the log of one group durable. It is safe for concurrent use. All
// changes are synced on return; any error but ErrFull must end the process.
type Store interface {
	Load() (HardState, []Entry, SnapshotMeta, error)
	// ReadSnapshot returns the last saved snapshot.
	ReadSnapshot() (SnapshotMeta, []byte, error)
	// CheckSpace returns ErrFull unless bytes more can be stored without the reserve.
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

// Options are the parts that a node is built from. Log may be nil.
type Options struct {
	Group        GroupID
	Self         Member
	StateMachine StateMachine
	Store        Store
	Transport    Transport
	Timer        timer.Service
	Random       *rand.Rand
	Log          *zap.Logger
	// Compaction is when the log is compacted; each field that is zero has its default.
	Compaction Compaction
}

// Compaction tells when a snapshot replaces the log.
type Compaction struct {
	// MaxEntries and Bytes of log are applied before the next snapshot.
	MaxEntries int
	MaxBytes   int
	// TrailingEntries is how many entries before the snapshot stay in the log.
	TrailingEntries Index
}

// complete fills in the defaults.
func (c Compaction) complete() Compaction {
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

// Status describes a node at one moment.
type Status struct {
	Group         GroupID
	Self          Member
	Term          Term
	Leader        Member
	HoldsLease    bool
	CommitIndex   Index
	AppliedIndex  Index
	FirstIndex    Index
	LastIndex     Index
	SnapshotIndex Index
	Members       []Member
}

func toWire(m Member) *wire.Member {
	return &wire.Member{Identity: string(m.Identity), Address: string(m.Address), Voter: m.Voter}
}

func fromWire(m *wire.Member) Member {
	return Member{Identity: Identity(m.GetIdentity()), Address: Address(m.GetAddress()), Voter: m.GetVoter()}
}

// MembersToWire converts members to messages.
func MembersToWire(members []Member) []*wire.Member {
	out := make([]*wire.Member, 0, len(members))
	for _, m := range members {
		out = append(out, toWire(m))
	}
	return out
}

// MembersFromWire converts messages to members.
func MembersFromWire(members []*wire.Member) []Member {
	out := make([]Member, 0, len(members))
	for _, m := range members {
		out = append(out, fromWire(m))
	}
	return out
}

// EntriesToWire converts entries to messages.
func EntriesToWire(entries []Entry) []*wire.Entry {
	out := make([]*wire.Entry, 0, len(entries))
	for _, e := range entries {
		out = append(out, &wire.Entry{Index: uint64(e.Index), Term: uint64(e.Term), Kind: e.Kind, Data: e.Data})
	}
	return out
}

// EntriesFromWire converts messages to entries.
func EntriesFromWire(entries []*wire.Entry) []Entry {
	out := make([]Entry, 0, len(entries))
	for _, e := range entries {
		out = append(out, Entry{Index: Index(e.GetIndex()), Term: Term(e.GetTerm()), Kind: e.GetKind(), Data: e.GetData()})
	}
	return out
}
