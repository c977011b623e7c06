// Package consensus runs the replica of the deployment's control group on an instance
// with a disk: it bootstraps the group, adds and promotes members and replaces lost ones.
package consensus

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/fleet/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// reserveBytes of disk space are set aside so that terms and votes can still be written
	// when the disk is full.
	reserveBytes = 2 << 20
	// bootstrapInterval is the pause between two requests for permission to bootstrap.
	bootstrapInterval = 150 * time.Millisecond
	// membershipInterval is the pause between two checks of the membership.
	membershipInterval = 200 * time.Millisecond
	// minVoters is the number of voters of a new group before which it commits nothing, if
	// so many instances with disks are in contact. With fewer the loss of one disk ends the group.
	minVoters = 3
	// formingTime is how long after its creation a new group may have voters to come although too
	// few instances with disks are in contact: they find its leader within a second as a rule.
	formingTime = 1500 * time.Millisecond
	// changeTimeout bounds a single membership change.
	changeTimeout = 2 * time.Second
)

// Retention sets how much of the log is kept.
type Retention struct {
	// Compaction sets when a snapshot replaces a part of the log.
	Compaction replica.Compaction
	// SegmentBytes is the size at which a new segment of the log is started, or 0 for the
	// default of package disk.
	SegmentBytes int
}

// defaultRetention keeps the log small: a layout may hold hundreds of routes, and the disks
// hold 64 MB.
var defaultRetention = Retention{Compaction: replica.Compaction{MaxEntries: 256, MaxBytes: 4 << 20, TrailingEntries: 64}}

// Options configures a replica.
type Options struct {
	// DataDirectory is the data directory.
	DataDirectory string
	// Address is the peer address of this instance.
	Address string
	// PeerToken authenticates the instances of the deployment to each other.
	PeerToken string
	State     *state.State
	Timer     timer.Service
	Random    *rand.Rand
	Log       *zap.Logger
	// Files is the file system of the data directory. If it is nil, the replica uses that of
	// the operating system.
	Files disk.FileSystem
	// Retention is that of the log; the default if it is zero.
	Retention Retention
	// Dial opens a connection to another replica. If it is nil, the replica connects over TCP.
	Dial func(ctx context.Context, to string) (net.Conn, error)
	// AllowBootstrap is true if the control group may not exist yet.
	AllowBootstrap bool
	// Voters is how many voters a new group must have before it commits anything, or 0 if that is not
	// known: the group then awaits minVoters if so many instances may be in contact soon.
	Voters int
	// RequestBootstrap asks a seed whether this instance may bootstrap the group.
	RequestBootstrap func(ctx context.Context, identity string) bool
	// LiveReplicas returns the addresses of the instances in contact that have a disk.
	LiveReplicas func() map[replica.Identity]replica.Address
	// StoppingReplicas returns those of them whose process has begun to stop.
	StoppingReplicas func() map[replica.Identity]bool
}

// Replica is the replica of the control group on one instance.
type Replica struct {
	options   Options
	node      *replica.Node
	store     *disk.Store
	transport *replica.DRPCTransport
	server    *replica.Server
	identity  replica.Identity
	// formed is true once the group has had as many voters as it needs to commit.
	formed atomic.Bool
	// formingUntil is the instant until which a group that this replica has created is forming.
	formingUntil atomic.Int64
	// liveSince holds when instances came into contact, unreachableSince when members lost contact, and
	// silentSince when they ceased to acknowledge messages. Only the goroutine of loop uses them.
	liveSince        map[replica.Identity]timer.Instant
	unreachableSince map[replica.Identity]timer.Instant
	silentSince      map[replica.Identity]timer.Instant
	reporter         *reporter
}

