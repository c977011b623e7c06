package upstream

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"wisteriakeel.example/wisteriakeel/internal/gateway/connlimit"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// ErrNoPlace means that the instance has as many connections to the upstream as it may have, and none is idle.
var ErrNoPlace = errors.New("all connections that the instance may have to the upstream are in use")

// errNoShare means that the upstream accepts fewer connections than there are instances, and none of this one.
var errNoShare = errors.New("the instance may have no connection to the upstream")

const (
	// maxPlaceWait is how long a request waits for a connection. Calls with objectives of 120 ms and more take
	// some 30 ms, so one ends or none will in time.
	maxPlaceWait = 25 * time.Millisecond
	// maxPlaceWaiters limits the requests that wait for a connection to one upstream, since more are not served
	// within maxPlaceWait.
	maxPlaceWaiters = 64
	// descriptorDivisor is the part of the process's descriptors that connections to upstreams may take.
	descriptorDivisor = 2
	// fallbackDescriptors is used if the limit of the process can't be read.
	fallbackDescriptors = 1024
	// maxDescriptors stands for a process without a limit.
	maxDescriptors = 1 << 20
)

// maxConnections returns the limit of the connections to all upstreams, from the limit of descriptors.
func maxConnections() int {
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) != nil {
		r.Cur = fallbackDescriptors
	}
	return max(1, int(min(r.Cur, maxDescriptors)/descriptorDivisor))
}

// pool counts the connections to upstreams and holds the idle ones by address.
type pool struct {
	timer timer.Service
	log   *zap.Logger
	// scope returns what is known of the limit of an upstream. It is nil if there are no limits.
	scope func(id string) connlimit.Scope

	mu        sync.Mutex
	idle      map[string][]*conn // those used last at the end
	idleOfAll int
	ledger    *connlimit.Ledger
	waiting   map[string][]*waiter // by address, in order of arrival
	logged    map[string]int       // the share that was logged last, by id of the upstream
}

func newPool(o Options) *pool {
	return &pool{
		timer: o.Timer, log: o.Log, scope: o.Scope, idle: map[string][]*conn{}, ledger: connlimit.NewLedger(maxConnections()),
		waiting: map[string][]*waiter{}, logged: map[string]int{},
	}
}

// scopeOf returns what is known of the limit of an upstream.
func (p *pool) scopeOf(id string) connlimit.Scope {
	if p.scope == nil {
		return connlimit.Scope{}
	}
	return p.scope(id)
}

// place is the right to have a connection open.
type place struct {
	pool   *pool
	target Target
	once   sync.Once
}

// release gives the place back. Further calls do nothing.
func (l *place) release() {
	l.once.Do(func() {
		l.pool.mu.Lock()
		defer l.pool.mu.Unlock()
		l.pool.ledger.Release(l.target.Address, l.pool.timer.Now())
		l.pool.signalFreed(l.target.Address)
	})
}

// waiter is a request that waits for a connection.
type waiter struct {
	freed chan struct{} // has a value when the first in the queue should look again
}

// signalFreed lets the request that has waited for longest look again. p.mu must be held.
func (p *pool) signalFreed(address string) {
	if queue := p.waiting[address]; len(queue) > 0 {
		select {
		case queue[0].freed <- struct{}{}:
		default: // it will look anyway
		}
	}
}

// queue appends a request to those that wait. It returns nil if too many do.
func (p *pool) queue(address string) *waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting[address]) >= maxPlaceWaiters {
		return nil
	}
	w := &waiter{make(chan struct{}, 1)}
	p.waiting[address] = append(p.waiting[address], w)
	p.signalFreed(address) // a connection may have become free just before
	return w
}

// leave ends a wait and lets the next request look, since more than one connection may be free.
func (p *pool) leave(address string, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[address] = slices.DeleteFunc(p.waiting[address], func(o *waiter) bool { return o == w })
	if len(p.waiting[address]) == 0 {
		delete(p.waiting, address)
	}
	p.signalFreed(address)
}

// isTurn reports whether no other request waits for longer. w is nil for one that does not wait.
func (p *pool) isTurn(address string, w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.waiting[address]
	return len(queue) == 0 || queue[0] == w
}

