package peer

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// target returns the address that a search asks next while no poll is in progress.
func (f *finder) target() Address {
	a, _ := f.next(func(Address) bool { return false })
	return a
}

// Guards against instances that keep returning to a frozen leader because others still
// redirect to it, in a deployment where most instances have no disk. The members of the
// control group must be tried first.
func TestFrozenLeader(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	clock.Advance(time.Hour)
	f := newFinder("me", []Address{"a", "b"}, clock)
	f.addInstances([]*wire.Instance{{Peer: "x"}, {Peer: "y"}, {Peer: "z"}})
	f.setMembers([]string{"a", "b", "c"})
	f.markLeader("a")
	is.Equal(f.target(), Address("a"))
	is.Equal(f.leaderInfo().Leader, "a")
	clock.Advance(redirectLifetime)
	is.Equal(f.leaderInfo().Leader, "") // it has not answered recently
	f.markFailed("a")
	asked := map[Address]bool{}
	for range 3 {
		asked[f.target()] = true
	}
	is.Equal(asked, map[Address]bool{"a": true, "b": true, "c": true})
	is.True(!f.redirect("x", &wire.Guide{Leader: "a"})) // an outdated redirect
	is.True(f.redirect("b", &wire.Guide{Leader: "c"}))
	is.Equal(f.target(), Address("c"))
	// The former leader may lead again later.
	f.markFailed("c")
	clock.Advance(redirectLifetime)
	is.True(f.redirect("b", &wire.Guide{Leader: "a"}))
}

// Guards against an instance without seeds that never tries an address.
func TestNoSeeds(t *testing.T) {
	is := is.New(t)
	f := newFinder("me", nil, timer.NewManual())
	is.Equal(f.target(), Address("me"))
	f.addCaller(&wire.Instance{Peer: "x", Identity: "disk"})
	is.Equal(f.target(), Address("x"))
}

// Guards against a control group that is never bootstrapped when all instances start at
// once: the seed must not take a call from an instance with a disk, or its address named by
// another instance, as a sign that the group exists.
func TestBootstrapAfterCalls(t *testing.T) {
	for _, c := range []struct {
		name    string
		before  func(c *Client)
		granted bool
	}{
		{"no calls", func(*Client) {}, true},
		{"called by an instance with a disk", func(c *Client) { c.finder.addCaller(&wire.Instance{Peer: "x", Identity: "disk"}) }, true},
		{"redirected by an instance that was called", func(c *Client) {
			o := newFinder("o", nil, c.options.Timer)
			o.addCaller(&wire.Instance{Peer: "x", Identity: "disk"})
			c.finder.redirect("o", o.leaderInfo())
		}, true},
		{"members named by another instance", func(c *Client) { c.finder.redirect("o", &wire.Guide{Voters: []string{"x"}}) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.NewManual()
			s := &Server{AllowBootstrap: true, PeerToken: "t", Log: zap.NewNop(), Client: NewClient(Options{Self: "me", Timer: clock, Log: zap.NewNop()})}
			c.before(s.Client)
			r, err := s.Found(replica.WithPeerToken(context.Background(), "t"), &wire.FoundRequest{Identity: "first"})
			is.NoErr(err)
			is.Equal(r.Granted, c.granted)
		})
	}
}

// Guards against a search for the leader that asks mostly instances without a disk: with 64
// known ones, 200 instances took 3 s to find a leader that had been elected. The replica that
// does not answer must not be asked before the others.
func TestReplicasAreAskedFirst(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	clock.Advance(time.Hour)
	f := newFinder("me", []Address{"x0", "x1", "c"}, clock)
	var others []*wire.Instance
	for n := range maxAddresses {
		others = append(others, &wire.Instance{Peer: fmt.Sprint("x", n)})
	}
	f.addInstances(others)
	members := []string{"a", "b", "c", "d", "e"}
	f.setMembers(members)
	f.markLeader("a")
	f.markFailed("a")
	var asked []Address
	for range 12 {
		asked = append(asked, f.target())
	}
	is.Equal(asked[:5], []Address{"b", "c", "d", "e", "a"})
	is.Equal(asked[6:11], []Address{"b", "c", "d", "e", "a"})
	is.True(asked[5] != asked[11]) // the others are asked in turn
	is.True(!slices.Contains(members, string(asked[5])) && !slices.Contains(members, string(asked[11])))
}

// Guards against a call to a former leader that lasts its whole timeout, because another one has
// answered between the choice of the address and the call.
func TestCallOfFormerLeader(t *testing.T) {
	is := is.New(t)
	f := newFinder("me", nil, timer.NewSystem())
	f.markLeader("a")
	f.markLeader("b")
	ctx, release := f.whileLeader(context.Background(), "a")
	defer release()
	is.True(ctx.Err() != nil)
	ctx, release = f.whileLeader(context.Background(), "b")
	defer release()
	is.NoErr(ctx.Err())
	f.markLeader("c")
	is.True(ctx.Err() != nil)
}
