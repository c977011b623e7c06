// Package instance assembles one instance of a deployment: its view, its peer server and
// client and, if it has a disk, its replica of the control group with the coordinator.
package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/fleet/consensus"
	"wisteriakeel.example/wisteriakeel/internal/fleet/coordinator"
	"wisteriakeel.example/wisteriakeel/internal/fleet/peer"
	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/fleet/relay"
	"wisteriakeel.example/wisteriakeel/internal/fleet/state"
	"wisteriakeel.example/wisteriakeel/internal/fleet/tunnel"
	"wisteriakeel.example/wisteriakeel/internal/fleet/view"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/random"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// announceInterval is the interval at which the leader announces itself to seeds that are
// not in contact.
const announceInterval = 500 * time.Millisecond

// Options configures an instance.
type Options struct {
	Name   string
	Zone   string
	Region string
	// PeerAddress accepts calls from other instances, CallerAddress requests of callers.
	PeerAddress   peer.Address
	CallerAddress string
	// Seeds are the peer addresses through which the instance finds the others. A majority of them
	// decides which instance bootstraps the control group, or the first of fewer than three.
	Seeds []peer.Address
	// DataDirectory is the data directory. It is empty on an instance without a disk.
	DataDirectory string
	// AllowBootstrap is true if the control group may not exist yet.
	AllowBootstrap bool
	// Voters is how many voters a new control group must have before it commits anything, or 0 if that is
	// not known; see consensus.Options.
	Voters int
	// PeerToken authenticates the instances of the deployment to each other.
	PeerToken string
	// HeartbeatInterval is the interval at which upstreams send heartbeats.
	HeartbeatInterval time.Duration
	// Exposure is the fraction of the requests during a roll-out that a bad version may get.
	Exposure float64
	// LeaseDuration is how long a layout counts as confirmed, and MaxLayoutLag how long one may
	// be used after a newer one is known; see view.Options.
	LeaseDuration time.Duration
	MaxLayoutLag  time.Duration
	// ConfirmationLag is how much longer than an acknowledged change may take a layout counts as
	// confirmed; see coordinator.Options.
	ConfirmationLag time.Duration
	// EvacuationLag is the same for evacuations of zones.
	EvacuationLag time.Duration
	Decode        view.Decoder
	// Sessions knows the recent sessions; see view.Options.
	Sessions view.Sessions
	// OnLoad is called with the load that an upstream reported to another instance.
	OnLoad func(id string, running, waiting, slowdown int)
	// OnCondition is called with what other instances heard of brittle upstreams.
	OnCondition func(id string, brittle, refused bool)
	// OnEvacuations is called with the number of evacuated zones; see view.Options.
	OnEvacuations func(active int)
	// ColdBounds bounds the requests to a cold upstream.
	ColdBounds permit.ColdBounds
	// Partitioned reports whether this instance reaches upstreams only through others, and
	// DialUpstream opens a connection to an upstream for another instance.
	Partitioned func() bool
	// Conditions are what upstreams state to this instance.
	Conditions   tunnel.Conditions
	DialUpstream func(ctx context.Context, id string, born int64, address string) (net.Conn, error)
	// DialHelper opens a connection to an instance that passes a request on to an upstream.
	DialHelper func(ctx context.Context, address string) (net.Conn, error)
	// DialPeer opens a connection to the peer address of another instance. If it is nil, the
	// instance connects over TCP.
	DialPeer func(ctx context.Context, to string) (net.Conn, error)
	// Files is the file system of the data directory. If it is nil, the instance uses that of the
	// operating system.
	Files disk.FileSystem
	// Retention is that of the control group's log; see consensus.Options.
	Retention consensus.Retention
	Timer     timer.Service
	Log       *zap.Logger
}