// acquire returns an idle connection, if that may be used, or a place for a new one. Idle connections are closed
// for it. It waits shortly if all that the instance may have are in use, and requests are served in order.
func (p *pool) acquire(ctx context.Context, t Target, reuse bool) (*conn, *place, error) {
	if p.isTurn(t.Address, nil) {
		if c, l, err := p.tryBoth(t, reuse); err == nil || errors.Is(err, errNoShare) {
			return c, l, err
		}
	}
	w := p.queue(t.Address)
	if w == nil {
		return nil, nil, errors.Wrap(ErrNoPlace, "too many requests wait")
	}
	defer p.leave(t.Address, w)
	expired := make(chan struct{})
	stop := p.timer.AfterFunc(maxPlaceWait, func() { close(expired) })
	defer stop()
	for {
		select {
		case <-w.freed:
		case <-expired:
			return nil, nil, ErrNoPlace
		case <-ctx.Done():
			return nil, nil, context.Cause(ctx)
		}
		if p.isTurn(t.Address, w) {
			if c, l, err := p.tryBoth(t, reuse); err == nil || errors.Is(err, errNoShare) {
				return c, l, err
			}
		}
	}
}

// tryBoth returns an idle connection, if that may be used, or a place.
func (p *pool) tryBoth(t Target, reuse bool) (*conn, *place, error) {
	if reuse {
		if c := p.get(t.Address); c != nil {
			return c, nil, nil
		}
	}
	l, err := p.tryAcquire(t)
	return nil, l, err
}

// tryAcquire returns a place for a new connection, ErrNoPlace or errNoShare.
func (p *pool) tryAcquire(t Target) (*place, error) {
	s := p.scopeOf(t.ID)
	p.mu.Lock()
	p.logShare(t.ID, s)
	v := p.ledger.Acquire(t.Address, s, len(p.idle[t.Address]), p.idleOfAll, p.timer.Now())
	if !v.Open {
		p.mu.Unlock()
		if v.NoShare {
			return nil, errNoShare
		}
		return nil, ErrNoPlace
	}
	closing := p.takeOldest(t.Address, v.CloseIdle)
	for range v.CloseAny {
		closing = append(closing, p.takeOldest(p.oldestAddress(), 1)...)
	}
	p.mu.Unlock()
	discardAll(closing)
	return &place{pool: p, target: t}, nil
}

// mayConnect reports whether a connection to the upstream is idle or may be opened.
func (p *pool) mayConnect(t Target, reuse bool) bool {
	s := p.scopeOf(t.ID)
	if s.Limit == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting[t.Address]) > 0 {
		return false
	}
	idle := len(p.idle[t.Address])
	return reuse && idle > 0 || p.ledger.MayOpen(t.Address, s, idle, p.idleOfAll, p.timer.Now())
}

// takeOldest removes the n connections to an upstream that have been idle for longest. p.mu must be held.
func (p *pool) takeOldest(address string, n int) []*conn {
	list := p.idle[address]
	n = min(n, len(list))
	out := append([]*conn(nil), list[:n]...)
	p.setIdle(address, append(list[:0:0], list[n:]...))
	return out
}

// oldestAddress returns the upstream of the connection that expires first. p.mu must be held.
func (p *pool) oldestAddress() (address string) {
	first := timer.Instant(0)
	for a, list := range p.idle {
		if address == "" || list[0].expiresAt.Before(first) {
			address, first = a, list[0].expiresAt
		}
	}
	return address
}

// setIdle sets the idle connections to an upstream. p.mu must be held.
func (p *pool) setIdle(address string, list []*conn) {
	p.idleOfAll += len(list) - len(p.idle[address])
	if len(list) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = list
}

// get returns an idle connection that is still usable, or nil.
func (p *pool) get(address string) *conn {
	now := p.timer.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		list[len(list)-1] = nil
		p.setIdle(address, list[:len(list)-1])
		p.mu.Unlock()
		if now.Before(c.expiresAt) && c.isIdle() {
			return c
		}
		discard(c)
	}
}

