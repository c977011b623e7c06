package caller

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// bookingService is a fake plain service that counts the calls that it runs.
type bookingService struct {
	// intercept may handle a request; if it returns true, it has written the response.
	intercept func(w http.ResponseWriter, r *http.Request) bool

	mu   sync.Mutex
	runs int
}

func (d *bookingService) runCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs
}

func (d *bookingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	d.mu.Lock()
	d.runs++
	n := d.runs
	d.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if d.intercept != nil && d.intercept(w, r) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, `{"booking":%d}`, n)
}

// startBookingService starts a booking service and registers it as an upstream.
func startBookingService(t *testing.T, f *fakeControl, name string, intercept func(w http.ResponseWriter, r *http.Request) bool) *bookingService {
	t.Helper()
	d := &bookingService{intercept: intercept}
	s := httptest.NewServer(d)
	t.Cleanup(s.Close)
	f.addUpstream(name, s, &wire.Upstream{Service: "desk", Zone: "z1"})
	return d
}
