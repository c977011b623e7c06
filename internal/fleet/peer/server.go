package peer

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/fleet/consensus"
	"wisteriakeel.example/wisteriakeel/internal/fleet/coordinator"
	"wisteriakeel.example/wisteriakeel/internal/fleet/state"
	"wisteriakeel.example/wisteriakeel/internal/observe/logging"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
	replicawire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// messageLimit bounds a message; a layout may be as large as a body of an operator.
const messageLimit = 8 << 20

// Server serves other instances. Core, hub and state are nil on an instance without a disk.
type Server struct {
	Token       string
	Client      *Client
	Replica     *consensus.Replica
	Coordinator *coordinator.Coordinator
	State       *state.State
	Log         *zap.Logger
	// AllowBootstrap is true if the deployment may not have been founded yet.
	AllowBootstrap bool

	mu      sync.Mutex
	founder string
}

var _ wire.DRPCFleetServer = (*Server)(nil)

// guide tells the caller where the leader is.
func (s *Server) guide() *wire.Guide {
	g := s.Client.finder.guide()
	if s.Replica == nil {
		return g
	}
	if l := s.Replica.Leader(); l != "" {
		g.Leader = l
	}
	if v := s.Replica.Voters(); len(v) > 0 {
		g.Voters = v
	}
	return g
}

// leads tells whether this instance leads now.
func (s *Server) leads() bool {
	if s.Replica == nil {
		return false
	}
	_, ok := s.Replica.HoldsLease()
	return ok
}

// Sync answers a poll.
func (s *Server) Sync(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	if err := replica.CheckPeerToken(ctx, s.Token); err != nil {
		return nil, err
	}
	if s.leads() {
		if r, ok := s.Coordinator.Sync(ctx, q); ok {
			r.Guide = &wire.Guide{Served: true}
			if len(r.GetInstances()) > 0 {
				// Whoever loses this leader needs to know who may lead next.
				r.Guide.Voters = s.Replica.Voters()
			}
			return r, nil
		}
	}
	s.Client.finder.met(q.GetInstance())
	return &wire.SyncReply{Guide: s.guide()}, nil
}

// Tell takes a report.
func (s *Server) Tell(ctx context.Context, q *wire.TellRequest) (*wire.TellReply, error) {
	if err := replica.CheckPeerToken(ctx, s.Token); err != nil {
		return nil, err
	}
	if s.leads() {
		if term, ok := s.Coordinator.ApplyReport(ctx, q); ok {
			return &wire.TellReply{Guide: &wire.Guide{Served: true}, Term: term}, nil
		}
	}
	return &wire.TellReply{Guide: s.guide()}, nil
}

// Propose commits a command.
func (s *Server) Propose(ctx context.Context, q *wire.ProposeRequest) (*wire.ProposeReply, error) {
	if err := replica.CheckPeerToken(ctx, s.Token); err != nil {
		return nil, err
	}
	if !s.leads() {
		return &wire.ProposeReply{Guide: s.guide()}, nil
	}
	conflict, err := s.Replica.Propose(ctx, q.GetCommand())
	if errors.Is(err, replica.ErrNotLeader) {
		return &wire.ProposeReply{Guide: s.guide()}, nil
	}
	if err != nil {
		return nil, err
	}
	if l := q.GetCommand().GetLayout(); l != nil && conflict == "" {
		s.Coordinator.WaitLayoutApplied(ctx, l.GetVersion())
	}
	return &wire.ProposeReply{Guide: &wire.Guide{Served: true}, Conflict: conflict}, nil
}

// Read returns what a majority confirms.
func (s *Server) Read(ctx context.Context, _ *wire.ReadRequest) (*wire.ReadReply, error) {
	if err := replica.CheckPeerToken(ctx, s.Token); err != nil {
		return nil, err
	}
	if !s.leads() || s.Replica.ReadBarrier(ctx) != nil {
		return &wire.ReadReply{Guide: s.guide()}, nil
	}
	return &wire.ReadReply{
		Guide: &wire.Guide{Served: true}, Layout: s.State.Layout(), Rollouts: s.State.Rollouts(),
	}, nil
}

// Found grants the founding of the group to the first instance that asks, if this
// instance started together with the deployment and knows of no group.
func (s *Server) Found(ctx context.Context, q *wire.FoundRequest) (*wire.FoundReply, error) {
	if err := replica.CheckPeerToken(ctx, s.Token); err != nil {
		return nil, err
	}
	if !s.AllowBootstrap || len(s.guide().GetVoters()) > 0 {
		return &wire.FoundReply{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.founder == "" {
		s.founder = q.GetIdentity()
		s.Log.Info("founding granted", zap.String("identity", s.founder))
	}
	return &wire.FoundReply{Granted: s.founder == q.GetIdentity()}, nil
}

// Listener serves calls on a peer address.
type Listener struct {
	listener net.Listener
	server   *drpcserver.Server
}

// Listen opens the peer address.
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
	return &Listener{listener: n, server: drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: messageLimit}},
		Log:     s.note,
	})}, nil
}

// note logs errors of single connections, most of which are connections that ended.
func (s *Server) note(err error) { s.Log.Debug("peer connection", logging.Error(err)) }

// Run serves until the context is done.
func (l *Listener) Run(ctx context.Context) error { return l.loop(ctx) }

func (l *Listener) loop(ctx context.Context) error { return l.server.Serve(ctx, l.listener) }
