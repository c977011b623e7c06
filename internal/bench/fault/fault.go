// Package fault defines the faults that can be injected into simulated services, and
// counts their runs per request.
package fault

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// Kinds of fault.
const (
	// None means that the request is served without a fault.
	None Kind = ""
	// Crash terminates the process after the request has been read.
	Crash Kind = "crash"
	// Close closes the connection without a response after the request has been counted as run.
	Close Kind = "close"
	// Truncate closes the connection after AfterEvents events of a stream, or in the middle of a body.
	Truncate Kind = "cut"
	// ResponseMismatch responds with the request id and content of another request.
	ResponseMismatch Kind = "identity"
	// Stall sends nothing more after AfterEvents events of a stream, or after half of a body,
	// and keeps the connection open.
	Stall Kind = "stall"
	// Delayed delays the response by DelayMillis.
	Delayed Kind = "late"
	// EndEarly ends the response early, and where the framing permits, as if it were complete.
	EndEarly Kind = "short"
	// Reject responds with status 503 and the outcome "not run".
	Reject Kind = "refuse"
)

// Fault is a fault to inject and the requests that it applies to.
type Fault struct {
	Kind Kind `json:"kind"`
	// Marker restricts the fault to requests whose body contains it.
	Marker string `json:"marker,omitempty"`
	// AfterEvents is the number of stream events sent before the fault.
	AfterEvents int `json:"event,omitempty"`
	// DelayMillis is the delay of a Delayed response in milliseconds.
	DelayMillis int `json:"delay,omitempty"`
	// Count is the number of requests that the fault applies to; zero means all.
	Count int `json:"count,omitempty"`
}

// DelayDuration returns DelayMillis as a duration.
func (f Fault) DelayDuration() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// Set holds the faults of one service.
type Set struct {
	mu     sync.Mutex
	faults []Fault
}

// Replace replaces all faults.
func (s *Set) Replace(faults []Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = slices.Clone(faults)
}

// Match returns the first fault that applies to a request with this body and
// decrements the fault's count.
func (s *Set) Match(body []byte) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.faults {
		if f.Marker != "" && !bytes.Contains(body, []byte(f.Marker)) {
			continue
		}
		if f.Count == 1 {
			s.faults = slices.Delete(s.faults, i, i+1)
		} else if f.Count > 1 {
			s.faults[i].Count--
		}
		return f
	}
	return Fault{}
}

// active returns the faults that are still in effect.
func (s *Set) active() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Fault{}, s.faults...)
}

// Register adds the handlers for /fault: GET lists the faults, PUT replaces them with a
// list, DELETE removes all.
func (s *Set) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.active()) })
	mux.HandleFunc("DELETE /fault", func(http.ResponseWriter, *http.Request) { s.Replace(nil) })
	mux.HandleFunc("PUT /fault", func(w http.ResponseWriter, r *http.Request) {
		var faults []Fault
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Replace(faults)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
