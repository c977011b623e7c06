package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/gateway/sizeclass"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	engineSlots      = 16
	engineGeneration = time.Second            // of a response, from its first event
	engineDeparture  = 2 * time.Second        // from a crash until the upstream is in no table
	engineRelay      = 400 * time.Millisecond // between two relayed reports; these are 100 to 500 ms old
	engineLate       = time.Second            // objective of light requests
)

// engineKinds are requests by their rate and work, as two models of which the larger one reads ten
// times as long get them.
var engineKinds = []struct{ rate, work float64 }{
	{85, 826}, {136, 2368}, {81, 12000}, {41, 8260}, {65, 23680}, {37, 120000},
}

// engineLightWork is the work below which the replay counts a request as light.
const engineLightWork = 30000

type engineRequest struct {
	decider, upstream int
	work, reading     float64
	arrived           time.Duration
	begun             bool
}

type engineEvent struct {
	at time.Duration
	do func()
}

type engineEvents []engineEvent

func (e engineEvents) Len() int           { return len(e) }
func (e engineEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e engineEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *engineEvents) Push(x any)        { *e = append(*e, x.(engineEvent)) }
func (e *engineEvents) Pop() (x any) {
	last := len(*e) - 1
	x = (*e)[last]
	*e = (*e)[:last]
	return x
}

type engine struct {
	queue   []*engineRequest
	reading *engineRequest
	running []*engineRequest
	down    bool
	history [][2]int // running and waiting at each relay interval fraction
}

// engineReplay is a load on engines that read one prompt after the other.
type engineReplay struct {
	clock       *timer.Manual
	random      *rand.Rand
	now         time.Duration
	events      engineEvents
	deciders    []*Balancer
	classifiers []*sizeclass.Classifier
	candidates  []Candidate
	engines     []engine
	perMS       float64 // work that an engine reads in a millisecond
	separate    bool
	from        time.Duration
	until       time.Duration

	light, heavy []time.Duration // times to the first event
	unserved     int
	parted       int // placements with separate parts
	left, placed int // placements in other zones, and all
	bytes        float64
	prefix       Prefix         // of requests with the work prefixWork
	perUpstream  map[string]int // placements
}

func newEngineReplay(deciders, upstreams int, utilization float64, separate bool, seed uint64) *engineReplay {
	r := &engineReplay{
		clock: timer.NewManual(), random: rand.New(rand.NewPCG(seed, 5)), perUpstream: map[string]int{}, engines: make([]engine, upstreams), separate: separate,
	}
	r.clock.Advance(time.Minute)
	for n := range deciders {
		r.deciders = append(r.deciders, New(fmt.Sprint("z", n%3), r.clock, rand.New(rand.NewPCG(seed, uint64(n)))))
		r.classifiers = append(r.classifiers, sizeclass.New(r.clock))
	}
	for n := range upstreams {
		r.candidates = append(r.candidates, Candidate{ID: fmt.Sprint("u", n), Zone: fmt.Sprint("z", n%3), Slots: engineSlots})
	}
	total := 0.0
	for _, k := range engineKinds {
		total += k.rate * k.work
	}
	// Each decider has to see some requests before it separates any.
	r.from = max(20*time.Second, time.Duration(deciders)*150*time.Millisecond)
	r.until = r.from + 10*time.Second
	r.perMS = total / 1000 / float64(upstreams) / utilization
	return r
}

func (r *engineReplay) after(d time.Duration, do func()) {
	heap.Push(&r.events, engineEvent{r.now + d, do})
}

// run replays the load until its end.
func (r *engineReplay) run() {
	for _, k := range engineKinds {
		r.arrive(k.rate, k.work)
	}
	for n := range r.deciders {
		r.after(time.Duration(r.random.Int64N(int64(engineRelay))), func() { r.relay(n) })
	}
	r.sample()
	for len(r.events) > 0 && r.events[0].at < r.until {
		e := heap.Pop(&r.events).(engineEvent)
		r.clock.Advance(e.at - r.now)
		r.now = e.at
		e.do()
	}
}

func (r *engineReplay) arrive(rate, work float64) {
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() {
		varied := work * (0.5 + r.random.Float64())
		r.send(&engineRequest{decider: r.random.IntN(len(r.deciders)), work: varied, arrived: r.now}, nil)
		r.arrive(rate, work)
	})
}

