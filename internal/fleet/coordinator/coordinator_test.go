package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/fleet/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// fakeReplica leads in the term that a test sets and applies commands without a log.
type fakeReplica struct {
	term     uint64
	state    *state.State
	commands int   // number of commands that were applied
	err      error // of all proposals, if set
}

func (r *fakeReplica) HoldsLease() (uint64, bool) { return r.term, r.term > 0 }

func (r *fakeReplica) Propose(_ context.Context, command *wire.Command) (string, error) {
	if r.err != nil {
		return "", r.err
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return "", err
	}
	r.commands++
	return string(r.state.Apply(replica.Index(r.commands), data)), nil
}

// fixture is a coordinator with a fake replica that leads in term 1 at first.
type fixture struct {
	replica     *fakeReplica
	coordinator *Coordinator
	clock       *timer.Manual
	lastPeriod  uint64 // identifier of the last period of leadership
}

func newFixture() *fixture {
	f := &fixture{replica: &fakeReplica{term: 1, state: state.New()}, clock: timer.NewManual()}
	f.coordinator = New(Options{
		Replica: f.replica, State: f.replica.state, Exposure: 0.15, HeartbeatInterval: time.Second, Timer: f.clock, Log: zap.NewNop(),
		Random: func() uint64 { f.lastPeriod++; return f.lastPeriod },
	})
	f.replica.state.OnChange = f.coordinator.StateChanged
	return f
}

// sync polls without waiting and gets all records.
func (f *fixture) sync(is *is.I, name string) *wire.SyncReply {
	r, ok := f.coordinator.Sync(context.Background(), &wire.SyncRequest{Instance: &wire.Instance{Name: name, Ready: true}})
	is.True(ok)
	return r
}

func (f *fixture) propose(is *is.I, c *wire.Command) {
	conflict, err := f.replica.Propose(context.Background(), c)
	is.NoErr(err)
	is.Equal(conflict, "")
}

func beginCommand() *wire.Command {
	return &wire.Command{Body: &wire.Command_Begin{Begin: &wire.Rollout{Service: "pool", Target: "v2", Duration: 24_000}}}
}

// Guards against running sessions that change their version early in a roll-out: sessions
// that one instance reports when the roll-out begins must be held on all instances.
func TestHeldSessions(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.propose(is, beginCommand())
	f.coordinator.check()
	r := f.sync(is, "a")
	is.Equal(len(r.Rollouts), 1)
	is.Equal(r.Rollouts[0].Share, uint32(0)) // no traffic moves until the sessions have been reported
	is.True(r.Rollouts[0].Bucket > 0)
	_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{
		Holdings: []*wire.Holding{{Service: "pool", Sessions: []uint64{7, 9}}},
	})
	is.True(ok)
	f.clock.Advance(2 * time.Second)
	f.coordinator.check()
	r = f.sync(is, "b")
	is.True(r.Rollouts[0].Share > 0)
	is.Equal(len(r.Rollouts[0].Held), 2)
}

// Guards against sessions that a second roll-out moves again: those whose version serves no more are
// passed on at once, until they count as ended.
func TestDisplacedSessions(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.propose(is, beginCommand())
	f.coordinator.check()
	cursor := f.sync(is, "b").GetCursor()
	report := func(session uint64, remaining uint32) {
		_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{
			Holdings: []*wire.Holding{{Service: "pool", Displaced: []*wire.DisplacedSession{{Session: session, Remaining: remaining}}}},
		})
		is.True(ok)
	}
	next := func() map[uint64]uint32 {
		r, ok := f.coordinator.Sync(context.Background(), &wire.SyncRequest{Instance: &wire.Instance{Name: "b", Ready: true}, Term: 1, Cursor: cursor})
		is.True(ok)
		cursor = r.GetCursor()
		out := map[uint64]uint32{}
		for _, o := range r.GetRollouts() {
			for _, d := range o.GetDisplaced() {
				out[d.GetSession()] = d.GetRemaining()
			}
		}
		return out
	}
	report(7, 4000)
	is.Equal(next(), map[uint64]uint32{7: 4000})
	f.clock.Advance(time.Second)
	report(7, 3500) // a later request of the session
	report(9, 1000)
	is.Equal(next(), map[uint64]uint32{7: 3500, 9: 1000})
	f.clock.Advance(2 * time.Second)
	report(8, 100)
	is.Equal(next(), map[uint64]uint32{7: 1500, 8: 100}) // session 9 has ended
}

// Guards against a draining upstream that a late record makes ready again, and against an
// upstream that a late record puts back into use although a later one has its address.
func TestUpstreamOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	report := func(u *wire.Upstream) {
		_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{Upstreams: []*wire.Upstream{u}})
		is.True(ok)
	}
	report(&wire.Upstream{Id: "x", Born: 5, Sequence: 3, Address: "1", Stage: wire.Stage_STAGE_DRAINING})
	report(&wire.Upstream{Id: "x", Born: 5, Sequence: 2, Address: "1"})
	is.Equal(f.sync(is, "a").Upstreams[0].Stage, wire.Stage_STAGE_DRAINING)
	report(&wire.Upstream{Id: "y", Born: 9, Sequence: 1, Address: "1"})
	report(&wire.Upstream{Id: "x", Born: 5, Sequence: 4, Address: "1"})
	report(&wire.Upstream{Id: "z", Born: 7, Sequence: 4, Address: "1"})
	for _, u := range f.sync(is, "a").Upstreams {
		is.Equal(u.Stage == wire.Stage_STAGE_LEFT, u.Id != "y")
	}
}

