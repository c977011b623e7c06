package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// testLag is how long after the last confirmation of an older layout a change may be
// acknowledged.
const testLag = 2 * time.Second

// poll polls as an instance that has applied a version of the layout and the replies before.
func (f *fixture) poll(is *is.I, name string, version uint64, cursor uint64) *wire.SyncReply {
	r, ok := f.coordinator.Sync(context.Background(), &wire.SyncRequest{
		Instance: &wire.Instance{Name: name, Ready: true}, Layout: version, Term: f.lastPeriod, Cursor: cursor,
	})
	is.True(ok)
	return r
}

func (f *fixture) proposeLayout(is *is.I, version uint64) {
	f.propose(is, &wire.Command{Body: &wire.Command_Layout{Layout: &wire.Layout{Version: version, Text: []byte("x")}}})
}

// acknowledgedAfter returns how long after now version 2 may be acknowledged if nothing happens.
func (f *fixture) acknowledgedAfter() time.Duration {
	c := f.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Timer.Now()
	return max(c.appliedAt(2, now).Sub(now), 0)
}

// Guards against a change that is acknowledged while an instance may go on with the layout before
// it: one that the leader has not told, whose reply was lost, that is out of contact, or that only
// a former leader knew.
func TestLayoutIsAcknowledgedInTime(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(is *is.I, f *fixture)
		wait time.Duration
	}{
		{"no instance", func(is *is.I, f *fixture) { f.proposeLayout(is, 2) }, 0},
		{"all have applied it", func(is *is.I, f *fixture) {
			f.poll(is, "a", 1, 0)
			f.proposeLayout(is, 2)
			f.poll(is, "a", 2, 0)
		}, 0},
		{"applied and reported", func(is *is.I, f *fixture) {
			f.poll(is, "a", 1, 0)
			f.proposeLayout(is, 2)
			_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{Instance: "a", Layout: 2})
			is.True(ok)
		}, 0},
		{"polled last just before", func(is *is.I, f *fixture) {
			f.poll(is, "a", 1, 0)
			f.proposeLayout(is, 2)
		}, testLag},
		{"out of contact", func(is *is.I, f *fixture) {
			f.poll(is, "a", 1, 0)
			f.clock.Advance(1700 * time.Millisecond)
			f.coordinator.check()
			f.proposeLayout(is, 2)
		}, testLag - 1700*time.Millisecond},
		{"reply may be lost", func(is *is.I, f *fixture) {
			f.poll(is, "a", 1, 0)
			f.clock.Advance(100 * time.Millisecond)
			f.proposeLayout(is, 2)
			f.poll(is, "a", 1, 0)
			f.clock.Advance(100 * time.Millisecond)
			f.poll(is, "a", 1, 0) // again from the former cursor
		}, testLag - 200*time.Millisecond},
		{"reply may be lost that was sent before the change counted", func(is *is.I, f *fixture) {
			r := f.poll(is, "a", 1, 0)
			f.clock.Advance(100 * time.Millisecond)
			f.replica.state.OnChange = nil
			f.proposeLayout(is, 2)
			f.poll(is, "a", 1, 0)
			f.coordinator.StateChanged()
			f.clock.Advance(100 * time.Millisecond)
			f.poll(is, "a", 1, r.GetCursor())
		}, testLag - 200*time.Millisecond},
		{"knows of it", func(is *is.I, f *fixture) {
			f.poll(is, "a", 1, 0)
			f.proposeLayout(is, 2)
			r := f.poll(is, "a", 1, 0)
			// The next poll, which waits at the leader, shows that the reply has arrived.
			f.coordinator.mu.Lock()
			defer f.coordinator.mu.Unlock()
			f.coordinator.recordPoll(&wire.SyncRequest{Instance: &wire.Instance{Name: "a", Ready: true}, Layout: 1, Term: f.lastPeriod, Cursor: r.GetCursor()})
		}, applyTimeout},
		{"restarted without a layout", func(is *is.I, f *fixture) {
			f.poll(is, "a", 1, 0)
			f.proposeLayout(is, 2)
			f.clock.Advance(time.Second)
			f.poll(is, "a", 0, 0)
		}, testLag - time.Second},
		{"another leader has just begun", func(is *is.I, f *fixture) {
			f.poll(is, "a", 1, 0)
			f.replica.term = 2
			f.poll(is, "b", 2, 0)
			f.clock.Advance(500 * time.Millisecond)
			f.proposeLayout(is, 2)
		}, testLag - 500*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.coordinator.options.ConfirmationLag = testLag
			f.poll(is, "x", 2, 0) // begins the period
			f.clock.Advance(10 * time.Second)
			f.proposeLayout(is, 1)
			c.play(is, f)
			is.Equal(f.acknowledgedAfter(), c.wait)
		})
	}
}

// Guards against an acknowledgement that does not come once the instance that kept it back has
// applied the layout or its time has passed, and against one after the caller has given up.
func TestWaitLayoutApplied(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.coordinator.options.ConfirmationLag = 100 * time.Millisecond
	f.coordinator.options.Timer = timer.NewSystem()
	f.poll(is, "a", 1, 0)
	f.proposeLayout(is, 2)
	is.True(f.coordinator.WaitLayoutApplied(context.Background(), 2)) // after the lag
	f.coordinator.options.ConfirmationLag = time.Hour
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(!f.coordinator.WaitLayoutApplied(ctx, 2))
	f.coordinator.options.ConfirmationLag = 0
	f.poll(is, "a", 2, 0)
	is.True(f.coordinator.WaitLayoutApplied(context.Background(), 2))
}

// Guards against an acknowledgement that rests on an earlier period: right after an election no poll or
// report has come yet, and other instances may have been told of the older layout meanwhile. An instance
// that does not lead knows nothing of them.
func TestWaitLayoutAppliedAfterElection(t *testing.T) {
	for _, c := range []struct {
		name string
		term uint64
		lag  time.Duration
		ok   bool
	}{
		{"same period", 1, testLag, true},
		{"elected again", 2, testLag, false},
		{"elected again, no lag", 2, 0, true},
		{"does not lead", 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.coordinator.options.ConfirmationLag = c.lag
			f.poll(is, "a", 2, 0)
			f.clock.Advance(10 * time.Second)
			f.replica.term = c.term
			f.proposeLayout(is, 2)
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // does not wait
			is.Equal(f.coordinator.WaitLayoutApplied(ctx, 2), c.ok)
		})
	}
}
