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

// desk is a fake plain service that counts what it runs.
type desk struct {
	// edit takes a request over if it returns true.
	edit func(w http.ResponseWriter, r *http.Request) bool

	mu   sync.Mutex
	runs int
}

func (d *desk) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs
}

func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	d.mu.Lock()
	d.runs++
	n := d.runs
	d.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if d.edit != nil && d.edit(w, r) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, `{"booking":%d}`, n)
}

func startDesk(t *testing.T, f *fakeControl, name string, edit func(w http.ResponseWriter, r *http.Request) bool) *desk {
	t.Helper()
	d := &desk{edit: edit}
	s := httptest.NewServer(d)
	t.Cleanup(s.Close)
	f.join(name, s, &wire.Upstream{Service: "desk", Zone: "z1"})
	return d
}
