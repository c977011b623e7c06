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

// callClass separates calls that must not wait for each other: each has its own connections.
type callClass string

const (
	classPoll    callClass = "sync"    // polls, which the leader delays until there are changes
	classReport  callClass = "tell"    // reports
	classFetch   callClass = "fetch"   // transfers of layouts
	classBorrow  callClass = "borrow"  // calls for permits, on which requests wait
	classRead    callClass = "read"    // confirmed reads
	classPropose callClass = "propose" // proposals, which last until they are in force
	classRequest callClass = "request" // all other calls
)

const (
	// operatorConnections is the number of connections for each class of calls on behalf of
	// operators. They send up to eight orders at a time, each of which may wait for instances.
	operatorConnections = 8
	// dialTimeout bounds a dial, which a lost host never answers. A first packet that was dropped,
	// since many dial the same host, is sent again after a second.
	dialTimeout = 1200 * time.Millisecond
)

// limit returns the number of connections to one peer.
func (c callClass) limit() int {
	if c == classRead || c == classPropose {
		return operatorConnections
	}
	return 1
}

// ackTimeout is how long sent bytes may stay unacknowledged before the connection is
// closed. Otherwise connections to a peer behind a network partition would hang.
const ackTimeout = 1500 * time.Millisecond

// connections holds the connections by peer and class of calls.
type connections struct {
	timer timer.Service
	token string
	dial  func(ctx context.Context, to string) (net.Conn, error)

	mu    sync.Mutex
	pools map[connectionKey]*pool
}

// connectionKey identifies a pool.
type connectionKey struct {
	to    Address
	class callClass
}

// pool holds the connections for one key. A call holds a slot and a connection while it runs.
type pool struct {
	slots chan struct{}

	mu   sync.Mutex
	idle tcp.IdleConns[*drpcconn.Conn]
}

// newConnections returns connections that dial opens, or TCP connections if it is nil.
func newConnections(t timer.Service, token string, dial func(ctx context.Context, to string) (net.Conn, error)) *connections {
	if dial == nil {
		dial = dialTCP
	}
	return &connections{timer: t, token: token, dial: dial, pools: map[connectionKey]*pool{}}
}

func dialTCP(ctx context.Context, to string) (net.Conn, error) {
	return tcp.NewDialer(ackTimeout).DialContext(ctx, "tcp", to)
}

// call makes a call with a timeout. The wait for a connection that other calls of this instance
// use is not included, since it says nothing about the peer: only ctx bounds it. call closes
// the connection if the call fails.
func call[R any](
	ctx context.Context, cs *connections, to Address, class callClass, timeout time.Duration,
	f func(ctx context.Context, client wire.DRPCFleetClient) (R, error),
) (reply R, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "%s to %s", string(class), string(to))
		}
	}()
	p := cs.get(connectionKey{to, class})
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-ctx.Done():
		return reply, errors.Wrap(context.Cause(ctx), "waited for other calls of this instance")
	}
	ctx, cancel := timer.WithTimeout(ctx, cs.timer, timeout)
	defer cancel()
	conn, ok := p.take(cs.timer.Now())
	if !ok {
		if conn, err = cs.connect(ctx, to); err != nil {
			return reply, errors.Wrap(err, "connect")
		}
	}
	reply, err = f(replica.WithPeerToken(ctx, cs.token), wire.NewDRPCFleetClient(conn))
	if err != nil {
		_ = conn.Close()
		if ctx.Err() != nil {
			err = errors.WithSecondaryError(context.Cause(ctx), err)
		}
		return reply, err
	}
	p.put(conn, cs.timer.Now())
	return reply, nil
}

// get returns the pool for a key.
func (cs *connections) get(k connectionKey) *pool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	p := cs.pools[k]
	if p == nil {
		p = &pool{slots: make(chan struct{}, k.class.limit())}
		cs.pools[k] = p
	}
	return p
}

// connect opens a connection.
func (cs *connections) connect(ctx context.Context, to Address) (*drpcconn.Conn, error) {
	ctx, cancel := timer.WithTimeout(ctx, cs.timer, dialTimeout)
	defer cancel()
	conn, err := cs.dial(ctx, string(to))
	if err != nil {
		return nil, err
	}
	return drpcconn.New(conn), nil
}

// take returns an idle connection that may still be used.
func (p *pool) take(now timer.Instant) (conn *drpcconn.Conn, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle.Take(now)
}

// put makes a connection available to other calls.
func (p *pool) put(c *drpcconn.Conn, now timer.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle.Put(c, now)
}

// close closes the connections that are not in use.
func (p *pool) close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle.Close()
}

// Close closes the connections that are not in use. Calls in progress end with their context.
func (cs *connections) Close() error {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var err error
	for _, p := range cs.pools {
		err = errors.CombineErrors(err, p.close())
	}
	return err
}
