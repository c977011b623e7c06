package modelselect

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Service of the replays: three models, and the slots of all upstreams together.
var (
	replayModels = []layout.Model{"small", "middle", "large"}
	replayCosts  = map[layout.Model]float64{"small": 0.014, "middle": 0.11, "large": 0.22}
	// Time per token read and written relative to the smallest model.
	replayPace    = []float64{1, 2.7, 10}
	replayAbility = []float64{50, 65, 120}
)

const (
	replaySlots    = 64
	replayDay      = 40 * time.Second
	readPerToken   = 20 * time.Microsecond
	writePerToken  = 600 * time.Microsecond
	replayAccounts = 12
)

// kind is a kind of requests. ability returns how far the smallest model's ability exceeds a request's difficulty.
type kind struct {
	name      string
	usage     []Usage
	objective time.Duration
	timeout   time.Duration
	ability   func(r *rand.Rand, u Usage, day float64) float64
}

func evenly(r *rand.Rand, _ Usage, _ float64) float64 { return 130*r.Float64() - 15 }

var (
	short = Usage{In: 826, MaxOut: 500}
	long  = Usage{In: 6000, MaxOut: 700}
	tag   = Usage{In: 2368, MaxOut: 60}
)

var kinds = []kind{
	{"even", []Usage{short, long, tag}, 2 * time.Second, 20 * time.Second, evenly},
	{"nearly all low", []Usage{short}, 2 * time.Second, 20 * time.Second, func(r *rand.Rand, _ Usage, _ float64) float64 { return 12*r.NormFloat64() + 5 }},
	{"nearly none low", []Usage{short, long}, 2 * time.Second, 20 * time.Second, func(r *rand.Rand, _ Usage, _ float64) float64 { return 10*r.NormFloat64() + 85 }},
	{"one size low", []Usage{short, long}, 2 * time.Second, 20 * time.Second, func(r *rand.Rand, u Usage, _ float64) float64 {
		if u == long {
			return 12*r.NormFloat64() + 5
		}
		return 10*r.NormFloat64() + 80
	}},
	{"changes", []Usage{short}, 2 * time.Second, 20 * time.Second, func(r *rand.Rand, _ Usage, day float64) float64 {
		if day < 0.5 {
			return 10*r.NormFloat64() + 80
		}
		return 12*r.NormFloat64() + 5
	}},
}

// replayRun is a request at a model, or one that waits for a slot.
type replayRun struct {
	*Request
	arrived, sent timer.Instant
	ability       float64
	random        *rand.Rand // of the request, equal for all policies
	index         int
	before        *Run
	done          timer.Instant
	writing       bool
}

// replay plays a day and returns the value earned per request.
type replay struct {
	policy
	kind
	random  *rand.Rand // of the arrivals, equal for all policies
	clock   *timer.Manual
	running events
	waiting []*replayRun
	earned  float64
	count   int
}

type events []*replayRun

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].done < e[j].done }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(*replayRun)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// policy chooses models.
type policy interface {
	Initial(r *Request, c Conditions) Decision
	Escalate(r *Request, index int, confidence Confidence, c Conditions) (Decision, bool)
}

// learner is a policy that learns.
type learner interface {
	RecordConfidence(r *Request, index int, confidence Confidence, before *Run)
	RecordFirst(r *Request, index int, took time.Duration, queued bool) time.Duration
	RecordEnd(r *Request, index int, took time.Duration)
}

// fixedRule starts at a model and escalates to the largest one below a confidence that may fall with the load.
type fixedRule struct {
	start          int
	threshold      float64
	busy, overload float64
}

func (f fixedRule) Initial(*Request, Conditions) Decision { return Decision{Index: f.start} }

func (f fixedRule) Escalate(r *Request, index int, c Confidence, k Conditions) (Decision, bool) {
	threshold := f.threshold
	if f.overload > 0 {
		threshold *= min(max(0, 1-(k.Utilization-f.busy)/(f.overload-f.busy)), 1)
	}
	return Decision{Index: len(r.Models) - 1}, index < len(r.Models)-1 && float64(c) < threshold
}

// play plays requests that would fill the given part of the slots if the smallest model ran them all.
func play(k kind, load float64, newPolicy func(timer.Service) policy, seed uint64) float64 {
	clock := timer.NewManual()
	p := &replay{policy: newPolicy(clock), kind: k, random: rand.New(rand.NewPCG(seed, 1)), clock: clock}
	work := 0.0
	for _, u := range k.usage {
		work += (float64(u.In)*readPerToken.Seconds() + float64(u.MaxOut)*writePerToken.Seconds()/3) / float64(len(k.usage))
	}
	interval := work / (load * replaySlots)
	next := 0.0
	for {
		next += p.random.ExpFloat64() * interval
		p.advance(timer.Instant(next * float64(time.Second)))
		if next > replayDay.Seconds() {
			break
		}
		p.arrive(next / replayDay.Seconds())
	}
	return p.earned / float64(p.count)
}

func (p *replay) arrive(day float64) {
	u := p.usage[p.random.IntN(len(p.usage))]
	r := &Request{
		Service: "s", Route: p.name, Account: layout.Account(rune('a' + p.random.IntN(replayAccounts))), Models: replayModels, Costs: replayCosts,
		Usage: u, Objective: p.objective, Timeout: p.timeout,
	}
	e := &replayRun{Request: r, arrived: p.clock.Now(), ability: p.ability(p.random, u, day), random: rand.New(rand.NewPCG(p.random.Uint64(), 2))}
	e.index = p.Initial(r, p.conditions(e, 0)).Index
	p.count++
	p.send(e)
}

