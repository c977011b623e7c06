// Package fifo provides the bounded queues that join the goroutines of a process.
package fifo

import "context"

// Queue is a bounded first-in first-out queue for any number of writers and readers.
type Queue[T any] struct {
	slots chan T
}

// New returns a ring that holds at most size values.
func New[T any](size int) *Queue[T] { return &Queue[T]{slots: make(chan T, size)} }

// Put adds a value and waits for room until the context is done.
func (r *Queue[T]) Put(ctx context.Context, v T) error {
	select {
	case r.slots <- v:
		return nil
	default:
	}
	select {
	case r.slots <- v:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Offer adds a value if there is room now.
func (r *Queue[T]) Offer(v T) bool {
	select {
	case r.slots <- v:
		return true
	default:
		return false
	}
}

// Take removes the oldest value and waits for one until the context is done.
func (r *Queue[T]) Take(ctx context.Context) (v T, err error) {
	select {
	case v = <-r.slots:
		return v, nil
	case <-ctx.Done():
		return v, context.Cause(ctx)
	}
}

// TakeBatch appends up to limit values to buffer without waiting.
func (r *Queue[T]) TakeBatch(buffer []T, limit int) []T {
	for range limit {
		select {
		case v := <-r.slots:
			buffer = append(buffer, v)
		default:
			return buffer
		}
	}
	return buffer
}

// C returns the channel to receive from in a select.
func (r *Queue[T]) C() <-chan T { return r.slots }

// Len returns how many values the ring holds.
func (r *Queue[T]) Len() int { return len(r.slots) }