// New opens the data directory. If its log is damaged before the tail, New moves the
// directory aside and continues with an empty one and a new identity.
func New(o Options) (r *Replica, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "core")
		}
	}()
	if o.Files == nil {
		o.Files = disk.OSFileSystem{}
	}
	o.Files = disk.WaitForDescriptors(disk.Monitor(o.Files, o.Timer, o.Log), o.Timer, o.Log)
	if o.Retention == (Retention{}) {
		o.Retention = defaultRetention
	}
	// Use a subdirectory: DataDirectory may be the root of a file system, whose parent cannot
	// be synced.
	path := filepath.Join(o.DataDirectory, "control")
	r, err = open(o, path)
	if !errors.Is(err, disk.ErrCorrupt) {
		return r, err
	}
	aside, failure := disk.SetAside(o.Files, path)
	if failure != nil {
		return nil, errors.CombineErrors(failure, err)
	}
	o.Log.Error("data directory is corrupt and was set aside; joining with a new identity",
		zap.String("aside", aside), journal.Error(err))
	return open(o, path)
}

// open opens the directory at path, creating it if necessary, and loads the replica from it.
func open(o Options, path string) (r *Replica, err error) {
	transport := replica.TransportOptions{Timer: o.Timer, PeerToken: o.PeerToken}
	if o.Dial != nil {
		transport.Dial = func(ctx context.Context, to replica.Address) (net.Conn, error) { return o.Dial(ctx, string(to)) }
	}
	r = &Replica{
		options: o, transport: replica.NewTransport(transport), reporter: newReporter(o.Timer, o.Log),
	}
	r.forget()
	directory, err := disk.Open(o.Files, path, reserveBytes)
	if err != nil {
		return nil, err
	}
	if o.Retention.SegmentBytes > 0 {
		directory.SetSegmentBytes(o.Retention.SegmentBytes)
	}
	r.identity = directory.Identity()
	if r.store, err = directory.OpenGroup(0); err != nil {
		return nil, err
	}
	r.node, err = replica.New(replica.Options{
		Self:         replica.Member{Identity: r.identity, Address: replica.Address(o.Address), Voter: true},
		StateMachine: o.State, Store: r.store, Transport: r.transport, Timer: o.Timer, Random: o.Random,
		Log: o.Log, Compaction: o.Retention.Compaction,
	})
	if err != nil {
		return nil, errors.CombineErrors(err, r.store.Close())
	}
	r.server = replica.NewServer(map[replica.GroupID]*replica.Node{0: r.node})
	r.server.PeerToken = o.PeerToken
	return r, nil
}

// Server returns the server for messages of other replicas.
func (r *Replica) Server() *replica.Server { return r.server }

// Identity returns the identity of the replica in its group.
func (r *Replica) Identity() string { return string(r.identity) }

// Run runs the replica until the context is done.
func (r *Replica) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("replica", r.node.Run)
	g.Go("membership", r.loop)
	return errors.CombineErrors(g.Wait(), r.Close())
}

// Close closes the connections and the files. It is needed where Run may not be called, and does nothing
// after it.
func (r *Replica) Close() error {
	return errors.CombineErrors(r.transport.Close(), r.store.Close())
}

// loop bootstraps the group if that is allowed, and adjusts its membership while this
// replica leads.
func (r *Replica) loop(ctx context.Context) error {
	for {
		r.reporter.reportVote(r.identity, r.Members())
		pause := membershipInterval
		switch {
		case len(r.Members()) == 0:
			pause = bootstrapInterval
			if err := r.bootstrap(ctx); err != nil {
				return err
			}
		case r.adjustMembership(ctx):
			// The steps of a replacement follow each other at once: between them the group
			// may survive fewer losses than before and after.
			pause = 0
		}
		if err := timer.Sleep(ctx, r.options.Timer, pause); err != nil {
			return nil
		}
	}
}

// bootstrap creates the group with this replica as its only member, if a seed permits that.
func (r *Replica) bootstrap(ctx context.Context) error {
	if !r.options.AllowBootstrap {
		return nil
	}
	// The permission is given to one identity, which must not be lost with the power.
	if r.node.AwaitRecovery(ctx) != nil || !r.options.RequestBootstrap(ctx, r.Identity()) {
		return nil
	}
	self := replica.Member{Identity: r.identity, Address: replica.Address(r.options.Address), Voter: true}
	r.formingUntil.Store(int64(r.options.Timer.Now().Add(formingTime)))
	err := r.node.Bootstrap([]replica.Member{self})
	if errors.Is(err, replica.ErrAlreadyBootstrapped) {
		return nil
	}
	r.options.Log.Info("bootstrapped the control group", zap.String("identity", r.Identity()), journal.Error(err))
	return err
}

