package upstream

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Guards against malformed announcements, leaves and events that cause a panic or
// have an effect although they were rejected.
func FuzzAnnouncement(f *testing.F) {
	for _, path := range []string{"announce", "leave", "events"} {
		f.Add(path, registration)
		f.Add(path, `{"name":"w1","incarnation":5,"sequence":4}`)
		f.Add(path, `{"name":"w1","events":[{"kind":"stored","prefix":"ab"}]}`)
	}
	f.Fuzz(func(t *testing.T, path, body string) {
		if path != "announce" && path != "leave" && path != "events" {
			t.Skip()
		}
		g := &fakeRegistrar{config: &control.Config{Upstreams: map[string]*wire.Upstream{}}}
		mux := http.NewServeMux()
		NewHandler(g, tokens{"all": "w*"}).Register(mux)
		r := httptest.NewRequest("POST", "/v1/upstreams/"+path, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer all")
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, r)
		if w.Code != http.StatusOK && len(g.announced)+len(g.heard)+len(g.left) > 0 {
			t.Fatalf("status %d, but the message had an effect", w.Code)
		}
	})
}
