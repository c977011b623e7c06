package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/gateway/reachability"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
)

// detourDelay is how long a direct connection may take before one through another instance is
// tried beside it. A connection takes a few milliseconds; a lost packet is sent again after a
// second.
const detourDelay = 250 * time.Millisecond

// Target is an incarnation of an upstream.
type Target struct {
	ID      string
	Born    int64
	Address string
}

// Detour opens connections to upstreams through other instances.
type Detour interface {
	// Dial returns ECONNREFUSED if the upstream refuses connections.
	Dial(ctx context.Context, id string, born int64) (net.Conn, error)
}

// connector opens connections to upstreams, directly or through other instances.
type connector struct {
	dialer Dialer
	detour Detour // nil if there are no other instances
	reach  *reachability.Tracker
	pool   *pool
	timer  timer.Service
	log    *zap.Logger
}

// Partitioned reports whether upstreams can be reached only through other instances.
func (c *Client) Partitioned() bool { return c.connector.reach.Partitioned() }

// connect returns an idle connection, if that may be used, or opens one. A connection through another instance
// is not reused: it ends with its request. One is opened if this instance may have none of its own.
func (c *connector) connect(ctx context.Context, t Target, reuse bool) (*conn, error) {
	if c.detour != nil && c.reach.Partitioned() {
		if reuse {
			if cn := c.pool.get(t.Address); cn != nil {
				return cn, nil
			}
		}
		if c.reach.ShouldProbe() {
			go (&probe{c, t}).run()
		}
		return c.dialDetour(ctx, t)
	}
	cn, l, err := c.pool.acquire(ctx, t, reuse)
	switch {
	case cn != nil:
		return cn, nil
	case errors.Is(err, errNoShare) && c.detour != nil:
		if cn, err = c.dialDetour(ctx, t); err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
			err = errors.Mark(err, ErrNoPlace)
		}
		return cn, err
	case errors.Is(err, errNoShare):
		return nil, errors.Mark(err, ErrNoPlace)
	case err != nil:
		return nil, err
	case c.detour == nil:
		return c.dial(ctx, l)
	}
	return (&race{connector: c, target: t, place: l}).run(ctx)
}

// dial opens a direct connection in a place, which is given back if that fails.
func (c *connector) dial(ctx context.Context, l *place) (*conn, error) {
	begin := c.timer.Now()
	n, err := c.dialer.Dial(ctx, l.target.Address)
	if err != nil {
		l.release()
		// The reset may arrive before the system has reported the connection.
		if errors.Is(err, syscall.ECONNRESET) && c.pool.recordReset(l.target) {
			err = errors.Mark(err, ErrClosedUnused)
		}
		return nil, err
	}
	cn := newConn(n)
	cn.place, cn.dialTime = l, c.timer.Now().Sub(begin)
	return cn, nil
}

// dialDetour opens a connection through another instance.
func (c *connector) dialDetour(ctx context.Context, t Target) (*conn, error) {
	n, err := c.detour.Dial(ctx, t.ID, t.Born)
	if err != nil {
		return nil, err
	}
	cn := newConn(n)
	cn.detour = true
	return cn, nil
}

// reachedDirectly records a direct connection.
func (c *connector) reachedDirectly(t Target) {
	if c.reach.ReachedDirectly() {
		c.log.Info("upstreams can be reached again", zap.String("upstream", t.ID))
	}
}

// reachedIndirectly records a connection that was possible only through another instance.
// Idle connections are closed when that begins a partition: they would hang.
func (c *connector) reachedIndirectly(t Target, cause error) {
	if c.reach.ReachedIndirectly(t.ID) {
		c.log.Warn("upstreams can be reached only through other instances", zap.String("upstream", t.ID), journal.Error(cause))
		c.pool.closeAll()
	}
}

// probe tries a direct connection while the instance is partitioned.
type probe struct {
	*connector
	target Target
}

func (p *probe) run() {
	ctx, cancel := timer.WithTimeout(context.Background(), p.timer, connectTimeout)
	defer cancel()
	l, err := p.pool.tryAcquire(p.target)
	if err != nil {
		return // another request tries again
	}
	cn, err := p.dial(ctx, l)
	if err != nil {
		return
	}
	p.reachedDirectly(p.target)
	p.pool.put(p.target.Address, cn, defaultIdleTimeout)
}

// race opens a direct connection and, if that fails or takes long, one through another instance,
// and returns the first. Nothing is sent on the other one.
type race struct {
	*connector
	target Target
	place  *place // of the direct connection
}

// dialResult is the result of one side of a race.
type dialResult struct {
	conn *conn
	err  error
}

// contender is one side of a race.
type contender struct {
	dial   func(ctx context.Context) (*conn, error)
	result chan dialResult
}

// run opens the connection. The result is taken even if the race is over.
func (d *contender) run(ctx context.Context) {
	cn, err := d.dial(ctx)
	d.result <- dialResult{cn, err}
}

// discardResult closes a connection that came too late.
func (d *contender) discardResult() {
	if r := <-d.result; r.conn != nil {
		discard(r.conn)
	}
}

func (r *race) run(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct := &contender{func(ctx context.Context) (*conn, error) { return r.dial(ctx, r.place) }, make(chan dialResult, 1)}
	detour := &contender{func(ctx context.Context) (*conn, error) { return r.dialDetour(ctx, r.target) }, make(chan dialResult, 1)}
	go direct.run(ctx)
	slow := make(chan struct{})
	stop := r.timer.AfterFunc(detourDelay, func() { close(slow) })
	defer stop()
	directErr := error(nil)
	select {
	case d := <-direct.result:
		if d.err == nil {
			r.reachedDirectly(r.target)
			return d.conn, nil
		}
		if ctx.Err() != nil || errors.Is(d.err, ErrClosedUnused) {
			return nil, d.err
		}
		directErr = d.err
	case <-slow:
	}
	go detour.run(ctx)
	for detourErr := error(nil); ; {
		select {
		case d := <-direct.result:
			if d.err == nil {
				r.reachedDirectly(r.target)
				if detourErr == nil {
					go detour.discardResult()
				}
				return d.conn, nil
			}
			if directErr = d.err; detourErr != nil {
				return nil, errors.WithSecondaryError(directErr, detourErr)
			}
		case d := <-detour.result:
			if d.err == nil {
				if directErr == nil {
					directErr = errors.Newf("not connected within %s", detourDelay)
					go direct.discardResult()
				}
				r.reachedIndirectly(r.target, directErr)
				return d.conn, nil
			}
			if detourErr = d.err; directErr != nil {
				return nil, errors.WithSecondaryError(directErr, detourErr)
			}
		}
	}
}

// AcceptsConnections reports whether an upstream accepts connections. A timeout counts as yes:
// only a refused connection is evidence that the upstream is gone, unless another instance can
// open one. So does an instance that may not open a connection: the requests of a crashed upstream
// end and make room for one.
func (c *Client) AcceptsConnections(ctx context.Context, t Target) bool {
	partitioned := c.Partitioned()
	if !partitioned {
		_, l, err := c.pool.acquire(ctx, t, false)
		if err != nil {
			c.connector.log.Debug("no probe of an upstream", zap.String("upstream", t.ID), journal.Error(err))
			return true
		}
		cn, err := c.connector.dial(ctx, l)
		if err == nil {
			c.pool.put(t.Address, cn, defaultIdleTimeout)
			return true
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if c.connector.detour == nil {
			return false
		}
	}
	cn, err := c.connector.dialDetour(ctx, t)
	if err != nil {
		return partitioned && !errors.Is(err, syscall.ECONNREFUSED)
	}
	discard(cn)
	return true
}
