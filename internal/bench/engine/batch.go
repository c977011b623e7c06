package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/announce"
	"wisteriakeel.example/wisteriakeel/internal/kernel/fifo"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// sequence is a request that runs in the batch or waits in the queue.
type sequence struct {
	ctx          context.Context
	priority     int      // a higher one is served first
	arrival      uint64   // position in the order of arrival
	promptBlocks []uint64 // hashes of the full blocks of the prompt
	promptTokens int
	words        []string // to generate, one token each
	nextWord     int      // index of the next word to generate
	// cachedTokens is written by the batch loop before the first word is emitted.
	cachedTokens int
	// out holds the generated words; it has room for all of them, so the batch never waits.
	out *fifo.Queue[string]
}

// batch generates one token per step for every running sequence.
type batch struct {
	options Options
	wake    *fifo.Queue[struct{}]
	cache   *cache

	mu       sync.Mutex
	arrivals uint64
	waiting  []*sequence
	running  []*sequence
}

func newBatch(o Options) *batch {
	return &batch{options: o, wake: fifo.New[struct{}](1), cache: newCache(o.CacheBlocks)}
}

// submit queues a sequence. It returns false if the batch and the queue are full.
func (b *batch) submit(s *sequence) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.running)+len(b.waiting) >= b.options.Slots+b.options.QueueCapacity {
		return false
	}
	b.arrivals++
	s.arrival = b.arrivals
	s.out = fifo.New[string](len(s.words))
	b.waiting = append(b.waiting, s)
	// Higher priority first, then arrival order.
	slices.SortFunc(b.waiting, func(x, y *sequence) int {
		if x.priority != y.priority {
			return y.priority - x.priority
		}
		return int(x.arrival) - int(y.arrival)
	})
	b.wake.Offer(struct{}{})
	return true
}

// run executes generation steps until the context is done.
func (b *batch) run(ctx context.Context) error {
	for {
		stepTime, active := b.admit()
		if !active {
			if _, err := b.wake.Take(ctx); err != nil {
				return err
			}
			continue
		}
		if err := timer.Sleep(ctx, b.options.Timer, stepTime); err != nil {
			return err
		}
		b.emit()
	}
}

// admit removes cancelled sequences, moves waiting ones into free slots and
// returns the duration of the next step; active is false if no sequence runs.
func (b *batch) admit() (stepTime time.Duration, active bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cancelled := func(s *sequence) bool { return s.ctx.Err() != nil }
	b.running = slices.DeleteFunc(b.running, cancelled)
	b.waiting = slices.DeleteFunc(b.waiting, cancelled)
	for len(b.running) < b.options.Slots && len(b.waiting) > 0 {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		s.cachedTokens = min(b.cache.lookupAndStore(s.promptBlocks)*blockTokens, s.promptTokens)
		stepTime += time.Duration(s.promptTokens-s.cachedTokens) * b.options.PrefillTimePerToken
		b.running = append(b.running, s)
	}
	return stepTime + b.options.BaseStepTime + time.Duration(len(b.running))*b.options.StepTimePerSequence, len(b.running) > 0
}

// emit outputs the next word of each running sequence and removes completed sequences.
func (b *batch) emit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool {
		s.out.Offer(s.words[s.nextWord])
		s.nextWord++
		return s.nextWord == len(s.words)
	})
}

// load returns the current load.
func (b *batch) load() announce.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := announce.Load{Running: len(b.running), Waiting: len(b.waiting), Slots: b.options.Slots}
	for _, s := range b.running {
		l.Tokens += len(s.words) - s.nextWord
	}
	for _, s := range b.waiting {
		l.Tokens += s.promptTokens + len(s.words)
	}
	return l
}