// sample records the load of all engines, for the relayed reports.
func (r *engineReplay) sample() {
	for i := range r.engines {
		e := &r.engines[i]
		e.history = append(e.history, [2]int{len(e.running), len(e.queue)})
	}
	r.after(100*time.Millisecond, r.sample)
}

// relay delivers reports of 100 to 500 ms ago to a decider.
func (r *engineReplay) relay(n int) {
	age := 2 + r.random.IntN(4)
	for i := range r.engines {
		if h := r.engines[i].history; len(h) >= age && !r.engines[i].down {
			r.deciders[n].ReportRelayed(r.candidates[i].ID, h[len(h)-age][0], h[len(h)-age][1], 0)
		}
	}
	r.after(engineRelay, func() { r.relay(n) })
}

// request returns what a decider bases its choice on.
func (r *engineReplay) request(q *engineRequest) Request {
	c := r.classifiers[q.decider]
	if q.reading == 0 {
		q.reading = MeanReading * c.Record("s", sizeclass.Work(q.work))
	}
	out := Request{Reading: q.reading, Bytes: r.bytes}
	if r.prefix.Key != 0 && q.work < 826*1.5 {
		out.Prefix, out.PrefixReading = r.prefix, q.reading/2
	}
	plan, isDue := c.Plan("s")
	if isDue {
		var upstreams []sizeclass.Upstream
		for _, u := range r.candidates {
			if !u.HeartbeatsMissed {
				upstreams = append(upstreams, sizeclass.Upstream{ID: u.ID, Zone: u.Zone})
			}
		}
		plan, _ = c.Update("s", upstreams, r.deciders[q.decider].Utilization(r.candidates))
	}
	if plan != nil && r.separate {
		out.Parts, out.Heavy = plan, plan.IsHeavy(sizeclass.Work(q.work))
	}
	return out
}

// send places a request, again at another upstream if one is down.
func (r *engineReplay) send(q *engineRequest, excluded []string) {
	b := r.deciders[q.decider]
	c, p, ok := b.PickFor(r.candidates, r.request(q), excluded)
	if !ok || len(excluded) > 6 {
		r.unserved++
		return
	}
	r.count(c, p, b.Zone)
	b.RequestSent(c.ID)
	b.BeginReading(c.ID, q.reading)
	q.upstream = slices.IndexFunc(r.candidates, func(o Candidate) bool { return o.ID == c.ID })
	e := &r.engines[q.upstream]
	if e.down {
		b.EndReading(c.ID, q.reading)
		b.RequestDone(c.ID, Unreachable, false)
		r.send(q, append(excluded, c.ID))
		return
	}
	e.queue = append(e.queue, q)
	r.readNext(e)
}

func (r *engineReplay) count(c Candidate, p Placement, zone string) {
	if r.now < r.from {
		return
	}
	r.placed++
	r.perUpstream[c.ID]++
	if c.Zone != zone {
		r.left++
	}
	if p.Parted {
		r.parted++
	}
}

func (r *engineReplay) readNext(e *engine) {
	if e.reading != nil || len(e.queue) == 0 || len(e.running) >= engineSlots || e.down {
		return
	}
	q := e.queue[0]
	e.reading, e.queue = q, e.queue[1:]
	r.after(time.Duration(q.work/r.perMS*float64(time.Millisecond)), func() {
		if e.down {
			return
		}
		e.reading = nil
		e.running = append(e.running, q)
		q.begun = true
		b, id := r.deciders[q.decider], r.candidates[q.upstream].ID
		b.ResponseStarted(id)
		b.EndReading(id, q.reading)
		b.ReportLoad(id, len(e.running), len(e.queue))
		r.served(q)
		r.after(engineGeneration, func() { r.finish(e, q) })
		r.readNext(e)
	})
}

func (r *engineReplay) served(q *engineRequest) {
	switch took := r.now - q.arrived; {
	case q.arrived < r.from:
	case q.work < engineLightWork:
		r.light = append(r.light, took)
	default:
		r.heavy = append(r.heavy, took)
	}
}

func (r *engineReplay) finish(e *engine, q *engineRequest) {
	if e.down {
		return
	}
	e.running = slices.DeleteFunc(e.running, func(o *engineRequest) bool { return o == q })
	r.deciders[q.decider].RequestDone(r.candidates[q.upstream].ID, Succeeded, true)
	r.readNext(e)
}

