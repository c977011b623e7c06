// Package fault holds the faults that simulated services can be told to show,
// and counts their runs per request.
package fault

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Kind names a fault.
type Kind string

// The kinds of fault.
const (
	// None is the kind of a request that runs without a fault.
	None Kind = ""
	// Crash ends the process once the request was read.
	Crash Kind = "crash"
	// Close closes the connection after the request was read and run.
	Close Kind = "close"
	// Truncate closes the connection after Event events of a stream, or in the middle of a body.
	Truncate Kind = "cut"
	// ResponseMismatch answers with the identity and content of another request.
	ResponseMismatch Kind = "identity"
	// Stall sends Event events and then nothing, without closing the connection.
	Stall Kind = "stall"
	// Delayed answers after Delay milliseconds.
	Delayed Kind = "late"
	// EndEarly ends the answer early, as if it were complete where the framing permits that.
	EndEarly Kind = "short"
	// Reject answers 503 with the outcome "not run".
	Reject Kind = "refuse"
)

// Fault is one fault and the requests that it concerns.
type Fault struct {
	Kind Kind `json:"kind"`
	// Marker restricts the fault to requests whose body contains it.
	Marker string `json:"marker,omitempty"`
	// AfterEvents is the number of stream events that are sent before the fault.
	AfterEvents int `json:"event,omitempty"`
	// DelayMillis is the wait in milliseconds of a late answer.
	DelayMillis int `json:"delay,omitempty"`
	// Count is how many requests the fault concerns; zero means all.
	Count int `json:"count,omitempty"`
}

// DelayDuration returns the delay as a duration.
func (f Fault) DelayDuration() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// Set is the faults of one service.
type Set struct {
	mu     sync.Mutex
	faults []Fault
}

// Replace sets the faults.
func (s *Set) Replace(faults []Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = slices.Clone(faults)
}

// Match returns the first fault that concerns a request with that body and
// uses it up by one.
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

// list returns the faults still in effect.
func (s *Set) list() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Fault{}, s.faults...)
}

// Register serves GET, PUT (a list that replaces the faults) and DELETE on /fault.
func (s *Set) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.list()) })
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
