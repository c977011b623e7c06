package queue

import (
	"math/bits"
	"slices"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// holdTimeSmoothing is the weight of the newest sample in the moving average of
// the time that a slot is held.
const holdTimeSmoothing = 0.1

// Slot is the permission to run one request. It must be given back with Release.
type Slot struct {
	queue     *Queue
	waiter    *waiter
	grantedAt timer.Instant
	once      sync.Once
}

func (q *Queue) newSlot(w *waiter) *Slot {
	return &Slot{queue: q, waiter: w, grantedAt: q.timer.Now()}
}

// Release gives the slot back and corrects the account's tags by the actual number
// of tokens; zero means that nothing ran. Further calls do nothing.
func (s *Slot) Release(tokens uint64) { s.once.Do(func() { s.release(tokens) }) }

func (s *Slot) release(tokens uint64) {
	q, w := s.queue, s.waiter
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	w.owner.running--
	if tokens > 0 {
		sample := float64(q.timer.Now().Sub(s.grantedAt))
		if q.meanHoldNanos == 0 {
			q.meanHoldNanos = sample
		} else {
			q.meanHoldNanos += holdTimeSmoothing * (sample - q.meanHoldNanos)
		}
	}
	correction := float64(tokens)/float64(max(w.request.Weight, 1)) - w.weightedCost
	w.owner.finishTag += correction
	for _, o := range w.owner.waiters {
		o.startTag += correction
	}
	q.grantSlots()
}

// waitBuckets is the number of histogram buckets for waits; the last one counts all longer waits.
const waitBuckets = 20

// tally counts an account's requests, those that were rejected, and the waits of those
// that got a slot.
type tally struct {
	requests   uint64
	rejections uint64
	waits      [waitBuckets]uint64
}

// recordWait counts the wait in the lowest bucket i whose bound of 2^i milliseconds exceeds it.
func (t *tally) recordWait(d time.Duration) {
	t.waits[min(bits.Len64(uint64(max(d.Milliseconds(), 0))), waitBuckets-1)]++
}

// Tallies returns the counts of each account since the start, sorted by account name.
func (q *Queue) Tallies() []*wire.Tally {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := make([]*wire.Tally, 0, len(q.accounts))
	for _, a := range q.accounts {
		list = append(list, &wire.Tally{
			Account: string(a.name), Requests: a.tally.requests,
			Refusals: a.tally.rejections, Waits: slices.Clone(a.tally.waits[:]),
		})
	}
	slices.SortFunc(list, func(x, y *wire.Tally) int {
		if x.Account < y.Account {
			return -1
		}
		return 1
	})
	return list
}
