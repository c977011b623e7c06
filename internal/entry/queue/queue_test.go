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

func fixedCapacity(n int) func(int) int { return func(int) int { return n } }

func newQueue(o Options) (*Queue, *timer.Manual) {
	clock := timer.NewManual()
	o.Timer, o.Random = clock, rand.New(rand.NewPCG(1, 1))
	return New(o), clock
}

// mustEnqueue enqueues a request and fails the test if it is rejected.
func mustEnqueue(is *is.I, q *Queue, name document.Account, weight uint32, tokens uint64) *waiter {
	is.Helper()
	w, err := q.enqueue(Request{Account: name, Weight: weight, EstimatedTokens: tokens})
	is.NoErr(err)
	return w
}

// serve releases granted slots one after the other until the given number of
// tokens is served, and returns the tokens served per account.
func serve(q *Queue, waiting []*waiter, tokens uint64) map[document.Account]uint64 {
	served := map[document.Account]uint64{}
	for total := uint64(0); total < tokens; {
		for i, w := range waiting {
			if w != nil && w.granted {
				waiting[i] = nil
				total += w.request.EstimatedTokens
				served[w.request.Account] += w.request.EstimatedTokens
				q.newSlot(w).Release(w.request.EstimatedTokens)
			}
		}
	}
	return served
}

// Guards against an account that takes more than its weighted share because it
// sends more or longer requests than another.
func TestSharesFollowWeights(t *testing.T) {
	for _, c := range []struct {
		name                   string
		cityWeight             uint32
		cityTokens, farmTokens uint64
		minShare, maxShare     float64
	}{
		{"equal weights", 1, 100, 100, 0.48, 0.52},
		{"triple weight", 3, 100, 100, 0.23, 0.27},
		{"long requests", 1, 1000, 100, 0.46, 0.54},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q, _ := newQueue(Options{Capacity: fixedCapacity(1)})
			var waiting []*waiter
			for range 400 {
				waiting = append(waiting, mustEnqueue(is, q, "city", c.cityWeight, c.cityTokens))
			}
			for range 400 {
				waiting = append(waiting, mustEnqueue(is, q, "farm", 1, c.farmTokens))
			}
			served := serve(q, waiting, 30000)
			share := float64(served["farm"]) / float64(served["farm"]+served["city"])
			is.True(share >= c.minShare && share <= c.maxShare)
		})
	}
}

// Guards against the first request of an account waiting behind the whole
// backlog of another account.
func TestNewAccountOvertakesBacklog(t *testing.T) {
	is := is.New(t)
	q, _ := newQueue(Options{Capacity: fixedCapacity(1)})
	running := mustEnqueue(is, q, "city", 1, 100)
	for range 50 {
		mustEnqueue(is, q, "city", 1, 100)
	}
	w := mustEnqueue(is, q, "farm", 1, 100)
	is.True(!w.granted)
	q.newSlot(running).Release(100)
	is.True(w.granted)
}

// Guards against an account that gets more than its share because the token
// estimates of its requests are too low.
func TestReleaseCorrectsEstimate(t *testing.T) {
	is := is.New(t)
	q, _ := newQueue(Options{Capacity: fixedCapacity(1)})
	var waiting []*waiter
	for range 200 {
		waiting = append(waiting, mustEnqueue(is, q, "city", 1, 10), mustEnqueue(is, q, "farm", 1, 100))
	}
	served := map[document.Account]int{}
	for range 110 {
		for i, w := range waiting {
			if w != nil && w.granted {
				waiting[i] = nil
				served[w.request.Account]++
				q.newSlot(w).Release(100) // ten times the estimate of city's requests
				break
			}
		}
	}
	is.True(served["city"] <= 60)
}

