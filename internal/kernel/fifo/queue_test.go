package fifo

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against a queue that exceeds its capacity or does not keep the order.
func TestCapacityAndOrder(t *testing.T) {
	is := is.New(t)
	q := New[int](2)
	is.True(q.Offer(1))
	is.True(q.Offer(2))
	is.True(!q.Offer(3))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(q.Put(ctx, 3), context.Canceled)
	is.Equal(q.TakeBatch(nil, 10), []int{1, 2})
	is.Equal(q.Len(), 0)
	_, err := q.Take(ctx)
	is.Equal(err, context.Canceled)
}
