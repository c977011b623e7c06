package caller

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/fleet/coordinator"
	"wisteriakeel.example/wisteriakeel/internal/fleet/peer"
	"wisteriakeel.example/wisteriakeel/internal/fleet/state"
	"wisteriakeel.example/wisteriakeel/internal/fleet/suspect"
	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// singleReplica is a control group of one that always leads.
type singleReplica struct{ state *state.State }

func (r *singleReplica) HoldsLease() (uint64, bool) { return 1, true }

func (r *singleReplica) Propose(_ context.Context, command *wire.Command) (string, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return "", err
	}
	return string(r.state.Apply(1, data)), nil
}

// leaderLink connects the view of a fixture to a leader in the same process.
type leaderLink struct {
	*fixture
	leader *coordinator.Coordinator
}

// linkLeader starts a leader, whose replies and reports the views of the fixtures exchange until
// the test ends.
func linkLeader(fixtures ...*fixture) {
	replica := &singleReplica{state: state.New()}
	leader := coordinator.New(coordinator.Options{
		Replica: replica, State: replica.state, HeartbeatInterval: time.Minute, ColdBudget: fixtures[0].view.ColdBudget, Timer: timer.NewSystem(), Log: zap.NewNop(), Random: rand.Uint64,
	})
	replica.state.OnChange = leader.StateChanged
	g := group.New(context.Background())
	g.Go("leader", leader.Run)
	for _, f := range fixtures {
		l := &leaderLink{fixture: f, leader: leader}
		g.Go("polls", l.pollLoop)
		g.Go("reports", l.reportLoop)
		g.Go("permits", l.permitLoop)
		g.Go("slots", l.slotLoop)
	}
	g.Go("clock", clocks(fixtures).loop)
	fixtures[0].Cleanup(func() { _ = g.Stop() })
}

func (l *leaderLink) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		term, cursor := l.view.SyncPosition()
		r, ok := l.leader.Sync(ctx, &wire.SyncRequest{Instance: &wire.Instance{Name: l.name, Ready: true, LeasesSlots: true}, Layout: 1, Term: term, Cursor: cursor, Wait: 500})
		if ok {
			l.view.ApplySync(r, l.clock.Now())
		}
	}
	return nil
}

func (l *leaderLink) reportLoop(ctx context.Context) error {
	ticks := timer.NewSystem().Subscribe(500 * time.Millisecond)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		case <-l.view.UrgentReport():
		}
		if r := l.view.TakeReport(); r != nil {
			l.leader.ApplyReport(ctx, r)
		}
	}
}

// clocks lets the clocks of the views run.
type clocks []*fixture

func (c clocks) loop(ctx context.Context) error {
	system := timer.NewSystem()
	ticks := system.Subscribe(5 * time.Millisecond)
	defer ticks.Stop()
	for last := system.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
		now := system.Now()
		for _, f := range c {
			f.clock.Advance(now.Sub(last))
		}
		last = now
	}
}

// slotLoop exchanges wants for leases of slots.
func (l *leaderLink) slotLoop(ctx context.Context) error {
	stock := l.view.Slots()
	first := stock.TakeMessage(true)
	first.Instance = l.name
	session, ok := l.leader.OpenSlots(first)
	l.True(ok)
	defer session.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-stock.Wanted():
		case <-session.Ready():
		}
		if m := stock.TakeMessage(false); m != nil {
			session.Apply(m)
		}
		if r, _ := session.TakeReply(); r != nil {
			stock.Apply(r)
		}
	}
}

func (l *leaderLink) permitLoop(ctx context.Context) error {
	stock := l.view.Permits()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-stock.Wanted():
		}
		sent := l.clock.Now()
		if r, ok := l.leader.Lend(peer.BorrowRequest(stock.TakeWants())); ok {
			stock.Apply(peer.Grants(r), sent)
		}
	}
}

// crashRecorder counts the crashes of upstreams and the requests with the crashing part that
// reach upstreams.
type crashRecorder struct {
	mu      sync.Mutex
	crashes []time.Time
	arrived []time.Time
	sound   []time.Time // first attempts of other requests
}