// adjustMembership makes the next membership change if this replica leads. It returns
// whether a change was made.
func (r *Replica) adjustMembership(ctx context.Context) bool {
	if _, ok := r.node.HoldsLease(); !ok {
		r.forget()
		return false
	}
	ctx, cancel := timer.WithTimeout(ctx, r.options.Timer, changeTimeout)
	defer cancel()
	caughtUp, err := r.node.CaughtUpLearners(ctx)
	if err != nil {
		return false
	}
	acknowledging, err := r.node.Acknowledging(ctx)
	if err != nil {
		return false
	}
	unanswered, err := r.node.Unanswered(ctx)
	if err != nil {
		return false
	}
	observed := r.observe(caughtUp, acknowledging, unanswered)
	r.reporter.reportLosses(observed)
	change := NextChange(observed)
	if change.Action == NoChange {
		return false
	}
	switch change.Action {
	case Add:
		err = r.node.AddLearner(ctx, change.Member)
	case Promote:
		err = r.node.PromoteLearner(ctx, change.Member.Identity)
	case Remove:
		err = r.node.RemoveMember(ctx, change.Member.Identity)
	case Demote:
		err = r.node.DemoteMember(ctx, change.Member.Identity)
	case Replace:
		err = r.node.ReplaceMember(ctx, change.Lost, change.Member)
	}
	r.options.Log.Info("membership of the control group", zap.String("action", change.Action.String()),
		zap.String("identity", string(change.Member.Identity)), zap.String("address", string(change.Member.Address)),
		zap.String("lost", string(change.Lost)), zap.String("reason", change.Reason), journal.Error(err))
	return err == nil
}

// forget drops what a leader has observed of the members.
func (r *Replica) forget() {
	r.liveSince, r.unreachableSince = map[replica.Identity]timer.Instant{}, map[replica.Identity]timer.Instant{}
	r.silentSince = map[replica.Identity]timer.Instant{}
	r.reporter.forgetLosses()
}

// observe returns what this replica knows about the members and the instances in contact. A
// member that acknowledges messages can be reached even if its instance doesn't poll: a new
// leader has heard no polls yet, and an instance may look for the leader at a wrong address.
func (r *Replica) observe(caughtUp, acknowledging map[replica.Identity]bool, unanswered map[replica.Identity]time.Duration) Observation {
	now := r.options.Timer.Now()
	live := r.liveReplicas()
	members := r.Members()
	silent, unreachable := map[replica.Identity]bool{}, map[replica.Identity]bool{}
	for _, m := range members {
		if m.Identity == r.identity || acknowledging[m.Identity] {
			continue
		}
		silent[m.Identity] = true
		if _, ok := live[m.Identity]; !ok {
			unreachable[m.Identity] = true
		}
	}
	outages := updateSince(r.unreachableSince, unreachable, now)
	for i, d := range outages {
		// A member that has not replied in the election need not be waited for once more.
		outages[i] = max(d, unanswered[i])
	}
	return Observation{
		Self: r.identity, Members: members, Live: live, CaughtUp: caughtUp, Stopping: r.options.StoppingReplicas(),
		Contact: updateSince(r.liveSince, live, now), Unreachable: outages,
		Silent: updateSince(r.silentSince, silent, now),
	}
}

// updateSince removes the identities that are not in current from since, adds those that are
// new with the time now, and returns for how long each of them has been in it.
func updateSince[T any](
	since map[replica.Identity]timer.Instant, current map[replica.Identity]T, now timer.Instant,
) map[replica.Identity]time.Duration {
	maps.DeleteFunc(since, func(i replica.Identity, _ timer.Instant) bool {
		_, ok := current[i]
		return !ok
	})
	out := map[replica.Identity]time.Duration{}
	for i := range current {
		if _, ok := since[i]; !ok {
			since[i] = now
		}
		out[i] = now.Sub(since[i])
	}
	return out
}

// errForming is the error of a command for a group that is not complete.
var errForming = errors.New("the control group is not complete")

