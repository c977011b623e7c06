package upstream

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// errEvicted means that the memory of a response was needed for others.
var errEvicted = errors.New("response holds more memory than others that need it")

// buffers accounts for the memory that responses hold, maxBufferedBytes at most. When it is short,
// the response that holds the most is aborted: upstreams that send bytes without end must not take
// the memory of the responses of others.
type buffers struct {
	mu      sync.Mutex
	total   int
	holders map[*Response]int // bytes held
	evicted map[*Response]bool
}

// reserve gives a response n more bytes, or fails if the response is the one to abort.
func (b *buffers) reserve(r *Response, n int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.evicted[r] {
		return errEvicted
	}
	for b.total+n > maxBufferedBytes {
		largest := r
		for o, held := range b.holders {
			if held > b.holders[largest] {
				largest = o
			}
		}
		if largest == r {
			return errors.Newf("responses hold more than %d bytes", maxBufferedBytes)
		}
		b.evict(largest)
	}
	if b.holders == nil {
		b.holders, b.evicted = map[*Response]int{}, map[*Response]bool{}
	}
	b.holders[r] += n
	b.total += n
	return nil
}

// evict aborts a response. What it holds is free as soon as its reader notices. b.mu must be held.
func (b *buffers) evict(r *Response) {
	b.total -= b.holders[r]
	delete(b.holders, r)
	b.evicted[r] = true
	r.abort()
}

// release takes back what a response holds.
func (b *buffers) release(r *Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total -= b.holders[r]
	delete(b.holders, r)
	delete(b.evicted, r)
}

// held returns the number of bytes that all responses hold.
func (b *buffers) held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}
