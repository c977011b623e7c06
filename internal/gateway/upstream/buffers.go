package upstream

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// errEvicted means that the memory of a response was needed for others.
var errEvicted = errors.New("response holds more memory than others that need it")

// buffers accounts for the memory that responses hold, maxBufferedBytes at most. When it is short,
// the holder of the most is evicted: upstreams that send bytes without end must not take the memory
// of the responses of others.
type buffers struct {
	mu sync.Mutex
	// released is signalled when memory was given back or a holder was evicted.
	released *sync.Cond
	total    int
	// returning is the part of total that evicted holders still use.
	returning int
	holders   map[*holder]bool
}

// holder is a response or a body that holds memory. The buffers' mutex guards it.
type holder struct {
	bytes   int
	evicted bool
	// reading is true while a body is read into memory. If the holder is evicted, the memory is in
	// use until the reader notices, which takes as long as a read from a closed connection.
	reading bool
	// evict aborts the response or drops the body. It must not block, and does nothing for a body that
	// is being written, whose memory then no longer counts.
	evict func()
}

func newBuffers() *buffers {
	b := &buffers{holders: map[*holder]bool{}}
	b.released = sync.NewCond(&b.mu)
	return b
}

// reserve gives a holder n more bytes, or fails if the holder is the one to evict. It waits until
// evicted readers have given back their memory, which they do as soon as their reads fail.
func (b *buffers) reserve(h *holder, n int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !h.evicted && b.total+n > maxBufferedBytes {
		if b.total-b.returning+n <= maxBufferedBytes {
			b.released.Wait()
			continue
		}
		largest := h
		for o := range b.holders {
			if o.bytes > largest.bytes {
				largest = o
			}
		}
		if largest == h {
			return errors.Newf("responses hold more than %d bytes", maxBufferedBytes)
		}
		b.evict(largest)
	}
	if h.evicted {
		return errEvicted
	}
	b.holders[h] = true
	h.bytes += n
	b.total += n
	return nil
}

// evict makes a holder give back its memory. b.mu must be held.
func (b *buffers) evict(h *holder) {
	h.evicted = true
	delete(b.holders, h)
	if h.reading {
		b.returning += h.bytes
	} else {
		b.total -= h.bytes
		h.bytes = 0
	}
	h.evict()
	// The holder itself may wait for memory.
	b.released.Broadcast()
}

// release takes back what a holder holds.
func (b *buffers) release(h *holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.holders, h)
	b.discount(h)
}

// discount no longer counts the memory of a holder. b.mu must be held.
func (b *buffers) discount(h *holder) {
	if h.evicted {
		b.returning -= h.bytes
	}
	b.total -= h.bytes
	h.bytes = 0
	b.released.Broadcast()
}

// startReading tells that the holder is a body that is read into memory.
func (b *buffers) startReading(h *holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.reading = true
}

// endReading tells that a body is complete. If it was evicted, its memory no longer counts, so that
// those that need some don't wait until the body is written.
func (b *buffers) endReading(h *holder) (evicted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.reading, h.evict = false, func() {}
	if h.evicted {
		b.discount(h)
	}
	return h.evicted
}

// setEvict sets what evicts a holder. It returns false if the holder was evicted before.
func (b *buffers) setEvict(h *holder, evict func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.evict = evict
	return !h.evicted
}

// held returns the number of bytes that all responses hold.
func (b *buffers) held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}