func (p *replay) conditions(e *replayRun, wait time.Duration) Conditions {
	// As the balancer counts: a request in a queue, or whose response has not begun, counts twice.
	return Conditions{
		Utilization: float64(len(p.running)+2*len(p.waiting)) / replaySlots, Elapsed: p.clock.Now().Sub(e.arrived), Wait: wait,
	}
}

func (p *replay) send(e *replayRun) {
	e.sent, e.writing = p.clock.Now(), false
	p.earned -= replayCosts[e.Models[e.index]] / replayCosts["large"] * readPrice * float64(e.Usage.In) / 1000
	p.waiting = append(p.waiting, e)
	p.fill()
}

// fill starts waiting requests while slots are free.
func (p *replay) fill() {
	for len(p.running) < replaySlots && len(p.waiting) > 0 {
		e := p.waiting[0]
		p.waiting = p.waiting[1:]
		if p.clock.Now().Sub(e.arrived) > e.Timeout {
			continue
		}
		e.done = p.clock.Now().Add(seconds(float64(e.Usage.In) * readPerToken.Seconds() * replayPace[e.index]))
		heap.Push(&p.running, e)
	}
}

// advance runs what ends by an instant.
func (p *replay) advance(until timer.Instant) {
	for len(p.running) > 0 && p.running[0].done <= until {
		e := heap.Pop(&p.running).(*replayRun)
		p.clock.Advance(e.done.Sub(p.clock.Now()))
		if e.writing {
			p.end(e)
		} else {
			p.header(e)
		}
		p.fill()
	}
	p.clock.Advance(until.Sub(p.clock.Now()))
}

// header is the begin of a response, with the model's confidence.
func (p *replay) header(e *replayRun) {
	margin := e.ability + replayAbility[e.index] - replayAbility[0]
	confidence := Confidence(min(max(math.Round(margin+10*e.random.NormFloat64()), 0), 100))
	wait := time.Duration(0)
	if l, ok := p.policy.(learner); ok {
		wait = l.RecordFirst(e.Request, e.index, p.clock.Now().Sub(e.sent), len(p.waiting) > 0)
		l.RecordConfidence(e.Request, e.index, confidence, e.before)
	}
	if d, ok := p.Escalate(e.Request, e.index, confidence, p.conditions(e, wait)); ok && e.before == nil {
		e.before = &Run{e.index, confidence}
		e.index = d.Index
		p.send(e)
		return
	}
	out := float64(e.Usage.MaxOut) * (0.2 + 0.27*e.random.Float64())
	value := valueMultiple * float64(e.Usage.MaxOut) / 1000
	if margin < evenConfidence {
		value *= 0.05
	}
	if p.clock.Now().Sub(e.arrived) > e.Objective {
		value *= lateShare
	}
	p.earned += value - replayCosts[e.Models[e.index]]/replayCosts["large"]*out/1000
	e.writing, e.sent = true, p.clock.Now()
	e.done = e.sent.Add(seconds(out * writePerToken.Seconds() * replayPace[e.index]))
	heap.Push(&p.running, e)
}

func (p *replay) end(e *replayRun) {
	if l, ok := p.policy.(learner); ok {
		l.RecordEnd(e.Request, e.index, p.clock.Now().Sub(e.sent))
	}
}

// Guards against a choice of the model that earns less than a fixed one, for requests of which the
// smallest model answers nearly all, nearly none or one size well, and when that changes in the course of
// the day, with slots free and with more work than the slots can do on larger models.
func TestReplay(t *testing.T) {
	is := is.New(t)
	fixed := func(f fixedRule) func(timer.Service) policy { return func(timer.Service) policy { return f } }
	rules := []struct {
		name string
		rule func(timer.Service) policy
		// gain is the least ratio of what the choice earns to what the rule earns over the loads of a kind:
		// of the one whose confidences are spread evenly, or of all kinds.
		gain float64
		all  bool
	}{
		{"never escalate", fixed(fixedRule{}), 1.5, false},
		{"start at the largest", fixed(fixedRule{start: 2}), 2.5, false},
		{"former rule", fixed(fixedRule{threshold: 55, busy: 0.7, overload: 1.6}), 1.025, false},
		{"without learning", func(s timer.Service) policy { return struct{ policy }{New(s)} }, 1, true},
	}
	for _, k := range kinds {
		chosen, others := 0.0, make([]float64, len(rules))
		for _, load := range []float64{0.05, 0.15, 0.3} {
			const seed = 7
			v := play(k, load, func(s timer.Service) policy { return New(s) }, seed)
			chosen += v
			for i, r := range rules {
				other := play(k, load, r.rule, seed)
				others[i] += other
				t.Logf("%s, load %.2f: %.3f, %s %.3f", k.name, load, v, r.name, other)
				// One kind alone may earn a little less: the choice learns what the kind is like.
				is.True(v > 0.97*other)
			}
		}
		for i, r := range rules {
			t.Logf("%s: %.3f, %s %.3f", k.name, chosen, r.name, others[i])
			is.True(!r.all && k.name != "even" || chosen > r.gain*others[i])
		}
	}
}
