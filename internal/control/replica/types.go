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

// Group numbers a replicated log.
type Group uint32

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
	// ErrFull says that the storage is full; nothing was done.
	ErrFull = errors.New("storage full")
	// ErrUnknown says that the command may or may not have been committed.
	ErrUnknown = errors.New("outcome unknown")
	// ErrBusy says that the queue of proposals stayed full; nothing was done.
	ErrBusy = errors.New("too many proposals")
	// ErrTooLarge says that a command exceeds MaxCommand; nothing was done.
	ErrTooLarge = errors.New("command too large")
	// ErrPending says that another membership change is not committed yet; nothing was done.
	ErrPending = errors.New("membership change pending")
	// ErrMember says that the membership change is not possible; nothing was done.
	ErrMember = errors.New("membership change not possible")
	// ErrTarget says that a message was meant for another identity.
	ErrTarget = errors.New("message for another identity")
	// ErrFormed says that the replica already belongs to a group.
	ErrFormed = errors.New("already formed")
	// ErrStopped says that the node does not run any more.
	ErrStopped = errors.New("node stopped")
)

// Timing of elections and leases. A follower denies votes for the minimum
// election timeout, which is a fifth longer than the lease, so that clocks may
// differ in rate by that much. Two replicas whose timeouts end within one tick may
// split the votes.
const (
	Heartbeat       = 100 * time.Millisecond
	ElectionMinimum = 600 * time.Millisecond
	ElectionMaximum = 1200 * time.Millisecond
	Lease           = 500 * time.Millisecond
	tick            = 20 * time.Millisecond
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

// MaxCommand bounds a command, so that a batch with it fits the 4 MiB that drpc
// accepts as one message by default.
const MaxCommand = 3 << 20

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

// Hard is the state that must be durable before a reply depends on it.
type Hard struct {
	Term Term
	Vote Identity
}

// SnapshotMeta says which log prefix a snapshot replaces, and the members at its end.
type SnapshotMeta struct {
	Index   Index
	Term    Term
	Members []Member
}

// Machine is the state machine of one group. All calls come from one goroutine.
type Machine interface {
	Apply(i Index, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Store keeps the log of one group durable. It is safe for concurrent use. All
// changes are synced on return; any error but ErrFull must end the process.
type Store interface {
	Load() (Hard, []Entry, SnapshotMeta, error)
	// ReadSnapshot returns the last saved snapshot.
	ReadSnapshot() (SnapshotMeta, []byte, error)
	// Room returns ErrFull unless bytes more can be stored without the reserve.
	Room(bytes int) error
	SaveHard(h Hard) error
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
	Group     Group
	Self      Member
	Machine   Machine
	Store     Store
	Transport Transport
	Timer     timer.Service
	Random    *rand.Rand
	Log       *zap.Logger
	// Compaction is when the log is compacted; each field that is zero has its default.
	Compaction Compaction
}

// Compaction tells when a snapshot replaces the log.
type Compaction struct {
	// Entries and Bytes of log are applied before the next snapshot.
	Entries int
	Bytes   int
	// Keep is how many entries before the snapshot stay in the log.
	Keep Index
}

// complete fills in the defaults.
func (c Compaction) complete() Compaction {
	if c.Entries == 0 {
		c.Entries = 4096
	}
	if c.Bytes == 0 {
		c.Bytes = 16 << 20
	}
	if c.Keep == 0 {
		c.Keep = 512
	}
	return c
}

// Status describes a node at one moment.
type Status struct {
	Group    Group
	Self     Member
	Term     Term
	Leader   Member
	Leading  bool
	Commit   Index
	Applied  Index
	First    Index
	Last     Index
	Snapshot Index
	Members  []Member
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
