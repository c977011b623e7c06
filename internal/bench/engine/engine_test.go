package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/bench/fault"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// startEngine runs an engine behind a test server and returns its URL.
func startEngine(t *testing.T, o Options) (*Engine, string) {
	t.Helper()
	o.Model, o.Version, o.Timer = "small", "1", timer.NewSystem()
	e := New(o)
	g := group.New(context.Background())
	g.Go("engine", e.Run)
	mux := http.NewServeMux()
	e.Register(mux)
	s := httptest.NewServer(mux)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
		_ = g.Stop()
	})
	return e, s.URL
}

// post sends a chat request with additional headers, given as key-value pairs.
func post(ctx context.Context, t *testing.T, url string, q Request, headers ...string) *http.Response {
	t.Helper()
	is := is.New(t)
	body, err := json.Marshal(q)
	is.NoErr(err)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	is.NoErr(err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func chatRequest(text string, stream bool) Request {
	return Request{Model: "small", Messages: []Message{{Role: "user", Content: text}}, Stream: stream}
}

// A resumed stream must not repeat or skip words.
func TestResume(t *testing.T) {
	is := is.New(t)
	_, url := startEngine(t, Options{})
	q := chatRequest("resume me", true)
	words, _ := AnswerWords(q.Messages, 0)
	for _, from := range []int{0, 4, len(words) - 1, len(words)} {
		r := post(t.Context(), t, url, q, "X-Request-Id", "r1", "Wisteriakeel-Resume", strconv.Itoa(from), "Wisteriakeel-Version", "1")
		is.Equal(r.StatusCode, http.StatusOK)
		is.Equal(r.Header.Get("X-Request-Id"), "r1")
		is.Equal(r.Header.Get("Wisteriakeel-Version"), "1")
		is.True(strings.HasPrefix(r.Header.Get("Wisteriakeel-Load"), "running="))
		var text strings.Builder
		lines := bufio.NewScanner(r.Body)
		last := ""
		for lines.Scan() {
			data, ok := strings.CutPrefix(lines.Text(), "data: ")
			if !ok {
				continue
			}
			last = data
			var c Completion
			if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1 {
				text.WriteString(c.Choices[0].Delta.Content)
			}
		}
		is.Equal(text.String(), strings.Join(words[from:], ""))
		is.Equal(last, "[DONE]")
	}
}

// Rejections must carry the outcome "not run", and a request for another version
// must not run.
func TestRejections(t *testing.T) {
	is := is.New(t)
	e, url := startEngine(t, Options{Slots: 1, QueueCapacity: 0, BaseStepTime: 20 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	running := post(ctx, t, url, chatRequest("first", true), "X-Request-Id", "a")
	is.Equal(running.StatusCode, http.StatusOK)
	for _, c := range []struct{ version, text string }{{"1", "full"}, {"2", "engine holds small@1"}} {
		r := post(t.Context(), t, url, chatRequest("second", false), "Wisteriakeel-Version", c.version)
		is.Equal(r.StatusCode, http.StatusServiceUnavailable)
		is.Equal(r.Header.Get("Wisteriakeel-Outcome"), "not run")
		body, err := io.ReadAll(r.Body)
		is.NoErr(err)
		is.True(strings.Contains(string(body), c.text))
	}
	is.Equal(e.Runs.Counts().Started, 1)
	// Closing the connection must free the slot.
	cancel()
	for e.Load().Running > 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(post(t.Context(), t, url, chatRequest("third", false)).StatusCode, http.StatusOK)
	is.Equal(e.Runs.Counts().Cancelled, 1)
}

// The queue must respect priorities, the step time must depend on the batch, and
// the prefix cache must be bounded.
func TestBatch(t *testing.T) {
	is := is.New(t)
	b := newBatch(Options{Slots: 2, QueueCapacity: 8, CacheBlocks: 2, BaseStepTime: 10, StepTimePerSequence: 3, PrefillTimePerToken: 1})
	add := func(priority int, blocks ...uint64) *sequence {
		s := &sequence{ctx: t.Context(), priority: priority, promptTokens: 16 * len(blocks), promptBlocks: blocks, words: []string{"a", "b"}}
		is.True(b.submit(s))
		return s
	}
	low, middle, high := add(0, 1), add(5, 2, 3), add(9, 2, 3)
	stepTime, active := b.admit()
	is.True(active)
	// The second sequence hits the cache blocks that the first one stored.
	is.Equal(stepTime, time.Duration(10+2*3+32))
	is.Equal(b.running, []*sequence{high, middle})
	is.Equal(middle.cachedTokens, 32)
	b.emit()
	b.emit()
	stepTime, _ = b.admit()
	is.Equal(stepTime, time.Duration(10+3+16))
	is.Equal(b.running, []*sequence{low})
	// Block 1 evicted block 3, the end of the longest prefix.
	is.Equal(b.cache.lookupAndStore([]uint64{2, 3}), 1)
}

// An engine with fencing must reject orders of a former leader; one without
// fencing, as some engines are, must execute them. Both must record every well-formed order.
func TestFencing(t *testing.T) {
	is := is.New(t)
	for _, fencing := range []bool{true, false} {
		e, url := startEngine(t, Options{Fencing: fencing, LoadDuration: time.Millisecond})
		statuses, last := []int{http.StatusAccepted, http.StatusConflict, http.StatusBadRequest}, "2"
		if !fencing {
			statuses[1], last = http.StatusAccepted, "3"
		}
		for i, order := range []string{
			`{"order":"b","kind":"load","model":"small","version":"2","token":2}`,
			`{"order":"a","kind":"load","model":"small","version":"3","token":1}`,
			`{"order":"c","kind":"reload","token":3}`,
		} {
			r, err := http.Post(url+"/v1/orders", "application/json", strings.NewReader(order))
			is.NoErr(err)
			is.NoErr(r.Body.Close())
			is.Equal(r.StatusCode, statuses[i])
		}
		version := ""
		for range 5000 {
			if _, version = e.LoadedModel(); version == last {
				break
			}
			time.Sleep(time.Millisecond)
		}
		is.Equal(version, last)
		got := e.ReceivedOrders()
		is.Equal(len(got), 2)
		is.Equal(got[1].FencingToken, uint64(1))
		is.Equal(got[1].Rejected, fencing)
	}
}

// A crash fault must not affect requests without its marker.
func TestCrashMarker(t *testing.T) {
	is := is.New(t)
	crashed := 0
	e, url := startEngine(t, Options{Crash: func() { crashed++ }})
	e.Faults.Replace([]fault.Fault{{Kind: fault.Crash, Marker: "poison"}})
	is.Equal(post(t.Context(), t, url, chatRequest("harmless", false)).StatusCode, http.StatusOK)
	is.Equal(crashed, 0)
	is.Equal(post(t.Context(), t, url, chatRequest("poison", false)).StatusCode, http.StatusOK)
	is.Equal(crashed, 1)
}
