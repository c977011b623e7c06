// Package peer implements the calls between the instances of a deployment, and finds the
// leader of the control group.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/kernel/tcp"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Address is the address at which an instance accepts calls from other instances.
type Address string

// callClass separates calls that must not wait for each other: each has its own connection.
type callClass string

const (
	classPoll    callClass = "sync"    // polls, which the leader delays until there are changes
	classReport  callClass = "tell"    // reports
	classFetch   callClass = "fetch"   // transfers of layouts
	classBorrow  callClass = "borrow"  // calls for permits, on which requests wait
	classRequest callClass = "request" // all other calls
)

// ackTimeout is how long sent bytes may stay unacknowledged before the connection is
// closed. Otherwise connections to a peer behind a network partition would hang.
const ackTimeout = 1500 * time.Millisecond

// connections holds one connection per peer and class of calls.
type connections struct {
	timer timer.Service
	token string
	dial  func(ctx context.Context, to string) (net.Conn, error)

	mu    sync.Mutex
	conns map[connectionKey]*connection
}

// connectionKey identifies a connection.
type connectionKey struct {
	to    Address
	class callClass
}

// connection is the connection for one key. A call holds its slot while it runs.
type connection struct {
	slot chan struct{}
	conn *drpcconn.Conn
}

// newConnections returns connections that dial opens, or TCP connections if it is nil.
func newConnections(t timer.Service, token string, dial func(ctx context.Context, to string) (net.Conn, error)) *connections {
	if dial == nil {
		dial = dialTCP
	}
	return &connections{timer: t, token: token, dial: dial, conns: map[connectionKey]*connection{}}
}

func dialTCP(ctx context.Context, to string) (net.Conn, error) {
	return tcp.NewDialer(ackTimeout).DialContext(ctx, "tcp", to)
}

// call makes a call with a timeout, which includes the wait for the connection. It closes the
// connection if the call fails.
func call[R any](
	ctx context.Context, cs *connections, to Address, class callClass, timeout time.Duration,
	f func(ctx context.Context, client wire.DRPCFleetClient) (R, error),
) (reply R, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "%s to %s", string(class), string(to))
		}
	}()
	ctx, cancel := timer.WithTimeout(ctx, cs.timer, timeout)
	defer cancel()
	cn := cs.get(connectionKey{to, class})
	select {
	case cn.slot <- struct{}{}:
		defer func() { <-cn.slot }()
	case <-ctx.Done():
		return reply, context.Cause(ctx)
	}
	if err := cs.connect(ctx, cn, to); err != nil {
		return reply, err
	}
	reply, err = f(replica.WithPeerToken(ctx, cs.token), wire.NewDRPCFleetClient(cn.conn))
	if err != nil {
		_ = cn.conn.Close()
		cn.conn = nil
		if ctx.Err() != nil {
			err = errors.WithSecondaryError(context.Cause(ctx), err)
		}
	}
	return reply, err
}

// get returns the connection for a key, which may not be open yet.
func (cs *connections) get(k connectionKey) *connection {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cn := cs.conns[k]
	if cn == nil {
		cn = &connection{slot: make(chan struct{}, 1)}
		cs.conns[k] = cn
	}
	return cn
}

// connect opens the connection unless it is open. The caller holds its slot.
func (cs *connections) connect(ctx context.Context, cn *connection, to Address) error {
	if cn.conn != nil {
		select {
		case <-cn.conn.Closed():
		default:
			return nil
		}
	}
	conn, err := cs.dial(ctx, string(to))
	if err != nil {
		return err
	}
	cn.conn = drpcconn.New(conn)
	return nil
}

// Close closes all connections.
func (cs *connections) Close() error {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var err error
	for _, cn := range cs.conns {
		select {
		case cn.slot <- struct{}{}:
			if cn.conn != nil {
				err = errors.CombineErrors(err, cn.conn.Close())
				cn.conn = nil
			}
			<-cn.slot
		default: // A call is in progress and ends with its context.
		}
	}
	return err
}
