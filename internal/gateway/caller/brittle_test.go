package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/slot"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
)

// brittleUpstream runs a few requests at once and refuses the others. If it has to refuse more
// than it tolerates in a second, it fails for a while.
type brittleUpstream struct {
	slots, room, tolerated int // room: requests that may wait
	work                   time.Duration

	mu      sync.Mutex
	running int
	waiting int
	refused []time.Time
	falls   []time.Time
	served  int
	turn    chan struct{}
	server  *upstreamtest.Server
}

// header returns the header lines that state the condition of the upstream. u.mu must be held.
func (u *brittleUpstream) header() []string {
	return []string{
		"Brittle: " + strconv.Itoa(u.tolerated),
		"Load: " + strconv.Itoa(u.running) + "," + strconv.Itoa(u.waiting) + "," + strconv.Itoa(u.slots),
	}
}

func (u *brittleUpstream) handle(e *upstreamtest.Exchange) bool {
	u.mu.Lock()
	if u.running+u.waiting >= u.slots+u.room {
		lines := u.header()
		u.refuse()
		u.mu.Unlock()
		return respond(e, http.StatusServiceUnavailable, "", append(lines, "Refused: 1")...)
	}
	u.waiting++
	u.mu.Unlock()
	u.turn <- struct{}{}
	u.mu.Lock()
	u.waiting--
	u.running++
	u.mu.Unlock()
	time.Sleep(u.work)
	u.mu.Lock()
	u.running--
	u.served++
	lines := u.header()
	u.mu.Unlock()
	<-u.turn
	return respond(e, http.StatusOK, "ok", append(lines, "Signature: s")...)
}

// refuse records a refusal and fails the upstream if there were too many. u.mu must be held.
func (u *brittleUpstream) refuse() {
	now := time.Now()
	u.refused = append(u.refused, now)
	n := 0
	for _, at := range u.refused {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	if n > u.tolerated && u.server.Crash() {
		u.falls, u.refused = append(u.falls, now), nil
		time.AfterFunc(1500*time.Millisecond, func() { _ = u.server.Restart() })
	}
}

// brittleService is a service whose upstreams are brittle, before instances with one leader.
type brittleService struct {
	upstreams []*brittleUpstream
	instances []*fixture
}

// startBrittleService starts the upstreams, which are copies of the given one with other places.
func startBrittleService(t *testing.T, instances, upstreams int, u *brittleUpstream) *brittleService {
	s := &brittleService{}
	var desk []*upstreamtest.Server
	for range upstreams {
		n := &brittleUpstream{slots: u.slots, room: u.room, tolerated: u.tolerated, work: u.work, turn: make(chan struct{}, u.slots)}
		n.server = startUpstream(t, n.handle)
		s.upstreams, desk = append(s.upstreams, n), append(desk, n.server)
	}
	for range instances {
		s.instances = append(s.instances, newFixture(t, desk, nil))
	}
	linkLeader(s.instances...)
	return s
}

// counts returns how many requests the upstreams have served, and how often they fell since an instant.
func (s *brittleService) counts(since time.Time) (served, falls int) {
	for _, u := range s.upstreams {
		u.mu.Lock()
		served += u.served
		for _, at := range u.falls {
			if at.After(since) {
				falls++
			}
		}
		u.mu.Unlock()
	}
	return served, falls
}

// Rule on the falls of brittle upstreams: from brittleContactTime after the first statement on, they may
// fall allowedFalls times and as often as a tenth of their number.
const (
	brittleContactTime = 3 * time.Second
	brittleObservation = 8 * time.Second
	allowedFalls       = 2
)

// Guards against refusals that topple brittle upstreams one after the other when there is more
// load than they can take.
func TestBrittleUpstreams(t *testing.T) {
	const (
		instances = 4
		upstreams = 4
	)
	for _, c := range []struct {
		name      string
		room      int
		tolerated int
		interval  time.Duration // between two requests at one instance
		served    int           // least number in the observation, half of what the upstreams can do
	}{
		{"more than fits", 2, 5, 16 * time.Millisecond, 640},
		{"far more than fits", 1, 5, 6 * time.Millisecond, 640},
		{"little tolerance", 1, 2, 12 * time.Millisecond, 640},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startBrittleService(t, instances, upstreams, &brittleUpstream{slots: 4, room: c.room, tolerated: c.tolerated, work: 100 * time.Millisecond})
			g := group.New(context.Background())
			since := time.Now().Add(brittleContactTime)
			for _, f := range s.instances {
				g.Go("load", lookups(f, c.interval).loop)
			}
			time.Sleep(brittleContactTime)
			before, _ := s.counts(since)
			time.Sleep(brittleObservation)
			s.instances[0].NoErr(g.Stop())
			served, falls := s.counts(since)
			t.Logf("%d falls, %d requests served", falls, served-before)
			s.instances[0].True(falls <= allowedFalls+upstreams/10)
			s.instances[0].True(served-before >= c.served)
		})
	}
}

