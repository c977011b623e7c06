package instance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/coordinator"
	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/peer"
	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/fleet/state"
	"wisteriakeel.example/wisteriakeel/internal/fleet/view"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// coldReplay is a deployment without a network whose zone "b" goes down under load and comes back cold.
type coldReplay struct {
	instances, upstreams int // upstreams for each of the zones "a" and "b"
	rate                 float64
	load                 float64 // requests a second for each upstream
	bounds               permit.ColdBounds
	// leaderLost is when the leader is lost, 0 if it is not. A second later another instance leads.
	leaderLost time.Duration
	// again makes upstreams cold without a restart, with their connections whole.
	again bool
	// delays makes one request in ten stand still for up to 2 s after its permit was taken.
	delays bool
	// cutOff instances do not reach the leader from the outage on.
	cutOff int

	random *rand.Rand
	clock  *timer.Manual
	leader *coordinator.Coordinator // nil without one
	nodes  []*coldNode
	pool   map[string]*coldUpstream
	ids    []string
}

// coldNode is an instance of a replay.
type coldNode struct {
	*coldReplay
	name             string
	view             *view.View
	cutOff           bool
	polling, calling bool
	reportedAt       timer.Instant
}

// coldUpstream is an upstream of a replay.
type coldUpstream struct {
	record    *wire.Upstream
	down      bool
	coldUntil timer.Instant
	arrived   []timer.Instant // while it was cold
}

// Times of a replay.
const (
	replayStep = 5 * time.Millisecond
	zoneDown   = 1500 * time.Millisecond
	zoneBack   = 3 * time.Second
	replayEnd  = 6500 * time.Millisecond
	coldStart  = 3 * time.Second
)

// soleLeader is a replica that leads all the time.
type soleLeader struct{ term uint64 }

func (l *soleLeader) HoldsLease() (uint64, bool) { return l.term, true }

func (l *soleLeader) Propose(context.Context, *wire.Command) (string, error) { return "", nil }

// later runs f after the time that a message takes.
func (r *coldReplay) later(f func()) {
	r.clock.AfterFunc(time.Millisecond+time.Duration(r.random.Int64N(int64(2*time.Millisecond))), f)
}

// elect makes another instance lead.
func (r *coldReplay) elect() {
	r.leader = coordinator.New(coordinator.Options{
		Replica: &soleLeader{r.random.Uint64() | 1}, State: state.New(), HeartbeatInterval: 1200 * time.Millisecond, ColdBudget: r.nodes[0].view.ColdBudget,
		Timer: r.clock, Log: zap.NewNop(), Random: r.random.Uint64,
	})
}

// start creates the instances and the upstreams, which are warm.
func (r *coldReplay) start(is *is.I) {
	r.clock, r.pool = timer.NewManual(), map[string]*coldUpstream{}
	r.clock.Advance(time.Hour)
	for i := range r.instances {
		n := &coldNode{coldReplay: r, name: fmt.Sprint("i", i), cutOff: i > 0 && i <= r.cutOff}
		n.view = view.New(view.Options{
			Name: n.name, LeaseDuration: time.Hour, MaxLayoutLag: time.Hour, ColdBounds: r.bounds, Timer: r.clock, Log: zap.NewNop(),
			Decode: func(layout.Version, []byte) (*layout.Layout, error) {
				l := &layout.Layout{Version: 1, Pools: []*layout.Pool{{Name: "s", ColdStart: coldStart, WarmupRate: r.rate}}}
				l.PrepareCommitted()
				return l, nil
			},
		})
		is.NoErr(n.view.ApplyLayout(1, nil))
		r.nodes = append(r.nodes, n)
	}
	r.elect()
	for i := range 2 * r.upstreams {
		id := fmt.Sprint("u", i)
		r.pool[id] = &coldUpstream{record: &wire.Upstream{Id: id, Born: 1, Address: fmt.Sprint("address", i), Service: "s", Version: "v", Slots: 16, Zone: "ab"[i%2 : i%2+1]}}
		r.ids = append(r.ids, id)
		r.announce(id)
	}
}

