// Package queue limits the requests in progress at an entry and divides the
// slots among client accounts by weighted start-time fair queueing. The cost of
// a request is its number of tokens.
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

// Default limits, in requests.
const (
	DefaultCapacity            = 256
	DefaultMaxQueuedPerAccount = 1024
	DefaultMaxQueuedTotal      = 8192
)

// Bounds of Rejection.RetryAfter.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// capacityPollInterval is how often a queue with waiting requests checks for
// capacity that became free outside of this entry.
const capacityPollInterval = 20 * time.Millisecond

// Options configure a Queue.
type Options struct {
	Timer  timer.Service
	Random *rand.Rand
	// Capacity returns the number of requests that may run at this time, given
	// the number that are running; nil means DefaultCapacity. It is called with
	// the queue's lock held and must not call the queue.
	Capacity func(running int) int
	// MaxQueuedPerAccount and MaxQueuedTotal limit the waiting requests; zero means the default.
	MaxQueuedPerAccount int
	MaxQueuedTotal      int
}

// Request describes a request that needs a slot.
type Request struct {
	Account document.Account
	Weight  uint32
	// EstimatedTokens is the expected cost; Slot.Release corrects it.
	EstimatedTokens uint64
	// Limit is the account's own limit. A zero MaxConcurrentRequests means no limit, a zero
	// MaxQueuedRequests means that only Options.MaxQueuedPerAccount holds.
	Limit document.LimitSpec
	// Deadline is when the caller stops waiting for the response; zero means never.
	Deadline timer.Instant
	// AlreadyCounted is true if the caller's request was queued before, for example
	// for an earlier step of its cascade; the account's tally counts it once.
	AlreadyCounted bool
}

// Rejection is the error for a request that was rejected before it ran.
type Rejection struct {
	// Code and Reason are sent to the caller.
	Code   string
	Reason string
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Rejection) Error() string { return r.Reason }

// Codes of rejections.
const (
	CodeAccountQueueFull = "account_queue_full"
	CodeQueueFull        = "queue_full"
	CodeDeadline         = "deadline"
)

// Queue grants slots to requests. The zero value is not usable; see New.
type Queue struct {
	timer         timer.Service
	capacity      func(running int) int
	maxPerAccount int
	maxTotal      int

	mu       sync.Mutex
	random   *rand.Rand
	accounts map[document.Account]*account
	// virtualTime is the highest start tag of a request that was granted a slot.
	virtualTime float64
	running     int
	waiting     int
	// meanHoldNanos is the moving average of the time that a slot is held, in nanoseconds.
	meanHoldNanos float64
	pollScheduled bool
}

// account is the state of one client account. Its waiters are in order of start tags.
type account struct {
	name document.Account
	// finishTag is the virtual time up to which the account's requests so far use its
	// share; its next request starts no earlier.
	finishTag float64
	running   int
	// maxRunning limits running; zero means no limit.
	maxRunning int
	waiters    []*waiter
	tally      tally
}

// waiter is a request in the queue. Its weighted cost is its tokens divided by the
// account's weight; its start tag is the virtual time at which it may start.
type waiter struct {
	owner        *account
	request      Request
	startTag     float64
	weightedCost float64
	enqueuedAt   timer.Instant
	// ready is closed once the waiter has a slot; granted is guarded by the queue's lock.
	ready   chan struct{}
	granted bool
}

// New returns an empty queue. Limits that are zero get their default.
func New(o Options) *Queue {
	q := &Queue{
		timer: o.Timer, random: o.Random, capacity: o.Capacity,
		maxPerAccount: o.MaxQueuedPerAccount, maxTotal: o.MaxQueuedTotal, accounts: map[document.Account]*account{},
	}
	if q.capacity == nil {
		q.capacity = func(int) int { return DefaultCapacity }
	}
	if q.maxPerAccount == 0 {
		q.maxPerAccount = DefaultMaxQueuedPerAccount
	}
	if q.maxTotal == 0 {
		q.maxTotal = DefaultMaxQueuedTotal
	}
	return q
}

// Acquire waits for a slot. It returns a *Rejection immediately if a limit is
// reached or the expected wait exceeds the deadline, and otherwise at the deadline.
func (q *Queue) Acquire(ctx context.Context, r Request) (s *Slot, err error) {
	w, err := q.enqueue(r)
	if err != nil {
		return nil, err
	}
	expired := make(chan struct{})
	if r.Deadline != 0 {
		stop := q.timer.AfterFunc(r.Deadline.Sub(w.enqueuedAt), func() { close(expired) })
		defer stop()
	}
	select {
	case <-w.ready:
		return q.newSlot(w), nil
	case <-expired:
		err = newDeadlineRejection()
	case <-ctx.Done():
		if err = context.Cause(ctx); errors.Is(err, context.DeadlineExceeded) {
			err = newDeadlineRejection()
		}
	}
	if !q.remove(w, err) {
		// The slot was granted before the waiter could be removed.
		if ctx.Err() == nil {
			return q.newSlot(w), nil
		}
		q.newSlot(w).Release(0)
	}
	return nil, err
}

// newDeadlineRejection returns the rejection of a request whose deadline passed while it
// waited. Its RetryAfter is set when the waiter is removed.
func newDeadlineRejection() error {
	return &Rejection{Code: CodeDeadline, Reason: "the deadline passed while the request waited for a place"}
}

