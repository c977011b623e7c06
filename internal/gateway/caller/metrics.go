package caller

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// metrics count requests since the start of the process.
type metrics struct {
	Requests, Refusals, Failures, Repeats, Resumes, Climbs, Answers *expvar.Int
	// First is the time to the first byte of an answer, Whole that to its last.
	First, Whole *latency
}

// Bounds of the recorded times: up to a minute, with two significant digits.
const (
	latencyMost   = int64(time.Minute / time.Microsecond)
	latencyDigits = 2
)

// latency is a histogram of times that is served as quantiles in milliseconds.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatency() *latency {
	return &latency{histogram: hdrhistogram.New(1, latencyMost, latencyDigits)}
}

func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A time out of bounds is counted at the bound, so the error cannot occur.
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), 1), latencyMost))
}

// quantiles returns what is served.
func (l *latency) quantiles() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]float64{"count": float64(l.histogram.TotalCount())}
	for name, q := range map[string]float64{"p50": 50, "p95": 95, "p99": 99, "p999": 99.9} {
		out[name] = float64(l.histogram.ValueAtQuantile(q)) / 1000
	}
	return out
}

// counters are published once per process.
var counters = func() *metrics {
	m := expvar.NewMap("gateway")
	add := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	times := func(name string) *latency {
		l := newLatency()
		m.Set(name, expvar.Func(l.quantiles))
		return l
	}
	return &metrics{
		Requests: add("requests"), Refusals: add("refusals"), Failures: add("failures"),
		Repeats: add("repeats"), Resumes: add("resumes"), Climbs: add("climbs"), Answers: add("answers"),
		First: times("first"), Whole: times("whole"),
	}
}()
