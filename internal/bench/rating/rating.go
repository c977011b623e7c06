// Package rating simulates the service that rates answers from 0 to 1.
package rating

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Request is one answer to rate.
type Request struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Answer string `json:"answer"`
}

// Reply is the rating of an answer.
type Reply struct {
	Rating float64 `json:"rating"`
}

// Behavior change how the service behaves.
type Behavior struct {
	// DelayMillis is the wait in milliseconds before each rating.
	DelayMillis int `json:"delay"`
	// Unavailable makes every call fail.
	Unavailable bool `json:"down"`
	// Inverted inverts each rating.
	Inverted bool `json:"wrong"`
	// FixedRatings fixes the rating of all answers of a model.
	FixedRatings map[string]float64 `json:"models,omitempty"`
}

// Service is one simulated rating service.
type Service struct {
	timer timer.Service

	mu       sync.Mutex
	switches Behavior
	calls    int
}

// New returns a service.
func New(t timer.Service) *Service { return &Service{timer: t} }

// SetBehavior replaces the switches.
func (s *Service) SetBehavior(w Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = w
}

// Register serves POST /v1/ratings and PUT /switches.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/ratings", s.rate)
	mux.HandleFunc("PUT /switches", func(w http.ResponseWriter, r *http.Request) {
		var v Behavior
		if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetBehavior(v)
	})
}

func (s *Service) rate(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	v := s.switches
	s.mu.Unlock()
	var q Request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if timer.Sleep(r.Context(), s.timer, time.Duration(v.DelayMillis)*time.Millisecond) != nil {
		return
	}
	if v.Unavailable {
		http.Error(w, "rating service is down", http.StatusServiceUnavailable)
		return
	}
	rating, fixed := v.FixedRatings[q.Model]
	if !fixed {
		rating = float64(xxhash.Sum64String(q.Model+"\n"+q.Prompt)%1000) / 999
	}
	if v.Inverted {
		rating = 1 - rating
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Reply{Rating: rating})
}