// Instance is one process of a deployment.
type Instance struct {
	View   *view.View
	Client *peer.Client
	// Detour reaches upstreams through other instances, and Tunnels serves those of others.
	Detour  *tunnel.Client
	Tunnels *tunnel.Server

	options     Options
	epoch       uint64             // random, different for each start of the process
	replica     *consensus.Replica // nil without a disk, like coordinator and state
	coordinator *coordinator.Coordinator
	state       *state.State
	listener    *peer.Listener
	draining    atomic.Bool
}

// New opens the data directory, if there is one, and listens at the peer address.
func New(o Options) (i *Instance, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "instance")
		}
	}()
	i = &Instance{options: o, epoch: rand.Uint64()}
	i.View = view.New(view.Options{Name: o.Name, OnCondition: o.OnCondition, OnEvacuations: o.OnEvacuations, Decode: o.Decode, Sessions: o.Sessions, OnLoad: o.OnLoad, ColdBounds: o.ColdBounds, LeaseDuration: o.LeaseDuration, MaxLayoutLag: o.MaxLayoutLag, Timer: o.Timer, Log: o.Log.Named("view")})
	layouts := relay.NewStore(o.Timer, o.Log.Named("layouts"))
	i.Client = peer.NewClient(peer.Options{
		Self: o.PeerAddress, Dial: o.DialPeer, Seeds: o.Seeds, PeerToken: o.PeerToken, View: i.View, DescribeInstance: i.describe,
		Layouts: layouts, CommittedLayout: i.committedLayout, KnownLeader: i.knownLeader, Timer: o.Timer, Random: random.New(), Log: o.Log.Named("peer"),
	})
	i.Detour = tunnel.NewClient(tunnel.ClientOptions{
		Token: o.PeerToken, Self: o.Name, Zone: o.Zone, Instances: i.View.Instances, Dial: o.DialHelper, Timer: o.Timer,
		Random: random.New(), Log: o.Log.Named("tunnel"),
	})
	i.Tunnels = tunnel.NewServer(tunnel.Options{
		Token: o.PeerToken, Address: i.View.UpstreamAddress, Partitioned: o.Partitioned, Cold: i.View.Cold, Conditions: o.Conditions, Dial: o.DialUpstream,
		Timer: o.Timer, Log: o.Log.Named("tunnel"),
	})
	s := &peer.Server{Tunnels: i.Tunnels, PeerToken: o.PeerToken, Client: i.Client, Layouts: layouts, Log: o.Log.Named("peer"), AllowBootstrap: o.AllowBootstrap}
	if o.DataDirectory != "" {
		if err := i.openReplica(s); err != nil {
			return nil, err
		}
	}
	if i.listener, err = s.Listen(o.PeerAddress); err != nil {
		return nil, errors.CombineErrors(err, i.closeReplica())
	}
	return i, nil
}

func (i *Instance) closeReplica() error {
	if i.replica == nil {
		return nil
	}
	return i.replica.Close()
}

// openReplica sets up the replica and the coordinator of an instance with a disk.
func (i *Instance) openReplica(s *peer.Server) (err error) {
	o := i.options
	st := state.New()
	i.coordinator = coordinator.New(coordinator.Options{
		Replica: lazyReplica{i}, State: st, Exposure: o.Exposure, HeartbeatInterval: o.HeartbeatInterval, ConfirmationLag: o.ConfirmationLag, EvacuationLag: o.EvacuationLag, ColdBudget: i.View.ColdBudget, Timer: o.Timer, Log: o.Log.Named("hub"), Random: rand.Uint64,
	})
	st.OnChange = func() {
		i.coordinator.StateChanged()
		i.Client.LayoutCommitted()
	}
	i.state = st
	i.replica, err = consensus.New(consensus.Options{
		DataDirectory: o.DataDirectory, Files: o.Files, Retention: o.Retention, Dial: o.DialPeer, Address: string(o.PeerAddress), PeerToken: o.PeerToken, State: st, Timer: o.Timer,
		Random: random.New(), Log: o.Log.Named("core"), AllowBootstrap: o.AllowBootstrap, Voters: o.Voters,
		RequestBootstrap: i.Client.NewFounding(o.Seeds).Request,
		LiveReplicas:     i.coordinator.LiveReplicas, StoppingReplicas: i.stoppingReplicas,
	})
	s.Replica, s.Coordinator, s.State = i.replica, i.coordinator, st
	return err
}

