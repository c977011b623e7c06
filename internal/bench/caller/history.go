package caller

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Outcome is the result of a request as known to the caller.
type Outcome string

// Outcomes of a request.
const (
	// Answered means a complete response that belongs to the request.
	Answered Outcome = "answered"
	// NotRun, Failed and Unknown are stated by the error body or follow from an interrupted
	// connection.
	NotRun  Outcome = "not run"
	Failed  Outcome = "failed"
	Unknown Outcome = "unknown"
	// Invalid means a response that looks complete, but is truncated, incorrect or belongs to
	// another request.
	Invalid Outcome = "wrong"
)

// Kind is the kind of a request.
type Kind string

// Kinds of request.
const (
	KindChat  Kind = "chat"
	KindPlain Kind = "call"
)

// Record describes a request and its result.
type Record struct {
	Kind           Kind
	RequestID      string
	IdempotencyKey string
	Session        string
	// Target is the requested model, or the path of a call to a plain service.
	Target string
	// Model is the model and version that served the request, as stated by the entry.
	Model   string
	Outcome Outcome
	// Status and Message are those of the last attempt.
	Status   int
	Message  string
	Entry    string
	Attempts int
	// Interrupted counts attempts whose connection broke after the request may have been sent.
	Interrupted int
	// SessionMoved is true if a response stated that the session moved to another version.
	SessionMoved bool
	Usage        engine.Usage
	// RunCount is the number of runs that a plain service stated in its response.
	RunCount int
	// FirstContent is the time at which the first content of a streamed response arrived,
	// or zero.
	Begin, FirstContent, End timer.Instant

	retryAfter time.Duration   // delay that the last response asked for
	eventGaps  []time.Duration // between the events with content of the last attempt
	// mayHaveRun is true if any attempt may have run the request.
	mayHaveRun bool
}

// setResult records the result of an attempt.
func (r *Record) setResult(o Outcome, status int, message string) {
	r.Outcome, r.Status, r.Message = o, status, message
	r.mayHaveRun = r.mayHaveRun || o == Unknown || o == Failed
}

// setInterrupted records an attempt whose connection broke.
func (r *Record) setInterrupted(status int, err error) {
	r.Interrupted++
	r.setResult(Unknown, status, err.Error())
}

// overallOutcome returns the outcome of the request, given the outcome of its latest
// attempt. If that attempt did not run, an earlier one may still have.
func (r *Record) overallOutcome(o Outcome) Outcome {
	if o == NotRun && r.mayHaveRun {
		return Unknown
	}
	return o
}

// History holds the records and latency histograms of a caller's requests.
type History struct {
	mu           sync.Mutex
	records      []Record
	latency      *hdrhistogram.Histogram
	firstContent *hdrhistogram.Histogram
	eventGap     *hdrhistogram.Histogram
}

// maxRecordedDuration is the upper limit of the histograms; longer times are recorded as this one.
const maxRecordedDuration = 2 * time.Minute

func newHistory() *History {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedDuration.Microseconds(), 3) }
	return &History{latency: histogram(), firstContent: histogram(), eventGap: histogram()}
}

func (h *History) add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Outcome == Answered {
		recordDuration(h.latency, r.End.Sub(r.Begin))
		if r.FirstContent > 0 {
			recordDuration(h.firstContent, r.FirstContent.Sub(r.Begin))
		}
		for _, g := range r.eventGaps {
			recordDuration(h.eventGap, g)
		}
	}
	r.eventGaps = nil
	h.records = append(h.records, r)
}

// recordDuration adds a duration to a histogram in microseconds.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(d, maxRecordedDuration).Microseconds()))
}

// Records returns the finished requests in order of completion.
func (h *History) Records() []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.records)
}

// Summary holds the histograms of answered requests in microseconds.
type Summary struct {
	// Latency is the time to the end of the response, FirstContent the time to the first
	// content of a stream, EventGap the time between two of its events with content.
	Latency, FirstContent, EventGap *hdrhistogram.Histogram
}

// Summary returns copies of the histograms.
func (h *History) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{Latency: h.latency.Clone(), FirstContent: h.firstContent.Clone(), EventGap: h.eventGap.Clone()}
}
