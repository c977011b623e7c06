package slot

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// retryDelay is how long requests are not kept waiting after no leader answered.
	retryDelay = 200 * time.Millisecond
	// maxReturns bounds the leases that were returned while no leader was reached. The leader drops the
	// others once their requests have certainly ended.
	maxReturns = 4096
)

// Lease is the right to have one request at an upstream. The zero value is that for an upstream that is not
// brittle.
type Lease struct {
	ID       LeaseID
	Upstream Upstream
	until    timer.Instant // when its request has certainly ended
	expires  timer.Instant // when it can no longer be used for a request
}

// Held reports whether it is a lease.
func (l Lease) Held() bool { return l.ID != 0 }

// Valid reports whether a request may begin.
func (l Lease) Valid(now timer.Instant) bool { return !l.Held() || now.Before(l.expires) }

// waiter is a request that waits for a lease.
type waiter struct {
	number      uint64
	upstreams   []Upstream
	until       timer.Instant // when the request has certainly ended
	patienceEnd timer.Instant
	sent        bool
	answered    chan struct{} // closed with the answer
	lease       Lease
	wait        time.Duration
}

// Stock holds the leases of an instance and the requests that wait for one. It is safe for concurrent use.
type Stock struct {
	timer timer.Service

	mu        sync.Mutex
	number    uint64
	waiting   map[uint64]*waiter
	held      map[LeaseID]Lease
	returns   []*wire.SlotReturn
	withdrawn []uint64
	noLeader  timer.Instant // until then, no leader is expected to answer
	wake      chan struct{} // has a value if there is something to send
	reopen    chan struct{} // has a value if there is another leader
}

// NewStock returns a stock without leases.
func NewStock(t timer.Service) *Stock {
	return &Stock{
		timer: t, waiting: map[uint64]*waiter{}, held: map[LeaseID]Lease{},
		wake: make(chan struct{}, 1), reopen: make(chan struct{}, 1),
	}
}

// signal makes a channel deliver a value unless one is already waiting there.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Wanted returns a channel that receives a value when TakeMessage may have something to send.
func (s *Stock) Wanted() <-chan struct{} { return s.wake }

// Reopened returns a channel that receives a value when messages should go to another leader.
func (s *Stock) Reopened() <-chan struct{} { return s.reopen }

// LeaderChanged makes the stock tell a new leader what it holds and wants.
func (s *Stock) LeaderChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noLeader = 0
	if len(s.held)+len(s.waiting) > 0 {
		signal(s.reopen)
		signal(s.wake)
	}
}

// Acquire waits for a lease of a slot of one of the upstreams, the first of which is preferred. The request
// ends within remaining and waits for the lease during patience. Without a lease, wait is the time after which
// it is worth asking again, or 0 if that is not known.
func (s *Stock) Acquire(ctx context.Context, upstreams []Upstream, remaining, patience time.Duration) (l Lease, wait time.Duration, ok bool) {
	w, wait := s.ask(upstreams, remaining, patience)
	if w == nil {
		return Lease{}, wait, false
	}
	ctx, cancel := timer.WithTimeout(ctx, s.timer, patience)
	defer cancel()
	select {
	case <-w.answered:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[w.number] != nil {
		delete(s.waiting, w.number)
		if w.sent {
			s.withdrawn = append(s.withdrawn, w.number)
			signal(s.wake)
		}
	}
	return w.lease, w.wait, w.lease.Held()
}

// ask adds a waiter, unless no leader is expected to answer for some time.
func (s *Stock) ask(upstreams []Upstream, remaining, patience time.Duration) (w *waiter, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	if now.Before(s.noLeader) {
		return nil, s.noLeader.Sub(now)
	}
	s.number++
	w = &waiter{number: s.number, upstreams: upstreams, until: now.Add(remaining), patienceEnd: now.Add(patience), answered: make(chan struct{})}
	s.waiting[w.number] = w
	signal(s.wake)
	return w, 0
}

// Return ends a lease.
func (s *Stock) Return(l Lease, use Use) {
	if !l.Held() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.held[l.ID]; !ok {
		return
	}
	delete(s.held, l.ID)
	s.giveBack(l.ID, use)
}

// giveBack queues the return of a lease. s.mu must be held.
func (s *Stock) giveBack(id LeaseID, use Use) {
	if len(s.returns) < maxReturns {
		s.returns = append(s.returns, &wire.SlotReturn{Lease: uint64(id), Use: wire.SlotUse(use)})
	}
	signal(s.wake)
}

// TakeMessage returns what the leader has to be told, or nil if that is nothing. The first message to a leader
// names all leases and wants.
func (s *Stock) TakeMessage(first bool) *wire.SlotRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	m := &wire.SlotRequest{Returns: s.returns, Withdrawn: s.withdrawn}
	s.returns, s.withdrawn = nil, nil
	for _, number := range slices.Sorted(maps.Keys(s.waiting)) {
		w := s.waiting[number]
		if w.sent && !first {
			continue
		}
		w.sent = true
		n := &wire.SlotWant{Number: w.number, Remaining: milliseconds(w.until.Sub(now)), Patience: milliseconds(w.patienceEnd.Sub(now))}
		for _, u := range w.upstreams {
			n.Upstreams = append(n.Upstreams, &wire.SlotUpstream{Id: u.ID, Born: u.Born})
		}
		m.Wants = append(m.Wants, n)
	}
	if first {
		for _, l := range s.held {
			m.Held = append(m.Held, &wire.SlotLease{
				Id: uint64(l.ID), Upstream: &wire.SlotUpstream{Id: l.Upstream.ID, Born: l.Upstream.Born}, Remaining: milliseconds(l.until.Sub(now)),
			})
		}
		return m
	}
	if len(m.Returns)+len(m.Withdrawn)+len(m.Wants) == 0 {
		return nil
	}
	return m
}

// milliseconds returns a duration rounded up, 0 if it is negative.
func milliseconds(d time.Duration) uint32 {
	return uint32(max((d+time.Millisecond-1)/time.Millisecond, 0))
}

// Apply applies the answers of the leader to which the last messages were sent. A lease for a request that no
// longer waits is returned.
func (s *Stock) Apply(r *wire.SlotReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range r.GetAnswers() {
		w := s.waiting[a.GetNumber()]
		if w == nil {
			if id := a.GetLease().GetId(); id != 0 {
				s.giveBack(LeaseID(id), Unused)
			}
			continue
		}
		delete(s.waiting, w.number)
		if g := a.GetLease(); g != nil {
			w.lease = Lease{
				ID: LeaseID(g.GetId()), Upstream: Upstream{g.GetUpstream().GetId(), g.GetUpstream().GetBorn()},
				until: w.until, expires: w.patienceEnd.Add(Lifetime),
			}
			s.held[w.lease.ID] = w.lease
		}
		w.wait = time.Duration(a.GetWait()) * time.Millisecond
		close(w.answered)
	}
}

// Fail records that no leader answers: the requests that wait are told at once.
func (s *Stock) Fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noLeader = s.timer.Now().Add(retryDelay)
	for _, w := range s.waiting {
		delete(s.waiting, w.number)
		w.wait = retryDelay
		close(w.answered)
	}
}

// Idle reports whether no request waits for a lease or has one.
func (s *Stock) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)+len(s.waiting)+len(s.returns) == 0
}
