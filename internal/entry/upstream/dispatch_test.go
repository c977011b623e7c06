package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

func at(s *httptest.Server) *wire.Upstream {
	return &wire.Upstream{Name: "u", Incarnation: 1, Address: strings.TrimPrefix(s.URL, "http://")}
}

// sendEvents sends a part of a stream for request r.
func sendEvents(w http.ResponseWriter, version, body string) {
	w.Header().Set(HeaderRequestID, "r")
	w.Header().Set(HeaderVersion, version)
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprint(w, body)
	w.(http.Flusher).Flush()
}

func failure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{}
}

// Guards against net/http sending a call again: with an Idempotency-Key it
// takes any method as repeatable once a reused connection breaks.
func TestBrokenCallIsSentOnce(t *testing.T) {
	is := is.New(t)
	var seen atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		if r.URL.Path == "/warm" {
			return
		}
		seen.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	d := New(Options{Timer: timer.NewSystem()})
	defer d.Close()
	p := PlainRequest{Method: "POST", Path: "/bookings", Body: []byte("{}"), RequestID: "r", IdempotencyKey: "k"}
	for _, send := range []func(p PlainRequest) error{
		func(p PlainRequest) error {
			c, err := d.Dial(context.Background(), at(s))
			is.NoErr(err)
			_, err = d.SendPlainOnce(context.Background(), at(s), p, c)
			return err
		},
		func(p PlainRequest) error {
			_, err := d.SendPlain(context.Background(), at(s), p)
			return err
		},
	} {
		for range 3 {
			is.NoErr(send(PlainRequest{Method: "GET", Path: "/warm", RequestID: "w"})) // leaves a reusable connection
			seen.Store(0)
			is.Equal(OutcomeOf(send(p)), Unknown)
			is.Equal(seen.Load(), int32(1))
		}
	}
}

// Guards against calls that are sent after their permission or lease ended
// while the connection was opened.
func TestCheckStopsTheCallUnsent(t *testing.T) {
	is := is.New(t)
	var seen atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	}))
	defer s.Close()
	d := New(Options{Timer: timer.NewSystem()})
	defer d.Close()
	ctx, withdrawn := context.Background(), errors.New("withdrawn")
	for _, check := range []func() error{nil, func() error { return withdrawn }} {
		for _, body := range []string{"", "{}"} {
			for range 2 { // over a fresh and a reused connection
				seen.Store(0)
				_, err := d.SendPlain(ctx, at(s), PlainRequest{Method: "POST", Path: "/", Body: []byte(body), RequestID: "r", PreSendCheck: check})
				is.Equal(err == nil, check == nil)
				is.Equal(failure(err).PreSendCheckFailed, check != nil)
				is.Equal(errors.Is(err, withdrawn), check != nil)
				is.Equal(seen.Load() == 1, check == nil)
			}
		}
	}
}

// Guards against redirects carrying a call to a second place.
func TestRedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	var seen atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer s.Close()
	d := New(Options{Timer: timer.NewSystem()})
	c, err := d.Dial(context.Background(), at(s))
	is.NoErr(err)
	a, err := d.SendPlainOnce(context.Background(), at(s), PlainRequest{Method: "POST", Path: "/bookings", RequestID: "r", IdempotencyKey: "k"}, c)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusTemporaryRedirect)
	is.Equal(seen.Load(), int32(1))
}

// Guards against outcomes that are not true.
func TestOutcomeOfPlainCall(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	refusing := closed.Addr().String()
	is.New(t).NoErr(closed.Close())
	for _, c := range []struct {
		name    string
		serve   http.HandlerFunc
		outcome Outcome
		blame   bool
	}{
		{"connection refused", nil, NotRun, true},
		{"refused by the upstream", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderOutcome, string(NotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
		}, NotRun, false},
		{"answer of another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRequestID, "other")
		}, Unknown, true},
		{"refusal of another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRequestID, "other")
			w.Header().Set(HeaderOutcome, string(NotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
		}, Unknown, true},
		{"truncated answer", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, "part")
		}, Unknown, true},
		{"silent upstream", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, Unknown, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := &wire.Upstream{Name: "u", Address: refusing}
			if c.serve != nil {
				s := httptest.NewServer(c.serve)
				defer s.Close()
				u = at(s)
			}
			d := New(Options{Timer: timer.NewSystem(), Limits: Limits{HeaderTimeout: 200 * time.Millisecond}})
			defer d.Close()
			_, err := d.SendPlain(context.Background(), u, PlainRequest{Method: "GET", Path: "/", RequestID: "r"})
			is.Equal(failure(err).Outcome, c.outcome)
			is.Equal(failure(err).UpstreamFault, c.blame)
		})
	}
}