// crashingUpstream crashes while it responds to a request whose prompt has the part "bad", and
// restarts after some time.
type crashingUpstream struct {
	*crashRecorder
	server *upstreamtest.Server
}

func (u *crashingUpstream) handle(e *upstreamtest.Exchange) bool {
	bad := strings.Contains(e.Request.Header.Get("Prompt"), "bad:")
	u.mu.Lock()
	if bad {
		u.arrived = append(u.arrived, time.Now())
	} else {
		u.sound = append(u.sound, time.Now())
	}
	u.mu.Unlock()
	writeHeader := func(body string) {
		e.Write("HTTP/1.1 200 OK\r\nRequest-Id: " + e.Request.Header.Get("Request-Id") + "\r\nSignature: s\r\nConfidence: 99\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n")
	}
	writeHeader("id: 1\ndata: a\n\n")
	time.Sleep(30 * time.Millisecond)
	if !bad {
		e.Write(lastChunk)
		return true
	}
	if u.server.Crash() {
		u.mu.Lock()
		u.crashes = append(u.crashes, time.Now())
		u.mu.Unlock()
		time.AfterFunc(500*time.Millisecond, func() { _ = u.server.Restart() })
	}
	return false
}

// Guards against a part of prompts that crashes one upstream after the other, in requests of
// which no two are alike, and against refusing sound requests that share their account and other
// parts with them.
func TestPromptPartCrashesUpstreams(t *testing.T) {
	const (
		upstreams     = 10
		contactTime   = 3 * time.Second // until a decision is in force at all instances
		observation   = 1500 * time.Millisecond
		allowedCrash  = 5
		allowedLater  = 3
		soundInterval = 20 * time.Millisecond
	)
	rec := &crashRecorder{}
	var pool []*upstreamtest.Server
	for range upstreams {
		u := &crashingUpstream{crashRecorder: rec}
		u.server = startUpstream(t, u.handle)
		pool = append(pool, u.server)
	}
	f := newFixture(t, nil, pool)
	linkLeader(f)
	g := group.New(context.Background())
	g.Go("bad", prompts(f, 150*time.Millisecond, "system:100,template:50,bad:200").loop)
	g.Go("sound", prompts(f, soundInterval, "system:100,template:50,good:200").loop)
	var fifth time.Time
	for end := time.Now().Add(10 * time.Second); fifth.IsZero() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		rec.mu.Lock()
		if len(rec.crashes) >= allowedCrash {
			fifth = rec.crashes[allowedCrash-1]
		}
		rec.mu.Unlock()
	}
	time.Sleep(contactTime + observation)
	f.NoErr(g.Stop())
	rec.mu.Lock()
	defer rec.mu.Unlock()
	later, sound := 0, 0
	for _, at := range rec.arrived {
		if !fifth.IsZero() && at.Sub(fifth) > contactTime {
			later++
		}
	}
	for _, at := range rec.sound {
		if at.Sub(fifth) > contactTime {
			sound++
		}
	}
	t.Logf("%d crashes, %d requests with the part later, %d sound requests later", len(rec.crashes), later, sound)
	f.True(later <= allowedLater)
	f.True(sound >= int(observation/soundInterval)/2)
}

// Guards against a prompt part that keeps an instance from reporting anything to the leader, since its
// bytes are no text and the message with it can't be encoded.
func TestReportOfPartThatIsNoText(t *testing.T) {
	f := newFixture(t, nil, nil)
	for _, c := range []struct{ name, part, reported string }{
		{"text", "p1:100", "p1"},
		{"no text", "\xff\xfe:100", ""},
		{"long", strings.Repeat("p", 200) + ":100", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := &request{Handler: f.handler, sharedParts: []suspect.Part{promptPart(c.part)}}
			k := (&exchange{request: q, outcome: balancer.Interrupted}).crash()
			_, err := proto.Marshal(k)
			is.NoErr(err)
			is.True(len(k.GetParts()[0]) <= maxReportedBytes)
			is.True(c.reported == "" || k.GetParts()[0] == c.reported)
		})
	}
}
