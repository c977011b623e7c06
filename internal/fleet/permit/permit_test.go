package permit

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

func TestParseRate(t *testing.T) {
	for _, c := range []struct {
		text string
		rate Rate
		ok   bool
	}{
		{"1", 1, true},
		{"2.5", 2.5, true},
		{"0", 0, true},
		{"1e2", 100, true},
		{"", 0, false},
		{"-1", 0, false},
		{"NaN", 0, false},
		{"Inf", 0, false},
		{"1e9", 0, false},
		{"1,5", 0, false},
		{"fast", 0, false},
	} {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			r, err := ParseRate(c.text)
			is.Equal(err == nil, c.ok)
			is.Equal(r, c.rate)
		})
	}
}

// replay is a deployment whose instances always want permits for one upstream.
type replay struct {
	instances int
	rate      Rate
	// leaderChange is the interval at which another instance leads, which knows the limit only
	// after reportDelay; 0 for none.
	leaderChange time.Duration
	// pauses is whether instances stand still for seconds between a reply and a request.
	pauses bool
}

// duration is how long a replay plays.
const duration = 30 * time.Second

// run plays the deployment and returns when requests were sent.
func (r replay) run(random *rand.Rand) (sent []timer.Instant) {
	const (
		step        = 5 * time.Millisecond
		reportDelay = 100 * time.Millisecond
	)
	clock := timer.NewManual()
	clock.Advance(time.Hour)
	limit := Limit{Born: 1, Rate: r.rate}
	lender := NewLender()
	lender.Set("u", limit, clock.Now())
	var stocks []*Stock
	paused := make([]timer.Instant, r.instances)
	for range r.instances {
		s := NewStock(clock)
		s.Set("u", limit)
		stocks = append(stocks, s)
	}
	end, leaderSince := clock.Now().Add(duration), clock.Now()
	for known := true; clock.Now().Before(end); clock.Advance(step) {
		now := clock.Now()
		if r.leaderChange > 0 && now.Sub(leaderSince) >= r.leaderChange {
			lender, leaderSince, known = NewLender(), now, false
		}
		if !known && now.Sub(leaderSince) >= reportDelay {
			lender.Set("u", limit, now)
			known = true
		}
		for i, s := range stocks {
			if now.Before(paused[i]) || random.IntN(3) > 0 {
				continue
			}
			if p, ok := s.Take("u", 1, false); ok && p.Valid(now) {
				sent = append(sent, now)
				continue
			}
			s.Request("u", 1, false)
			wants := s.TakeWants()
			var grants []Grant
			for _, w := range wants {
				g := Grant{ID: w.ID, Born: w.Born}
				g.Count, g.Wait, g.Limited = lender.Lend(w.ID, w.Born, w.Count, now)
				grants = append(grants, g)
			}
			s.Apply(grants, now)
			if r.pauses && random.IntN(20) == 0 {
				paused[i] = now.Add(time.Duration(random.Int64N(int64(5 * time.Second))))
			}
		}
	}
	return sent
}

// Guards against instances that together exceed the limit of an upstream in some 4 s, and against
// instances that leave it unused.
func TestSumOfInstances(t *testing.T) {
	const window = 4 * time.Second
	for _, c := range []struct {
		name  string
		r     replay
		least float64 // part of the rate that is used
	}{
		{"one instance", replay{instances: 1, rate: 1}, 0.9},
		{"a fraction", replay{instances: 12, rate: 0.5}, 0.8},
		{"12 instances", replay{instances: 12, rate: 1}, 0.8},
		{"200 instances", replay{instances: 200, rate: 1}, 0.8},
		{"a high limit", replay{instances: 12, rate: 40}, 0.8},
		{"a new leader every second", replay{instances: 12, rate: 5, leaderChange: time.Second}, 0.5},
		{"a new leader every 7 s", replay{instances: 90, rate: 2, leaderChange: 7 * time.Second}, 0.5},
		{"pauses", replay{instances: 12, rate: 10, pauses: true}, 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				sent := c.r.run(rand.New(rand.NewPCG(seed, 1)))
				first := 0
				for i, at := range sent {
					for at.Sub(sent[first]) >= window {
						first++
					}
					is.True(float64(i-first+1) <= 1.5*float64(c.r.rate)*window.Seconds()+5)
				}
				is.True(float64(len(sent)) >= c.least*float64(c.r.rate)*duration.Seconds())
			}
		})
	}
}

// Guards against a request that is sent on a permit that expired while the process was paused, or
// that was lent for an earlier incarnation.
func TestPermitExpires(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	s := NewStock(clock)
	is.True(s.Set("u", Limit{Born: 1, Rate: 1}))
	s.Apply([]Grant{{ID: "u", Born: 1, Count: 2, Limited: true}}, clock.Now())
	p, ok := s.Take("u", 1, false)
	is.True(ok && p.Valid(clock.Now()))
	clock.Advance(Lifetime)
	is.True(!p.Valid(clock.Now()))
	_, ok = s.Take("u", 1, false)
	is.True(!ok)
	s.Apply([]Grant{{ID: "u", Born: 1, Count: 1, Limited: true}}, clock.Now())
	is.True(s.Set("u", Limit{Born: 2, Rate: 1}))
	_, ok = s.Take("u", 2, false)
	is.True(!ok)
	is.True(!s.Set("u", Limit{Born: 1, Rate: 9})) // of an earlier incarnation
	is.True(!s.Lift("u", 1))
	is.True(s.Lift("u", 2))
	_, ok = s.Take("u", 2, false)
	is.True(ok) // no limit, no permit needed
}

// Guards against a request that waits for a leader that does not answer, and against asking a
// leader again that has no permit.
func TestBorrowWithoutLeader(t *testing.T) {
	is := is.New(t)
	s := NewStock(timer.NewSystem())
	s.Set("u", Limit{Born: 1, Rate: 1})
	start := time.Now()
	is.Equal(s.Borrow(context.Background(), "u", 1, false), retryDelay)
	is.True(time.Since(start) < 4*maxWait)
	s.TakeWants()
	s.Fail()
	s.Request("u", 1, false)
	is.Equal(len(s.TakeWants()), 0)
}
