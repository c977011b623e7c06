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

	"wisteriakeel.example/wisteriakeel/internal/kernel/retryafter"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// upstreamOf returns an upstream with the address of the server.
func upstreamOf(s *httptest.Server) *wire.Upstream {
	return &wire.Upstream{Name: "u", Incarnation: 1, Address: strings.TrimPrefix(s.URL, "http://")}
}

// sendEvents sends the start of a streamed response to the request with ID "r".
func sendEvents(w http.ResponseWriter, version, body string) {
	w.Header().Set(HeaderRequestID, "r")
	w.Header().Set(HeaderVersion, version)
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprint(w, body)
	w.(http.Flusher).Flush()
}

// failure returns the Failure in err, or an empty one.
func failure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{}
}

// Guards against net/http resending a request after a reused connection broke: it
// takes any request with an Idempotency-Key for idempotent.
func TestInterruptedRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		if r.URL.Path == "/warm" {
			return
		}
		received.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	cl := New(Options{Timer: timer.NewSystem()})
	defer cl.Close()
	p := PlainRequest{Method: "POST", Path: "/bookings", Body: []byte("{}"), RequestID: "r", IdempotencyKey: "k"}
	for _, send := range []func(p PlainRequest) error{
		func(p PlainRequest) error {
			c, err := cl.Dial(context.Background(), upstreamOf(s))
			is.NoErr(err)
			_, err = cl.SendPlainOnce(context.Background(), upstreamOf(s), p, c)
			return err
		},
		func(p PlainRequest) error {
			_, err := cl.SendPlain(context.Background(), upstreamOf(s), p)
			return err
		},
	} {
		for range 3 {
			is.NoErr(send(PlainRequest{Method: "GET", Path: "/warm", RequestID: "w"})) // leaves an idle connection for reuse
			received.Store(0)
			is.Equal(OutcomeOf(send(p)), Unknown)
			is.Equal(received.Load(), int32(1))
		}
	}
}

// Guards against sending a request whose permission or lease ended while the
// connection was being opened.
func TestPreSendCheckFailureSendsNothing(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	}))
	defer s.Close()
	cl := New(Options{Timer: timer.NewSystem()})
	defer cl.Close()
	ctx, errCheck := context.Background(), errors.New("withdrawn")
	for _, check := range []func() error{nil, func() error { return errCheck }} {
		for _, body := range []string{"", "{}"} {
			for range 2 { // over a new and a reused connection
				received.Store(0)
				_, err := cl.SendPlain(ctx, upstreamOf(s), PlainRequest{Method: "POST", Path: "/", Body: []byte(body), RequestID: "r", PreSendCheck: check})
				is.Equal(err == nil, check == nil)
				is.Equal(failure(err).PreSendCheckFailed, check != nil)
				is.Equal(errors.Is(err, errCheck), check != nil)
				is.Equal(received.Load() == 1, check == nil)
			}
		}
	}
}

// Guards against following a redirect, which would send a request to a second address.
func TestRedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer s.Close()
	cl := New(Options{Timer: timer.NewSystem()})
	c, err := cl.Dial(context.Background(), upstreamOf(s))
	is.NoErr(err)
	a, err := cl.SendPlainOnce(context.Background(), upstreamOf(s), PlainRequest{Method: "POST", Path: "/bookings", RequestID: "r", IdempotencyKey: "k"}, c)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusTemporaryRedirect)
	is.Equal(received.Load(), int32(1))
}

// Guards against a wrong outcome of a failed request, such as "not run" for a
// request that may have run.
func TestPlainRequestOutcome(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	closedAddress := closed.Addr().String()
	is.New(t).NoErr(closed.Close())
	for _, c := range []struct {
		name          string
		serve         http.HandlerFunc
		outcome       Outcome
		upstreamFault bool
	}{
		{"connection refused", nil, NotRun, true},
		{"rejected by the upstream", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderOutcome, string(NotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
		}, NotRun, false},
		{"response to another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRequestID, "other")
		}, Unknown, true},
		{"rejection of another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRequestID, "other")
			w.Header().Set(HeaderOutcome, string(NotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
		}, Unknown, true},
		{"truncated response", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, "part")
		}, Unknown, true},
		{"no response", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, Unknown, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := &wire.Upstream{Name: "u", Address: closedAddress}
			if c.serve != nil {
				s := httptest.NewServer(c.serve)
				defer s.Close()
				u = upstreamOf(s)
			}
			cl := New(Options{Timer: timer.NewSystem(), Limits: Limits{HeaderTimeout: 200 * time.Millisecond}})
			defer cl.Close()
			_, err := cl.SendPlain(context.Background(), u, PlainRequest{Method: "GET", Path: "/", RequestID: "r"})
			is.Equal(failure(err).Outcome, c.outcome)
			is.Equal(failure(err).UpstreamFault, c.upstreamFault)
		})
	}
}

// Guards against going on with an upstream that asks for a pause, and against taking a Retry-After in
// another response for that.
func TestUpstreamAsksForPause(t *testing.T) {
	for _, c := range []struct {
		status int
		value  string
		pause  time.Duration // 0 for none
	}{
		{http.StatusServiceUnavailable, "1.5", 1500 * time.Millisecond},
		{http.StatusTooManyRequests, "2", 2 * time.Second},
		{http.StatusServiceUnavailable, "later", retryafter.Default},
		{http.StatusServiceUnavailable, "", 0},
		{http.StatusOK, "2", 0},
	} {
		t.Run(fmt.Sprint(c.status, " ", c.value), func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
				if c.value != "" {
					w.Header().Set("Retry-After", c.value)
				}
				w.WriteHeader(c.status)
			}))
			defer s.Close()
			var got Pause
			cl := New(Options{Timer: timer.NewSystem(), OnPause: func(p Pause) { got = p }})
			defer cl.Close()
			_, _ = cl.SendPlain(context.Background(), upstreamOf(s), PlainRequest{Method: "GET", Path: "/", RequestID: "r"})
			is.Equal(got.Duration, c.pause)
			if c.pause > 0 {
				is.Equal(got.Value, c.value)
				is.Equal(got.Request, "r")
				is.Equal(got.Err != nil, c.value == "later")
			}
		})
	}
}

