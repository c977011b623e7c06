package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	"wisteriakeel.example/wisteriakeel/internal/bench/fault"
	"wisteriakeel.example/wisteriakeel/internal/bench/plain"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// testServer serves an engine and a plain service on the paths that an entry uses, and
// has a caller for them.
type testServer struct {
	engine *engine.Engine
	plain  *plain.Service
	caller *Caller
	server *httptest.Server
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	is := is.New(t)
	clock := timer.NewSystem()
	s := &testServer{
		engine: engine.New(engine.Options{Model: "small", Version: "1", BaseStepTime: time.Millisecond, CacheBlocks: 64, Timer: clock}),
		plain:  plain.New(plain.Options{Timer: clock}),
	}
	g := group.New(context.Background())
	g.Go("engine", s.engine.Run)
	mux, calls := http.NewServeMux(), http.NewServeMux()
	s.engine.Register(mux)
	s.plain.Register(calls)
	mux.Handle("/v1/services/desk/", http.StripPrefix("/v1/services/desk", calls))
	s.server = httptest.NewServer(mux)
	address := strings.TrimPrefix(s.server.URL, "http://")
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		// Nothing listens on the first address.
		fmt.Fprintf(w, `{"entries":[{"address":"127.0.0.1:1"},{"address":%q}],"lifetime":5000}`, address)
	})
	c, err := New(Options{
		Entries: []string{"127.0.0.1:1", address}, Token: "token", Timer: clock,
		Random: rand.New(rand.NewPCG(1, 2)), AttemptTimeout: 500 * time.Millisecond, RequestTimeout: 5 * time.Second,
	})
	is.NoErr(err)
	s.caller = c
	t.Cleanup(func() {
		c.Close()
		s.server.Close()
		is.NoErr(g.Stop())
	})
	return s
}

// The caller must detect truncated and mismatched responses, retry where that can
// succeed, and keep the request id in retries.
func TestChatFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   fault.Fault
		stream  bool
		outcome Outcome
		runs    int
	}{
		{"complete body", fault.Fault{}, false, Answered, 1},
		{"complete stream", fault.Fault{}, true, Answered, 1},
		{"connection closed", fault.Fault{Kind: fault.Close, Count: 1}, false, Answered, 2},
		{"stream truncated", fault.Fault{Kind: fault.Truncate, AfterEvents: 3, Count: 1}, true, Answered, 2},
		{"body truncated", fault.Fault{Kind: fault.Truncate, Count: 1}, false, Answered, 2},
		{"stream stalled", fault.Fault{Kind: fault.Stall, AfterEvents: 2, Count: 1}, true, Answered, 2},
		{"delayed", fault.Fault{Kind: fault.Delayed, DelayMillis: 50}, false, Answered, 1},
		{"rejected", fault.Fault{Kind: fault.Reject, Count: 1}, false, Answered, 1},
		{"body of another request", fault.Fault{Kind: fault.ResponseMismatch}, false, Invalid, 1},
		{"stream of another request", fault.Fault{Kind: fault.ResponseMismatch}, true, Invalid, 1},
		{"stream ends early", fault.Fault{Kind: fault.EndEarly, AfterEvents: 3}, true, Invalid, 1},
		{"fault for other requests", fault.Fault{Kind: fault.Close, Marker: "poison"}, false, Answered, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t)
			if c.fault.Kind != fault.None {
				s.engine.Faults.Replace([]fault.Fault{c.fault})
			}
			r := s.caller.SendChat(context.Background(), ChatRequest{Model: "small", Prompt: "hello", Stream: c.stream})
			is.Equal(r.Outcome, c.outcome)
			is.Equal(s.engine.Runs.Counts().ByID[r.RequestID], c.runs)
			is.Equal(len(s.caller.History().Records()), 1)
			if c.stream && c.outcome == Answered {
				is.Equal(s.caller.History().Summary().FirstContent.TotalCount(), int64(1))
			}
		})
	}
}

// The service must count runs under the idempotency key that the caller sent.
func TestPlainRequests(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	ctx := context.Background()
	booking := PlainRequest{Service: "desk", Method: "POST", Path: "/bookings", Body: []byte(`{"room":1}`), NonIdempotent: true}
	r := s.caller.SendPlain(ctx, booking)
	is.Equal(r.Outcome, Answered)
	is.Equal(s.plain.Runs.Counts().ByID[r.IdempotencyKey], 1)
	r = s.caller.SendPlain(ctx, PlainRequest{Service: "desk", Method: "GET", Path: "/lookups/7"})
	is.Equal(r.Outcome, Answered)
	s.plain.Faults.Replace([]fault.Fault{{Kind: fault.ResponseMismatch}})
	is.Equal(s.caller.SendPlain(ctx, booking).Outcome, Invalid)
	// Without a router in between, a retry runs the call again, and the run count shows it.
	s.plain.Faults.Replace([]fault.Fault{{Kind: fault.Close, Count: 1}})
	r = s.caller.SendPlain(ctx, booking)
	is.Equal(r.Outcome, Answered)
	is.Equal(s.plain.Runs.Counts().ByID[r.IdempotencyKey], 2)
	is.Equal(r.RunCount, 2)
}

// A rejected retry must not turn an unknown outcome into "not run".
func TestOutcomeStaysUnknown(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	s.plain.Faults.Replace([]fault.Fault{{Kind: fault.Close, Count: 1}, {Kind: fault.Reject}})
	s.caller.options.MaxAttempts = 4
	r := s.caller.SendPlain(context.Background(), PlainRequest{Service: "desk", Method: "POST", Path: "/bookings", NonIdempotent: true})
	is.Equal(r.Outcome, Unknown)
	is.Equal(s.plain.Runs.Counts().ByID[r.IdempotencyKey], 1)
}
