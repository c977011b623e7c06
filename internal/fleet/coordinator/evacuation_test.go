package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// follow polls as an instance in zone a that follows a revision of the evacuations.
func (f *fixture) follow(is *is.I, name string, revision uint64) *wire.SyncReply {
	r, ok := f.coordinator.Sync(context.Background(), &wire.SyncRequest{
		Instance: &wire.Instance{Name: name, Zone: "a"}, Term: f.lastPeriod, Evacuations: &wire.Evacuations{Revision: revision},
	})
	is.True(ok)
	return r
}

func (f *fixture) order(is *is.I, active bool) (revision uint64) {
	before := f.replica.state.EvacuationRevision()
	f.propose(is, &wire.Command{Body: &wire.Command_Evacuation{Evacuation: &wire.Evacuation{Zone: "a", Active: active, Revision: before}}})
	return f.replica.state.EvacuationRevision()
}

// Guards against an evacuation that is acknowledged while an instance may go on for too long without it: one
// that the leader has not told, whose reply was lost, or whose program does not support evacuations. Guards also against
// an acknowledgement that waits for a lost instance whose lease ends in time.
func TestEvacuationIsAcknowledgedInTime(t *testing.T) {
	const lag = 2 * time.Second // the lease is longer than an evacuation may take by this time
	old := func(is *is.I, f *fixture) { f.poll(is, "old", 0, 0) }
	for _, c := range []struct {
		name string
		lag  time.Duration
		play func(is *is.I, f *fixture)
		wait time.Duration
	}{
		{"no instance", lag, func(is *is.I, f *fixture) { f.order(is, true) }, 0},
		{"followed", lag, func(is *is.I, f *fixture) {
			f.follow(is, "x", 0)
			f.follow(is, "x", f.order(is, true))
		}, 0},
		{"repeated order is followed anew", 0, func(is *is.I, f *fixture) {
			f.follow(is, "x", f.order(is, true))
			f.order(is, true)
		}, followTimeout},
		{"polled last just before", lag, func(is *is.I, f *fixture) {
			f.follow(is, "x", 0)
			f.order(is, true)
		}, lag},
		{"polled last just before, short lease", 0, func(is *is.I, f *fixture) {
			f.follow(is, "x", 0)
			f.order(is, true)
		}, followTimeout},
		{"told, reply may be lost", lag, func(is *is.I, f *fixture) {
			f.follow(is, "x", 0)
			f.order(is, true)
			f.clock.Advance(500 * time.Millisecond)
			f.follow(is, "x", 0)
		}, lag - 500*time.Millisecond},
		{"follows what another leader said", 0, func(is *is.I, f *fixture) {
			revision := f.order(is, true)
			_, ok := f.coordinator.Sync(context.Background(), &wire.SyncRequest{
				Instance: &wire.Instance{Name: "x", Zone: "a"}, Term: 99, Evacuations: &wire.Evacuations{Revision: revision},
			})
			is.True(ok)
		}, followTimeout},
		{"restarted", 0, func(is *is.I, f *fixture) {
			revision := f.order(is, true)
			f.follow(is, "x", revision)
			_, ok := f.coordinator.Sync(context.Background(), &wire.SyncRequest{
				Instance: &wire.Instance{Name: "x", Zone: "a", Epoch: 2}, Evacuations: &wire.Evacuations{},
			})
			is.True(ok)
		}, followTimeout},
		{"out of contact", lag, func(is *is.I, f *fixture) {
			f.follow(is, "x", 0)
			f.clock.Advance(1700 * time.Millisecond)
			f.coordinator.check()
			f.order(is, true)
		}, lag - 1700*time.Millisecond},
		{"earlier program out of contact", lag, func(is *is.I, f *fixture) {
			f.order(is, true)
			old(is, f)
			f.clock.Advance(1700 * time.Millisecond)
			f.coordinator.check()
		}, lag - 1700*time.Millisecond},
		{"another leader has just begun", lag, func(is *is.I, f *fixture) {
			f.replica.term = 2
			f.coordinator.check()
			f.clock.Advance(500 * time.Millisecond)
			f.order(is, true)
		}, lag - 500*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.coordinator.options.EvacuationLag = c.lag
			f.coordinator.check() // begins the period
			f.clock.Advance(10 * time.Second)
			c.play(is, f)
			now := f.clock.Now()
			wait := f.coordinator.followedAt(f.replica.state.EvacuationRevision(), now).Sub(now)
			is.Equal(max(wait, 0), c.wait)
		})
	}
	t.Run("earlier program in contact", func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		old(is, f)
		is.Equal(f.coordinator.followedAt(f.order(is, true), f.clock.Now()), never)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		is.True(!f.coordinator.WaitEvacuationsFollowed(ctx))
	})
}

// Guards against an instance that was away and does not hear of an evacuation, one that hears the same
// with each reply, and one that takes an evacuation for more recent or older than it is.
func TestEvacuationsInReplies(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	begun := f.order(is, true)
	r := f.follow(is, "x", 0).GetEvacuations()
	is.Equal(r.GetRevision(), begun)
	is.True(r.GetZones()[0].GetActive())
	is.Equal(len(f.follow(is, "x", begun).GetEvacuations().GetZones()), 0)
	f.clock.Advance(time.Minute)
	ended := f.order(is, false)
	f.clock.Advance(3 * time.Second)
	r = f.follow(is, "x", begun).GetEvacuations()
	is.True(!r.GetZones()[0].GetActive())
	is.Equal(r.GetZones()[0].GetEnded(), uint64(3000))
	f.replica.term = 2 // the instance may follow what another log says
	f.coordinator.check()
	r = f.follow(is, "x", ended).GetEvacuations()
	is.Equal(r.GetRevision(), ended)
	reply, ok := f.coordinator.Sync(context.Background(), &wire.SyncRequest{
		Instance: &wire.Instance{Name: "x"}, Term: 1, Evacuations: &wire.Evacuations{Revision: ended},
	})
	is.True(ok)
	is.Equal(len(reply.GetEvacuations().GetZones()), 1)
}

// Guards against an order that is refused, since a new leader has not heard of the zone yet or nothing in it
// runs any more, and against one for a zone that does not exist.
func TestAwaitZone(t *testing.T) {
	for _, c := range []struct {
		name      string
		play      func(is *is.I, f *fixture)
		known, ok bool
	}{
		{"heard long ago", func(_ *is.I, f *fixture) { f.clock.Advance(time.Minute) }, false, true},
		{"new leader", func(*is.I, *fixture) {}, false, false},
		{"instance", func(is *is.I, f *fixture) { f.follow(is, "x", 0) }, true, true},
		{"instance out of contact", func(is *is.I, f *fixture) {
			f.follow(is, "x", 0)
			f.clock.Advance(time.Minute)
			f.coordinator.check()
		}, true, true},
		{"upstream", func(is *is.I, f *fixture) {
			_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{Upstreams: []*wire.Upstream{{Id: "u", Born: 1, Zone: "a"}}})
			is.True(ok)
		}, true, true},
		{"former order", func(is *is.I, f *fixture) { f.order(is, false) }, true, true},
		{"does not lead", func(_ *is.I, f *fixture) { f.replica.term = 0 }, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.coordinator.check()
			c.play(is, f)
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // does not wait
			known, ok := f.coordinator.AwaitZone(ctx, "a")
			is.Equal(known, c.known)
			is.Equal(ok, c.ok)
		})
	}
}
