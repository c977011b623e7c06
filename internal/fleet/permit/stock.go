package permit

import (
	"context"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// maxWanted is how many permits of one upstream an instance asks for at once.
	maxWanted = 64
	// maxWait is how long a request waits for the reply of the leader.
	maxWait = 300 * time.Millisecond
	// retryDelay is how long an instance waits before it asks again after the leader did not
	// answer.
	retryDelay = 200 * time.Millisecond
)

// Permit allows one request to an upstream. The zero value is that of an upstream without a
// limit.
type Permit struct {
	limited   bool
	expiresAt timer.Instant
}

// Valid reports whether the request may still be sent.
func (p Permit) Valid(now timer.Instant) bool { return !p.limited || now.Before(p.expiresAt) }

// Limited reports whether the upstream had a limit when the permit was taken.
func (p Permit) Limited() bool { return p.limited }

// Want is how many permits of an upstream the instance needs.
type Want struct {
	ID    string
	Born  int64
	Count int
}

// Grant is the answer to a Want.
type Grant struct {
	ID   string
	Born int64
	// Count is the number of permits, and Wait the time until it is worth asking again.
	Count int
	Wait  time.Duration
	// Limited is false if the leader knows no limit of the upstream.
	Limited bool
}

// account is what an instance holds for one upstream with a limit.
type account struct {
	limit    Limit
	permits  []Permit // the first expires first
	wanted   int
	deniedBy timer.Instant // no permits are asked for before
}

// Stock holds the limits that an instance knows and the permits that it has borrowed. It is safe
// for concurrent use.
type Stock struct {
	timer timer.Service

	mu       sync.Mutex
	accounts map[string]*account // by upstream id
	wake     chan struct{}       // has a value if permits are wanted
	answered chan struct{}       // closed and replaced when the leader has answered
	// taken counts the calls of TakeWants, and completed those that the leader has answered.
	taken, completed uint64
}

// NewStock returns a stock without limits.
func NewStock(t timer.Service) *Stock {
	return &Stock{timer: t, accounts: map[string]*account{}, wake: make(chan struct{}, 1), answered: make(chan struct{})}
}

// Set records the limit of an upstream and reports whether it is new or changed. A limit of an
// earlier incarnation is ignored.
func (s *Stock) Set(id string, limit Limit) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[id]
	switch {
	case a == nil || a.limit.Born < limit.Born:
		s.accounts[id] = &account{limit: limit}
		return true
	case a.limit.Born > limit.Born || a.limit == limit:
		return false
	}
	a.limit = limit
	return true
}

// Lift forgets the limit of an incarnation and reports whether there was one.
func (s *Stock) Lift(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[id]; a == nil || a.limit.Born != born {
		return false
	}
	delete(s.accounts, id)
	return true
}

// Limits returns all known limits by upstream id.
func (s *Stock) Limits() map[string]Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Limit, len(s.accounts))
	for id, a := range s.accounts {
		out[id] = a.limit
	}
	return out
}

// account returns the account of an incarnation, or nil if it has no limit. s.mu must be held.
func (s *Stock) account(id string, born int64) *account {
	if a := s.accounts[id]; a != nil && a.limit.Born == born {
		return a
	}
	return nil
}

// Limited reports whether requests to an incarnation of an upstream need a permit.
func (s *Stock) Limited(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.account(id, born) != nil
}

// Has reports whether an upstream has no limit or the stock a permit for it.
func (s *Stock) Has(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(id, born)
	return a == nil || len(a.permits) > 0 && a.permits[len(a.permits)-1].Valid(s.timer.Now())
}

// Take takes a permit for a request to an upstream. It returns false if the upstream has a limit
// and the stock no permit.
func (s *Stock) Take(id string, born int64) (p Permit, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(id, born)
	if a == nil {
		return Permit{}, true
	}
	now := s.timer.Now()
	for len(a.permits) > 0 {
		p, a.permits = a.permits[0], a.permits[1:]
		if p.Valid(now) {
			return p, true
		}
	}
	return Permit{}, false
}

// Request asks for a permit for a later request.
func (s *Stock) Request(id string, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.request(id, born)
}

// request is Request for callers that hold s.mu. It returns false if the leader is not asked,
// since it has none.
func (s *Stock) request(id string, born int64) bool {
	a := s.account(id, born)
	if a == nil || s.timer.Now().Before(a.deniedBy) {
		return false
	}
	a.wanted = min(a.wanted+1, maxWanted)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// Borrow asks for a permit and waits until the leader has answered. Take tells whether it lent
// one. It returns the time until it is worth asking again, 0 if that is now.
func (s *Stock) Borrow(ctx context.Context, id string, born int64) (wait time.Duration) {
	ctx, cancel := timer.WithTimeout(ctx, s.timer, maxWait)
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	asked, call := s.request(id, born), s.taken+1
	for asked && s.completed < call {
		answered := s.answered
		s.mu.Unlock()
		select {
		case <-answered:
		case <-ctx.Done():
		}
		s.mu.Lock()
		if ctx.Err() != nil {
			return retryDelay
		}
	}
	if a := s.account(id, born); a != nil && len(a.permits) == 0 {
		return max(a.deniedBy.Sub(s.timer.Now()), 0)
	}
	return 0
}

// Wanted returns a channel that receives a value when permits are wanted.
func (s *Stock) Wanted() <-chan struct{} { return s.wake }

// TakeWants returns the permits that are wanted, and clears them. Apply or Fail must be called
// before the next call.
func (s *Stock) TakeWants() (wants []Want) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken++
	for id, a := range s.accounts {
		if a.wanted > 0 {
			wants = append(wants, Want{id, a.limit.Born, a.wanted})
			a.wanted = 0
		}
	}
	return wants
}

// Apply adds the permits of a reply to a call that was sent at the given instant.
func (s *Stock) Apply(grants []Grant, sent timer.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	for _, g := range grants {
		a := s.account(g.ID, g.Born)
		if a == nil {
			continue
		}
		for range g.Count {
			a.permits = append(a.permits, Permit{limited: true, expiresAt: sent.Add(Lifetime)})
		}
		if g.Wait > 0 {
			a.deniedBy = now.Add(g.Wait)
		}
		if !g.Limited {
			// The report of the limit is still on its way to the leader.
			a.deniedBy = now.Add(retryDelay)
		}
	}
	s.wakeWaiting()
}

// Fail records that the leader did not answer for some permits.
func (s *Stock) Fail(wants []Want) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range wants {
		if a := s.account(w.ID, w.Born); a != nil {
			a.deniedBy = s.timer.Now().Add(retryDelay)
		}
	}
	s.wakeWaiting()
}

// wakeWaiting makes the calls of Borrow return that the last call to the leader has answered.
// s.mu must be held.
func (s *Stock) wakeWaiting() {
	s.completed = s.taken
	close(s.answered)
	s.answered = make(chan struct{})
}