// Guards against instances that topple brittle upstreams because there are more of them than slots, each
// with a request of its own, and against instances that refuse callers while slots are free elsewhere.
func TestManyInstancesBeforeBrittleUpstreams(t *testing.T) {
	const (
		upstreams = 6
		slots     = 4
	)
	for _, c := range []struct {
		name      string
		instances int
		work      time.Duration
		load      float64 // of all callers, against what fits
		together  bool    // all instances get their requests at the same moment
		served    float64 // least part of what fits
	}{
		{"12 instances, half of what fits", 12, 240 * time.Millisecond, 0.5, false, 0.95},
		{"69 instances, half of what fits", 69, 240 * time.Millisecond, 0.5, false, 0.95},
		{"69 instances, a tenth at the same moment", 69, 60 * time.Millisecond, 0.1, true, 0.9},
		{"69 instances, double", 69, 240 * time.Millisecond, 2, false, 0.8},
		{"200 instances, half of what fits", 200, 240 * time.Millisecond, 0.5, false, 0.95},
	} {
		t.Run(c.name, func(t *testing.T) {
			fits := upstreams * slots / c.work.Seconds() // requests a second
			s := startBrittleService(t, c.instances, upstreams, &brittleUpstream{slots: slots, room: 2, tolerated: 3, work: c.work})
			interval := time.Duration(float64(c.instances) / (c.load * fits) * float64(time.Second))
			start := time.Now().Truncate(interval).Add(interval)
			since, end := start.Add(brittleContactTime), start.Add(brittleContactTime+brittleObservation)
			g := group.New(context.Background())
			var counts []*returning
			for i, f := range s.instances {
				r := &returning{fixture: f, since: since, end: end}
				counts = append(counts, r)
				first := start
				if !c.together {
					first = start.Add(interval * time.Duration(i) / time.Duration(c.instances))
				}
				g.Go("load", (&delayedLoad{first, &load{interval: interval, send: r.send}}).loop)
			}
			time.Sleep(time.Until(end))
			s.instances[0].NoErr(g.Stop())
			_, falls := s.counts(since)
			sent, served := 0, 0
			for _, r := range counts {
				sent, served = sent+r.sent, served+r.served
			}
			due := min(float64(sent), fits*brittleObservation.Seconds())
			t.Logf("%d falls, %d of %d requests served, %.2f of what fits", falls, served, sent, float64(served)/due)
			s.instances[0].True(falls <= allowedFalls+upstreams/10)
			s.instances[0].True(float64(served) >= c.served*due)
		})
	}
}

// Guards against a request that is refused at its second attempt, because it has waited before, although slots are
// free.
func TestFreeSlotAfterWait(t *testing.T) {
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") })
	f := newFixture(t, []*upstreamtest.Server{u}, nil)
	linkLeader(f)
	f.handler.Balancer.SetBrittle("desk0", true)
	time.Sleep(slot.TakeoverDelay + 200*time.Millisecond)
	now := f.handler.Timer.Now()
	q := &request{
		Handler: f.handler, ctx: context.Background(), layout: f.view.Layout(), arrived: now, timeout: time.Second, service: "desk",
		route: f.view.Layout().Match("h", "/look/1"), roomDeadline: now.Add(-time.Millisecond),
	}
	e, ok := q.nextExchange(nil)
	f.True(ok)
	f.True(e.lease.Held())
}