// WaitFormed waits while the group is new and has fewer voters than it needs, or is about to get. What is
// committed until then could be lost with one disk.
func (r *Replica) WaitFormed(ctx context.Context) error {
	err := r.waitWhile(ctx, r.isForming)
	if err != nil {
		r.options.Log.Warn("control group is not complete", zap.Int("voters", countVoters(r.Members())), zap.Int("needed", max(r.options.Voters, minVoters)))
		return errors.CombineErrors(errForming, err)
	}
	return nil
}

// waitWhile waits until a condition does not hold any more.
func (r *Replica) waitWhile(ctx context.Context, condition func() bool) error {
	for condition() {
		if err := timer.Sleep(ctx, r.options.Timer, membershipInterval/4); err != nil {
			return err
		}
	}
	return nil
}

// isForming reports whether the group is new and has fewer voters than it needs, or instances that are in
// contact, or may come into contact soon, are to become voters. Nothing is committed until then, so a
// group that has committed something has been complete, also if the process has restarted since.
func (r *Replica) isForming() bool {
	if r.formed.Load() {
		return false
	}
	voters := countVoters(r.Members())
	if voters >= max(r.options.Voters, minVoters) || !r.options.State.Empty() {
		r.formed.Store(true)
		return false
	}
	if voters < r.options.Voters {
		return true
	}
	return r.options.AllowBootstrap &&
		(len(r.liveReplicas()) >= minVoters || r.options.Timer.Now().Before(timer.Instant(r.formingUntil.Load())))
}

// WaitHandedOver waits while this replica has a vote that another one could take over. It returns at once if
// there is no learner. The leader must know that this instance stops.
func (r *Replica) WaitHandedOver(ctx context.Context) error {
	return errors.Wrap(r.waitWhile(ctx, r.hasVoteToHandOver), "the vote is not handed over")
}

// hasVoteToHandOver reports whether this replica has a vote, or may still have one, and the group has a learner
// or has just promoted one: the number of voters is even then.
func (r *Replica) hasVoteToHandOver() bool {
	s := r.node.Status()
	voters := countVoters(s.Members)
	return hasVote(s.Members, r.identity) && (voters < len(s.Members) || voters%2 == 0) || s.CommitIndex < s.MembershipIndex
}

// hasVote reports whether a member has a vote.
func hasVote(members []replica.Member, identity replica.Identity) bool {
	return slices.ContainsFunc(members, func(m replica.Member) bool { return m.Identity == identity && m.Voter })
}

func countVoters(members []replica.Member) (voters int) {
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	return voters
}

// liveReplicas returns the addresses of the instances in contact that have a disk, this one included.
func (r *Replica) liveReplicas() map[replica.Identity]replica.Address {
	live := r.options.LiveReplicas()
	live[r.identity] = replica.Address(r.options.Address)
	return live
}

// Members returns the members of the group as known to this replica.
func (r *Replica) Members() []replica.Member { return r.node.Status().Members }

// HoldsLease reports whether this replica leads with an unexpired leader lease.
func (r *Replica) HoldsLease() (term uint64, ok bool) {
	t, ok := r.node.HoldsLease()
	return uint64(t), ok
}

// Leader returns the address of the leader, or "" if it is not known.
func (r *Replica) Leader() string {
	m, _, known := r.node.Leader()
	if !known {
		return ""
	}
	return string(m.Address)
}

// MemberAddresses returns the peer addresses of all members, learners included. Any of them
// may know the leader, or lead later.
func (r *Replica) MemberAddresses() (out []string) {
	for _, m := range r.Members() {
		out = append(out, string(m.Address))
	}
	return out
}

// Propose commits a command. conflict says why the command was not carried out, or is
// empty. It fails while the group is not complete; see WaitFormed.
func (r *Replica) Propose(ctx context.Context, command *wire.Command) (conflict string, err error) {
	if _, leads := r.node.HoldsLease(); leads && r.isForming() {
		return "", errForming
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return "", errors.Wrap(err, "encode command")
	}
	result, err := r.node.Propose(ctx, data)
	return string(result), err
}

// ReadBarrier returns nil once a majority has confirmed that this replica leads and it has
// applied everything that was committed before the call.
func (r *Replica) ReadBarrier(ctx context.Context) error { return r.node.ReadBarrier(ctx) }
