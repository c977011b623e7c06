// Package fifo provides bounded queues that pass values between goroutines.
package fifo

import "context"

// Queue is a bounded first-in first-out queue. It is safe for any number of concurrent
// writers and readers.
type Queue[T any] struct {
	values chan T
}

// New returns a queue that holds at most capacity values.
func New[T any](capacity int) *Queue[T] { return &Queue[T]{values: make(chan T, capacity)} }

// Put adds a value. While the queue is full, it waits, at most until the context is done.
func (q *Queue[T]) Put(ctx context.Context, v T) error {
	select {
	case q.values <- v:
		return nil
	default:
	}
	select {
	case q.values <- v:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Offer adds a value without waiting; it returns false if the queue is full.
func (q *Queue[T]) Offer(v T) bool {
	select {
	case q.values <- v:
		return true
	default:
		return false
	}
}

// Take removes and returns the oldest value. While the queue is empty, it waits, at most
// until the context is done.
func (q *Queue[T]) Take(ctx context.Context) (v T, err error) {
	select {
	case v = <-q.values:
		return v, nil
	case <-ctx.Done():
		return v, context.Cause(ctx)
	}
}

// TakeBatch moves up to limit values from the queue to buffer without waiting and
// returns the extended buffer.
func (q *Queue[T]) TakeBatch(buffer []T, limit int) []T {
	for range limit {
		select {
		case v := <-q.values:
			buffer = append(buffer, v)
		default:
			return buffer
		}
	}
	return buffer
}

// C returns the channel of the queued values, for use in a select statement.
func (q *Queue[T]) C() <-chan T { return q.values }

// Len returns the number of queued values.
func (q *Queue[T]) Len() int { return len(q.values) }
