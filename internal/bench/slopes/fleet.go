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

// fleet is many announced upstreams that one simulated engine of this process serves.
type fleet struct {
	timer   timer.Service
	cluster *cluster.Cluster
	group   *group.Group
	engine  *engine.Engine
	server  *http.Server
	address string
	count   int
}

func newFleet(ctx context.Context, t timer.Service, c *cluster.Cluster) (f *fleet, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f = &fleet{timer: t, cluster: c, group: group.New(ctx), address: l.Addr().String()}
	f.engine = engine.New(engine.Options{
		Model: "small", Version: "1", Slots: 512, QueueCapacity: 512, BaseStepTime: 2 * time.Millisecond, CacheBlocks: 1024, Timer: t,
	})
	mux := http.NewServeMux()
	f.engine.Register(mux)
	host := &announce.Host{Listener: l, Handler: mux, Worker: f.engine.Run, Timer: t}
	f.group.Go("engine", host.Run)
	return f, nil
}

// grow announces upstreams until there are that many.
func (f *fleet) grow(count int) {
	for ; f.count < count; f.count++ {
		a := announce.New(announce.Options{
			Announcement: announce.Announcement{
				Name: fmt.Sprintf("fleet-%03d", f.count), Address: f.address, Service: "pool",
				Model: "small", Version: "1", Zone: "lakes-a", Features: engine.Features(),
			},
			Entries: rotate(cluster.Addresses(f.cluster.Entries()), f.count),
			Token:   f.cluster.UpstreamToken(), Timer: f.timer, Load: f.engine.Load,
		})
		f.group.Go("announcer", a.Run)
	}
}

// rotate returns the list with another first element, so that the announcements
// spread over the entries.
func rotate(list []string, by int) []string {
	by %= len(list)
	return append(append([]string{}, list[by:]...), list[:by]...)
}

func (f *fleet) close() error { return f.group.Stop() }

// senders send chat requests at a fixed rate, whether answers come or not.
type senders struct {
	timer   timer.Service
	callers []*caller.Caller
	group   *group.Group
	rate    int
	// running counts the requests in progress.
	running atomic.Int64
}

func newSenders(ctx context.Context, t timer.Service, c *cluster.Cluster, rate int) (s *senders, err error) {
	s = &senders{timer: t, group: group.New(ctx), rate: rate}
	entries := cluster.Addresses(c.Entries())
	for i := range entries {
		o := caller.Options{
			Entries: rotate(entries, i), Token: c.Token(account), Timer: t,
			Random: rand.New(rand.NewPCG(1, uint64(i))), RequestTimeout: 5 * time.Second,
		}
		one, err := caller.New(o)
		if err != nil {
			return nil, err
		}
		s.callers = append(s.callers, one)
	}
	s.group.Go("senders", s.run)
	return s, nil
}

func (s *senders) run(ctx context.Context) error {
	ticks := s.timer.Subscribe(time.Second / time.Duration(s.rate))
	defer ticks.Stop()
	begin := s.timer.Now()
	for sent := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticks.C:
			// Ticks that were missed are made up for.
			for due := int(now.Sub(begin).Seconds() * float64(s.rate)); sent < due; sent++ {
				r := &sender{senders: s, caller: s.callers[sent%len(s.callers)]}
				s.group.Go("sender", r.run)
			}
		}
	}
}

// sender sends one request.
type sender struct {
	senders *senders
	caller  *caller.Caller
}

func (s *sender) run(ctx context.Context) error {
	s.senders.running.Add(1)
	defer s.senders.running.Add(-1)
	s.caller.SendChat(ctx, caller.ChatRequest{Model: "small", Prompt: "measure", MaxTokens: 16, Stream: true})
	return nil
}

// close ends the requests and returns how many were answered, and how many
// were not for which reason. Those still in progress are left out.
func (s *senders) close() (answered int, other map[string]int, err error) {
	running := s.running.Load()
	err = s.group.Stop()
	other = map[string]int{}
	for _, c := range s.callers {
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
