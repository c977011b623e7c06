package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// fill sends requests to the candidates until none has room, and returns how many were sent.
func fill(b *Balancer, candidates []Candidate) (sent int) {
	for ; sent < 1000; sent++ {
		c, ok := b.Pick(candidates, Prefix{}, nil)
		if !ok || !b.TryRequest(c) {
			return sent
		}
	}
	return sent
}

// Guards against more requests to brittle upstreams than the share of this instance, by instances without
// one too, whose sum is not bounded, against sending on right after a refusal, and against an instance that
// never sends again.
func TestBrittleShare(t *testing.T) {
	for _, c := range []struct {
		name    string
		brittle bool
		share   int
		refused bool // the first upstream refused a request, as another instance reports
		after   time.Duration
		sent    int
	}{
		{"not brittle", false, 2, false, 0, 1000},
		{"brittle", true, 2, false, 0, 6},
		{"without a share", true, 0, false, 0, 0},
		{"refused", true, 2, true, 0, 4},
		{"refused, after the pause", true, 4, true, 3 * time.Second, 10},
		{"refused, later", true, 4, true, time.Minute, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, clock := newBalancer(1)
			b.Share = func(string, int) int { return c.share }
			candidates := newCandidates(3)
			for _, u := range candidates {
				b.ReportCondition(u.ID, c.brittle, false)
			}
			if c.refused {
				b.ReportCondition("u0", true, true)
				b.ReportCondition("u0", true, true) // the same refusal, heard again
			}
			clock.Advance(c.after)
			is.Equal(fill(b, candidates), c.sent)
		})
	}
}

// Guards against requests that wait for room and are not woken when there is some.
func TestVacated(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(1)
	candidates := newCandidates(1)
	b.SetBrittle("u0", true)
	is.Equal(fill(b, candidates), 16)
	vacated := b.Vacated()
	b.RequestDone("u0", Succeeded, false)
	select {
	case <-vacated:
	default:
		t.Fatal("not woken")
	}
	is.Equal(fill(b, candidates), 1)
}

// Guards against leased slots that a share or an earlier refusal keeps unused, and against requests with a lease
// from before a refusal.
func TestLeasedSlots(t *testing.T) {
	is := is.New(t)
	b, clock := newBalancer(1)
	b.Share = func(string, int) int { return 0 }
	b.Leased = func() bool { return true }
	candidates := newCandidates(1)
	b.ReportCondition("u0", true, false)
	is.Equal(fill(b, candidates), 1000)
	before := clock.Now()
	clock.Advance(time.Millisecond)
	b.ReportCondition("u0", true, true)
	is.True(b.RefusedSince("u0", before))
	is.True(!b.RefusedSince("u0", clock.Now()))
	is.Equal(fill(b, candidates), 1000)
}

// Guards against requests without a lease to upstreams that are not known as brittle yet, and against leases
// for upstreams that are not.
func TestNeedsLease(t *testing.T) {
	for _, c := range []struct {
		name   string
		leased bool
		states func(b *Balancer, clock *timer.Manual)
		needs  []bool
	}{
		{"none is brittle", true, func(*Balancer, *timer.Manual) {}, []bool{false, false, false}},
		{"slots are not leased", false, func(b *Balancer, _ *timer.Manual) { b.SetBrittle("u0", true) }, []bool{false, false, false}},
		{"one is brittle, the others have not responded", true, func(b *Balancer, _ *timer.Manual) { b.SetBrittle("u0", true) }, []bool{true, true, true}},
		{"one has responded since", true, func(b *Balancer, clock *timer.Manual) {
			b.SetBrittle("u0", true)
			clock.Advance(time.Second)
			b.ReportSound("u1")
		}, []bool{true, false, true}},
		{"one responded before", true, func(b *Balancer, clock *timer.Manual) {
			b.SetBrittle("u2", true)
			b.ReportSound("u1")
			clock.Advance(time.Second)
			b.SetBrittle("u2", false)
			b.SetBrittle("u0", true)
		}, []bool{true, true, true}},
		{"the brittle one is sound again", true, func(b *Balancer, _ *timer.Manual) {
			b.SetBrittle("u0", true)
			b.SetBrittle("u0", false)
		}, []bool{false, false, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, clock := newBalancer(1)
			b.Leased = func() bool { return c.leased }
			candidates := newCandidates(3)
			c.states(b, clock)
			for i, u := range candidates {
				is.Equal(b.NeedsLease(u, candidates), c.needs[i])
			}
		})
	}
}
