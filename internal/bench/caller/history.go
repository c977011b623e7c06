package caller

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Outcome is what the caller knows at the end of a request.
type Outcome string

// The outcomes.
const (
	// Answered means a whole answer to the caller's own request.
	Answered Outcome = "answered"
	// NotRun, Failed and Unknown are what the error said, or what follows from a broken connection.
	NotRun  Outcome = "not run"
	Failed  Outcome = "failed"
	Unknown Outcome = "unknown"
	// Invalid means an answer that was passed as complete but is cut or belongs to another request.
	Invalid Outcome = "wrong"
)

// Kind tells chat requests from calls.
type Kind string

// The kinds of request.
const (
	KindChat  Kind = "chat"
	KindPlain Kind = "call"
)

// Record is the history of one request.
type Record struct {
	Kind           Kind
	RequestID      string
	IdempotencyKey string
	Session        string
	// Target is the model that the request named, or the path of a call.
	Target string
	// Model is the model and version that answered, as the entry named it.
	Model   string
	Outcome Outcome
	// Status and Text are those of the last attempt.
	Status   int
	Message  string
	Entry    string
	Attempts int
	// Interrupted counts attempts whose connection broke after the request was sent.
	Interrupted int
	// SessionMoved is true if an answer said that the session's version was changed.
	SessionMoved bool
	Usage        engine.Usage
	// RunCount is the run count that the service put into the answer to a call.
	RunCount int
	// First is the time of the first content of the answer.
	Begin, FirstContent, End timer.Instant

	retry time.Duration
	gaps  []time.Duration
	// uncertain is set once any attempt may have run.
	uncertain bool
}

// note sets the result of an attempt.
func (r *Record) note(o Outcome, status int, text string) {
	r.Outcome, r.Status, r.Message = o, status, text
	r.uncertain = r.uncertain || o == Unknown || o == Failed
}

// broke sets the result of an attempt whose connection broke.
func (r *Record) broke(status int, err error) {
	r.Interrupted++
	r.note(Unknown, status, err.Error())
}

// worse returns the outcome of the request if its latest attempt had that
// outcome: an earlier attempt may have run even if this one did not.
func (r *Record) worse(o Outcome) Outcome {
	if o == NotRun && r.uncertain {
		return Unknown
	}
	return o
}

// History is the records of all requests of a caller.
type History struct {
	mu      sync.Mutex
	records []Record
	latency *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
	gap     *hdrhistogram.Histogram
}

// longest is the largest time that the histograms tell apart.
const longest = 2 * time.Minute

func newHistory() *History {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest.Microseconds(), 3) }
	return &History{latency: histogram(), first: histogram(), gap: histogram()}
}

func (h *History) add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Outcome == Answered {
		record(h.latency, r.End.Sub(r.Begin))
		if r.FirstContent > 0 {
			record(h.first, r.FirstContent.Sub(r.Begin))
		}
		for _, g := range r.gaps {
			record(h.gap, g)
		}
	}
	r.gaps = nil
	h.records = append(h.records, r)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(d, longest).Microseconds()))
}

// Records returns the requests that have ended, in the order of their ends.
func (h *History) Records() []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.records)
}

// Summary holds the histograms of answered requests in microseconds.
type Summary struct {
	// Latency is the time to the last byte, First that to the first content of a
	// stream, Gap the time between its contents.
	Latency, FirstContent, EventGap *hdrhistogram.Histogram
}

// Summary returns copies of the histograms.
func (h *History) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{Latency: h.latency.Clone(), FirstContent: h.first.Clone(), EventGap: h.gap.Clone()}
}
