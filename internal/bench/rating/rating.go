// Package rating simulates the service that rates model responses from 0 to 1.
package rating

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Request is a model response to rate.
type Request struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Answer string `json:"answer"`
}

// Reply is the rating of a model response.
type Reply struct {
	Rating float64 `json:"rating"`
}

// Behavior configures how the service behaves.
type Behavior struct {
	// DelayMillis is the delay of each rating in milliseconds.
	DelayMillis int `json:"delay"`
	// Unavailable makes every request fail with status 503.
	Unavailable bool `json:"down"`
	// Inverted returns 1 minus the rating.
	Inverted bool `json:"wrong"`
	// FixedRatings sets a constant rating for all responses of a model.
	FixedRatings map[string]float64 `json:"models,omitempty"`
}

// Service is a simulated rating service.
type Service struct {
	timer timer.Service

	mu       sync.Mutex
	behavior Behavior
	calls    int
}

// New returns a service.
func New(t timer.Service) *Service { return &Service{timer: t} }

// SetBehavior replaces the behavior.
func (s *Service) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
}

// Register adds the handlers for POST /v1/ratings and PUT /switches.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/ratings", s.handleRating)
	mux.HandleFunc("PUT /switches", func(w http.ResponseWriter, r *http.Request) {
		var b Behavior
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetBehavior(b)
	})
}

func (s *Service) handleRating(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	b := s.behavior
	s.mu.Unlock()
	var q Request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if timer.Sleep(r.Context(), s.timer, time.Duration(b.DelayMillis)*time.Millisecond) != nil {
		return
	}
	if b.Unavailable {
		http.Error(w, "rating service is down", http.StatusServiceUnavailable)
		return
	}
	rating, fixed := b.FixedRatings[q.Model]
	if !fixed {
		rating = float64(xxhash.Sum64String(q.Model+"\n"+q.Prompt)%1000) / 999
	}
	if b.Inverted {
		rating = 1 - rating
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Reply{Rating: rating})
}
