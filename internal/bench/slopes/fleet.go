package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/announce"
	"wisteriakeel.example/wisteriakeel/internal/bench/caller"
	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// simulatedFleet announces many upstreams, all of which are served by one simulated engine in this process.
type simulatedFleet struct {
	timer   timer.Service
	cluster *cluster.Cluster
	group   *group.Group
	engine  *engine.Engine
	server  *http.Server
	address string
	count   int // announced upstreams
}

func newSimulatedFleet(ctx context.Context, t timer.Service, c *cluster.Cluster) (f *simulatedFleet, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f = &simulatedFleet{timer: t, cluster: c, group: group.New(ctx), address: l.Addr().String()}
	f.engine = engine.New(engine.Options{
		Model: "small", Version: "1", Slots: 512, QueueCapacity: 512, BaseStepTime: 2 * time.Millisecond, CacheBlocks: 1024, Timer: t,
	})
	mux := http.NewServeMux()
	f.engine.Register(mux)
	host := &announce.Host{Listener: l, Handler: mux, Worker: f.engine.Run, Timer: t}
	f.group.Go("engine", host.Run)
	return f, nil
}

// announceUpTo announces further upstreams until there are count of them.
func (f *simulatedFleet) announceUpTo(count int) {
	for ; f.count < count; f.count++ {
		a := announce.New(announce.Options{
			Announcement: announce.Announcement{
				Name: fmt.Sprintf("fleet-%03d", f.count), Address: f.address, Service: "pool",
				Model: "small", Version: "1", Zone: "lakes-a", Features: engine.Features(),
			},
			Entries: rotated(cluster.Addresses(f.cluster.Entries()), f.count),
			Token:   f.cluster.UpstreamToken(), Timer: f.timer, Load: f.engine.Load,
		})
		f.group.Go("announcer", a.Run)
	}
}

// rotated returns the list rotated by an offset, which spreads announcements and requests over the entries.
func rotated(list []string, offset int) []string {
	offset %= len(list)
	return append(append([]string{}, list[offset:]...), list[:offset]...)
}

func (f *simulatedFleet) close() error { return f.group.Stop() }

// loadGenerator sends chat requests at a fixed rate, whether or not responses arrive.
type loadGenerator struct {
	timer             timer.Service
	callers           []*caller.Caller
	group             *group.Group
	requestsPerSecond int
	// inProgress is the number of requests that wait for a response.
	inProgress atomic.Int64
}

func newLoadGenerator(ctx context.Context, t timer.Service, c *cluster.Cluster, rate int) (g *loadGenerator, err error) {
	g = &loadGenerator{timer: t, group: group.New(ctx), requestsPerSecond: rate}
	entries := cluster.Addresses(c.Entries())
	for i := range entries {
		o := caller.Options{
			Entries: rotated(entries, i), Token: c.Token(account), Timer: t,
			Random: rand.New(rand.NewPCG(1, uint64(i))), RequestTimeout: 5 * time.Second,
		}
		cl, err := caller.New(o)
		if err != nil {
			return nil, err
		}
		g.callers = append(g.callers, cl)
	}
	g.group.Go("senders", g.run)
	return g, nil
}

// run sends requests until the context ends.
func (g *loadGenerator) run(ctx context.Context) error {
	ticks := g.timer.Subscribe(time.Second / time.Duration(g.requestsPerSecond))
	defer ticks.Stop()
	begin := g.timer.Now()
	for sent := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticks.C:
			// Send the requests of missed ticks as well.
			for due := int(now.Sub(begin).Seconds() * float64(g.requestsPerSecond)); sent < due; sent++ {
				q := &request{generator: g, caller: g.callers[sent%len(g.callers)]}
				g.group.Go("sender", q.run)
			}
		}
	}
}

// request is one chat request in progress.
type request struct {
	generator *loadGenerator
	caller    *caller.Caller
}

func (r *request) run(ctx context.Context) error {
	r.generator.inProgress.Add(1)
	defer r.generator.inProgress.Add(-1)
	r.caller.SendChat(ctx, caller.ChatRequest{Model: "small", Prompt: "measure", MaxTokens: 16, Stream: true})
	return nil
}

// close cancels the requests in progress. It returns the number of answered requests, and of other
// requests by reason. Requests in progress at the time of the call are not counted.
func (g *loadGenerator) close() (answered int, other map[string]int, err error) {
	running := g.inProgress.Load()
	err = g.group.Stop()
	other = map[string]int{}
	for _, c := range g.callers {
		for _, r := range c.History().Records() {
			switch {
			case r.Outcome == caller.Answered:
				answered++
			case strings.Contains(r.Message, context.Canceled.Error()):
				running--
			default:
				other[fmt.Sprintf("%s, status %d: %s", r.Outcome, r.Status, r.Message)]++
			}
		}
		c.Close()
	}
	if running < 0 {
		other["cancelled before the end"] = int(-running)
	}
	return answered, other, err
}