// Guards against a queue that grows without limit, requests that are rejected only
// when their deadline has passed, and rejected callers that all retry at once.
func TestRejections(t *testing.T) {
	is := is.New(t)
	q, clock := newQueue(Options{Capacity: fixedCapacity(1), MaxQueuedPerAccount: 3, MaxQueuedTotal: 4})
	slot := q.newSlot(mustEnqueue(is, q, "city", 1, 1))
	clock.Advance(10 * time.Second)
	for range 3 {
		mustEnqueue(is, q, "city", 1, 1)
	}
	code := func(r Request) string {
		_, err := q.enqueue(r)
		var f *Rejection
		is.True(errors.As(err, &f))
		is.True(f.RetryAfter >= minRetryAfter && f.RetryAfter <= maxRetryAfter)
		return f.Code
	}
	is.Equal(code(Request{Account: "city"}), CodeAccountQueueFull)
	is.Equal(code(Request{Account: "farm", Limit: document.LimitSpec{MaxQueuedRequests: 1}, Deadline: 1}), CodeDeadline)
	mustEnqueue(is, q, "farm", 1, 1)
	is.Equal(code(Request{Account: "mill"}), CodeQueueFull)
	is.Equal(q.Tallies()[0].Refusals, uint64(1))
	// The slot was held for ten seconds, so a request behind others can't expect one within five.
	slot.Release(1)
	q.maxTotal, q.maxPerAccount = 100, 100
	is.Equal(code(Request{Account: "city", Deadline: clock.Now().Add(5 * time.Second)}), CodeDeadline)
	_, err := q.enqueue(Request{Account: "city", Deadline: clock.Now().Add(5 * time.Minute)})
	is.NoErr(err)
}

// Guards against requests that stay in the queue after their deadline or after
// their caller has left.
func TestAcquireEndsWithDeadlineOrContext(t *testing.T) {
	is := is.New(t)
	clock := timer.NewSystem()
	q := New(Options{Timer: clock, Random: rand.New(rand.NewPCG(1, 1)), Capacity: fixedCapacity(1)})
	held, err := q.Acquire(context.Background(), Request{Account: "city"})
	is.NoErr(err)
	_, err = q.Acquire(context.Background(), Request{Account: "city", Deadline: clock.Now().Add(20 * time.Millisecond)})
	var f *Rejection
	is.True(errors.As(err, &f))
	is.Equal(f.Code, CodeDeadline)
	late, stop := timer.WithTimeout(context.Background(), clock, 20*time.Millisecond)
	defer stop()
	_, err = q.Acquire(late, Request{Account: "city"})
	is.True(errors.As(err, &f)) // the same rejection whether the context or the deadline ends first
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = q.Acquire(ctx, Request{Account: "city"})
	is.True(errors.Is(err, context.Canceled))
	is.Equal(q.waiting, 0)
	held.Release(1)
	held.Release(1) // a second call does nothing
	is.Equal(q.running, 0)
}

// Guards against capacity that another entry freed staying unused while requests wait.
func TestPollFindsFreedCapacity(t *testing.T) {
	is := is.New(t)
	limit := 1
	q, clock := newQueue(Options{Capacity: func(int) int { return limit }})
	mustEnqueue(is, q, "city", 1, 1)
	w := mustEnqueue(is, q, "city", 1, 1)
	is.True(!w.granted)
	limit = 2
	clock.Advance(capacityPollInterval)
	is.True(w.granted)
}

// Guards against slots that are lost or granted twice, in any order of enqueueing,
// releasing and removing.
func TestSlotsAreNeitherLostNorGrantedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		q, clock := newQueue(Options{Capacity: fixedCapacity(limit), MaxQueuedPerAccount: 5, MaxQueuedTotal: 12})
		var all []*waiter
		names := []document.Account{"a", "b", "c", "d"}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			i := 0
			if len(all) > 0 {
				i = rapid.IntRange(0, len(all)-1).Draw(t, "which")
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				w, err := q.enqueue(Request{
					Account: rapid.SampledFrom(names).Draw(t, "account"), EstimatedTokens: rapid.Uint64Range(0, 9).Draw(t, "tokens"),
					Limit: document.LimitSpec{MaxConcurrentRequests: rapid.Uint32Range(0, 2).Draw(t, "parallel")},
				})
				if err == nil {
					all = append(all, w)
				}
			case 2:
				if len(all) > 0 && all[i].granted {
					q.newSlot(all[i]).Release(3)
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