// dropEnded closes the most recently used idle connections up to one that is still usable. It reports whether one
// of them has ended before its time.
func (p *pool) dropEnded(address string) (ended bool) {
	for {
		now := p.timer.Now()
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return ended
		}
		c := list[len(list)-1]
		expired := !now.Before(c.expiresAt)
		if !expired && c.isIdle() {
			p.mu.Unlock()
			return ended
		}
		list[len(list)-1] = nil
		p.setIdle(address, list[:len(list)-1])
		p.mu.Unlock()
		ended = ended || !expired
		discard(c)
	}
}

// put makes a connection available for reuse during idleTimeout, or for a shorter time if the instance may have few.
func (p *pool) put(address string, c *conn, idleTimeout time.Duration) {
	s := connlimit.Scope{}
	if c.place != nil {
		s = p.scopeOf(c.place.target.ID)
	}
	p.mu.Lock()
	now := p.timer.Now()
	idleTimeout = p.ledger.IdleTime(address, s, len(p.idle[address]), idleTimeout, now)
	if idleTimeout > 0 {
		c.expiresAt = now.Add(idleTimeout)
		p.setIdle(address, append(p.idle[address], c))
		p.signalFreed(address)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		discard(c)
	}
}

// closeExpired closes the idle connections that may no longer be reused, and those beyond the share of the instance.
func (p *pool) closeExpired() {
	now := p.timer.Now()
	var closing []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := make([]*conn, 0, len(list))
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			} else {
				closing = append(closing, c)
			}
		}
		p.setIdle(address, kept)
	}
	p.ledger.RemoveRecovered(now)
	p.mu.Unlock()
	discardAll(closing)
	discardAll(p.takeExcess())
}

// takeExcess removes the idle connections beyond the share of the instance.
func (p *pool) takeExcess() (closing []*conn) {
	if p.scope == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		if list[0].place == nil {
			continue
		}
		s := p.scope(list[0].place.target.ID)
		closing = append(closing, p.takeOldest(address, p.ledger.Excess(address, s, len(list), p.timer.Now()))...)
	}
	return closing
}

// maxLoggedShares limits the upstreams whose logged shares are remembered.
const maxLoggedShares = 4096

// logShare logs the share of the connections to an upstream when it has changed. p.mu must be held.
func (p *pool) logShare(id string, s connlimit.Scope) {
	if s.Limit == 0 {
		return
	}
	share := s.Base()
	if last, ok := p.logged[id]; ok && last == share {
		return
	}
	if len(p.logged) >= maxLoggedShares {
		clear(p.logged)
	}
	p.logged[id] = share
	p.log.Info("share of the connections to an upstream", zap.String("upstream", id), zap.Int("share", share),
		zap.Int("limit", s.Limit), zap.Int("instances", s.Instances))
}

// recordReset records that an upstream reset a connection right after it was opened. It returns false if the
// upstream has no limit.
func (p *pool) recordReset(t Target) (limited bool) {
	s := p.scopeOf(t.ID)
	if s.Limit == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	if p.ledger.RecordReset(t.Address, now) {
		p.log.Warn("upstream resets new connections", zap.String("upstream", t.ID), zap.Int("open", p.ledger.Open(t.Address)),
			zap.Int("share", p.ledger.Share(t.Address, s, now)), zap.Int("limit", s.Limit), zap.Int("instances", s.Instances), zap.Int("waiting", s.Waiting))
	}
	return true
}

// lookTime returns how long to look for a reset of a new connection.
func (p *pool) lookTime(t Target, took time.Duration) time.Duration {
	s := p.scopeOf(t.ID)
	if s.Limit == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.LookTime(t.Address, s, took, p.timer.Now())
}

// closeAll closes all idle connections.
func (p *pool) closeAll() {
	p.mu.Lock()
	all := p.idle
	p.idle, p.idleOfAll = map[string][]*conn{}, 0
	p.mu.Unlock()
	for _, list := range all {
		discardAll(list)
	}
}

// discardAll closes connections that are no longer needed.
func discardAll(list []*conn) {
	for _, c := range list {
		discard(c)
	}
}
