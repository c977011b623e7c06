package caller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
)

// transcript records requests, responses and charges as text.
type transcript struct {
	t    *testing.T
	base string
	text strings.Builder
}

func (s *transcript) send(method, path, body string, headers ...string) {
	fmt.Fprintf(&s.text, "> %s %s\n", method, path)
	for i := 0; i < len(headers); i += 2 {
		fmt.Fprintf(&s.text, "> %s: %s\n", headers[i], headers[i+1])
	}
	fmt.Fprintf(&s.text, ">\n> %s\n", body)
	resp, answer := send(s.t, method, s.base+path, body, headers...)
	fmt.Fprintf(&s.text, "< %d\n", resp.StatusCode)
	for _, n := range []string{
		"Content-Type", "X-Request-Id", "Wisteriakeel-Model", "Wisteriakeel-Session-Moved", "Wisteriakeel-Outcome",
	} {
		if v := resp.Header.Get(n); v != "" {
			fmt.Fprintf(&s.text, "< %s: %s\n", n, v)
		}
	}
	fmt.Fprintln(&s.text, "<")
	for _, line := range strings.Split(strings.TrimRight(answer, "\n"), "\n") {
		fmt.Fprintln(&s.text, strings.TrimRight("< "+line, " "))
	}
}

func (s *transcript) charges(f *fakeControl) {
	for _, c := range f.recordedCharges() {
		fmt.Fprintf(&s.text, "= charge %s %s %s@%s input=%d output=%d amount=%d attempts=%d\n",
			c.Account, c.Request, c.Model, c.Version, c.Input, c.Output, c.Amount, len(c.Costs))
	}
}

// Guards against any change in the responses of a streamed session, on the wire.
func TestStreamedSessionGolden(t *testing.T) {
	active := document.VersionSpec{Name: "v1", State: document.StateActive}
	f := newFakeControl(poolWithVersions(active))
	startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: []string{"Dear", " town"}, breakAfter: -1})
	startEngine(t, f, "w2", "small", &fakeEngine{version: "v2", words: []string{"Dear", " city"}, breakAfter: -1})
	_, s := newHandler(t, f, nil)
	g := &transcript{t: t, base: s.URL}
	g.send("GET", "/v1/models", "", "X-Request-Id", "r-0")
	g.send("POST", "/v1/chat/completions", chatBody("small", true), "X-Request-Id", "r-1", "Wisteriakeel-Session", "s")
	withdrawn := document.VersionSpec{Name: "v1", State: document.StateWithdrawn}
	f.setDocuments(poolWithVersions(withdrawn, document.VersionSpec{Name: "v2", State: document.StateActive}))
	g.send("POST", "/v1/chat/completions", chatBody("small", true), "X-Request-Id", "r-2", "Wisteriakeel-Session", "s")
	g.send("POST", "/v1/chat/completions", `{"model":"small","stream":true,"stream_options":{"include_usage":true}}`, "X-Request-Id", "r-3", "Wisteriakeel-Session", "s")
	g.charges(f)
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "session", []byte(g.text.String()))
}

// Guards against any change in the responses to a booking and its resends, on the wire.
func TestBookingGolden(t *testing.T) {
	f := newFakeControl(deskDocument())
	startBookingService(t, f, "d1", func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("Idempotency-Key") == "lost" {
			panic(http.ErrAbortHandler)
		}
		return false
	})
	_, s := newHandler(t, f, nil)
	g := &transcript{t: t, base: s.URL}
	g.send("POST", bookingsPath, `{"room":1}`, "X-Request-Id", "r-1", "Idempotency-Key", "k")
	g.send("POST", bookingsPath, `{"room":1}`, "X-Request-Id", "r-2", "Idempotency-Key", "k")
	g.send("POST", bookingsPath, `{"room":2}`, "X-Request-Id", "r-3", "Idempotency-Key", "k")
	g.send("POST", bookingsPath, `{"room":1}`, "X-Request-Id", "r-4", "Idempotency-Key", "lost")
	g.send("POST", bookingsPath, `{"room":1}`, "X-Request-Id", "r-5", "Idempotency-Key", "lost")
	g.charges(f)
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "booking", []byte(g.text.String()))
}
