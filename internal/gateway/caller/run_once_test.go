package caller

import (
	"strings"
	"sync"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
)

// routeKinds are routes of each kind whose model the gateway selects.
var routeKinds = []struct {
	name       string
	route      layout.Route
	repeatable bool
}{
	{"non-idempotent", layout.Route{Kind: layout.NonIdempotent, MaxAttempts: 3}, false},
	{"stream", layout.Route{Kind: layout.Stream, MaxAttempts: 3}, false},
	{"resumable stream", layout.Route{Kind: layout.Stream, MaxAttempts: 3, Resumable: true}, true},
	{"resumable stream, one attempt", layout.Route{Kind: layout.Stream, MaxAttempts: 1, Resumable: true}, false},
	{"resumable stream, no number of attempts", layout.Route{Kind: layout.Stream, Resumable: true}, false},
	{"idempotent", layout.Route{Kind: layout.Idempotent, MaxAttempts: 2}, true},
	{"idempotent, one attempt", layout.Route{Kind: layout.Idempotent, MaxAttempts: 1}, false},
}

// Guards against a request that runs again although it may run once, in any way in which
// requests are sent again, and against one that does not run again although it may.
func TestRunsOnce(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"
	for _, way := range []struct {
		name   string
		handle func(e *upstreamtest.Exchange) bool
		// onlyStream is true if only a stream goes on after what the upstream does.
		onlyStream bool
	}{
		{"low confidence", func(e *upstreamtest.Exchange) bool { return respond(e, 200, "x", "Signature: s", "Confidence: 5") }, false},
		{"low confidence, stream", func(e *upstreamtest.Exchange) bool {
			writeEvents(e, "Confidence: 5\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n")
			e.Write(lastChunk)
			return true
		}, false},
		{"no response", func(*upstreamtest.Exchange) bool { return false }, false},
		{"reset", func(e *upstreamtest.Exchange) bool { e.Reset(); return false }, false},
		{"head without its end", func(e *upstreamtest.Exchange) bool { e.Write("HTTP/1.1 200 OK\r\nRequ"); return false }, false},
		{"response to another request", func(e *upstreamtest.Exchange) bool {
			e.Write("HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 1\r\n\r\nx")
			return false
		}, false},
		{"no signature", func(e *upstreamtest.Exchange) bool { return respond(e, 200, "x") }, false},
		{"short body", func(e *upstreamtest.Exchange) bool { e.Write(signed + "Content-Length: 9\r\n\r\nhalf"); return false }, false},
		{"status 0", func(e *upstreamtest.Exchange) bool { return respond(e, 0, "x", "Signature: s") }, false},
		{"status 101", func(e *upstreamtest.Exchange) bool { return respond(e, 101, "x", "Signature: s") }, false},
		{"status 600", func(e *upstreamtest.Exchange) bool { return respond(e, 600, "x", "Signature: s") }, false},
		{"failure", func(e *upstreamtest.Exchange) bool { return respond(e, 500, "bad", "Signature: s") }, false},
		{"failure without a length", func(e *upstreamtest.Exchange) bool {
			e.Write("HTTP/1.1 503 x\r\nRequest-Id: r1\r\nSignature: s\r\n\r\nbad")
			return false
		}, false},
		{"ends before the first event", func(e *upstreamtest.Exchange) bool {
			writeEvents(e, "Confidence: 99\r\nContent-Type: text/event-stream\r\n")
			return false
		}, false},
		{"ends after the first event", func(e *upstreamtest.Exchange) bool {
			writeEvents(e, "Confidence: 99\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n")
			return false
		}, true},
	} {
		for _, kind := range routeKinds {
			t.Run(way.name+"/"+kind.name, func(t *testing.T) {
				servers := []*upstreamtest.Server{startUpstream(t, way.handle), startUpstream(t, way.handle), startUpstream(t, way.handle)}
				f := newFixture(t, nil, servers)
				f.addSizedRoute(kind.route)
				f.do("POST", "/sized/1", "body", "Model", "*")
				runs := 0
				for _, s := range servers {
					runs += len(s.Requests())
				}
				if !kind.repeatable {
					f.Equal(runs, 1)
				} else if kind.route.Kind == layout.Stream || !way.onlyStream {
					f.True(runs > 1)
				}
			})
		}
	}
}

// Guards against a request that may run once and is given up although it has not run.
func TestRunsOnceAfterRefusals(t *testing.T) {
	for _, kind := range routeKinds {
		t.Run(kind.name, func(t *testing.T) {
			full := startUpstream(t, func(e *upstreamtest.Exchange) bool { return respond(e, 503, "", "Refused: 1") })
			var mu sync.Mutex
			var models []string
			good := startUpstream(t, func(e *upstreamtest.Exchange) bool {
				mu.Lock()
				defer mu.Unlock()
				models = append(models, e.Request.Header.Get("Model"))
				return respond(e, 200, "ok", "Signature: s", "Confidence: 99")
			})
			f := newFixture(t, nil, []*upstreamtest.Server{full, good})
			f.addSizedRoute(kind.route)
			for range 4 {
				f.Equal(f.do("POST", "/sized/1", "body", "Model", "*").status, 200)
			}
			// What can't escalate starts with the model that it ends with.
			first := map[bool]string{true: "small", false: "large"}[kind.repeatable]
			f.Equal(strings.Join(models, " "), strings.TrimSpace(strings.Repeat(first+" ", 4)))
		})
	}
}

// addSizedRoute adds a route with the prefix /sized/ to the layout, with a small and a large model unless it
// has models.
func (f *fixture) addSizedRoute(r layout.Route) {
	r.Name, r.Host, r.Prefix, r.Timeout = "sized", "h", "/sized/", 3*time.Second
	r.Shares = []layout.Share{{Service: "pool", Weight: 1}}
	if r.Models == nil {
		r.Models = []layout.Model{"small", "large"}
	}
	l := f.view.Layout()
	l.Routes = append(l.Routes, &r)
	f.NoErr(l.Prepare())
}
