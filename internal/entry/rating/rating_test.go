package rating

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against accepting a reply without a valid rating: a missing number would
// count as 0, and a number above 1 would stop every escalation to a larger model.
func TestRate(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		rating float64
		ok     bool
	}{
		{"rated", 200, `{"rating":0.7}`, 0.7, true},
		{"zero", 200, `{"rating":0}`, 0, true},
		{"missing", 200, `{}`, 0, false},
		{"too high", 200, `{"rating":1.5}`, 0, false},
		{"down", 503, `{"rating":1}`, 0, false},
		{"not JSON", 200, `<html>`, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer s.Close()
			client := New(s.URL)
			defer client.Close()
			rating, err := client.Rate(context.Background(), "wisteria-pool", "small", []byte("{}"), []byte("answer"))
			is.Equal(err == nil, c.ok)
			is.Equal(rating, c.rating)
		})
	}
}
