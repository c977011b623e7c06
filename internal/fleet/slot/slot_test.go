package slot

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// testUpstream is the upstream of the tests.
var testUpstream = Upstream{ID: "u", Born: 1}

// newTestLender returns a lender of the given number of slots of testUpstream.
func newTestLender(slots int) (*Lender, timer.Instant) {
	id := uint64(0)
	l := NewLender(Options{
		Upstream: func(u Upstream) (Info, bool) { return Info{slots, 3}, u == testUpstream },
		NewID:    func() uint64 { id++; return id },
	})
	return l, timer.Instant(time.Hour)
}

// newWant returns a want for testUpstream.
func newWant(number uint64, now timer.Instant) *Want {
	return &Want{Holder: Holder{Instance: "n"}, Number: number, Upstreams: []Upstream{testUpstream}, Until: now.Add(time.Second), Patience: patience}
}

// Guards against a slot that is leased again while its request may still run at the upstream.
func TestSlotStaysInUse(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(l *Lender, id LeaseID, now timer.Instant)
		free time.Duration // when the slot is free again, after the end
	}{
		{"ended", func(l *Lender, id LeaseID, now timer.Instant) { l.Return(id, Ended, now) }, 0},
		{"unused", func(l *Lender, id LeaseID, now timer.Instant) { l.Return(id, Unused, now) }, 0},
		{"abandoned", func(l *Lender, id LeaseID, now timer.Instant) { l.Return(id, Abandoned, now) }, initialDuration},
		{"process ended", func(l *Lender, _ LeaseID, now timer.Instant) { l.Leave(Holder{Instance: "n"}, true, now) }, initialDuration},
		{"connection ended", func(l *Lender, _ LeaseID, now timer.Instant) { l.Leave(Holder{Instance: "n"}, false, now) }, time.Second},
		{"never returned", func(*Lender, LeaseID, timer.Instant) {}, time.Second},
		{"refused", func(l *Lender, id LeaseID, now timer.Instant) { l.Return(id, Refused, now) }, refusalWindow},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, now := newTestLender(1)
			a := l.Ask(newWant(1, now), now)
			is.Equal(len(a), 1)
			is.True(a[0].Lease != 0)
			c.end(l, a[0].Lease, now)
			leased := func(at timer.Instant) bool {
				for _, a := range l.Ask(newWant(2, at), at) {
					if a.Lease != 0 {
						return true
					}
				}
				l.Withdraw(Holder{Instance: "n"}, 2)
				return false
			}
			if c.free > 0 {
				is.True(!leased(now.Add(c.free - time.Millisecond)))
			}
			is.True(leased(now.Add(c.free + advanceInterval)))
		})
	}
}

// Guards against a new leader that leases slots which the instances of the former one still use.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	l, now := newTestLender(2)
	l.options.OpenAt = now.Add(TakeoverDelay)
	l.Adopt(Holder{Instance: "n"}, []Held{{ID: 7, Upstream: testUpstream, Until: now.Add(2 * time.Second)}}, now)
	l.Adopt(Holder{Instance: "n"}, []Held{{ID: 7, Upstream: testUpstream, Until: now.Add(2 * time.Second)}}, now) // reported again
	is.Equal(l.Ask(newWant(1, now), now)[0].Wait, TakeoverDelay+initialDuration/2)
	now = now.Add(TakeoverDelay)
	is.True(l.Ask(newWant(2, now), now)[0].Lease != 0)
	is.Equal(len(l.Ask(newWant(3, now), now)), 0) // waits
	answers := l.Return(7, Ended, now)
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Want.Number, uint64(3))
}

// Guards against requests that wait although they can't be served before their patience ends.
func TestExpectedWait(t *testing.T) {
	is := is.New(t)
	l, now := newTestLender(1)
	is.True(l.Ask(newWant(1, now), now)[0].Lease != 0)
	is.Equal(len(l.Ask(newWant(2, now), now)), 0) // expects to wait for one request
	a := l.Ask(newWant(3, now), now)
	is.Equal(len(a), 1)
	is.Equal(a[0].Lease, LeaseID(0))
	is.Equal(a[0].Wait, 2*initialDuration)
}

// Guards against a lease that is used long after it was granted, and against one that is lost with the
// request that waited for it.
func TestStock(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	s := NewStock(clock)
	results := make(chan Lease, 1)
	go func() {
		l, _, _ := s.Acquire(context.Background(), []Upstream{testUpstream}, time.Second, patience)
		results <- l
	}()
	<-s.Wanted()
	m := s.TakeMessage(true)
	is.Equal(len(m.GetWants()), 1)
	grant := &wire.SlotReply{Answers: []*wire.SlotAnswer{{
		Number: m.GetWants()[0].GetNumber(), Lease: &wire.SlotLease{Id: 5, Upstream: &wire.SlotUpstream{Id: "u", Born: 1}},
	}}}
	s.Apply(grant)
	l := <-results
	is.True(l.Held() && l.Valid(clock.Now()))
	clock.Advance(patience + Lifetime)
	is.True(!l.Valid(clock.Now()))
	is.Equal(len(s.TakeMessage(true).GetHeld()), 1) // a new leader is told of it
	s.Return(l, Ended)
	s.Return(l, Ended)
	s.Apply(grant) // nobody waits for it any more
	m = s.TakeMessage(false)
	is.Equal(len(m.GetReturns()), 2)
	is.Equal(m.GetReturns()[1].GetUse(), wire.SlotUse_SLOT_USE_NONE)
	is.True(s.Idle())
}

// Guards against requests that wait for a leader that does not answer.
func TestNoLeader(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	s := NewStock(clock)
	s.Fail()
	_, wait, ok := s.Acquire(context.Background(), []Upstream{testUpstream}, time.Second, patience)
	is.True(!ok)
	is.Equal(wait, retryDelay)
	s.LeaderChanged()
	w, _ := s.ask([]Upstream{testUpstream}, time.Second, patience)
	is.True(w != nil)
}
