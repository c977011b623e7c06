package server

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/control/disk"
	"wisteriakeel.example/wisteriakeel/internal/control/engine"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/control/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
	replicawire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

const (
	// peerCallTimeout bounds a call to another control instance during bootstrap and join.
	// It is longer than quorumTimeout, which a join may take.
	peerCallTimeout = time.Second
	// maxMessageBytes bounds a message; a stored response may be as large as a body, 8 MiB.
	maxMessageBytes = 16 << 20
)

// Options configures a control instance.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// DataDirectory is the path of the data directory; see disk.Directory.
	DataDirectory string
	// Address is the peer address on which this instance listens.
	Address string
	// ControlAddresses lists the peer addresses of all control instances.
	ControlAddresses []string
	// DataGroups is the number of data groups.
	DataGroups uint32
	// PeerToken authenticates calls between instances.
	PeerToken string
	// Validate checks documents; by default document.Validate.
	Validate Validator
	Timer    timer.Service
	// Random must not be shared, since it is not safe for concurrent use.
	Random *rand.Rand
	Log    *zap.Logger
	// ReserveBytes is the disk space kept free; disk.DefaultReserveBytes if zero.
	ReserveBytes uint64
	// FileSystem is the file system of the data directory; disk.OSFileSystem by default.
	FileSystem disk.FileSystem
	// Dial opens a connection to another control instance; TCP by default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Listen opens the peer address; TCP by default.
	Listen func(address string) (net.Listener, error)
	// EngineSender sends orders to engines; over HTTP by default.
	EngineSender engine.Sender
	// Compaction says when logs are compacted; the defaults of package replica if zero.
	Compaction replica.Compaction
}

// complete checks the options and sets the defaults.
func (o *Options) complete() error {
	switch {
	case o.DataDirectory == "":
		return errors.New("data directory is not set")
	case o.PeerToken == "":
		return errors.New("peer token is not set")
	case o.DataGroups == 0:
		return errors.New("number of data groups is zero")
	case o.Timer == nil || o.Random == nil:
		return errors.New("timer and random must be set")
	}
	found := false
	for _, a := range o.ControlAddresses {
		found = found || a == o.Address
	}
	if !found {
		return errors.Newf("own peer address %s is not among the control addresses", o.Address)
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Validate == nil {
		o.Validate = document.Validate
	}
	if o.ReserveBytes == 0 {
		o.ReserveBytes = disk.DefaultReserveBytes
	}
	o.setDefaultIO()
	return nil
}

// setDefaultIO sets the file system, the network and the engine sender to their defaults.
func (o *Options) setDefaultIO() {
	if o.FileSystem == nil {
		o.FileSystem = disk.OSFileSystem{}
	}
	if o.Dial == nil {
		o.Dial = dial
	}
	if o.Listen == nil {
		o.Listen = listen
	}
	if o.EngineSender == nil {
		o.EngineSender = engine.HTTPSender{}
	}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Server is one control instance: its replicas and the services at its peer address.
type Server struct {
	options    Options
	identity   string
	listener   net.Listener
	transport  *replica.DRPCTransport
	nodes      []*replica.Node // by group
	stores     []*disk.Store
	service    *Service
	membership *membership
	// membershipStore holds no record until this instance is a member of a control group.
	membershipStore *membershipStore
	dispatcher      *engine.Dispatcher
	server          *drpcserver.Server
}

// New opens the data directory and listens on the peer address. A directory that is corrupt
// other than at the tail of a log is set aside, and the instance starts with an empty one.
func New(o Options) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "control")
		}
	}()
	if err := o.complete(); err != nil {
		return nil, err
	}
	s, err = open(o)
	if errors.Is(err, disk.ErrCorrupt) {
		aside, failure := disk.SetAside(o.FileSystem, o.DataDirectory)
		if failure != nil {
			return nil, errors.CombineErrors(failure, err)
		}
		o.Log.Error("data directory is corrupt and was set aside; joining with a new identity",
			zap.String("aside", aside), zap.Error(err))
		s, err = open(o)
	}
	if err != nil {
		return nil, err
	}
	if s.listener, err = o.Listen(o.Address); err != nil {
		return nil, errors.CombineErrors(err, s.close())
	}
	return s, nil
}

