package peer

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmigrate"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/fleet/consensus"
	"wisteriakeel.example/wisteriakeel/internal/fleet/coordinator"
	"wisteriakeel.example/wisteriakeel/internal/fleet/relay"
	"wisteriakeel.example/wisteriakeel/internal/fleet/state"
	"wisteriakeel.example/wisteriakeel/internal/fleet/tunnel"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
	replicawire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// maxMessageBytes limits a message. It must hold a layout, which may be as large as the
// request body of an operator.
const maxMessageBytes = 8 << 20

// Server serves the calls of other instances. Replica, Coordinator and State are nil on an
// instance without a disk.
type Server struct {
	PeerToken   string
	Client      *Client
	Replica     *consensus.Replica
	Coordinator *coordinator.Coordinator
	State       *state.State
	Layouts     *relay.Store
	Log         *zap.Logger
	// Tunnels connects other instances to upstreams; nil if it does not.
	Tunnels *tunnel.Server
	// AllowBootstrap is true if the control group may not exist yet.
	AllowBootstrap bool

	mu         sync.Mutex
	permission permission // to bootstrap the control group
}

var _ wire.DRPCFleetServer = (*Server)(nil)

// leaderInfo returns what this instance knows about the leader, for the caller.
func (s *Server) leaderInfo() *wire.Guide { return s.Client.leaderInfo() }

// isLeader reports whether this instance is the leader.
func (s *Server) isLeader() bool {
	if s.Replica == nil {
		return false
	}
	_, ok := s.Replica.HoldsLease()
	return ok
}

// Sync answers a poll, or redirects the caller if this instance is not the leader.
func (s *Server) Sync(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	if err := replica.CheckPeerToken(ctx, s.PeerToken); err != nil {
		return nil, err
	}
	if s.isLeader() {
		if r, ok := s.Coordinator.Sync(ctx, q); ok {
			r.Guide = &wire.Guide{Served: true}
			if len(r.GetInstances()) > 0 {
				// Tell the caller which instances may lead if this one fails.
				r.Guide.Voters = s.Replica.MemberAddresses()
			}
			return r, nil
		}
	}
	s.Client.finder.addCaller(q.GetInstance())
	return &wire.SyncReply{Guide: s.leaderInfo()}, nil
}

// Tell applies a report, or redirects the caller if this instance is not the leader. It returns
// once the leaves in the report are committed.
func (s *Server) Tell(ctx context.Context, q *wire.TellRequest) (*wire.TellReply, error) {
	if err := replica.CheckPeerToken(ctx, s.PeerToken); err != nil {
		return nil, err
	}
	if s.isLeader() {
		if term, ok := s.Coordinator.ApplyReport(ctx, q); ok {
			if err := s.Coordinator.CommitLeaves(ctx, q.GetUpstreams()); err != nil {
				return nil, err
			}
			return &wire.TellReply{Guide: &wire.Guide{Served: true}, Term: term}, nil
		}
	}
	return &wire.TellReply{Guide: s.leaderInfo()}, nil
}

// Propose commits a command. It returns once a new layout or an evacuation may be acknowledged; see
// coordinator.WaitLayoutApplied and WaitEvacuationsFollowed.
func (s *Server) Propose(ctx context.Context, q *wire.ProposeRequest) (*wire.ProposeReply, error) {
	if err := replica.CheckPeerToken(ctx, s.PeerToken); err != nil {
		return nil, err
	}
	if !s.isLeader() {
		return &wire.ProposeReply{Guide: s.leaderInfo()}, nil
	}
	if e := q.GetCommand().GetEvacuation(); e != nil {
		known, ok := s.Coordinator.AwaitZone(ctx, e.GetZone())
		switch {
		case !ok:
			return s.unacknowledged(ctx, "the zone is not known yet")
		case !known:
			return &wire.ProposeReply{Guide: &wire.Guide{Served: true}, Conflict: state.ConflictUnknownZone}, nil
		}
	}
	if err := s.Replica.WaitFormed(ctx); err != nil {
		return nil, err
	}
	conflict, err := s.Replica.Propose(ctx, q.GetCommand())
	if errors.Is(err, replica.ErrNotLeader) {
		return &wire.ProposeReply{Guide: s.leaderInfo()}, nil
	}
	if err != nil {
		return nil, err
	}
	if l := q.GetCommand().GetLayout(); l != nil && conflict == "" && !s.Coordinator.WaitLayoutApplied(ctx, l.GetVersion()) {
		return s.unacknowledged(ctx, "layout is not in force everywhere")
	}
	if q.GetCommand().GetEvacuation() != nil && conflict == "" && !s.Coordinator.WaitEvacuationsFollowed(ctx) {
		return s.unacknowledged(ctx, "evacuation is not in force everywhere")
	}
	return &wire.ProposeReply{Guide: &wire.Guide{Served: true}, Conflict: conflict}, nil
}

