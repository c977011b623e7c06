package queue

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

func fixed(n int) func(int) int { return func(int) int { return n } }

func newQueue(o Options) (*Queue, *timer.Manual) {
	clock := timer.NewManual()
	o.Timer, o.Random = clock, rand.New(rand.NewPCG(1, 1))
	return New(o), clock
}

// take adds a request and fails the test if it is refused.
func take(is *is.I, q *Queue, name document.Account, weight uint32, tokens uint64) *waiter {
	is.Helper()
	w, err := q.add(Request{Account: name, Weight: weight, EstimatedTokens: tokens})
	is.NoErr(err)
	return w
}

// serve gives places one after the other and returns the tokens served per account.
func serve(q *Queue, waiting []*waiter, tokens uint64) map[document.Account]uint64 {
	served := map[document.Account]uint64{}
	for total := uint64(0); total < tokens; {
		for i, w := range waiting {
			if w != nil && w.granted {
				waiting[i] = nil
				total += w.request.EstimatedTokens
				served[w.request.Account] += w.request.EstimatedTokens
				q.ticket(w).Release(w.request.EstimatedTokens)
			}
		}
	}
	return served
}

// Guards against large accounts, with many or with long requests, that take
// more than their share while others wait.
func TestSharesFollowTheWeights(t *testing.T) {
	for _, c := range []struct {
		name         string
		weight       uint32
		tokens, size uint64
		least, most  float64
	}{
		{"equal weights", 1, 100, 100, 0.48, 0.52},
		{"triple weight", 3, 100, 100, 0.23, 0.27},
		{"long requests", 1, 1000, 100, 0.46, 0.54},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q, _ := newQueue(Options{Capacity: fixed(1)})
			var waiting []*waiter
			for range 400 {
				waiting = append(waiting, take(is, q, "city", c.weight, c.tokens))
			}
			for range 400 {
				waiting = append(waiting, take(is, q, "farm", 1, c.size))
			}
			served := serve(q, waiting, 30000)
			share := float64(served["farm"]) / float64(served["farm"]+served["city"])
			is.True(share >= c.least && share <= c.most)
		})
	}
}

// Guards against a newcomer waiting behind the whole backlog of another account.
func TestNewcomerGoesBeforeTheBacklog(t *testing.T) {
	is := is.New(t)
	q, _ := newQueue(Options{Capacity: fixed(1)})
	first := take(is, q, "city", 1, 100)
	for range 50 {
		take(is, q, "city", 1, 100)
	}
	w := take(is, q, "farm", 1, 100)
	is.True(!w.granted)
	q.ticket(first).Release(100)
	is.True(w.granted)
}

// Guards against accounts that gain by estimating too little.
func TestTrueSizeIsCorrected(t *testing.T) {
	is := is.New(t)
	q, _ := newQueue(Options{Capacity: fixed(1)})
	var waiting []*waiter
	for range 200 {
		waiting = append(waiting, take(is, q, "city", 1, 10), take(is, q, "farm", 1, 100))
	}
	served := map[document.Account]int{}
	for range 110 {
		for i, w := range waiting {
			if w != nil && w.granted {
				waiting[i] = nil
				served[w.request.Account]++
				q.ticket(w).Release(100) // city's requests are ten times as long as estimated
				break
			}
		}
	}
	is.True(served["city"] <= 60)
}