// Guards against an upstream that stays ready after its heartbeats stopped, and one that
// stays silent after its next heartbeat.
func TestSilence(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	report := func(q *wire.TellRequest) {
		_, ok := f.coordinator.ApplyReport(context.Background(), q)
		is.True(ok)
	}
	report(&wire.TellRequest{Upstreams: []*wire.Upstream{{Id: "x", Born: 5, Sequence: 3, Address: "1"}}})
	f.clock.Advance(maxMissedHeartbeats*time.Second + time.Millisecond)
	f.coordinator.check()
	is.Equal(f.sync(is, "a").Upstreams[0].Stage, wire.Stage_STAGE_SILENT)
	report(&wire.TellRequest{Beats: []*wire.Beat{{Id: "x", Born: 5, Sequence: 4}}})
	is.Equal(f.sync(is, "a").Upstreams[0].Stage, wire.Stage_STAGE_READY)
}

// Guards against an instance that stays listed after it stopped polling.
func TestInstanceGone(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.sync(is, "a")
	f.clock.Advance(instanceTimeout)
	f.coordinator.check()
	r := f.sync(is, "b")
	gone := map[string]bool{}
	for _, i := range r.Instances {
		gone[i.Name] = i.Gone
	}
	is.Equal(gone, map[string]bool{"a": true, "b": false})
}

// Guards against a request that keeps crashing upstreams, and against one that is
// quarantined although all its crashes happened on one upstream.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	crash := func(upstream string) {
		_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{
			Crashes: []*wire.Crash{{Fingerprint: 42, Upstream: upstream}},
		})
		is.True(ok)
	}
	for range 4 {
		crash("x")
	}
	is.Equal(len(f.replica.state.Quarantined()), 0)
	crash("y")
	crash("z")
	is.Equal(f.replica.state.Quarantined(), []uint64{42})
}

// Guards against a request that is never quarantined because the proposal failed when its last
// crash was reported.
func TestQuarantineIsProposedAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.replica.err = errors.New("no majority")
	for _, upstream := range []string{"x", "y", "z"} {
		_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{
			Crashes: []*wire.Crash{{Fingerprint: 42, Upstream: upstream}},
		})
		is.True(ok)
	}
	f.coordinator.quarantineRequests(context.Background())
	is.Equal(len(f.replica.state.Quarantined()), 0)
	f.replica.err = nil
	f.coordinator.quarantineRequests(context.Background())
	is.Equal(f.replica.state.Quarantined(), []uint64{42})
	before := f.replica.commands
	f.coordinator.quarantineRequests(context.Background())
	is.Equal(f.replica.commands, before)
}

// Guards against a poll position of one period of leadership that is used in the next, so
// that the poll waits for changes that it has already missed.
func TestNewPeriod(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	r := f.sync(is, "a")
	f.replica.term = 2
	n, ok := f.coordinator.Sync(context.Background(), &wire.SyncRequest{
		Instance: &wire.Instance{Name: "a"}, Term: r.Term, Cursor: 1 << 40, Wait: 500,
	})
	is.True(ok) // answered at once
	is.True(n.Term != r.Term)
	f.replica.term = 0
	_, ok = f.coordinator.Sync(context.Background(), &wire.SyncRequest{Instance: &wire.Instance{Name: "a"}})
	is.True(!ok)
}

// Guards against a reply to every waiting poll for each single change: the replies that a new
// leader sends would grow with the square of the instances that look for it.
func TestChangesAreCollected(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	first := f.sync(is, "a")
	f.clock.Advance(wakeDelay)
	p := &waitingPoll{fixture: f, request: &wire.SyncRequest{
		Instance: &wire.Instance{Name: "a", Ready: true}, Term: first.GetTerm(), Cursor: first.GetCursor(), Wait: 60_000,
	}, reply: make(chan *wire.SyncReply, 1)}
	go p.run()
	const instances = 100
	for n := range instances {
		f.sync(is, fmt.Sprint("b", n))
		select {
		case <-p.reply:
			t.Fatal("the poll returned before all changes were made")
		default:
		}
	}
	// The poll may not have begun to wait yet; it then returns at once after the delay.
	f.clock.Advance(wakeDelay)
	is.Equal(len((<-p.reply).GetInstances()), instances)
}

// waitingPoll is a poll that waits for a change.
type waitingPoll struct {
	*fixture
	request *wire.SyncRequest
	reply   chan *wire.SyncReply
}

func (p *waitingPoll) run() {
	r, _ := p.coordinator.Sync(context.Background(), p.request)
	p.reply <- r
}

// Guards against a part of prompts that crashes upstreams and is not quarantined, or no longer after
// a restart from a snapshot, and against instances that are not asked for responses before.
func TestPromptPartQuarantine(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.clock.Advance(time.Hour)
	for n := range 4 {
		_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{Crashes: []*wire.Crash{
			{Fingerprint: uint64(n), Upstream: fmt.Sprint("u", n), Service: "pool", Parts: []string{"root", "bad"}},
		}})
		is.True(ok)
		f.clock.Advance(200 * time.Millisecond)
		f.coordinator.check()
	}
	is.Equal(f.sync(is, "a").Watched, []string{"bad", "root"})
	_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{
		Outcomes: []*wire.Outcome{{Service: "pool", Version: "v1", Route: "r", Good: 50}}, Survived: []string{"root"},
	})
	is.True(ok)
	f.coordinator.quarantinePart(context.Background())
	is.Equal(f.replica.state.QuarantinedParts(), nil) // the instances may not have reported yet
	f.clock.Advance(time.Second)
	f.coordinator.quarantinePart(context.Background())
	is.Equal(f.sync(is, "a").QuarantinedParts, []string{"bad"})
	snapshot, err := f.replica.state.Snapshot()
	is.NoErr(err)
	restored := state.New()
	is.NoErr(restored.Restore(snapshot))
	is.True(restored.PartQuarantined("bad"))
}
