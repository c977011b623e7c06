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

// sequence is one request in the batch or waiting for it.
type sequence struct {
	ctx      context.Context
	priority int
	order    uint64
	blocks   []uint64
	prompt   int
	words    []string
	next     int
	// cached is written by the batch loop before the first word is put out.
	cached int
	out    *fifo.Queue[string]
}

// batch generates one token per step for all running sequences.
type batch struct {
	options Options
	wake    *fifo.Queue[struct{}]
	cache   *cache

	mu      sync.Mutex
	order   uint64
	waiting []*sequence
	running []*sequence
}

func newBatch(o Options) *batch {
	return &batch{options: o, wake: fifo.New[struct{}](1), cache: newCache(o.CacheBlocks)}
}

// submit adds a sequence; it returns false if the engine is full.
func (b *batch) submit(s *sequence) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.running)+len(b.waiting) >= b.options.Slots+b.options.QueueCapacity {
		return false
	}
	b.order++
	s.order = b.order
	s.out = fifo.New[string](len(s.words))
	b.waiting = append(b.waiting, s)
	// The higher priority goes first, then the earlier arrival.
	slices.SortFunc(b.waiting, func(x, y *sequence) int {
		if x.priority != y.priority {
			return y.priority - x.priority
		}
		return int(x.order) - int(y.order)
	})
	b.wake.Offer(struct{}{})
	return true
}

// loop runs the steps of the batch.
func (b *batch) loop(ctx context.Context) error {
	for {
		pause, active := b.admit()
		if !active {
			if _, err := b.wake.Take(ctx); err != nil {
				return err
			}
			continue
		}
		if err := timer.Sleep(ctx, b.options.Timer, pause); err != nil {
			return err
		}
		b.emit()
	}
}

// admit drops cancelled sequences, fills the batch and returns how long the
// next step takes.
func (b *batch) admit() (pause time.Duration, active bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cancelled := func(s *sequence) bool { return s.ctx.Err() != nil }
	b.running = slices.DeleteFunc(b.running, cancelled)
	b.waiting = slices.DeleteFunc(b.waiting, cancelled)
	for len(b.running) < b.options.Slots && len(b.waiting) > 0 {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		s.cached = min(b.cache.use(s.blocks)*blockSize, s.prompt)
		pause += time.Duration(s.prompt-s.cached) * b.options.PrefillTimePerToken
		b.running = append(b.running, s)
	}
	return pause + b.options.BaseStepTime + time.Duration(len(b.running))*b.options.StepTimePerSequence, len(b.running) > 0
}

// emit puts out one word of each running sequence and removes those that end.
func (b *batch) emit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool {
		s.out.Offer(s.words[s.next])
		s.next++
		return s.next == len(s.words)
	})
}

// load returns the load of the moment.
func (b *batch) load() announce.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := announce.Load{Running: len(b.running), Waiting: len(b.waiting), Slots: b.options.Slots}
	for _, s := range b.running {
		l.Tokens += len(s.words) - s.next
	}
	for _, s := range b.waiting {
		l.Tokens += s.prompt + len(s.words)
	}
	return l
}
