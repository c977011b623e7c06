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

// class separates calls that must not wait for each other.
type class string

const (
	classSync    class = "sync"
	classTell    class = "tell"
	classRequest class = "request"
)

// unacknowledged bounds how long sent bytes may stay unacknowledged. A peer behind
// a partition does not answer, and its connection would hang.
const unacknowledged = 1500 * time.Millisecond

// links holds one connection per peer and class.
type links struct {
	timer timer.Service
	token string
	dial  func(ctx context.Context, to Address) (net.Conn, error)

	mu    sync.Mutex
	conns map[linkKey]*link
}

type linkKey struct {
	to    Address
	class class
}

type link struct {
	turn chan struct{}
	conn *drpcconn.Conn
}

func newLinks(t timer.Service, token string) *links {
	return &links{timer: t, token: token, dial: dialTCP, conns: map[linkKey]*link{}}
}

func dialTCP(ctx context.Context, to Address) (net.Conn, error) {
	return tcp.NewDialer(unacknowledged).DialContext(ctx, "tcp", string(to))
}

// call makes one call with a deadline. A connection on which a call failed is closed.
func call[R any](
	ctx context.Context, l *links, to Address, c class, limit time.Duration,
	f func(ctx context.Context, c wire.DRPCFleetClient) (R, error),
) (reply R, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "%s to %s", string(c), string(to))
		}
	}()
	ctx, cancel := timer.WithTimeout(ctx, l.timer, limit)
	defer cancel()
	k := l.get(linkKey{to, c})
	select {
	case k.turn <- struct{}{}:
		defer func() { <-k.turn }()
	case <-ctx.Done():
		return reply, context.Cause(ctx)
	}
	if err := l.connect(ctx, k, to); err != nil {
		return reply, err
	}
	reply, err = f(replica.WithPeerToken(ctx, l.token), wire.NewDRPCFleetClient(k.conn))
	if err != nil {
		_ = k.conn.Close()
		k.conn = nil
		if ctx.Err() != nil {
			err = errors.WithSecondaryError(context.Cause(ctx), err)
		}
	}
	return reply, err
}

func (l *links) get(k linkKey) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	have := l.conns[k]
	if have == nil {
		have = &link{turn: make(chan struct{}, 1)}
		l.conns[k] = have
	}
	return have
}

func (l *links) connect(ctx context.Context, k *link, to Address) error {
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
func (l *links) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	for _, k := range l.conns {
		select {
		case k.turn <- struct{}{}:
			if k.conn != nil {
				err = errors.CombineErrors(err, k.conn.Close())
				k.conn = nil
			}
			<-k.turn
		default: // A call is under way and ends with its context.
		}
	}
	return err
}
