package permit

import (
	"context"
	"slices"
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
	// coldRetryDelay is the same after the leader did not know that the upstream is cold. A report that
	// tells it so takes a few milliseconds.
	coldRetryDelay = 50 * time.Millisecond
)

// Permit allows one request to an upstream. The zero value is that of an upstream without a
// limit.
type Permit struct {
	limited   bool
	cold      bool
	expiresAt timer.Instant
}

// Valid reports whether the request may still be sent.
func (p Permit) Valid(now timer.Instant) bool { return !p.limited || now.Before(p.expiresAt) }

// Limited reports whether the upstream had a limit when the permit was taken.
func (p Permit) Limited() bool { return p.limited }

// Cold reports whether the permit counts against the limit of a cold upstream.
func (p Permit) Cold() bool { return p.cold }

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
	// Cold is true if the permits count against the limit of a cold upstream.
	Cold bool
}

// account is what an instance holds for one upstream that states a limit or is cold.
type account struct {
	limit    Limit
	limited  bool     // the upstream states the limit
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
	// silentUntil is until when no permits are asked for, since the leader did not answer.
	silentUntil timer.Instant
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
		s.accounts[id] = &account{limit: limit, limited: true}
		return true
	case a.limit.Born > limit.Born || a.limited && a.limit == limit:
		return false
	}
	a.limit, a.limited = limit, true
	return true
}

// Lift forgets the limit of an incarnation and reports whether there was one.
func (s *Stock) Lift(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[id]
	if a == nil || a.limit.Born != born {
		return false
	}
	delete(s.accounts, id)
	return a.limited
}

// Limits returns all known limits by upstream id.
func (s *Stock) Limits() map[string]Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Limit, len(s.accounts))
	for id, a := range s.accounts {
		if a.limited {
			out[id] = a.limit
		}
	}
	return out
}

// incarnation returns the account of an incarnation, or nil. s.mu must be held.
func (s *Stock) incarnation(id string, born int64) *account {
	if a := s.accounts[id]; a != nil && a.limit.Born == born {
		return a
	}
	return nil
}

// account returns the account of an incarnation, or nil if it has no limit. That of a cold upstream is
// created, and dropped when the upstream is no longer cold. s.mu must be held.
func (s *Stock) account(id string, born int64, cold bool) *account {
	a := s.incarnation(id, born)
	if a != nil && !cold && !a.limited {
		delete(s.accounts, id)
		return nil
	}
	if later := s.accounts[id]; a == nil && cold && (later == nil || later.limit.Born < born) {
		a = &account{limit: Limit{Born: born}}
		s.accounts[id] = a
	}
	return a
}

// Limited reports whether an incarnation of an upstream states a limit.
func (s *Stock) Limited(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.incarnation(id, born)
	return a != nil && a.limited
}

// usable reports whether a permit may be used now, for a cold upstream if cold is true.
func (p Permit) usable(cold bool, now timer.Instant) bool { return p.Valid(now) && (p.cold || !cold) }

// Has reports whether requests to an upstream need no permit, or the stock has one. cold is true if the
// upstream is cold.
func (s *Stock) Has(id string, born int64, cold bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, now := s.account(id, born, cold), s.timer.Now()
	if a == nil {
		return !cold
	}
	return slices.ContainsFunc(a.permits, func(p Permit) bool { return p.usable(cold, now) })
}

// Take takes a permit for a request to an upstream. It returns false if the request needs one and the
// stock has none.
func (s *Stock) Take(id string, born int64, cold bool) (p Permit, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, now := s.account(id, born, cold), s.timer.Now()
	if a == nil {
		return Permit{}, !cold
	}
	for len(a.permits) > 0 {
		p, a.permits = a.permits[0], a.permits[1:]
		if p.usable(cold, now) {
			return p, true
		}
	}
	return Permit{}, false
}

// Request asks for a permit for a later request.
func (s *Stock) Request(id string, born int64, cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.request(id, born, cold)
}

// request is Request for callers that hold s.mu. It returns false if the leader is not asked,
// since it has none.
func (s *Stock) request(id string, born int64, cold bool) bool {
	a := s.account(id, born, cold)
	if a == nil || s.timer.Now().Before(max(a.deniedBy, s.silentUntil)) {
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
func (s *Stock) Borrow(ctx context.Context, id string, born int64, cold bool) (wait time.Duration) {
	limited, cancel := timer.WithTimeout(ctx, s.timer, maxWait)
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	asked, call := s.request(id, born, cold), s.taken+1
	for asked && s.completed < call {
		answered := s.answered
		s.mu.Unlock()
		select {
		case <-answered:
		case <-limited.Done():
		}
		s.mu.Lock()
		if ctx.Err() == nil && limited.Err() != nil {
			s.silentUntil = s.timer.Now().Add(retryDelay)
		}
		if limited.Err() != nil {
			return retryDelay
		}
	}
	if a := s.incarnation(id, born); a != nil && len(a.permits) == 0 {
		return max(max(a.deniedBy, s.silentUntil).Sub(s.timer.Now()), 0)
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
	s.silentUntil = 0
	for _, g := range grants {
		a := s.incarnation(g.ID, g.Born)
		if a == nil {
			continue
		}
		p := Permit{limited: true, cold: g.Cold, expiresAt: sent.Add(Lifetime)}
		if g.Cold {
			p.expiresAt = sent.Add(ColdLifetime)
		}
		a.permits = slices.DeleteFunc(a.permits, func(p Permit) bool { return !p.Valid(now) })
		for range g.Count {
			a.permits = append(a.permits, p)
		}
		switch {
		case g.Wait > 0:
			a.deniedBy = now.Add(g.Wait)
		case !g.Cold && !a.limited:
			a.deniedBy = now.Add(coldRetryDelay)
		case !g.Cold && !g.Limited:
			// The report of the limit is still on its way to the leader.
			a.deniedBy = now.Add(retryDelay)
		}
	}
	s.wakeWaiting()
}

// Fail records that the leader did not answer.
func (s *Stock) Fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = s.timer.Now().Add(retryDelay)
	s.wakeWaiting()
}

// wakeWaiting makes the calls of Borrow return that the last call to the leader has answered.
// s.mu must be held.
func (s *Stock) wakeWaiting() {
	s.completed = s.taken
	close(s.answered)
	s.answered = make(chan struct{})
}
