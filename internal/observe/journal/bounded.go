package journal

import (
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxBufferedBytes limits the lines that are buffered in memory.
	maxBufferedBytes = 256 << 10
	// flushInterval is the pause between two writes, so that one write covers many lines.
	flushInterval = 50 * time.Millisecond
	// closeTimeout limits the wait of Close for the output. A process ends within a grace period, also if
	// nobody reads its log.
	closeTimeout = 200 * time.Millisecond
)

// ErrOutputBlocked is returned by Close if the output did not take the buffered lines in time.
var ErrOutputBlocked = errors.New("output of the log is blocked")

// BoundedWriter buffers log lines and writes them in the background. Its Write never
// blocks: lines that do not fit into the buffer are dropped and counted, and a line with
// their number is logged once there is space again.
type BoundedWriter struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte // lines to be written
	reuse   []byte // the buffer of the last write, whose memory is used again
	dropped int    // lines dropped since the last line that was buffered
	closed  bool
	wake    chan struct{} // signals run that there is something to do
	done    chan struct{} // closed when run has returned
}

// NewBoundedWriter returns a writer and starts its goroutine, which Close ends.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

// Write buffers a line. It always reports success, since a log that cannot be written
// must not fail or delay the caller.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffer)+len(line) > maxBufferedBytes || b.closed {
		b.dropped++
		return len(line), nil
	}
	if b.dropped > 0 {
		b.buffer = append(b.buffer, `{"level":"warn","msg":"log lines dropped","count":`+strconv.Itoa(b.dropped)+"}\n"...)
		b.dropped = 0
	}
	b.buffer = append(b.buffer, line...)
	b.signal()
	return len(line), nil
}

// signal wakes run. It does nothing if a signal is already pending.
func (b *BoundedWriter) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run writes the buffered lines until the writer is closed.
func (b *BoundedWriter) run() {
	defer close(b.done)
	for range b.wake {
		if !b.flush() {
			return
		}
		time.Sleep(flushInterval)
	}
}

// flush writes the buffered lines; it returns false once the writer is closed and
// nothing is left to write.
func (b *BoundedWriter) flush() bool {
	b.mu.Lock()
	lines, closed := b.buffer, b.closed
	b.buffer = b.reuse[:0]
	b.mu.Unlock()
	if len(lines) > 0 {
		// The error is ignored: there is no other place to report it.
		_, _ = b.out.Write(lines)
	}
	b.mu.Lock()
	b.reuse = lines
	b.mu.Unlock()
	return !closed
}

// Close writes the buffered lines and stops the writer. It does not close out. If the output is
// blocked, Close returns without the lines that are left.
func (b *BoundedWriter) Close() error {
	b.mu.Lock()
	b.closed = true
	b.signal()
	b.mu.Unlock()
	select {
	case <-b.done:
		return nil
	case <-time.After(closeTimeout):
		return ErrOutputBlocked
	}
}
