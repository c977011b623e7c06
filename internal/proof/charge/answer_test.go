package charge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	"wisteriakeel.example/wisteriakeel/internal/proof/report"
	"wisteriakeel.example/wisteriakeel/internal/proof/system"
)

// record returns the whole answer of an upstream.
func record(r *http.Request, next http.Handler) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	next.ServeHTTP(w, r)
	return w
}

// replay writes a recorded answer with that body.
func replay(w http.ResponseWriter, a *httptest.ResponseRecorder, body []byte) {
	for n, v := range a.Header() {
		w.Header()[n] = v
	}
	if w.Header().Get("Content-Length") != "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(a.Code)
	_, _ = w.Write(body)
}

// edited changes the body of an answer.
func edited(edit func(body []byte) []byte) system.TamperFunc {
	return func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		a := record(r, next)
		replay(w, a, edit(a.Body.Bytes()))
	}
}

// crossed gives the upstream's answer to another request as well.
func crossed(cross func(w http.ResponseWriter, own, other *httptest.ResponseRecorder)) system.TamperFunc {
	return func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		body, _ := io.ReadAll(r.Body)
		var q engine.Request
		_ = json.Unmarshal(body, &q)
		q.Messages[0].Content += " other"
		second, _ := json.Marshal(q)
		x := r.Clone(r.Context())
		x.Header.Set("X-Request-Id", r.Header.Get("X-Request-Id")+"-other")
		x.Body = io.NopCloser(bytes.NewReader(second))
		r.Body = io.NopCloser(bytes.NewReader(body))
		cross(w, record(r, next), record(x, next))
	}
}

// again answers a call and gives the same answer to the next call of the connection.
func again(w http.ResponseWriter, r *http.Request, next http.Handler) {
	a := record(r, next)
	a.Header().Set("Content-Length", strconv.Itoa(a.Body.Len()))
	c, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	var raw bytes.Buffer
	_ = a.Result().Write(&raw)
	_, _ = c.Write(raw.Bytes())
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := http.ReadRequest(b.Reader); err == nil {
		_, _ = c.Write(raw.Bytes())
	}
}

// shortened leaves half of the text and no finish_reason; a stream ends with that mark.
func shortened(b []byte, mark string) []byte {
	if events := bytes.SplitAfter(b, []byte("\n\n")); bytes.HasPrefix(b, []byte("data:")) {
		return append(bytes.Join(events[:len(events)/2-1], nil), mark...)
	}
	var c engine.Completion
	_ = json.Unmarshal(b, &c)
	m := c.Choices[0].Message
	m.Content, c.Choices[0].FinishReason = m.Content[:len(m.Content)/2], nil
	b, _ = json.Marshal(c)
	return b
}

var answerFaults = []struct {
	fault   string
	tampers []system.TamperFunc
}{
	{"answer-crossed", []system.TamperFunc{
		crossed(func(w http.ResponseWriter, _, other *httptest.ResponseRecorder) { replay(w, other, other.Body.Bytes()) }),
		crossed(func(w http.ResponseWriter, _, other *httptest.ResponseRecorder) {
			other.Header().Del("X-Request-Id")
			replay(w, other, other.Body.Bytes())
		}),
		crossed(func(w http.ResponseWriter, own, other *httptest.ResponseRecorder) {
			own.Header().Set("Wisteriakeel-Version", "0")
			replay(w, own, other.Body.Bytes())
		}),
	}},
	{"answer-short", []system.TamperFunc{
		edited(func(b []byte) []byte { return shortened(b, "") }),
		edited(func(b []byte) []byte { return shortened(b, "data: [DONE]\n\n") }),
		// Without the end mark.
		edited(func(b []byte) []byte { return bytes.TrimSuffix(b, []byte("data: [DONE]\n\n")) }),
		// Half a body whose length is right.
		edited(func(b []byte) []byte { return b[:len(b)/2] }),
		// Half a body of the whole one's length.
		func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			next.ServeHTTP(&halver{w}, r)
			panic(http.ErrAbortHandler)
		},
	}},
	{"answer-duplicated", []system.TamperFunc{
		again,
		edited(func(b []byte) []byte { return append(bytes.Clone(b), b...) }),
		// The last events of a stream come twice.
		edited(func(b []byte) []byte {
			events := bytes.SplitAfter(b, []byte("\n\n"))
			n := len(events) - 1
			return bytes.Join(append(events[:n:n], events[max(n-2, 0):]...), nil)
		}),
	}},
}

