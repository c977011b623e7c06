package rating

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Every configured behavior must take effect.
func TestBehavior(t *testing.T) {
	is := is.New(t)
	s := New(timer.NewSystem())
	mux := http.NewServeMux()
	s.Register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	for _, c := range []struct {
		behavior Behavior
		status   int
		rating   float64
	}{
		{Behavior{FixedRatings: map[string]float64{"small": 0.25}}, http.StatusOK, 0.25},
		{Behavior{FixedRatings: map[string]float64{"small": 0.25}, Inverted: true, DelayMillis: 1}, http.StatusOK, 0.75},
		{Behavior{Unavailable: true}, http.StatusServiceUnavailable, 0},
	} {
		s.SetBehavior(c.behavior)
		r, err := http.Post(server.URL+"/v1/ratings", "application/json", strings.NewReader(`{"model":"small"}`))
		is.NoErr(err)
		is.Equal(r.StatusCode, c.status)
		var reply Reply
		_ = json.NewDecoder(r.Body).Decode(&reply)
		is.NoErr(r.Body.Close())
		is.Equal(reply.Rating, c.rating)
	}
}