// Guards against queues without a bound and refusals that come late or all at once.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	q, clock := newQueue(Options{Capacity: fixed(1), MaxQueuedPerAccount: 3, MaxQueuedTotal: 4})
	first := q.ticket(take(is, q, "city", 1, 1))
	clock.Advance(10 * time.Second)
	for range 3 {
		take(is, q, "city", 1, 1)
	}
	code := func(r Request) string {
		_, err := q.add(r)
		var f *Rejection
		is.True(errors.As(err, &f))
		is.True(f.RetryAfter >= leastRetry && f.RetryAfter <= mostRetry)
		return f.Code
	}
	is.Equal(code(Request{Account: "city"}), CodeAccountQueueFull)
	is.Equal(code(Request{Account: "farm", Limit: document.LimitSpec{MaxQueuedRequests: 1}, Deadline: 1}), CodeDeadline)
	take(is, q, "farm", 1, 1)
	is.Equal(code(Request{Account: "mill"}), CodeQueueFull)
	is.Equal(q.Tallies()[0].Refusals, uint64(1))
	// One place is held for ten seconds, so a request behind others cannot have one within five.
	first.Release(1)
	q.total, q.limit = 100, 100
	is.Equal(code(Request{Account: "city", Deadline: clock.Now().Add(5 * time.Second)}), CodeDeadline)
	_, err := q.add(Request{Account: "city", Deadline: clock.Now().Add(5 * time.Minute)})
	is.NoErr(err)
}

// Guards against requests that wait on after their deadline or their caller has gone.
func TestWaitEnds(t *testing.T) {
	is := is.New(t)
	clock := timer.NewSystem()
	q := New(Options{Timer: clock, Random: rand.New(rand.NewPCG(1, 1)), Capacity: fixed(1)})
	held, err := q.Acquire(context.Background(), Request{Account: "city"})
	is.NoErr(err)
	_, err = q.Acquire(context.Background(), Request{Account: "city", Deadline: clock.Now().Add(20 * time.Millisecond)})
	var f *Rejection
	is.True(errors.As(err, &f))
	is.Equal(f.Code, CodeDeadline)
	late, stop := timer.WithTimeout(context.Background(), clock, 20*time.Millisecond)
	defer stop()
	_, err = q.Acquire(late, Request{Account: "city"})
	is.True(errors.As(err, &f)) // the same answer whichever of the two timers fires first
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = q.Acquire(ctx, Request{Account: "city"})
	is.True(errors.Is(err, context.Canceled))
	is.Equal(q.waiting, 0)
	held.Release(1)
	held.Release(1) // a second call changes nothing
	is.Equal(q.running, 0)
}

// Guards against capacity that another entry freed staying unused.
func TestWaitersSeeFreedCapacity(t *testing.T) {
	is := is.New(t)
	limit := 1
	q, clock := newQueue(Options{Capacity: func(int) int { return limit }})
	take(is, q, "city", 1, 1)
	w := take(is, q, "city", 1, 1)
	is.True(!w.granted)
	limit = 2
	clock.Advance(poll)
	is.True(w.granted)
}

// Guards against places that are lost or given out twice in any order of events.
func TestPlacesAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		q, clock := newQueue(Options{Capacity: fixed(limit), MaxQueuedPerAccount: 5, MaxQueuedTotal: 12})
		var all []*waiter
		names := []document.Account{"a", "b", "c", "d"}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			i := 0
			if len(all) > 0 {
				i = rapid.IntRange(0, len(all)-1).Draw(t, "which")
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				w, err := q.add(Request{
					Account: rapid.SampledFrom(names).Draw(t, "account"), EstimatedTokens: rapid.Uint64Range(0, 9).Draw(t, "tokens"),
					Limit: document.LimitSpec{MaxConcurrentRequests: rapid.Uint32Range(0, 2).Draw(t, "parallel")},
				})
				if err == nil {
					all = append(all, w)
				}
			case 2:
				if len(all) > 0 && all[i].granted {
					q.ticket(all[i]).Release(3)
					all = append(all[:i], all[i+1:]...)
				}
			case 3:
				if len(all) > 0 && q.remove(all[i], context.Canceled) {
					all = append(all[:i], all[i+1:]...)
				}
			}
			clock.Advance(time.Millisecond)
			granted := 0
			for _, w := range all {
				if w.granted {
					granted++
				}
			}
			if q.running != granted || granted > limit || q.waiting != len(all)-granted {
				t.Fatalf("running %d, waiting %d, granted %d of %d", q.running, q.waiting, granted, len(all))
			}
		}
	})
}
