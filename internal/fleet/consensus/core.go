// Package consensus runs the replica of the fleet's control state on an instance with
// a disk, from its founding to the repair of its group.
package consensus

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/fleet/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/logging"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// reserve keeps terms and votes writable on a full disk.
	reserve = 2 << 20
	// foundPause lies between two questions to the seed.
	foundPause = 150 * time.Millisecond
	// tendPause lies between two looks at the membership.
	tendPause = 200 * time.Millisecond
	// changeLimit bounds one change of the membership.
	changeLimit = 2 * time.Second
)

// compaction keeps the log small, since each layout may hold hundreds of routes
// and the disks hold 64 MB.
var compaction = replica.Compaction{MaxEntries: 256, MaxBytes: 4 << 20, TrailingEntries: 64}

// Options are the parts of a core.
type Options struct {
	// Folder is the data directory.
	Folder string
	// Address is the peer address of this instance.
	Address string
	// Token is shown by all instances of the deployment.
	Token  string
	State  *state.State
	Timer  timer.Service
	Random *rand.Rand
	Log    *zap.Logger
	Files  disk.FileSystem
	// AllowBootstrap is true if the deployment may not have been founded yet.
	AllowBootstrap bool
	// RequestBootstrap asks whether this instance may found the group.
	RequestBootstrap func(ctx context.Context, identity string) bool
	// LiveReplicas returns the instances with disks that are in contact, by identity.
	LiveReplicas func() map[replica.Identity]replica.Address
}

// Replica is the replica of one instance.
type Replica struct {
	options   Options
	node      *replica.Node
	store     *disk.Store
	transport *replica.DRPCTransport
	server    *replica.Server
	identity  replica.Identity
	// silent is when members were first not in contact; only loop uses it.
	silent map[replica.Identity]timer.Instant
}

// New opens the data directory. One that is damaged before the tail of its log is
// set aside, and the instance goes on as a new member.
func New(o Options) (c *Replica, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "core")
		}
	}()
	if o.Files == nil {
		o.Files = disk.OSFileSystem{}
	}
	// The directory given may be the root of a file system, whose parent cannot be synced.
	folder := filepath.Join(o.Folder, "control")
	c, err = open(o, folder)
	if !errors.Is(err, disk.ErrCorrupt) {
		return c, err
	}
	aside, failure := disk.SetAside(o.Files, folder)
	if failure != nil {
		return nil, errors.CombineErrors(failure, err)
	}
	o.Log.Error("data directory is corrupt and was set aside; joining with a new identity",
		zap.String("aside", aside), logging.Error(err))
	return open(o, folder)
}

func open(o Options, folder string) (c *Replica, err error) {
	c = &Replica{
		options: o, silent: map[replica.Identity]timer.Instant{},
		transport: replica.NewTransport(replica.TransportOptions{Timer: o.Timer, PeerToken: o.Token}),
	}
	directory, err := disk.Open(o.Files, folder, reserve)
	if err != nil {
		return nil, err
	}
	c.identity = directory.Identity()
	if c.store, err = directory.OpenGroup(0); err != nil {
		return nil, err
	}
	c.node, err = replica.New(replica.Options{
		Self:         replica.Member{Identity: c.identity, Address: replica.Address(o.Address), Voter: true},
		StateMachine: o.State, Store: c.store, Transport: c.transport, Timer: o.Timer, Random: o.Random,
		Log: o.Log, Compaction: compaction,
	})
	if err != nil {
		return nil, errors.CombineErrors(err, c.store.Close())
	}
	c.server = replica.NewServer(map[replica.GroupID]*replica.Node{0: c.node})
	c.server.PeerToken = o.Token
	return c, nil
}

// Server serves the messages of other replicas.
func (c *Replica) Server() *replica.Server { return c.server }

// Identity names the replica.
func (c *Replica) Identity() string { return string(c.identity) }

// Run runs the replica until the context is done.
func (c *Replica) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("replica", c.node.Run)
	g.Go("membership", c.loop)
	err := errors.CombineErrors(g.Wait(), c.transport.Close())
	return errors.CombineErrors(err, c.store.Close())
}