// enqueue appends the request to its account's queue and grants the free slots.
func (q *Queue) enqueue(r Request) (w *waiter, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.account(r.Account)
	if !r.AlreadyCounted {
		a.tally.requests++
	}
	a.maxRunning = int(r.Limit.MaxConcurrentRequests)
	w = &waiter{owner: a, request: r, enqueuedAt: q.timer.Now(), ready: make(chan struct{})}
	w.startTag = max(q.virtualTime, a.finishTag)
	w.weightedCost = float64(max(r.EstimatedTokens, 1)) / float64(max(r.Weight, 1))
	if err = q.admit(w); err != nil {
		a.tally.rejections++
		return nil, err
	}
	a.finishTag = w.startTag + w.weightedCost
	a.waiters = append(a.waiters, w)
	q.waiting++
	q.grantSlots()
	return w, nil
}

// admit checks the queue limits and whether the expected wait ends before the deadline.
func (q *Queue) admit(w *waiter) error {
	a := w.owner
	ahead := q.countAhead(w)
	wait := q.estimateWait(ahead)
	limit := q.maxPerAccount
	if n := int(w.request.Limit.MaxQueuedRequests); n > 0 {
		limit = min(limit, n)
	}
	switch {
	case !q.startsAtOnce(a) && len(a.waiters) >= limit:
		return q.newRejection(CodeAccountQueueFull, "the account's queue is full", wait)
	case !q.startsAtOnce(a) && q.waiting >= q.maxTotal:
		return q.newRejection(CodeQueueFull, "the queue is full", wait)
	case w.request.Deadline != 0 && w.enqueuedAt.Add(wait) >= w.request.Deadline:
		return q.newRejection(CodeDeadline, "the request would wait beyond its deadline", wait)
	}
	return nil
}

// startsAtOnce reports whether a request of the account would get a slot without waiting.
func (q *Queue) startsAtOnce(a *account) bool {
	return q.waiting == 0 && q.running < q.capacity(q.running) && (a.maxRunning == 0 || a.running < a.maxRunning)
}

// countAhead returns the number of waiting requests that get a slot before w.
func (q *Queue) countAhead(w *waiter) (n int) {
	for _, a := range q.accounts {
		i, _ := slices.BinarySearchFunc(a.waiters, w.startTag, func(o *waiter, start float64) int {
			if o.startTag <= start {
				return -1
			}
			return 1
		})
		n += i
	}
	return n
}

// estimateWait returns the expected wait behind the given number of requests.
func (q *Queue) estimateWait(ahead int) time.Duration {
	return time.Duration(q.meanHoldNanos * float64(ahead) / float64(max(q.capacity(q.running), 1)))
}

// newRejection draws RetryAfter at random from 0.5 to 1.5 times the expected
// wait, so that rejected callers don't all retry at the same time.
func (q *Queue) newRejection(code, reason string, wait time.Duration) *Rejection {
	wait = max(wait, 2*minRetryAfter)
	wait = wait/2 + time.Duration(q.random.Float64()*float64(wait))
	return &Rejection{Code: code, Reason: reason, RetryAfter: min(wait, maxRetryAfter)}
}

// grantSlots grants the free slots to the waiters with the lowest start tags.
func (q *Queue) grantSlots() {
	for q.waiting > 0 && q.running < q.capacity(q.running) {
		a := q.nextAccount()
		if a == nil {
			break
		}
		w := a.waiters[0]
		a.waiters[0] = nil
		a.waiters = a.waiters[1:]
		q.waiting--
		q.running++
		a.running++
		q.virtualTime = max(q.virtualTime, w.startTag)
		w.granted = true
		a.tally.recordWait(q.timer.Now().Sub(w.enqueuedAt))
		close(w.ready)
	}
	if q.waiting > 0 && !q.pollScheduled {
		q.pollScheduled = true
		q.timer.AfterFunc(capacityPollInterval, q.pollCapacity)
	}
}

// pollCapacity grants slots that became free outside of this entry.
func (q *Queue) pollCapacity() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pollScheduled = false
	q.grantSlots()
}

// nextAccount returns the account below its own limit whose first waiter has the
// lowest start tag, or nil.
func (q *Queue) nextAccount() (best *account) {
	for _, a := range q.accounts {
		if len(a.waiters) == 0 || (a.maxRunning > 0 && a.running >= a.maxRunning) {
			continue
		}
		if best == nil || a.waiters[0].startTag < best.waiters[0].startTag ||
			(a.waiters[0].startTag == best.waiters[0].startTag && a.name < best.name) {
			best = a
		}
	}
	return best
}

// remove removes a waiter after err; it returns false if the waiter already has a slot.
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
		*r = *q.newRejection(r.Code, r.Reason, q.estimateWait(q.waiting))
		a.tally.rejections++
	}
	// Other waiters of the account keep their tags. The cost is taken back only if none is left.
	if len(a.waiters) == 0 {
		a.finishTag = max(q.virtualTime, a.finishTag-w.weightedCost)
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

// Size returns the numbers of requests that hold a slot and that wait for one.
func (q *Queue) Size() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.waiting
}
