// Package peer carries calls between the instances of a deployment and finds the
// leader among them.
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

// Address is where an instance accepts calls of others.
type Address string

// callClass separates calls that must not wait for each other.
type callClass string

const (
	classPoll    callClass = "sync"
	classReport  callClass = "tell"
	classRequest callClass = "request"
)

// ackTimeout bounds how long sent bytes may stay unacknowledged. A peer behind
// a partition does not answer, and its connection would hang.
const ackTimeout = 1500 * time.Millisecond

// connections holds one connection per peer and class.
type connections struct {
	timer timer.Service
	token string
	dial  func(ctx context.Context, to Address) (net.Conn, error)

	mu    sync.Mutex
	conns map[connectionKey]*connection
}

type connectionKey struct {
	to    Address
	class callClass
}

type connection struct {
	sem  chan struct{}
	conn *drpcconn.Conn
}

func newConnections(t timer.Service, token string) *connections {
	return &connections{timer: t, token: token, dial: dialTCP, conns: map[connectionKey]*connection{}}
}

func dialTCP(ctx context.Context, to Address) (net.Conn, error) {
	return tcp.Dialer(ackTimeout).DialContext(ctx, "tcp", string(to))
}

// call makes one call with a deadline. A connection on which a call failed is closed.
func call[R any](
	ctx context.Context, l *connections, to Address, c callClass, limit time.Duration,
	f func(ctx context.Context, c wire.DRPCFleetClient) (R, error),
) (reply R, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "%s to %s", string(c), string(to))
		}
	}()
	ctx, cancel := timer.WithTimeout(ctx, l.timer, limit)
	defer cancel()
	k := l.get(connectionKey{to, c})
	select {
	case k.sem <- struct{}{}:
		defer func() { <-k.sem }()
	case <-ctx.Done():
		return reply, context.Cause(ctx)
	}
	if err := l.connect(ctx, k, to); err != nil {
		return reply, err
	}
	reply, err = f(replica.WithToken(ctx, l.token), wire.NewDRPCFleetClient(k.conn))
	if err != nil {
		_ = k.conn.Close()
		k.conn = nil
		if ctx.Err() != nil {
			err = errors.WithSecondaryError(context.Cause(ctx), err)
		}
	}
	return reply, err
}

func (l *connections) get(k connectionKey) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	have := l.conns[k]
	if have == nil {
		have = &connection{sem: make(chan struct{}, 1)}
		l.conns[k] = have
	}
	return have
}

func (l *connections) connect(ctx context.Context, k *connection, to Address) error {
	if k.conn != nil {
		select {
		case <-k.conn.Closed():
		default:
			return nil
		}
	}
	conn, err := l.dial(ctx, to)
	if err != nil {
		return err
	}
	k.conn = drpcconn.New(conn)
	return nil
}

// Close closes all connections.
func (l *connections) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	for _, k := range l.conns {
		select {
		case k.sem <- struct{}{}:
			if k.conn != nil {
				err = errors.CombineErrors(err, k.conn.Close())
				k.conn = nil
			}
			<-k.sem
		default: // A call is under way and ends with its context.
		}
	}
	return err
}
