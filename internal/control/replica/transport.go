package replica

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// TransportOptions are the parts of a transport. Dial may be nil for TCP.
type TransportOptions struct {
	Timer     timer.Service
	PeerToken string
	Dial      func(ctx context.Context, to Address) (net.Conn, error)
}

// class separates messages that must not wait for each other. A connection carries one
// call at a time, and a call may wait for a sync of its group.
type class struct {
	to    Address
	kind  string
	group uint32
}

// DRPCTransport sends messages over one connection per peer, message kind and group.
// It serves all groups of a process.
type DRPCTransport struct {
	options TransportOptions

	mu     sync.Mutex
	links  map[class]*link
	closed bool
}

// link is the connection of one class; its turn is held for the time of a call.
type link struct {
	turn chan struct{}
	conn *drpcconn.Conn
}

var _ Transport = (*DRPCTransport)(nil)

// NewTransport returns a transport that connects when a message is sent.
func NewTransport(o TransportOptions) *DRPCTransport {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return &DRPCTransport{options: o, links: map[class]*link{}}
}

func dialTCP(ctx context.Context, to Address) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", string(to))
}

// Append sends entries or a heartbeat.
func (t *DRPCTransport) Append(ctx context.Context, to Address, r *wire.AppendRequest) (*wire.AppendReply, error) {
	return exchange(ctx, t, class{to, "append", r.GetGroup()}, appendTimeout, wire.DRPCReplicaClient.Append, r)
}

// Vote sends a vote request.
func (t *DRPCTransport) Vote(ctx context.Context, to Address, r *wire.VoteRequest) (*wire.VoteReply, error) {
	return exchange(ctx, t, class{to, "vote", r.GetGroup()}, voteTimeout, wire.DRPCReplicaClient.Vote, r)
}

// Install sends one chunk of a snapshot.
func (t *DRPCTransport) Install(ctx context.Context, to Address, r *wire.InstallRequest) (*wire.InstallReply, error) {
	return exchange(ctx, t, class{to, "install", r.GetGroup()}, installTimeout, wire.DRPCReplicaClient.Install, r)
}

// exchange makes one call with a deadline. A connection that missed a deadline is
// closed, since it may be silent for good while a new one works.
func exchange[Q, R any](
	ctx context.Context, t *DRPCTransport, c class, d time.Duration,
	method func(wire.DRPCReplicaClient, context.Context, Q) (R, error), request Q,
) (reply R, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "%s to %s", c.kind, c.to)
		}
	}()
	ctx, cancel := timer.WithTimeout(ctx, t.options.Timer, d)
	defer cancel()
	l, err := t.link(c)
	if err != nil {
		return reply, err
	}
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return reply, context.Cause(ctx)
	}
	if err := t.connect(ctx, l, c.to); err != nil {
		return reply, err
	}
	reply, err = method(wire.NewDRPCReplicaClient(l.conn), WithPeerToken(ctx, t.options.PeerToken), request)
	if err != nil && ctx.Err() != nil {
		_ = l.conn.Close()
		l.conn = nil
		err = errors.WithSecondaryError(context.Cause(ctx), err)
	}
	return reply, err
}

func (t *DRPCTransport) link(c class) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, ErrStopped
	}
	l, ok := t.links[c]
	if !ok {
		l = &link{turn: make(chan struct{}, 1)}
		t.links[c] = l
	}
	return l, nil
}

// connect makes sure that the link, whose turn is held, has an open connection.
func (t *DRPCTransport) connect(ctx context.Context, l *link, to Address) error {
	if l.conn != nil {
		select {
		case <-l.conn.Closed():
		default:
			return nil
		}
	}
	conn, err := t.options.Dial(ctx, to)
	if err != nil {
		return err
	}
	l.conn = drpcconn.New(conn)
	return nil
}

// Close closes all connections once their calls have ended.
func (t *DRPCTransport) Close() error {
	t.mu.Lock()
	links := t.links
	t.links, t.closed = nil, true
	t.mu.Unlock()
	for _, l := range links {
		l.turn <- struct{}{}
		if l.conn != nil {
			_ = l.conn.Close()
		}
	}
	return nil
}