// lose crashes the upstreams for which the predicate is true. Their requests are sent again.
func (r *engineReplay) lose(lost func(c Candidate) bool) {
	for i := range r.engines {
		e := &r.engines[i]
		if !lost(r.candidates[i]) || e.down {
			continue
		}
		e.down = true
		all := append(e.queue, e.running...)
		if e.reading != nil {
			all = append(all, e.reading)
		}
		for _, q := range all {
			b, id := r.deciders[q.decider], r.candidates[i].ID
			if !q.begun {
				b.EndReading(id, q.reading)
			}
			b.RequestDone(id, Interrupted, q.begun)
			if !q.begun {
				r.send(q, []string{id})
			}
		}
	}
	r.after(engineDeparture, func() {
		r.candidates = slices.Clone(r.candidates)
		for i := range r.candidates {
			r.candidates[i].HeartbeatsMissed = r.engines[i].down
		}
	})
}

func (r *engineReplay) summary(times []time.Duration) (p99 time.Duration, late float64) {
	slices.Sort(times)
	n := 0
	for _, t := range times {
		if t > engineLate {
			n++
		}
	}
	if len(times) == 0 {
		return 0, 0
	}
	return times[len(times)*99/100], float64(n) / float64(len(times))
}

// Load pattern: heavy-tailed prompts at engines that read in the order of arrival. Guards against light
// requests that wait for long prompts although there are upstreams without them, and against heavy ones that
// pay for it several times over or are not served, also when upstreams are lost.
func TestLightRequestsApartFromHeavy(t *testing.T) {
	for _, c := range []struct {
		name                string
		deciders, upstreams int
		utilization         float64
		lost                func(c Candidate) bool
		maxUnserved         int     // within the tries of a request
		maxLate             float64 // light requests after their objective relative to those with common upstreams
		maxHeavy            float64 // p99 of heavy requests relative to that with common upstreams
	}{
		{"65 deciders", 65, 90, 0.65, nil, 0, 0.5, 1.5},
		{"200 deciders", 200, 116, 0.65, nil, 0, 0.5, 1.5},
		{"a part of the upstreams is lost", 65, 90, 0.45, func(c Candidate) bool { return c.ID[len(c.ID)-1] < '3' }, 10, 0.7, 1.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p99s, lates, heavies := map[bool]time.Duration{}, map[bool]float64{}, map[bool]time.Duration{}
			for _, separate := range []bool{false, true} {
				r := newEngineReplay(c.deciders, c.upstreams, c.utilization, separate, 1)
				if c.lost != nil {
					r.after(r.from-time.Second, func() { r.lose(c.lost) })
				}
				r.run()
				p99s[separate], lates[separate] = r.summary(r.light)
				heavies[separate], _ = r.summary(r.heavy)
				t.Logf("separate %t: light p50 %v p99 %v late %.4f of %d, heavy p50 %v p99 %v of %d, unserved %d, parted %d", separate, r.light[len(r.light)/2], p99s[separate], lates[separate],
					len(r.light), r.heavy[len(r.heavy)/2], heavies[separate], len(r.heavy), r.unserved, r.parted)
				is.True(r.unserved <= c.maxUnserved)
			}
			is.True(float64(p99s[true]) < 0.8*float64(p99s[false]))
			is.True(lates[true] < c.maxLate*lates[false])
			is.True(float64(heavies[true]) < c.maxHeavy*float64(heavies[false]))
		})
	}
}

// Load pattern: all upstreams of the heavy part crash at once. Guards against more requests that find no place
// within their tries than if the upstreams were not separated, and against parts that are not divided anew.
func TestHeavyPartIsLost(t *testing.T) {
	is := is.New(t)
	unserved := map[bool]int{}
	for _, separate := range []bool{false, true} {
		r := newEngineReplay(65, 90, 0.3, separate, 2)
		r.after(r.from-time.Second, func() {
			plan, _ := r.classifiers[0].Plan("s")
			is.True(plan != nil)
			r.lose(func(c Candidate) bool { return plan.Heavy(c.ID, c.Zone) })
		})
		r.run()
		p99, _ := r.summary(r.heavy)
		unserved[separate] = r.unserved
		t.Logf("separate %t: heavy p99 %v of %d, parted %d, unserved %d", separate, p99, len(r.heavy), r.parted, r.unserved)
		is.True(p99 < 10*time.Second)
		is.True(r.parted > 0 == separate)
	}
	is.True(unserved[true] <= 2*unserved[false])
}