// unacknowledged returns the error if the time of a proposal has passed, else a redirect: this instance no
// longer leads.
func (s *Server) unacknowledged(ctx context.Context, reason string) (*wire.ProposeReply, error) {
	if ctx.Err() != nil {
		return nil, errors.Wrap(context.Cause(ctx), reason)
	}
	return &wire.ProposeReply{Guide: s.leaderInfo()}, nil
}

// Read returns the layout, the roll-outs and the evacuations, confirmed by a majority of the voters.
func (s *Server) Read(ctx context.Context, _ *wire.ReadRequest) (*wire.ReadReply, error) {
	if err := replica.CheckPeerToken(ctx, s.PeerToken); err != nil {
		return nil, err
	}
	if !s.isLeader() || s.Replica.ReadBarrier(ctx) != nil {
		return &wire.ReadReply{Guide: s.leaderInfo()}, nil
	}
	return &wire.ReadReply{
		Guide: &wire.Guide{Served: true}, Layout: s.State.Layout(), Rollouts: s.State.Rollouts(), Evacuations: s.State.Evacuations(),
	}, nil
}

// Fetch returns a piece of the newest layout.
func (s *Server) Fetch(ctx context.Context, q *wire.FetchRequest) (*wire.FetchReply, error) {
	if err := replica.CheckPeerToken(ctx, s.PeerToken); err != nil {
		return nil, err
	}
	return s.Layouts.Serve(ctx, q), nil
}

// Borrow lends permits, or redirects the caller if this instance is not the leader.
func (s *Server) Borrow(ctx context.Context, q *wire.BorrowRequest) (*wire.BorrowReply, error) {
	if err := replica.CheckPeerToken(ctx, s.PeerToken); err != nil {
		return nil, err
	}
	if s.isLeader() {
		if r, ok := s.Coordinator.Lend(q); ok {
			r.Guide = &wire.Guide{Served: true}
			return r, nil
		}
	}
	return &wire.BorrowReply{Guide: s.leaderInfo()}, nil
}

// Found grants permission to bootstrap the control group to one instance at a time, provided that the group may
// not exist yet and this instance knows no members of it.
func (s *Server) Found(ctx context.Context, q *wire.FoundRequest) (*wire.FoundReply, error) {
	if err := replica.CheckPeerToken(ctx, s.PeerToken); err != nil {
		return nil, err
	}
	if len(s.leaderInfo().GetVoters()) > 0 {
		return &wire.FoundReply{Taken: true, Counted: true}, nil
	}
	if !s.AllowBootstrap {
		return &wire.FoundReply{Counted: true}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.permission.identity
	r := s.permission.decide(q)
	if holder := s.permission.identity; holder != former {
		s.Log.Info("permission to bootstrap the control group", zap.String("identity", holder), zap.String("former", former))
	}
	return r, nil
}

// Listener accepts calls at a peer address.
type Listener struct {
	tcp     net.Listener
	mux     *drpcmigrate.ListenMux
	calls   net.Listener
	server  *drpcserver.Server
	tunnels *tunnel.Server
}

// Listen opens the listener at the peer address.
func (s *Server) Listen(address Address) (l *Listener, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "listen for other instances")
		}
	}()
	mux := drpcmux.New()
	if err := wire.DRPCRegisterFleet(mux, s); err != nil {
		return nil, err
	}
	if s.Replica != nil {
		if err := replicawire.DRPCRegisterReplica(mux, s.Replica.Server()); err != nil {
			return nil, err
		}
	}
	n, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, err
	}
	m := drpcmigrate.NewListenMux(&retryingListener{n, s.Client.options.Timer, s.Log}, len(tunnel.Prefix))
	return &Listener{tcp: n, mux: m, calls: m.Default(), tunnels: s.Tunnels, server: drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}},
		Log:     s.logConnectionError,
	})}, nil
}

// logConnectionError logs the error of a single connection. Most are connections that were
// closed, hence the debug level.
func (s *Server) logConnectionError(err error) { s.Log.Debug("peer connection", journal.Error(err)) }

// Run serves calls and tunnels until the context is done.
func (l *Listener) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("accept", l.mux.Run)
	g.Go("calls", l.loop)
	if l.tunnels != nil {
		t := &tunnelListener{server: l.tunnels, listener: l.mux.Route(tunnel.Prefix)}
		g.Go("tunnels", t.loop)
	}
	return g.Wait()
}

// Close closes the listener. It is needed where Run may not be called, and does nothing after it.
func (l *Listener) Close() error {
	if err := l.tcp.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func (l *Listener) loop(ctx context.Context) error { return l.server.Serve(ctx, l.calls) }

// tunnelListener serves the connections of a listener as tunnels.
type tunnelListener struct {
	server   *tunnel.Server
	listener net.Listener
}

func (t *tunnelListener) loop(ctx context.Context) error { return t.server.Serve(ctx, t.listener) }