// announce sends an announcement of an upstream to one instance.
func (r *coldReplay) announce(id string) {
	u := r.pool[id]
	if u.down {
		return
	}
	u.record.Sequence++
	record := &wire.Upstream{
		Id: id, Born: u.record.Born, Sequence: u.record.Sequence, Address: u.record.Address, Service: "s", Version: "v", Slots: 16, Zone: u.record.Zone,
		Cold: uint32(max(u.coldUntil.Sub(r.clock.Now()).Milliseconds(), 0)),
	}
	n := r.nodes[r.random.IntN(len(r.nodes))]
	r.later(func() { n.view.ApplyAnnouncement(record) })
}

// run plays the deployment and returns the largest number of requests that arrived at a cold upstream within a
// second, and how many arrived at cold upstreams in all.
func (r *coldReplay) run(is *is.I) (most, total int) {
	r.start(is)
	ended := timer.Instant(0)
	for start := r.clock.Now(); r.clock.Now().Sub(start) < replayEnd; r.clock.Advance(replayStep) {
		now := r.clock.Now()
		at := now.Sub(start)
		for i, id := range r.ids {
			if u := r.pool[id]; u.record.Zone == "b" && (at == zoneDown || at == zoneBack) {
				r.change(u, at == zoneBack)
			}
			if at/replayStep%240 == time.Duration(i)*7%240 { // each 1.2 s
				r.announce(id)
			}
		}
		if r.leaderLost > 0 && at == r.leaderLost {
			r.leader, ended = nil, now
		}
		if r.leader == nil && now.Sub(ended) >= time.Second {
			r.elect()
		}
		for _, n := range r.nodes {
			if r.leader != nil && !(n.cutOff && at >= zoneDown) {
				n.exchange()
			}
			if r.random.Float64() < r.load*float64(2*r.upstreams)/float64(r.instances)*replayStep.Seconds() {
				n.serve()
			}
		}
	}
	for _, u := range r.pool {
		first := 0
		for i, at := range u.arrived {
			for at.Sub(u.arrived[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		total += len(u.arrived)
	}
	return most, total
}

// change takes an upstream down, or brings it back cold.
func (r *coldReplay) change(u *coldUpstream, back bool) {
	u.down = !back && !r.again
	if !back {
		return
	}
	u.coldUntil = r.clock.Now().Add(coldStart)
	if !r.again {
		u.record.Born, u.record.Sequence = u.record.Born+1, 0
	}
	r.announce(u.record.Id)
}

// exchange polls, reports and asks for permits.
func (n *coldNode) exchange() {
	l, now := n.leader, n.clock.Now()
	if !n.polling {
		// A poll that finds no change ends at once.
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		term, cursor := n.view.SyncPosition()
		q := &wire.SyncRequest{Instance: &wire.Instance{Name: n.name}, Layout: 1, Term: term, Cursor: cursor, Wait: 500}
		if s, ok := l.Sync(ctx, q); ok {
			n.polling = true
			n.later(func() { n.view.ApplySync(s, now); n.polling = false })
		}
	}
	urgent := now.Sub(n.reportedAt) >= 500*time.Millisecond
	select {
	case <-n.view.UrgentReport():
		urgent = true
	default:
	}
	if urgent {
		n.reportedAt = now
		if t := n.view.TakeReport(); t != nil {
			n.later(func() { l.ApplyReport(context.Background(), t) })
		}
	}
	if n.calling {
		return
	}
	select {
	case <-n.view.Permits().Wanted():
		wants := n.view.Permits().TakeWants()
		n.calling = true
		n.later(func() {
			g, _ := l.Lend(peer.BorrowRequest(wants))
			n.later(func() { n.view.Permits().Apply(peer.Grants(g), now); n.calling = false })
		})
	default:
	}
}

// serve sends a request. Upstreams of the zone are preferred once they are cold: they report no load.
func (n *coldNode) serve() {
	isCold, table := n.view.ColdUpstreams("s"), n.view.Table().Services["s"]
	var permitted, idle []*wire.Upstream
	for _, u := range table {
		if isCold[u.GetId()] && n.view.HasPermit(u.GetId(), u.GetBorn()) {
			permitted = append(permitted, u)
		}
		if u.GetZone() == "b" {
			idle = append(idle, u)
		}
	}
	if len(permitted) == 0 {
		permitted = idle
	}
	if len(permitted) == 0 {
		return
	}
	u := permitted[n.random.IntN(len(permitted))]
	p, ok := n.view.TakePermit(u.GetId(), u.GetBorn())
	if !ok {
		n.view.RequestPermit(u.GetId(), u.GetBorn())
		return // the request goes to a warm upstream
	}
	delay := time.Duration(0)
	if n.delays && n.random.IntN(10) == 0 {
		delay = time.Duration(n.random.Int64N(int64(2 * time.Second)))
	}
	n.clock.AfterFunc(delay, func() {
		if !p.Valid(n.clock.Now()) || n.view.Cold(u.GetId(), u.GetBorn()) && !p.Cold() {
			return
		}
		to := n.pool[u.GetId()]
		n.later(func() {
			switch now := n.clock.Now(); {
			case to.down:
				n.later(func() { n.view.SuspectRestart(u.GetId(), u.GetBorn()) })
			case now.Before(to.coldUntil):
				to.arrived = append(to.arrived, now)
			}
		})
	})
}

// Guards against a zone that comes back cold and gets more requests than its upstreams bear: all instances prefer
// upstreams that report no load. Without the limit the same load exceeds it.
func TestReplayOfColdZone(t *testing.T) {
	page := permit.ColdBounds{Enabled: true, Overrun: 1.5, Slack: 5}
	zone := coldReplay{instances: 40, upstreams: 6, rate: 11, load: 20, bounds: page}
	with := func(change func(r *coldReplay)) coldReplay {
		r := zone
		change(&r)
		return r
	}
	for _, c := range []struct {
		name     string
		r        coldReplay
		exceeded bool
		least    float64 // part of the rate that is used
	}{
		{"no limit", with(func(r *coldReplay) { r.bounds = permit.ColdBounds{} }), true, 0},
		{"zone returns", zone, false, 0.6},
		{"leader changes", with(func(r *coldReplay) { r.leaderLost = zoneBack + 400*time.Millisecond }), false, 0.2},
		{"leader lost before the return", with(func(r *coldReplay) { r.leaderLost = zoneBack - 500*time.Millisecond }), false, 0.2},
		{"cold again", with(func(r *coldReplay) { r.again = true }), false, 0.6},
		{"requests stand still", with(func(r *coldReplay) { r.delays, r.leaderLost = true, zoneBack+400*time.Millisecond }), false, 0.2},
		{"instances cut off", with(func(r *coldReplay) { r.cutOff, r.leaderLost = 12, zoneBack+400*time.Millisecond }), false, 0.2},
		{"no slack", with(func(r *coldReplay) { r.bounds = permit.ColdBounds{Enabled: true, Overrun: 1} }), false, 0.3},
		{"low rate", with(func(r *coldReplay) { r.rate = 0.7; r.bounds.Slack = 1 }), false, 0.2},
		{"high rate", with(func(r *coldReplay) { r.rate = 60; r.load = 100 }), false, 0.4},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for seed := range uint64(2) {
				r := c.r
				r.random = rand.New(rand.NewPCG(seed, 7))
				most, total := r.run(is)
				used := float64(total) / (r.rate * coldStart.Seconds() * float64(r.upstreams))
				t.Logf("seed %d: at most %d requests in a second, %.2f of the rate used", seed, most, used)
				if c.exceeded {
					is.True(float64(most) > page.Allowed(permit.Rate(r.rate)))
					continue
				}
				is.True(float64(most) <= r.bounds.Allowed(permit.Rate(r.rate)))
				is.True(used >= c.least)
			}
		})
	}
}
