package journal

import (
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// boundedBytes bounds the lines that wait to be written.
	boundedBytes = 256 << 10
	// boundedPause collects lines into one write.
	boundedPause = 50 * time.Millisecond
)

// BoundedWriter writes lines in the background. It never blocks: lines that do not fit are
// counted, and their number is written once there is room again.
type BoundedWriter struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a writer and starts it; Close ends it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

// Write takes a line. It always reports success, since the log must stop nobody.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting)+len(line) > boundedBytes || b.closed {
		b.dropped++
		return len(line), nil
	}
	if b.dropped > 0 {
		b.waiting = append(b.waiting, `{"level":"warn","msg":"log lines dropped","count":`+strconv.Itoa(b.dropped)+"}\n"...)
		b.dropped = 0
	}
	b.waiting = append(b.waiting, line...)
	b.signal()
	return len(line), nil
}

func (b *BoundedWriter) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	for range b.wake {
		if !b.flush() {
			return
		}
		time.Sleep(boundedPause)
	}
}

// flush writes what waits; it returns false after the last write.
func (b *BoundedWriter) flush() bool {
	b.mu.Lock()
	lines, closed := b.waiting, b.closed
	b.waiting = b.spare[:0]
	b.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report that the log cannot be written.
		_, _ = b.out.Write(lines)
	}
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
	return !closed
}

// Close writes what waits and ends the writer.
func (b *BoundedWriter) Close() error {
	b.mu.Lock()
	b.closed = true
	b.signal()
	b.mu.Unlock()
	<-b.done
	return nil
}