// loop founds the group if that is asked for, and repairs it while this replica leads.
func (c *Replica) loop(ctx context.Context) error {
	for {
		pause := tendPause
		switch {
		case len(c.Members()) == 0:
			pause = foundPause
			if err := c.found(ctx); err != nil {
				return err
			}
		default:
			c.tend(ctx)
		}
		if err := timer.Sleep(ctx, c.options.Timer, pause); err != nil {
			return nil
		}
	}
}

func (c *Replica) found(ctx context.Context) error {
	if !c.options.AllowBootstrap || !c.options.RequestBootstrap(ctx, c.Identity()) {
		return nil
	}
	self := replica.Member{Identity: c.identity, Address: replica.Address(c.options.Address), Voter: true}
	err := c.node.Bootstrap([]replica.Member{self})
	if errors.Is(err, replica.ErrAlreadyBootstrapped) {
		return nil
	}
	c.options.Log.Info("founded the control group", zap.String("identity", c.Identity()), logging.Error(err))
	return err
}

// tend makes the next change of the membership while this replica leads.
func (c *Replica) tend(ctx context.Context) {
	if _, ok := c.node.HoldsLease(); !ok {
		c.silent = map[replica.Identity]timer.Instant{}
		return
	}
	members := c.Members()
	live := c.options.LiveReplicas()
	live[c.identity] = replica.Address(c.options.Address)
	step := NextChange(c.identity, members, live, c.quiet(members, live))
	if step.Action == NoChange {
		return
	}
	ctx, cancel := timer.WithTimeout(ctx, c.options.Timer, changeLimit)
	defer cancel()
	var err error
	switch step.Action {
	case Add:
		err = c.node.AddLearner(ctx, step.Member)
	case Promote:
		err = c.node.PromoteLearner(ctx, step.Member.Identity)
	case Remove:
		err = c.node.RemoveMember(ctx, step.Member.Identity)
	}
	c.options.Log.Info("membership of the control group", zap.String("action", step.Action.String()),
		zap.String("identity", string(step.Member.Identity)), zap.String("address", string(step.Member.Address)),
		zap.String("reason", step.Reason), logging.Error(err))
}

// quiet returns for how long each member has not been in contact.
func (c *Replica) quiet(members []replica.Member, live map[replica.Identity]replica.Address) map[replica.Identity]time.Duration {
	now := c.options.Timer.Now()
	out := map[replica.Identity]time.Duration{}
	for _, m := range members {
		if _, ok := live[m.Identity]; ok {
			delete(c.silent, m.Identity)
			continue
		}
		since, ok := c.silent[m.Identity]
		if !ok {
			since = now
			c.silent[m.Identity] = now
		}
		out[m.Identity] = now.Sub(since)
	}
	return out
}

// Members returns the members of the group as this replica knows them.
func (c *Replica) Members() []replica.Member { return c.node.Status().Members }

// HoldsLease tells whether this replica leads with an unexpired leader lease.
func (c *Replica) HoldsLease() (term uint64, ok bool) {
	t, ok := c.node.HoldsLease()
	return uint64(t), ok
}

// Leader returns the address of the leader, or "".
func (c *Replica) Leader() string {
	m, _, known := c.node.Leader()
	if !known {
		return ""
	}
	return string(m.Address)
}

// Voters returns the addresses of the members.
func (c *Replica) Voters() (out []string) {
	for _, m := range c.Members() {
		out = append(out, string(m.Address))
	}
	return out
}

// Propose commits a command and returns why it changed nothing, if so.
func (c *Replica) Propose(ctx context.Context, command *wire.Command) (conflict string, err error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return "", errors.Wrap(err, "encode command")
	}
	result, err := c.node.Propose(ctx, data)
	return string(result), err
}

// ReadBarrier returns nil once a majority has confirmed that this replica leads and all
// that was committed before is applied.
func (c *Replica) ReadBarrier(ctx context.Context) error { return c.node.ReadBarrier(ctx) }