// open opens the data directory, creates the nodes of all groups and builds the services.
func open(o Options) (_ *Server, err error) {
	s := &Server{
		options: o, membershipStore: &membershipStore{files: o.FileSystem, directory: o.DataDirectory},
		transport: replica.NewTransport(replica.TransportOptions{
			Timer: o.Timer, PeerToken: o.PeerToken,
			Dial: func(ctx context.Context, to replica.Address) (net.Conn, error) { return o.Dial(ctx, string(to)) },
		}),
	}
	defer func() {
		if err != nil {
			err = errors.CombineErrors(err, s.close())
		}
	}()
	directory, err := disk.Open(o.FileSystem, o.DataDirectory, o.ReserveBytes)
	if err != nil {
		return nil, err
	}
	s.identity = string(directory.Identity())
	if s.membershipStore.record, err = loadRecord(o.FileSystem, o.DataDirectory); err != nil {
		return nil, errors.Mark(err, disk.ErrCorrupt)
	}
	config := state.NewConfig()
	machines := []replica.StateMachine{config}
	var data []*state.Data
	for range o.DataGroups {
		d := state.NewData(o.Timer.Now)
		data, machines = append(data, d), append(machines, d)
	}
	for g, m := range machines {
		if err := s.openGroup(directory, replica.GroupID(g), m); err != nil {
			return nil, err
		}
	}
	if r := s.membershipStore.record; r != nil {
		if r.Groups != o.DataGroups {
			return nil, errors.Newf("setting groups is %d, but the data directory was created with %d", o.DataGroups, r.Groups)
		}
		if err := s.bootstrapNodes(r.Members); err != nil {
			return nil, err
		}
	}
	return s, s.buildServices(config, data)
}

// openGroup opens the store of a group and creates its node.
func (s *Server) openGroup(d *disk.Directory, g replica.GroupID, m replica.StateMachine) error {
	o := s.options
	store, err := d.OpenGroup(g)
	if err != nil {
		return err
	}
	s.stores = append(s.stores, store)
	n, err := replica.New(replica.Options{
		Group: g, Self: replica.Member{Identity: d.Identity(), Address: replica.Address(o.Address), Voter: true},
		StateMachine: m, Store: store, Transport: s.transport, Timer: o.Timer, Log: o.Log, Compaction: o.Compaction,
		Random: rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64())),
	})
	if err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	// The identity is durable before it is disclosed to other instances.
	return store.Recover()
}

// buildServices creates the services on top of the nodes and registers them.
func (s *Server) buildServices(config *state.Config, data []*state.Data) error {
	o := s.options
	byGroup := map[replica.GroupID]*replica.Node{}
	var nodes []Node
	var replicas []Replica
	for g, n := range s.nodes {
		byGroup[replica.GroupID(g)] = n
		nodes, replicas = append(nodes, nodeAdapter{n}), append(replicas, nodeAdapter{n})
	}
	s.service = NewService(ServiceOptions{
		Timer: o.Timer, Log: o.Log, Address: o.Address, Validate: o.Validate, Config: config, Data: data, Nodes: nodes,
	})
	s.dispatcher = engine.New(engine.Options{
		Node: s.nodes[0], Config: config, Sender: o.EngineSender, Timer: o.Timer, Log: o.Log.Named("orders"),
	})
	s.membership = &membership{timer: o.Timer, log: o.Log, addresses: o.ControlAddresses, nodes: replicas}
	replicaServer := replica.NewServer(byGroup)
	replicaServer.PeerToken = o.PeerToken
	mux := drpcmux.New()
	if err := replicawire.DRPCRegisterReplica(mux, replicaServer); err != nil {
		return err
	}
	if err := wire.DRPCRegisterControl(mux, &controlHandler{Service: s.service, server: s}); err != nil {
		return err
	}
	s.server = drpcserver.NewWithOptions(&tokenCheck{handler: mux, token: []byte(o.PeerToken)}, drpcserver.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}},
		Log:     s.logConnectionError,
	})
	return nil
}

// logConnectionError logs the error of one connection. Most of them are just closed connections.
func (s *Server) logConnectionError(err error) {
	s.options.Log.Debug("peer connection failed", zap.Error(err))
}

// Run serves until the context is done. If it returns an error, the process must end.
func (s *Server) Run(ctx context.Context) (err error) {
	g := group.New(ctx)
	for _, n := range s.nodes {
		g.Go("replica", n.Run)
	}
	g.Go("service", s.service.Run)
	g.Go("orders", s.dispatcher.Run)
	g.Go("peers", s.serveConnections)
	if s.membershipStore.get() == nil {
		g.Go("forming", s.newBootstrapper().run)
	}
	s.options.Log.Info("control instance started", zap.String("identity", s.identity), zap.String("address", s.options.Address))
	return errors.CombineErrors(g.Wait(), s.close())
}

// serveConnections serves calls at the peer address.
func (s *Server) serveConnections(ctx context.Context) error { return s.server.Serve(ctx, s.listener) }

// close closes the listener, the connections to other replicas and the stores.
func (s *Server) close() (err error) {
	if s.listener != nil {
		_ = s.listener.Close()
	}
	err = s.transport.Close()
	for _, f := range s.stores {
		err = errors.CombineErrors(err, f.Close())
	}
	return err
}
