package replica

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"wisteriakeel.example/wisteriakeel/internal/kernel/tcp"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// TransportOptions configures a transport. If Dial is nil, it connects over TCP.
type TransportOptions struct {
	Timer     timer.Service
	PeerToken string
	Dial      func(ctx context.Context, to Address) (net.Conn, error)
}

// connKey identifies a connection. Messages with different keys must not wait for each
// other: a connection carries one call at a time, and a call may wait for a sync of its
// group.
type connKey struct {
	to    Address
	kind  string
	group uint32
}

// DRPCTransport sends messages over one connection per peer, message kind and group.
// It serves all groups of a process.
type DRPCTransport struct {
	options TransportOptions

	mu          sync.Mutex
	connections map[connKey]*connection
	closed      bool
}

// connection is the connection for one key. A call holds its slot while it runs.
type connection struct {
	slot   chan struct{}
	conn   *drpcconn.Conn
	usedAt timer.Instant // when the last call ended
}

var _ Transport = (*DRPCTransport)(nil)

// NewTransport returns a transport. It opens a connection when the first message for it is
// sent.
func NewTransport(o TransportOptions) *DRPCTransport {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return &DRPCTransport{options: o, connections: map[connKey]*connection{}}
}

func dialTCP(ctx context.Context, to Address) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", string(to))
}

// Append sends entries or a heartbeat.
func (t *DRPCTransport) Append(ctx context.Context, to Address, r *wire.AppendRequest) (*wire.AppendReply, error) {
	return invoke(ctx, t, connKey{to, "append", r.GetGroup()}, appendTimeout, wire.DRPCReplicaClient.Append, r)
}

// Vote sends a vote request.
func (t *DRPCTransport) Vote(ctx context.Context, to Address, r *wire.VoteRequest) (*wire.VoteReply, error) {
	return invoke(ctx, t, connKey{to, "vote", r.GetGroup()}, voteTimeout(r), wire.DRPCReplicaClient.Vote, r)
}

// Install sends one chunk of a snapshot.
func (t *DRPCTransport) Install(ctx context.Context, to Address, r *wire.InstallRequest) (*wire.InstallReply, error) {
	return invoke(ctx, t, connKey{to, "install", r.GetGroup()}, installTimeout, wire.DRPCReplicaClient.Install, r)
}

// invoke makes one call with a timeout. It closes a connection whose call timed out, since
// that may never deliver anything again while a new connection works. If a connection from an
// earlier call turns out to have ended, it makes the call again on a new one: a machine that lost
// power says so only when it is sent something, and the next round of an election may be a
// second away. The peer may then handle a request twice, which is harmless for all of them.
func invoke[Q, R any](
	ctx context.Context, t *DRPCTransport, k connKey, timeout time.Duration,
	method func(wire.DRPCReplicaClient, context.Context, Q) (R, error), request Q,
) (reply R, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "%s to %s", k.kind, k.to)
		}
	}()
	ctx, cancel := timer.WithTimeout(ctx, t.options.Timer, timeout)
	defer cancel()
	c, err := t.connection(k)
	if err != nil {
		return reply, err
	}
	select {
	case c.slot <- struct{}{}:
		defer func() {
			c.usedAt = t.options.Timer.Now()
			<-c.slot
		}()
	case <-ctx.Done():
		return reply, context.Cause(ctx)
	}
	opened, err := t.connect(ctx, c, k.to)
	if err != nil {
		return reply, err
	}
	reply, err = method(wire.NewDRPCReplicaClient(c.conn), WithPeerToken(ctx, t.options.PeerToken), request)
	if err != nil && ctx.Err() == nil && !opened && c.isClosed() {
		if _, err := t.connect(ctx, c, k.to); err != nil {
			return reply, err
		}
		reply, err = method(wire.NewDRPCReplicaClient(c.conn), WithPeerToken(ctx, t.options.PeerToken), request)
	}
	if err != nil && ctx.Err() != nil {
		_ = c.conn.Close()
		c.conn = nil
		err = errors.WithSecondaryError(context.Cause(ctx), err)
	}
	return reply, err
}

// connection returns the connection for a key, which may not be open yet.
func (t *DRPCTransport) connection(k connKey) (*connection, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, ErrStopped
	}
	c, ok := t.connections[k]
	if !ok {
		c = &connection{slot: make(chan struct{}, 1)}
		t.connections[k] = c
	}
	return c, nil
}

// isClosed reports whether the connection has ended or was never opened. The caller holds its
// slot.
func (c *connection) isClosed() bool {
	if c.conn == nil {
		return true
	}
	select {
	case <-c.conn.Closed():
		return true
	default:
		return false
	}
}

// connect opens the connection unless it is open and was used lately, and reports whether it
// did. The caller holds its slot.
func (t *DRPCTransport) connect(ctx context.Context, c *connection, to Address) (opened bool, err error) {
	if !c.isClosed() {
		if t.options.Timer.Now().Sub(c.usedAt) <= tcp.MaxIdle {
			return false, nil
		}
		_ = c.conn.Close()
	}
	conn, err := t.options.Dial(ctx, to)
	if err != nil {
		return false, err
	}
	c.conn = drpcconn.New(conn)
	return true, nil
}

// Close closes each connection once its call has ended.
func (t *DRPCTransport) Close() error {
	t.mu.Lock()
	connections := t.connections
	t.connections, t.closed = nil, true
	t.mu.Unlock()
	for _, c := range connections {
		c.slot <- struct{}{}
		if c.conn != nil {
			_ = c.conn.Close()
		}
	}
	return nil
}
