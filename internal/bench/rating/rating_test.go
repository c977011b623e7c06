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

// Guards against switches without effect.
func TestSwitches(t *testing.T) {
	is := is.New(t)
	s := New(timer.NewSystem())
	mux := http.NewServeMux()
	s.Register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	for _, c := range []struct {
		switches Switches
		status   int
		rating   float64
	}{
		{Switches{Models: map[string]float64{"small": 0.25}}, http.StatusOK, 0.25},
		{Switches{Models: map[string]float64{"small": 0.25}, Wrong: true, Delay: 1}, http.StatusOK, 0.75},
		{Switches{Down: true}, http.StatusServiceUnavailable, 0},
	} {
		s.Set(c.switches)
		r, err := http.Post(server.URL+"/v1/ratings", "application/json", strings.NewReader(`{"model":"small"}`))
		is.NoErr(err)
		is.Equal(r.StatusCode, c.status)
		var reply Reply
		_ = json.NewDecoder(r.Body).Decode(&reply)
		is.NoErr(r.Body.Close())
		is.Equal(reply.Rating, c.rating)
	}
}
