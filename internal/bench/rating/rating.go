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

// Switches change how the service behaves.
type Switches struct {
	// Delay is the wait in milliseconds before each rating.
	Delay int `json:"delay"`
	// Down makes every call fail.
	Down bool `json:"down"`
	// Wrong inverts each rating.
	Wrong bool `json:"wrong"`
	// Models fixes the rating of all answers of a model.
	Models map[string]float64 `json:"models,omitempty"`
}

// Service is one simulated rating service.
type Service struct {
	timer timer.Service

	mu       sync.Mutex
	switches Switches
	calls    int
}

// New returns a service.
func New(t timer.Service) *Service { return &Service{timer: t} }

// Set replaces the switches.
func (s *Service) Set(w Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = w
}

// Register serves POST /v1/ratings and PUT /switches.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/ratings", s.rate)
	mux.HandleFunc("PUT /switches", func(w http.ResponseWriter, r *http.Request) {
		var v Switches
		if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(v)
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
	if timer.Sleep(r.Context(), s.timer, time.Duration(v.Delay)*time.Millisecond) != nil {
		return
	}
	if v.Down {
		http.Error(w, "rating service is down", http.StatusServiceUnavailable)
		return
	}
	rating, fixed := v.Models[q.Model]
	if !fixed {
		rating = float64(xxhash.Sum64String(q.Model+"\n"+q.Prompt)%1000) / 999
	}
	if v.Wrong {
		rating = 1 - rating
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Reply{Rating: rating})
}