// halver passes on the first half of each write.
type halver struct{ http.ResponseWriter }

func (h *halver) Write(b []byte) (int, error) { return h.ResponseWriter.Write(b[:len(b)/2]) }

// Guards against a short or doubled answer that a caller takes for a complete
// one, and against the answer of another request, version or former call of the
// connection that a caller gets as its own.
func TestProofAnswer(t *testing.T) {
	t.Parallel()
	for _, k := range answerFaults {
		t.Run(k.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G5", k.fault, 8, func(t *testing.T, seed uint64) {
				h := begin(t, system.Options{Seed: seed})
				for i, f := range k.tampers {
					for j, c := range chats(seed, fmt.Sprint(i), "draft", 4) {
						h.Set(nil, f)
						h.insist(h.Entries[j%2], c)
						h.Set(nil, nil)
						c.RequestID += "-next"
						h.insist(h.Entries[j%2], c)
					}
				}
				h.check()
			})
		})
	}
}

// Guards against an answer that is passed on as complete after its deadline. The
// upstream answers only once the caller has been told the outcome.
func TestProofAnswerLate(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "answer-late", 8, func(t *testing.T, seed uint64) {
		is := is.New(t)
		h := begin(t, system.Options{Seed: seed})
		for i, c := range chats(seed, "late", "draft", 4) {
			told := make(chan struct{})
			h.Set(nil, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
				select {
				case <-told:
				case <-time.After(2 * time.Second):
				}
				next.ServeHTTP(w, r)
			})
			c.Header = []string{"Wisteriakeel-Timeout", "200"}
			got := h.send(h.Entries[i%2], c)
			close(told)
			is.True(!got.Complete)           // a late answer is none
			is.Equal(got.Outcome, "unknown") // and the caller is told so
			h.Set(nil, nil)
			c.Header = nil
			h.insist(h.Entries[(i+1)%2], c)
		}
		h.check()
	})
}

// Guards against a stream that breaks off and is taken for complete, and against
// lost or doubled text where another upstream goes on with it.
func TestProofStreamCut(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		fault    string
		features []string
	}{
		{"stream-cut-resume", []string{"resume"}},
		{"stream-cut-no-resume", []string{}},
	} {
		t.Run(k.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G5", k.fault, 8, func(t *testing.T, seed uint64) {
				h := begin(t, system.Options{Seed: seed, EngineFeatures: k.features})
				// Three words, finish_reason, usage, [DONE] and the end of the framing.
				const words, end = 3, 6
				for cut := range end + 1 {
					h.Set(nil, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
						next.ServeHTTP(&system.TruncatingWriter{ResponseWriter: w, EventsLeft: cut}, r)
						panic(http.ErrAbortHandler)
					})
					c := system.Chat{Model: "draft", RequestID: fmt.Sprint("cut-", cut), Stream: true, MaxTokens: words, Prompt: fmt.Sprint(seed, " ", cut)}
					got := h.send(h.Entries[cut%2], c)
					// The finish_reason is held back, so that the caller has seen a part only from the first word on.
					if wants := cut == 0 || len(k.features) > 0; got.Complete != wants {
						t.Errorf("cut after %d events: complete %v, %d %v %s", cut, got.Complete, got.Status, got.Err, got.Body)
					}
					if !got.Complete && got.Outcome == "" {
						t.Errorf("cut after %d events: no outcome: %s", cut, got.Body)
					}
					h.insist(h.Entries[(cut+1)%2], c)
				}
				h.check()
			})
		})
	}
}
