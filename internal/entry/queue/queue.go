// Package queue shares the entry's places for work among client accounts by
// start-time fair queueing in tokens.
package queue

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Defaults of the limits.
const (
	DefaultCapacity            = 256
	DefaultMaxQueuedPerAccount = 1024
	DefaultMaxQueuedTotal      = 8192
)

// Bounds of the time that a refusal tells a caller to wait.
const (
	leastRetry = 200 * time.Millisecond
	mostRetry  = 30 * time.Second
)

// poll is how often a queue with waiting requests looks for capacity that
// became free outside of this entry.
const poll = 20 * time.Millisecond

// Options are what a Queue needs.
type Options struct {
	Timer  timer.Service
	Random *rand.Rand
	// Capacity returns how many requests may be in progress now, given how many
	// are; nil means DefaultParallel. It must not call the queue.
	Capacity func(running int) int
	// MaxQueuedPerAccount and Total bound the requests that wait, per account and together.
	MaxQueuedPerAccount int
	MaxQueuedTotal      int
}

// Request asks for a place.
type Request struct {
	Account document.Account
	Weight  uint32
	// EstimatedTokens is the estimated size; Done corrects it.
	EstimatedTokens uint64
	// Limit is the account's own limit; zero fields mean none.
	Limit document.LimitSpec
	// Deadline is when the answer is of no more use; zero means never.
	Deadline timer.Instant
	// AlreadyCounted is true for a later step of a request that was counted before.
	AlreadyCounted bool
}

// Rejection is a final refusal of a request that did not run.
type Rejection struct {
	Code   string
	Reason string
	// RetryAfter is when a later attempt may succeed.
	RetryAfter time.Duration
}

// Error returns the reason.
func (r *Rejection) Error() string { return r.Reason }

// Codes of refusals.
const (
	CodeAccountQueueFull = "account_queue_full"
	CodeQueueFull        = "queue_full"
	CodeDeadline         = "deadline"
)

// Queue hands out places. The zero value is not usable; see New.
type Queue struct {
	timer    timer.Service
	parallel func(running int) int
	limit    int
	total    int

	mu       sync.Mutex
	random   *rand.Rand
	accounts map[document.Account]*account
	// virtual is the start tag of the request that got a place last.
	virtual float64
	running int
	waiting int
	// held is the mean time that a place is held, in nanoseconds.
	held  float64
	armed bool
}

// account is one client account's part of the queue.
type account struct {
	name     document.Account
	finish   float64
	running  int
	parallel int
	waiters  []*waiter
	tally    tally
}

type waiter struct {
	owner   *account
	request Request
	start   float64
	share   float64
	entered timer.Instant
	// ready is closed once the waiter has a place; granted is guarded by the queue's lock.
	ready   chan struct{}
	granted bool
}

// New returns an empty queue. Zero limits take their default.
func New(o Options) *Queue {
	q := &Queue{
		timer: o.Timer, random: o.Random, parallel: o.Capacity,
		limit: o.MaxQueuedPerAccount, total: o.MaxQueuedTotal, accounts: map[document.Account]*account{},
	}
	if q.parallel == nil {
		q.parallel = func(int) int { return DefaultCapacity }
	}
	if q.limit == 0 {
		q.limit = DefaultMaxQueuedPerAccount
	}
	if q.total == 0 {
		q.total = DefaultMaxQueuedTotal
	}
	return q
}

// Acquire waits for a place. It refuses at once if a limit is reached or the
// deadline cannot be met, and at the deadline otherwise.
func (q *Queue) Acquire(ctx context.Context, r Request) (t *Slot, err error) {
	w, err := q.add(r)
	if err != nil {
		return nil, err
	}
	expired := make(chan struct{})
	if r.Deadline != 0 {
		stop := q.timer.AfterFunc(r.Deadline.Sub(w.entered), func() { close(expired) })
		defer stop()
	}
	select {
	case <-w.ready:
		return q.ticket(w), nil
	case <-expired:
		err = errLate()
	case <-ctx.Done():
		if err = context.Cause(ctx); errors.Is(err, context.DeadlineExceeded) {
			err = errLate()
		}
	}
	if !q.remove(w, err) {
		// The place was granted at the same moment.
		if ctx.Err() == nil {
			return q.ticket(w), nil
		}
		q.ticket(w).Release(0)
	}
	return nil, err
}

func errLate() error {
	return &Rejection{Code: CodeDeadline, Reason: "the deadline passed while the request waited for a place"}
}

