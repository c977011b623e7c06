package caller

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// metrics counts events since the process started. The published names differ from the
// field names; see processMetrics.
type metrics struct {
	Requests, Rejections, Failures, Retries, Resumes, Escalations, Responses *expvar.Int
	// Of the escalations, MiddleEscalations are to a model that is not the largest one. RefusedEscalations
	// exceeded the retry budget, and LargerStarts are first runs at a model that is not the smallest one.
	MiddleEscalations, RefusedEscalations, LargerStarts *expvar.Int
	// Pauses and Leaves count what upstreams stated in responses.
	Pauses, Leaves *expvar.Int
	// Resets counts connections that upstreams ended before anything was sent, and Unconnected requests that found
	// all connections of the instance to their upstream in use.
	Resets, Unconnected *expvar.Int
	// Evacuated counts requests that were not sent because of an evacuation: refused, or placed again right
	// before the first byte. EvacuatedZones is the number of evacuated zones now.
	Evacuated, EvacuatedZones *expvar.Int
	// ColdRequests counts requests sent to cold upstreams, and ColdWaits requests that waited for a permit.
	ColdRequests, ColdWaits *expvar.Int
	// HeavyPlacements and LightPlacements count requests that were sent while the upstreams were separated,
	// and OverflowPlacements the light ones sent to the heavy part.
	HeavyPlacements, LightPlacements, OverflowPlacements *expvar.Int
	// Latencies of responses, from the arrival of the request.
	TimeToFirstByte, TimeToLastByte *latencyHistogram
}

// Range and precision of the latency histograms: up to one minute, two significant digits.
const (
	maxLatencyMicroseconds   = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 2
)

// latencyHistogram records latencies and publishes their quantiles in milliseconds.
type latencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{histogram: hdrhistogram.New(1, maxLatencyMicroseconds, latencySignificantDigits)}
}

func (h *latencyHistogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values out of range, and the value is clamped.
	_ = h.histogram.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicroseconds))
}

// snapshot returns the count and the quantiles in milliseconds, for expvar.
func (h *latencyHistogram) snapshot() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]float64{"count": float64(h.histogram.TotalCount())}
	for name, q := range map[string]float64{"p50": 50, "p95": 95, "p99": 99, "p999": 99.9} {
		out[name] = float64(h.histogram.ValueAtQuantile(q)) / 1000
	}
	return out
}

// processMetrics is published as the expvar map "gateway". It is created once, because
// expvar panics if a name is published twice.
var processMetrics = func() *metrics {
	m := expvar.NewMap("gateway")
	counter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	histogram := func(name string) *latencyHistogram {
		h := newLatencyHistogram()
		m.Set(name, expvar.Func(h.snapshot))
		return h
	}
	return &metrics{
		Requests: counter("requests"), Rejections: counter("refusals"), Failures: counter("failures"),
		Retries: counter("repeats"), Resumes: counter("resumes"), Escalations: counter("climbs"), Responses: counter("answers"),
		MiddleEscalations: counter("climbs_middle"), RefusedEscalations: counter("climbs_refused"), LargerStarts: counter("larger_starts"),
		Pauses: counter("pauses"), Leaves: counter("leaves"),
		Resets: counter("resets"), Unconnected: counter("unconnected"),
		Evacuated: counter("evacuated"), EvacuatedZones: counter("zones"),
		ColdRequests: counter("cold_requests"), ColdWaits: counter("cold_waits"),
		HeavyPlacements: counter("placed_heavy"), LightPlacements: counter("placed_light"), OverflowPlacements: counter("placed_overflow"),
		TimeToFirstByte: histogram("first"), TimeToLastByte: histogram("whole"),
	}
}()

// SetEvacuatedZones publishes the number of evacuated zones.
func SetEvacuatedZones(n int) { processMetrics.EvacuatedZones.Set(int64(n)) }
