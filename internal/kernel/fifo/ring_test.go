package fifo

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against a ring that grows past its bound or loses the order.
func TestBound(t *testing.T) {
	is := is.New(t)
	r := New[int](2)
	is.True(r.Offer(1))
	is.True(r.Offer(2))
	is.True(!r.Offer(3))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(r.Put(ctx, 3), context.Canceled)
	is.Equal(r.TakeBatch(nil, 10), []int{1, 2})
	is.Equal(r.Len(), 0)
	_, err := r.Take(ctx)
	is.Equal(err, context.Canceled)
}
