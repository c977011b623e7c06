package modelselect

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// sample returns a request with three models to choose from.
func sample(u Usage) *Request {
	return &Request{
		Service: "s", Route: "r", Account: "hill", Models: replayModels, Costs: replayCosts, Usage: u, Objective: time.Second, Timeout: 20 * time.Second,
	}
}

// Guards against escalation that never ends, that drops an answer without a confidence, that adds load
// when the upstreams have no capacity for larger models, that gives up valuable answers first, and that
// can't be answered before the deadline.
func TestEscalate(t *testing.T) {
	const busy, saturated = 1.15, 2.0
	for _, c := range []struct {
		name        string
		usage       Usage
		index       int
		confidence  Confidence
		utilization float64
		elapsed     time.Duration
		next        int
		ok          bool
	}{
		{"confident", short, 0, 90, 0, 0, 0, false},
		{"low confidence", short, 0, 20, 0, 0, 2, true},
		{"low confidence, middle model", short, 1, 20, 0, 0, 2, true},
		{"low confidence, largest model", short, 2, 20, 0, 0, 2, false},
		{"confidence not reported", short, 0, Unreported, 0, 0, 0, false},
		{"low confidence, upstreams saturated", short, 0, 20, saturated, 0, 0, false},
		{"fairly low confidence", short, 0, 55, 0, 0, 1, true},
		{"fairly low confidence, upstreams busy", short, 0, 55, busy, 0, 0, false},
		{"low confidence, upstreams busy", short, 0, 45, busy, 0, 1, true},
		{"fairly low confidence, short answer to a long prompt", tag, 0, 55, 0, 0, 0, false},
		{"very low confidence, upstreams busy", short, 0, 20, busy, 0, 2, true},
		{"low confidence, middle model suffices", Usage{In: 2368, MaxOut: 120}, 0, 45, 0, 0, 1, true},
		{"low confidence, after the objective", short, 0, 20, 0, 3 * time.Second, 2, true},
		{"low confidence, right before the deadline", short, 0, 20, 0, 19950 * time.Millisecond, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New(timer.NewManual())
			d, ok := s.Escalate(sample(c.usage), c.index, c.confidence, Conditions{Utilization: c.utilization, Elapsed: c.elapsed})
			is.Equal(ok, c.ok)
			if ok {
				is.Equal(d.Index, c.next)
			}
		})
	}
}

// Guards against escalation that costs as much as the largest model alone, or that answers
// clearly fewer requests well, on a mix of easy and hard requests.
func TestEscalationCost(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	// By model: the difficulty up to which it answers well, and the cost of one answer.
	quality, cost := []float64{0.56, 0.65, 1}, []float64{0.017, 0.12, 0.25}
	s, r := New(timer.NewManual()), sample(short)
	r.Costs = map[layout.Model]float64{"small": cost[0], "middle": cost[1], "large": cost[2]}
	totalCost, answeredWell := 0.0, 0
	const requests = 10_000
	for range requests {
		difficulty := random.Float64()
		index := s.Initial(r, Conditions{}).Index
		for before := (*Run)(nil); ; {
			totalCost += cost[index]
			confidence := Confidence(min(max(50+100*(quality[index]-difficulty)+20*random.NormFloat64(), 0), 100))
			s.RecordConfidence(r, index, confidence, before)
			d, ok := s.Escalate(r, index, confidence, Conditions{})
			if !ok {
				break
			}
			before, index = &Run{index, confidence}, d.Index
		}
		if difficulty < quality[index] {
			answeredWell++
		}
	}
	is.True(totalCost < 0.7*requests*cost[2])
	is.True(answeredWell > 0.9*requests)
}

// Guards against a request that may run only once and gets the smallest model although the
// upstreams have capacity, or the largest one although they have none.
func TestOnly(t *testing.T) {
	for _, c := range []struct {
		models      int
		utilization float64
		index       int
	}{
		{3, 0, 2},
		{3, freeUtilization, 2},
		{3, 2, 0},
		{3, 9, 0},
		{1, 0, 0},
	} {
		r := sample(short)
		r.Models = r.Models[:c.models]
		is.New(t).Equal(New(timer.NewManual()).Only(r, Conditions{Utilization: c.utilization}).Index, c.index)
	}
}

// Guards against one client account that decides for others, by the confidences, the sizes or the prompts
// that it sends.
func TestOneAccountCannotSteer(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	s := New(clock)
	answer := func(account string, u Usage, first, second Confidence) {
		r := sample(u)
		r.Account, r.Part = layout.Account(account), 77
		s.RecordConfidence(r, 0, first, nil)
		if second >= 0 {
			s.RecordConfidence(r, 2, second, &Run{0, first})
		}
		clock.Advance(time.Millisecond)
	}
	for i := range 20_000 {
		// The answers that this account gets say that the largest model is useless, that the smallest is
		// sometimes enough, and that it values its own answers a thousand times more.
		answer("steering", short, 20, 0)
		answer("steering", Usage{In: i, MaxOut: MaxTokens >> (i % 20)}, 20, 0)
		absurd := sample(Usage{In: 1, MaxOut: 1})
		absurd.Account = "steering"
		s.RecordFirst(absurd, 2, time.Minute, false)
		s.RecordEnd(absurd, 2, time.Minute)
		if i%100 == 0 {
			answer("other"+strconv.Itoa(i/100%8), short, 20, 97)
			r := sample(short)
			r.Account = layout.Account("other" + strconv.Itoa(i/100%8))
			s.RecordFirst(r, 2, 200*time.Millisecond, false)
			s.RecordEnd(r, 2, time.Second)
		}
	}
	other, steering := sample(short), sample(short)
	other.Account, other.Part, steering.Account = "other1", 77, "steering"
	busy := Conditions{Utilization: 0.9}
	d, ok := s.Escalate(other, 0, 20, busy)
	is.True(ok)
	is.Equal(d.Index, 2)
	is.True(d.Chance > 0.8)
	newcomer := sample(short)
	newcomer.Account, newcomer.Part = "newcomer", 77
	d, ok = s.Escalate(newcomer, 0, 20, busy)
	is.True(ok)
	is.Equal(d.Index, 2)
	_, known := s.parts.find(newcomer, clock.Now())
	is.True(!known)
	// What it observes counts for itself.
	d, ok = s.Escalate(steering, 0, 20, busy)
	is.True(!ok || d.Chance < 0.4)
}

// Guards against what is learned that outlives its cause, and against a prompt whose answer is known to
// be dropped and that runs at the smallest model all the same.
func TestForgets(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual()
	s, r := New(clock), sample(short)
	r.Part = 5
	s.RecordConfidence(r, 0, 15, nil)
	is.Equal(s.Initial(r, Conditions{}).Index, 2)
	for range 200 {
		s.RecordConfidence(r, 2, 0, &Run{0, 15})
	}
	d, ok := s.Escalate(r, 0, 15, Conditions{})
	is.True(!ok || d.Index != 2)
	clock.Advance(20 * halfLife)
	d, ok = s.Escalate(r, 0, 15, Conditions{})
	is.True(ok)
	is.Equal(d.Index, 2)
	is.Equal(s.Initial(r, Conditions{}).Index, 0)
}
