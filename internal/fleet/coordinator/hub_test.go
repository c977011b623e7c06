package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/fleet/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// fakeCore leads in a term that a test sets; its log is the state machine itself.
type fakeCore struct {
	term  uint64
	state *state.State
}

func (c *fakeCore) HoldsLease() (uint64, bool) { return c.term, c.term > 0 }

func (c *fakeCore) Propose(_ context.Context, command *wire.Command) (string, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return "", err
	}
	return string(c.state.Apply(1, data)), nil
}

type fixture struct {
	core   *fakeCore
	hub    *Coordinator
	clock  *timer.Manual
	random uint64
}

func newFixture() *fixture {
	f := &fixture{core: &fakeCore{term: 1, state: state.New()}, clock: timer.NewManual()}
	f.hub = New(Options{
		Replica: f.core, State: f.core.state, Exposure: 0.15, HeartbeatInterval: time.Second, Timer: f.clock, Log: zap.NewNop(),
		Random: func() uint64 { f.random++; return f.random },
	})
	f.core.state.OnChange = f.hub.StateChanged
	return f
}

// sync polls without waiting, as an instance that has seen nothing.
func (f *fixture) sync(is *is.I, name string) *wire.SyncReply {
	r, ok := f.hub.Sync(context.Background(), &wire.SyncRequest{Instance: &wire.Instance{Name: name, Ready: true}})
	is.True(ok)
	return r
}

func (f *fixture) propose(is *is.I, c *wire.Command) {
	conflict, err := f.core.Propose(context.Background(), c)
	is.NoErr(err)
	is.Equal(conflict, "")
}

func begin() *wire.Command {
	return &wire.Command{Body: &wire.Command_Begin{Begin: &wire.Rollout{Service: "pool", Target: "v2", Duration: 24_000}}}
}

// Guards against sessions that move to a version in the first half of its roll-out:
// the sessions which any instance names while the roll-out begins stay, at all instances.
func TestHeldSessions(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.propose(is, begin())
	f.hub.look()
	r := f.sync(is, "a")
	is.Equal(len(r.Rollouts), 1)
	is.Equal(r.Rollouts[0].Share, uint32(0)) // nothing moves before the sessions are known
	is.True(r.Rollouts[0].Bucket > 0)
	_, ok := f.hub.ApplyReport(context.Background(), &wire.TellRequest{
		Holdings: []*wire.Holding{{Service: "pool", Sessions: []uint64{7, 9}}},
	})
	is.True(ok)
	f.clock.Advance(2 * time.Second)
	f.hub.look()
	r = f.sync(is, "b")
	is.True(r.Rollouts[0].Share > 0)
	is.Equal(len(r.Rollouts[0].Held), 2)
}

// Guards against a draining upstream that a late heartbeat brings back, and against
// the record of a former incarnation that arrives after the one that holds its address.
func TestUpstreamOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	tell := func(u *wire.Upstream) {
		_, ok := f.hub.ApplyReport(context.Background(), &wire.TellRequest{Upstreams: []*wire.Upstream{u}})
		is.True(ok)
	}
	tell(&wire.Upstream{Id: "x", Born: 5, Sequence: 3, Address: "1", Stage: wire.Stage_STAGE_DRAINING})
	tell(&wire.Upstream{Id: "x", Born: 5, Sequence: 2, Address: "1"})
	is.Equal(f.sync(is, "a").Upstreams[0].Stage, wire.Stage_STAGE_DRAINING)
	tell(&wire.Upstream{Id: "y", Born: 9, Sequence: 1, Address: "1"})
	tell(&wire.Upstream{Id: "x", Born: 5, Sequence: 4, Address: "1"})
	tell(&wire.Upstream{Id: "z", Born: 7, Sequence: 4, Address: "1"})
	for _, u := range f.sync(is, "a").Upstreams {
		is.Equal(u.Stage == wire.Stage_STAGE_LEFT, u.Id != "y")
	}
}

// Guards against an upstream that is kept after its heartbeats ended, and one that
// does not come back with its next heartbeat.
func TestSilence(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	tell := func(q *wire.TellRequest) {
		_, ok := f.hub.ApplyReport(context.Background(), q)
		is.True(ok)
	}
	tell(&wire.TellRequest{Upstreams: []*wire.Upstream{{Id: "x", Born: 5, Sequence: 3, Address: "1"}}})
	f.clock.Advance(silentBeats*time.Second + time.Millisecond)
	f.hub.look()
	is.Equal(f.sync(is, "a").Upstreams[0].Stage, wire.Stage_STAGE_SILENT)
	tell(&wire.TellRequest{Beats: []*wire.Beat{{Id: "x", Born: 5, Sequence: 4}}})
	is.Equal(f.sync(is, "a").Upstreams[0].Stage, wire.Stage_STAGE_READY)
}

// Guards against an instance that stays on the list of entries after its end.
func TestInstanceGone(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.sync(is, "a")
	f.clock.Advance(goneAfter)
	f.hub.look()
	r := f.sync(is, "b")
	gone := map[string]bool{}
	for _, i := range r.Instances {
		gone[i.Name] = i.Gone
	}
	is.Equal(gone, map[string]bool{"a": true, "b": false})
}

// Guards against a request that goes on crashing upstreams, and against one that is
// blamed for a single upstream's crashes.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	crash := func(upstream string) {
		_, ok := f.hub.ApplyReport(context.Background(), &wire.TellRequest{
			Crashes: []*wire.Crash{{Fingerprint: 42, Upstream: upstream}},
		})
		is.True(ok)
	}
	for range 4 {
		crash("x")
	}
	is.Equal(len(f.core.state.Quarantined()), 0)
	crash("y")
	crash("z")
	is.Equal(f.core.state.Quarantined(), []uint64{42})
}

// Guards against news of one period of leadership that are taken for those of the next.
func TestNewPeriod(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	r := f.sync(is, "a")
	f.core.term = 2
	n, ok := f.hub.Sync(context.Background(), &wire.SyncRequest{
		Instance: &wire.Instance{Name: "a"}, Term: r.Term, Cursor: 1 << 40, Wait: 500,
	})
	is.True(ok) // answered at once
	is.True(n.Term != r.Term)
	f.core.term = 0
	_, ok = f.hub.Sync(context.Background(), &wire.SyncRequest{Instance: &wire.Instance{Name: "a"}})
	is.True(!ok)
}