// lazyReplica passes calls of the coordinator to the replica, which is created after it.
type lazyReplica struct{ *Instance }

// HoldsLease reports whether the replica leads with an unexpired lease.
func (l lazyReplica) HoldsLease() (term uint64, ok bool) {
	if l.replica == nil {
		return 0, false
	}
	return l.replica.HoldsLease()
}

// Propose commits a command through the replica.
func (l lazyReplica) Propose(ctx context.Context, command *wire.Command) (conflict string, err error) {
	if l.replica == nil {
		return "", replica.ErrNotLeader
	}
	return l.replica.Propose(ctx, command)
}

// stoppingReplicas returns the replicas of the instances that have begun to stop, this one included.
func (i *Instance) stoppingReplicas() map[replica.Identity]bool {
	out := i.coordinator.StoppingReplicas()
	if i.draining.Load() {
		out[replica.Identity(i.replica.Identity())] = true
	}
	return out
}

// knownLeader returns the addresses of the leader and of all members of the control group as
// known to the replica.
func (i *Instance) knownLeader() (leader string, members []string) {
	if i.replica == nil {
		return "", nil
	}
	return i.replica.Leader(), i.replica.MemberAddresses()
}

// committedLayout returns the newest layout that the replica has applied, or nil.
func (i *Instance) committedLayout() *wire.Layout {
	if i.state == nil {
		return nil
	}
	return i.state.Layout()
}

// seedAnnouncer announces this instance to seeds that are not in contact while it leads.
type seedAnnouncer struct{ *Instance }

// loop announces at each interval if this instance leads then.
func (a *seedAnnouncer) loop(ctx context.Context) error {
	ticks := a.options.Timer.Subscribe(announceInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
		if _, ok := a.replica.HoldsLease(); ok {
			a.Client.AnnounceToSeeds(ctx, func(to peer.Address) bool { return a.coordinator.InContact(string(to)) })
		}
	}
}

// describe returns the record of this instance for other instances.
func (i *Instance) describe() *wire.Instance {
	o := i.options
	w := &wire.Instance{
		Name: o.Name, Zone: o.Zone, Region: o.Region, Peer: string(o.PeerAddress), Caller: o.CallerAddress,
		Epoch: i.epoch, Ready: i.Ready(), Partitioned: o.Partitioned(), LeasesSlots: true, Stopping: i.draining.Load(),
	}
	if i.replica != nil {
		w.Identity = i.replica.Identity()
	}
	return w
}

// Ready reports whether the instance accepts new callers.
func (i *Instance) Ready() bool { return !i.draining.Load() && i.View.Layout() != nil }

// Draining reports whether Drain was called.
func (i *Instance) Draining() bool { return i.draining.Load() }

// Drain makes Ready return false, so that callers are no longer sent to this instance, and lets another replica
// take over the vote of this one.
func (i *Instance) Drain() { i.draining.Store(true) }

// WaitHandedOver waits until another replica has taken over the vote of this one, if one can.
func (i *Instance) WaitHandedOver(ctx context.Context) error {
	if i.replica == nil {
		return nil
	}
	return i.replica.WaitHandedOver(ctx)
}

// Run runs all components until the context is done. It closes what New has opened, also if the context is
// done before a component has started.
func (i *Instance) Run(ctx context.Context) error {
	g := group.New(ctx)
	if i.replica != nil {
		g.Go("core", i.replica.Run)
		g.Go("hub", i.coordinator.Run)
		g.Go("greeter", (&seedAnnouncer{i}).loop)
	}
	g.Go("peers", i.listener.Run)
	g.Go("client", i.Client.Run)
	err := errors.CombineErrors(g.Wait(), i.listener.Close())
	return errors.CombineErrors(err, i.closeReplica())
}