// Guards against streams that are passed on as complete although they are not.
func TestStreamIsCheckedToItsEnd(t *testing.T) {
	const open = `data: {"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}` + "\n\n"
	const stop = `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":2,"completion_tokens":1}}` + "\n\n"
	const done = "data: [DONE]\n\n"
	for _, c := range []struct {
		name, version, body string
		abort, complete     bool
	}{
		{"complete", "v1", open + stop + done, false, true},
		{"comment lines", "v1", ": wait\n\n" + strings.Replace(open, `"delta":{`, `"delta":{"tool_calls":null,`, 1) + ": wait\n" + stop + done, false, true},
		{"no end mark", "v1", open + stop, false, false},
		{"no finish_reason", "v1", open + done, false, false},
		{"one of two choices unfinished", "v1", `data: {"choices":[{"index":1,"delta":{"content":"b"}}]}` + "\n\n" + open + stop + done, false, false},
		{"content after the finish", "v1", open + stop + open + done, false, false},
		{"events after the end mark", "v1", open + stop + done + open, false, false},
		{"event breaks off", "v1", open + stop + "data: [DO", false, false},
		{"connection breaks", "v1", open, true, false},
		{"connection breaks after the end mark", "v1", open + stop + done, true, false},
		{"error event", "v1", open + `data: {"error":{"message":"x"}}` + "\n\n" + done, false, false},
		{"wrong version", "v2", open + stop + done, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				sendEvents(w, c.version, c.body)
				if c.abort {
					panic(http.ErrAbortHandler)
				}
			}))
			defer s.Close()
			d := New(Options{Timer: timer.NewSystem()})
			defer d.Close()
			n := 0
			res, err := d.SendChat(context.Background(), at(s), ChatRequest{
				Body: []byte("{}"), RequestID: "r", Version: "v1", Stream: true,
				OnChunk: func(*Chunk) error { n++; return nil },
			})
			if c.complete {
				is.NoErr(err)
				is.Equal(res.Usage, Usage{InputTokens: 2, OutputTokens: 1})
				is.Equal(n, 2)
				return
			}
			is.Equal(failure(err).Outcome, Failed)
			is.True(failure(err).UpstreamFault)
		})
	}
}

// Guards against a stream that goes silent holding its caller forever, and
// against upstreams that go on working for callers who left.
func TestSilentStreamEndsByTheTimer(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave bool
		cause error
	}{
		{"no token in time", false, ErrTokenTimeout},
		{"caller leaves", true, context.Canceled},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				sendEvents(w, "v1", `data: {"choices":[{"index":0,"delta":{"content":"a"}}]}`+"\n\n")
				<-r.Context().Done()
				close(ended)
			}))
			defer s.Close()
			clock := timer.NewManual()
			d := New(Options{Timer: clock, Limits: Limits{TokenTimeout: time.Second, CallTimeout: time.Hour}})
			defer d.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			_, err := d.SendChat(ctx, at(s), ChatRequest{
				Body: []byte("{}"), RequestID: "r", Version: "v1", Stream: true,
				OnChunk: func(*Chunk) error {
					if c.leave {
						cancel()
						return nil
					}
					// The deadline is set again after this event; it passes a little later.
					time.AfterFunc(50*time.Millisecond, func() { clock.Advance(2 * time.Second) })
					return nil
				},
			})
			is.Equal(failure(err).Outcome, Failed)
			is.True(errors.Is(err, c.cause))
			<-ended
		})
	}
}
