package peer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Replays the loss of a leader that does not answer any more, in a deployment where
// most instances have no disk: the hints of those that have not noticed yet must not
// lead back to it, and the replicas must be asked first.
func TestFrozenLeader(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	clock.Advance(time.Hour)
	f := newFinder("me", []Address{"a", "b"}, clock)
	f.addInstances([]*wire.Instance{{Peer: "x"}, {Peer: "y"}, {Peer: "z"}})
	f.setVoters([]string{"a", "b", "c"})
	f.markLeader("a")
	is.Equal(f.target(), Address("a"))
	is.Equal(f.leaderInfo().Leader, "a")
	clock.Advance(hintLifetime)
	is.Equal(f.leaderInfo().Leader, "") // it has not answered for a while
	f.markFailed("a")
	asked := map[Address]bool{}
	for range 3 {
		asked[f.target()] = true
	}
	is.Equal(asked, map[Address]bool{"a": true, "b": true, "c": true})
	is.True(!f.redirect("x", &wire.Guide{Leader: "a"})) // a stale hint
	is.True(f.redirect("b", &wire.Guide{Leader: "c"}))
	is.Equal(f.target(), Address("c"))
	// After a while the former leader may lead again.
	f.markFailed("c")
	clock.Advance(hintLifetime)
	is.True(f.redirect("b", &wire.Guide{Leader: "a"}))
}

// Guards against an instance that knows nobody and asks nobody.
func TestNobodyKnown(t *testing.T) {
	is := is.New(t)
	f := newFinder("me", nil, timer.NewManual())
	is.Equal(f.target(), Address("me"))
	f.addCaller(&wire.Instance{Peer: "x", Identity: "disk"})
	is.Equal(f.target(), Address("x"))
}

// Guards against a deployment that starts at once and is never founded: an instance
// with a disk that asks the seed for the leader is no sign that there is a group, nor
// is one that was named by another instance.
func TestFoundingAfterCalls(t *testing.T) {
	for _, c := range []struct {
		name    string
		before  func(c *Client)
		granted bool
	}{
		{"nobody called", func(*Client) {}, true},
		{"called by an instance with a disk", func(c *Client) { c.finder.addCaller(&wire.Instance{Peer: "x", Identity: "disk"}) }, true},
		{"guided by an instance that was called", func(c *Client) {
			o := newFinder("o", nil, c.options.Timer)
			o.addCaller(&wire.Instance{Peer: "x", Identity: "disk"})
			c.finder.redirect("o", o.leaderInfo())
		}, true},
		{"voters named by another instance", func(c *Client) { c.finder.redirect("o", &wire.Guide{Voters: []string{"x"}}) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.NewManual()
			s := &Server{AllowBootstrap: true, Token: "t", Log: zap.NewNop(), Client: NewClient(Options{Self: "me", Timer: clock, Log: zap.NewNop()})}
			c.before(s.Client)
			r, err := s.Found(replica.WithToken(context.Background(), "t"), &wire.FoundRequest{Identity: "first"})
			is.NoErr(err)
			is.Equal(r.Granted, c.granted)
		})
	}
}
