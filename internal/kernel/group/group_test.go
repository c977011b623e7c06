package group

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against members that keep running after the first error, and against stopping
// in the order of the start, which would stop members that later ones depend on.
func TestFirstErrorStopsMembersInReverseOrder(t *testing.T) {
	is := is.New(t)
	g := New(context.Background())
	order := make(chan string, 2)
	wait := func(name string) func(ctx context.Context) error {
		return func(ctx context.Context) error {
			<-ctx.Done()
			order <- name
			return ctx.Err()
		}
	}
	g.Go("first", wait("first"))
	g.Go("second", wait("second"))
	g.Go("broken", func(context.Context) error { return errors.New("boom") })
	err := g.Wait()
	is.True(err != nil)
	is.Equal(err.Error(), "broken: boom")
	is.Equal(<-order, "second")
	is.Equal(<-order, "first")
}

// Guards against reporting the cancellation of the parent context as a failure.
func TestParentCancellationIsNoError(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	g := New(ctx)
	g.Go("member", func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	cancel()
	is.NoErr(g.Wait())
}

// Guards against losing an error that a member returns while the group stops.
func TestErrorWhileStopping(t *testing.T) {
	for range 200 {
		g := New(context.Background())
		g.Go("member", func(ctx context.Context) error {
			<-ctx.Done()
			return errors.New("interrupted")
		})
		if err := g.Stop(); err == nil {
			t.Fatal("the member's error was lost")
		}
	}
}