// Guards against treating an incomplete or invalid stream as complete.
func TestStreamCompleteness(t *testing.T) {
	const open = `data: {"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}` + "\n\n"
	const stop = `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":2,"completion_tokens":1}}` + "\n\n"
	const done = "data: [DONE]\n\n"
	for _, c := range []struct {
		name, version, body string
		abort, complete     bool
	}{
		{"complete", "v1", open + stop + done, false, true},
		{"comment lines", "v1", ": wait\n\n" + strings.Replace(open, `"delta":{`, `"delta":{"tool_calls":null,`, 1) + ": wait\n" + stop + done, false, true},
		{"no [DONE]", "v1", open + stop, false, false},
		{"no finish_reason", "v1", open + done, false, false},
		{"one of two choices unfinished", "v1", `data: {"choices":[{"index":1,"delta":{"content":"b"}}]}` + "\n\n" + open + stop + done, false, false},
		{"content after finish_reason", "v1", open + stop + open + done, false, false},
		{"events after [DONE]", "v1", open + stop + done + open, false, false},
		{"truncated event", "v1", open + stop + "data: [DO", false, false},
		{"connection breaks", "v1", open, true, false},
		{"connection breaks after [DONE]", "v1", open + stop + done, true, false},
		{"error event", "v1", open + `data: {"error":{"message":"x"}}` + "\n\n" + done, false, false},
		{"wrong version", "v2", open + stop + done, false, false},
		{"event of endless lines", "v1", strings.Repeat("data: \n", maxEventBytes/6+1) + open + stop + done, false, false},
		{"endless comments", "v1", open + strings.Repeat(": x\n", maxEventBytes/4+1) + stop + done, false, false},
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
			cl := New(Options{Timer: timer.NewSystem()})
			defer cl.Close()
			n := 0
			res, err := cl.SendChat(context.Background(), upstreamOf(s), ChatRequest{
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

// Guards against a limit on the whole stream in place of its gaps: a slow stream that goes on
// event by event must reach its end.
func TestSlowStreamIsCompleted(t *testing.T) {
	is := is.New(t)
	const events = 6
	event := `data: {"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}` + "\n\n"
	stop := `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	next := make(chan struct{}, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range events {
			sendEvents(w, "v1", event)
			select {
			case <-next:
			case <-r.Context().Done():
				return
			}
		}
		sendEvents(w, "v1", stop+"data: [DONE]\n\n")
	}))
	defer s.Close()
	clock := timer.NewManual()
	cl := New(Options{Timer: clock, Limits: Limits{EventGapTimeout: time.Second, MaxRequestTimeout: time.Hour}})
	defer cl.Close()
	received := 0
	_, err := cl.SendChat(context.Background(), upstreamOf(s), ChatRequest{
		Body: []byte("{}"), RequestID: "r", Version: "v1", Stream: true,
		OnChunk: func(*Chunk) error {
			received++
			clock.Advance(900 * time.Millisecond)
			if received <= events {
				next <- struct{}{}
			}
			return nil
		},
	})
	is.NoErr(err)
	is.Equal(received, events+1)
}

// Guards against a stalled stream that blocks its caller forever, also if the upstream sends
// bytes that are no event now and then, and against an upstream that keeps generating after
// the caller left.
func TestStalledStreamIsCancelled(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave bool
		// between is sent again and again after the first event.
		between string
		cause   error
	}{
		{"no token in time", false, "", ErrEventGapTimeout},
		{"comments only", false, ": wait\n\n", ErrEventGapTimeout},
		{"bytes of an event only", false, "d", ErrEventGapTimeout},
		{"caller leaves", true, "", context.Canceled},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				sendEvents(w, "v1", `data: {"choices":[{"index":0,"delta":{"content":"a"}}]}`+"\n\n")
				for c.between != "" && r.Context().Err() == nil {
					sendEvents(w, "v1", c.between)
					time.Sleep(5 * time.Millisecond)
				}
				<-r.Context().Done()
				close(ended)
			}))
			defer s.Close()
			clock := timer.NewManual()
			cl := New(Options{Timer: clock, Limits: Limits{EventGapTimeout: time.Second, MaxRequestTimeout: time.Hour}})
			defer cl.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			_, err := cl.SendChat(ctx, upstreamOf(s), ChatRequest{
				Body: []byte("{}"), RequestID: "r", Version: "v1", Stream: true,
				OnChunk: func(*Chunk) error {
					if c.leave {
						cancel()
						return nil
					}
					// The client resets the deadline after this event, so the clock has to
					// advance a little later.
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

// Guards against a copy of an earlier refusal without an id, on a connection in use again, that is taken for
// the refusal of a call that runs.
func TestSecondCopyOfRefusal(t *testing.T) {
	is := is.New(t)
	first := true
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, string(NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	cl := New(Options{Timer: timer.NewSystem()})
	defer cl.Close()
	for range 3 {
		_, err := cl.SendPlain(context.Background(), upstreamOf(s), PlainRequest{Method: "GET", Path: "/", RequestID: "r"})
		if first {
			is.Equal(failure(err).Outcome, NotRun)
			is.True(failure(err).Rejected)
		} else {
			is.Equal(failure(err).Outcome, Unknown)
		}
		first = false
	}
}
