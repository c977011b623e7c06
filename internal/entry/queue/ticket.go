package queue

import (
	"math/bits"
	"slices"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// smoothing is the weight of the newest sample in the mean time that a place is held.
const smoothing = 0.1

// Slot is a place that must be given back with Done.
type Slot struct {
	queue  *Queue
	waiter *waiter
	since  timer.Instant
	once   sync.Once
}

func (q *Queue) ticket(w *waiter) *Slot {
	return &Slot{queue: q, waiter: w, since: q.timer.Now()}
}

// Release gives the place back and corrects the account's tag by the true number
// of tokens; zero means that nothing ran. Further calls do nothing.
func (t *Slot) Release(tokens uint64) { t.once.Do(func() { t.done(tokens) }) }

func (t *Slot) done(tokens uint64) {
	q, w := t.queue, t.waiter
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	w.owner.running--
	if tokens > 0 {
		sample := float64(q.timer.Now().Sub(t.since))
		if q.held == 0 {
			q.held = sample
		} else {
			q.held += smoothing * (sample - q.held)
		}
	}
	change := float64(tokens)/float64(max(w.request.Weight, 1)) - w.share
	w.owner.finish += change
	for _, o := range w.owner.waiters {
		o.start += change
	}
	q.grant()
}

// buckets is the number of wait buckets; the last one counts all longer waits.
const buckets = 20

type tally struct {
	requests uint64
	refusals uint64
	waits    [buckets]uint64
}

// wait counts a wait in the lowest bucket i with a wait below 2^i milliseconds.
func (t *tally) wait(d time.Duration) {
	t.waits[min(bits.Len64(uint64(max(d.Milliseconds(), 0))), buckets-1)]++
}

// Tallies returns the counts per account since the start, in order of the names.
func (q *Queue) Tallies() []*wire.Tally {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := make([]*wire.Tally, 0, len(q.accounts))
	for _, a := range q.accounts {
		list = append(list, &wire.Tally{
			Account: string(a.name), Requests: a.tally.requests,
			Refusals: a.tally.refusals, Waits: slices.Clone(a.tally.waits[:]),
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
