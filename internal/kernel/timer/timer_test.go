package timer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callbacks that run out of order, too early, or after they were stopped.
func TestManualRunsCallbacksInOrder(t *testing.T) {
	is := is.New(t)
	m := NewManual()
	var got []int
	m.AfterFunc(3*time.Second, func() { got = append(got, 3) })
	m.AfterFunc(time.Second, func() { got = append(got, 1) })
	stop := m.AfterFunc(2*time.Second, func() { got = append(got, 2) })
	stop()
	m.Advance(2 * time.Second)
	is.Equal(got, []int{1})
	m.Advance(2 * time.Second)
	is.Equal(got, []int{1, 3})
	is.Equal(m.Now(), Instant(4*time.Second))
}

// Guards against a slow reader that blocks the timer service or receives an outdated tick.
func TestSubscribeKeepsLatestTick(t *testing.T) {
	is := is.New(t)
	m := NewManual()
	sub := m.Subscribe(time.Second)
	m.Advance(5 * time.Second)
	is.Equal(<-sub.C, Instant(5*time.Second))
	sub.Stop()
	m.Advance(5 * time.Second)
	select {
	case <-sub.C:
		t.Fatal("tick after stop")
	default:
	}
}

// Guards against a context that ends before or after its timeout on the service's clock.
func TestWithTimeout(t *testing.T) {
	is := is.New(t)
	m := NewManual()
	ctx, cancel := WithTimeout(context.Background(), m, time.Second)
	defer cancel()
	m.Advance(999 * time.Millisecond)
	is.NoErr(ctx.Err())
	m.Advance(time.Millisecond)
	<-ctx.Done()
	is.Equal(context.Cause(ctx), context.DeadlineExceeded)
}

// Guards against a system ticker that never fires.
func TestSystemSubscribe(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	sub := s.Subscribe(time.Millisecond)
	defer sub.Stop()
	first := <-sub.C
	is.True(first.Before(<-sub.C))
}