// add puts the request into its account's queue and starts what has a place.
func (q *Queue) add(r Request) (w *waiter, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.account(r.Account)
	if !r.AlreadyCounted {
		a.tally.requests++
	}
	a.parallel = int(r.Limit.MaxConcurrentRequests)
	w = &waiter{owner: a, request: r, entered: q.timer.Now(), ready: make(chan struct{})}
	w.start = max(q.virtual, a.finish)
	w.share = float64(max(r.EstimatedTokens, 1)) / float64(max(r.Weight, 1))
	if err = q.admit(w); err != nil {
		a.tally.refusals++
		return nil, err
	}
	a.finish = w.start + w.share
	a.waiters = append(a.waiters, w)
	q.waiting++
	q.grant()
	return w, nil
}

// admit checks the limits and whether the deadline can be met.
func (q *Queue) admit(w *waiter) error {
	a := w.owner
	ahead := q.ahead(w)
	wait := q.estimate(ahead)
	limit := q.limit
	if n := int(w.request.Limit.MaxQueuedRequests); n > 0 {
		limit = min(limit, n)
	}
	switch {
	case !q.room(a) && len(a.waiters) >= limit:
		return q.refusal(CodeAccountQueueFull, "the account's queue is full", wait)
	case !q.room(a) && q.waiting >= q.total:
		return q.refusal(CodeQueueFull, "the queue is full", wait)
	case w.request.Deadline != 0 && w.entered.Add(wait) >= w.request.Deadline:
		return q.refusal(CodeDeadline, "the request would wait beyond its deadline", wait)
	}
	return nil
}

// room tells whether a request of the account would start at once.
func (q *Queue) room(a *account) bool {
	return q.waiting == 0 && q.running < q.parallel(q.running) && (a.parallel == 0 || a.running < a.parallel)
}

// ahead counts the waiting requests that would get a place before w.
func (q *Queue) ahead(w *waiter) (n int) {
	for _, a := range q.accounts {
		i, _ := slices.BinarySearchFunc(a.waiters, w.start, func(o *waiter, start float64) int {
			if o.start <= start {
				return -1
			}
			return 1
		})
		n += i
	}
	return n
}

// estimate returns the expected wait behind that many requests.
func (q *Queue) estimate(ahead int) time.Duration {
	return time.Duration(q.held * float64(ahead) / float64(max(q.parallel(q.running), 1)))
}

// refusal spreads the retries of refused callers over half to one and a half
// times the expected wait, so that they do not come back together.
func (q *Queue) refusal(code, reason string, wait time.Duration) *Rejection {
	wait = max(wait, 2*leastRetry)
	wait = wait/2 + time.Duration(q.random.Float64()*float64(wait))
	return &Rejection{Code: code, Reason: reason, RetryAfter: min(wait, mostRetry)}
}

// grant gives free places to the waiters with the least start tags.
func (q *Queue) grant() {
	for q.waiting > 0 && q.running < q.parallel(q.running) {
		a := q.next()
		if a == nil {
			break
		}
		w := a.waiters[0]
		a.waiters[0] = nil
		a.waiters = a.waiters[1:]
		q.waiting--
		q.running++
		a.running++
		q.virtual = max(q.virtual, w.start)
		w.granted = true
		a.tally.wait(q.timer.Now().Sub(w.entered))
		close(w.ready)
	}
	if q.waiting > 0 && !q.armed {
		q.armed = true
		q.timer.AfterFunc(poll, q.wake)
	}
}

// wake looks again for places while requests wait.
func (q *Queue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.armed = false
	q.grant()
}

// next returns the account whose first waiter has the least start tag.
func (q *Queue) next() (best *account) {
	for _, a := range q.accounts {
		if len(a.waiters) == 0 || (a.parallel > 0 && a.running >= a.parallel) {
			continue
		}
		if best == nil || a.waiters[0].start < best.waiters[0].start ||
			(a.waiters[0].start == best.waiters[0].start && a.name < best.name) {
			best = a
		}
	}
	return best
}

// remove takes a waiter out; it returns false if the waiter has a place already.
func (q *Queue) remove(w *waiter, err error) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.granted {
		return false
	}
	a := w.owner
	if i := slices.Index(a.waiters, w); i >= 0 {
		a.waiters = slices.Delete(a.waiters, i, i+1)
		q.waiting--
	}
	if r, ok := err.(*Rejection); ok {
		*r = *q.refusal(r.Code, r.Reason, q.estimate(q.waiting))
		a.tally.refusals++
	}
	// Later requests of the account keep their tags; it only loses its own share.
	if len(a.waiters) == 0 {
		a.finish = max(q.virtual, a.finish-w.share)
	}
	return true
}

func (q *Queue) account(name document.Account) *account {
	a, ok := q.accounts[name]
	if !ok {
		a = &account{name: name}
		q.accounts[name] = a
	}
	return a
}

// Size returns how many requests hold a place and how many wait for one.
func (q *Queue) Size() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.waiting
}
