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

// bed is an engine and a plain service on the paths of an entry.
type bed struct {
	engine *engine.Engine
	plain  *plain.Service
	caller *Caller
	server *httptest.Server
}

func newBed(t *testing.T) *bed {
	t.Helper()
	is := is.New(t)
	clock := timer.NewSystem()
	b := &bed{
		engine: engine.New(engine.Options{Model: "small", Version: "1", BaseStepTime: time.Millisecond, CacheBlocks: 64, Timer: clock}),
		plain:  plain.New(plain.Options{Timer: clock}),
	}
	g := group.New(context.Background())
	g.Go("engine", b.engine.Run)
	mux, calls := http.NewServeMux(), http.NewServeMux()
	b.engine.Register(mux)
	b.plain.Register(calls)
	mux.Handle("/v1/services/desk/", http.StripPrefix("/v1/services/desk", calls))
	b.server = httptest.NewServer(mux)
	address := strings.TrimPrefix(b.server.URL, "http://")
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		// The first address refuses connections.
		fmt.Fprintf(w, `{"entries":[{"address":"127.0.0.1:1"},{"address":%q}],"lifetime":5000}`, address)
	})
	c, err := New(Options{
		Entries: []string{"127.0.0.1:1", address}, Token: "token", Timer: clock,
		Random: rand.New(rand.NewPCG(1, 2)), AttemptTimeout: 500 * time.Millisecond, RequestTimeout: 5 * time.Second,
	})
	is.NoErr(err)
	b.caller = c
	t.Cleanup(func() {
		c.Close()
		b.server.Close()
		is.NoErr(g.Stop())
	})
	return b
}

// Guards against a caller that takes a cut or foreign answer for its own, gives
// up where a resend helps, or resends under another identity.
func TestChatFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   fault.Fault
		stream  bool
		outcome Outcome
		runs    int
	}{
		{"whole", fault.Fault{}, false, Answered, 1},
		{"stream", fault.Fault{}, true, Answered, 1},
		{"closed", fault.Fault{Kind: fault.Close, Count: 1}, false, Answered, 2},
		{"stream cut", fault.Fault{Kind: fault.Truncate, AfterEvents: 3, Count: 1}, true, Answered, 2},
		{"body cut", fault.Fault{Kind: fault.Truncate, Count: 1}, false, Answered, 2},
		{"stream stalled", fault.Fault{Kind: fault.Stall, AfterEvents: 2, Count: 1}, true, Answered, 2},
		{"late", fault.Fault{Kind: fault.Delayed, DelayMillis: 50}, false, Answered, 1},
		{"refused", fault.Fault{Kind: fault.Reject, Count: 1}, false, Answered, 1},
		{"foreign answer", fault.Fault{Kind: fault.ResponseMismatch}, false, Invalid, 1},
		{"foreign stream", fault.Fault{Kind: fault.ResponseMismatch}, true, Invalid, 1},
		{"short stream", fault.Fault{Kind: fault.EndEarly, AfterEvents: 3}, true, Invalid, 1},
		{"other requests only", fault.Fault{Kind: fault.Close, Marker: "poison"}, false, Answered, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBed(t)
			if c.fault.Kind != fault.None {
				b.engine.Faults.Replace([]fault.Fault{c.fault})
			}
			r := b.caller.SendChat(context.Background(), ChatRequest{Model: "small", Prompt: "hello", Stream: c.stream})
			is.Equal(r.Outcome, c.outcome)
			is.Equal(b.engine.Runs.Counts().ByID[r.RequestID], c.runs)
			is.Equal(len(b.caller.History().Records()), 1)
			if c.stream && c.outcome == Answered {
				is.Equal(b.caller.History().Summary().FirstContent.TotalCount(), int64(1))
			}
		})
	}
}

// Guards against calls whose runs are counted under another key than the one sent.
func TestCalls(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	ctx := context.Background()
	booking := PlainRequest{Service: "desk", Method: "POST", Path: "/bookings", Body: []byte(`{"room":1}`), NonIdempotent: true}
	r := b.caller.SendPlain(ctx, booking)
	is.Equal(r.Outcome, Answered)
	is.Equal(b.plain.Runs.Counts().ByID[r.IdempotencyKey], 1)
	r = b.caller.SendPlain(ctx, PlainRequest{Service: "desk", Method: "GET", Path: "/lookups/7"})
	is.Equal(r.Outcome, Answered)
	b.plain.Faults.Replace([]fault.Fault{{Kind: fault.ResponseMismatch}})
	is.Equal(b.caller.SendPlain(ctx, booking).Outcome, Invalid)
	// Without a router in between, a resend runs again; that is what the run counts reveal.
	b.plain.Faults.Replace([]fault.Fault{{Kind: fault.Close, Count: 1}})
	r = b.caller.SendPlain(ctx, booking)
	is.Equal(r.Outcome, Answered)
	is.Equal(b.plain.Runs.Counts().ByID[r.IdempotencyKey], 2)
	is.Equal(r.RunCount, 2)
}

// Guards against an unknown outcome that a later refusal turns into "not run".
func TestOutcomeStaysUnknown(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	b.plain.Faults.Replace([]fault.Fault{{Kind: fault.Close, Count: 1}, {Kind: fault.Reject}})
	b.caller.options.MaxAttempts = 4
	r := b.caller.SendPlain(context.Background(), PlainRequest{Service: "desk", Method: "POST", Path: "/bookings", NonIdempotent: true})
	is.Equal(r.Outcome, Unknown)
	is.Equal(b.plain.Runs.Counts().ByID[r.IdempotencyKey], 1)
}
