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

// recordResponse runs the request at the upstream and returns its whole response.
func recordResponse(r *http.Request, next http.Handler) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	next.ServeHTTP(w, r)
	return w
}

// writeResponse writes a recorded response with another body.
func writeResponse(w http.ResponseWriter, recorded *httptest.ResponseRecorder, body []byte) {
	for n, v := range recorded.Header() {
		w.Header()[n] = v
	}
	if w.Header().Get("Content-Length") != "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(recorded.Code)
	_, _ = w.Write(body)
}

// editBody changes the body of each response.
func editBody(edit func(body []byte) []byte) system.TamperFunc {
	return func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		response := recordResponse(r, next)
		writeResponse(w, response, edit(response.Body.Bytes()))
	}
}

// withOtherResponse runs each request and a second one with another text and request id,
// and lets respond answer with either response.
func withOtherResponse(respond func(w http.ResponseWriter, own, other *httptest.ResponseRecorder)) system.TamperFunc {
	return func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		body, _ := io.ReadAll(r.Body)
		var otherRequest engine.Request
		_ = json.Unmarshal(body, &otherRequest)
		otherRequest.Messages[0].Content += " other"
		otherBody, _ := json.Marshal(otherRequest)
		other := r.Clone(r.Context())
		other.Header.Set("X-Request-Id", r.Header.Get("X-Request-Id")+"-other")
		other.Body = io.NopCloser(bytes.NewReader(otherBody))
		r.Body = io.NopCloser(bytes.NewReader(body))
		respond(w, recordResponse(r, next), recordResponse(other, next))
	}
}

// repeatResponse answers a request and sends the same response again to the next request
// on the connection.
func repeatResponse(w http.ResponseWriter, r *http.Request, next http.Handler) {
	response := recordResponse(r, next)
	response.Header().Set("Content-Length", strconv.Itoa(response.Body.Len()))
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var raw bytes.Buffer
	_ = response.Result().Write(&raw)
	_, _ = conn.Write(raw.Bytes())
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := http.ReadRequest(rw.Reader); err == nil {
		_, _ = conn.Write(raw.Bytes())
	}
}

// truncateResponse keeps half of the text and drops the finish_reason. A stream ends with
// the end mark.
func truncateResponse(b []byte, endMark string) []byte {
	if events := bytes.SplitAfter(b, []byte("\n\n")); bytes.HasPrefix(b, []byte("data:")) {
		return append(bytes.Join(events[:len(events)/2-1], nil), endMark...)
	}
	var c engine.Completion
	_ = json.Unmarshal(b, &c)
	m := c.Choices[0].Message
	m.Content, c.Choices[0].FinishReason = m.Content[:len(m.Content)/2], nil
	b, _ = json.Marshal(c)
	return b
}

// responseFaults lists the ways in which an upstream falsifies its responses.
var responseFaults = []struct {
	fault   string
	tampers []system.TamperFunc
}{
	{"answer-crossed", []system.TamperFunc{
		// The response to another request, with that request's id.
		withOtherResponse(func(w http.ResponseWriter, _, other *httptest.ResponseRecorder) {
			writeResponse(w, other, other.Body.Bytes())
		}),
		// The response to another request, without an id.
		withOtherResponse(func(w http.ResponseWriter, _, other *httptest.ResponseRecorder) {
			other.Header().Del("X-Request-Id")
			writeResponse(w, other, other.Body.Bytes())
		}),
		// The body of another response under the right id. The header names version 0, which no
		// upstream serves.
		withOtherResponse(func(w http.ResponseWriter, own, other *httptest.ResponseRecorder) {
			own.Header().Set("Wisteriakeel-Version", "0")
			writeResponse(w, own, other.Body.Bytes())
		}),
	}},
	{"answer-short", []system.TamperFunc{
		editBody(func(b []byte) []byte { return truncateResponse(b, "") }),
		editBody(func(b []byte) []byte { return truncateResponse(b, "data: [DONE]\n\n") }),
		// The end mark is missing.
		editBody(func(b []byte) []byte { return bytes.TrimSuffix(b, []byte("data: [DONE]\n\n")) }),
		// Half of the body, with the Content-Length of that half.
		editBody(func(b []byte) []byte { return b[:len(b)/2] }),
		// Half of the body, with the Content-Length of the whole one.
		func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			next.ServeHTTP(&halfWriter{w}, r)
			panic(http.ErrAbortHandler)
		},
	}},
	{"answer-duplicated", []system.TamperFunc{
		repeatResponse,
		editBody(func(b []byte) []byte { return append(bytes.Clone(b), b...) }),
		// The last events of a stream are repeated.
		editBody(func(b []byte) []byte {
			events := bytes.SplitAfter(b, []byte("\n\n"))
			n := len(events) - 1
			return bytes.Join(append(events[:n:n], events[max(n-2, 0):]...), nil)
		}),
	}},
}

// halfWriter writes only the first half of each write.
type halfWriter struct{ http.ResponseWriter }

func (h *halfWriter) Write(b []byte) (int, error) { return h.ResponseWriter.Write(b[:len(b)/2]) }

// Guards against a truncated or repeated response that reaches the caller as complete, and
// against a response to another request, of another version or to the previous request on
// the connection that reaches the caller as its own.
func TestProofAnswer(t *testing.T) {
	t.Parallel()
	for _, k := range responseFaults {
		t.Run(k.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G5", k.fault, 8, func(t *testing.T, seed uint64) {
				h := newHistory(t, system.Options{Seed: seed})
				for i, tamper := range k.tampers {
					for j, c := range newChats(seed, fmt.Sprint(i), "draft", 4) {
						h.Set(nil, tamper)
						h.sendUntilComplete(h.Entries[j%2], c)
						h.Set(nil, nil)
						c.RequestID += "-next"
						h.sendUntilComplete(h.Entries[j%2], c)
					}
				}
				h.checkLedger()
			})
		})
	}
}

// Guards against a response that is passed on as complete after the deadline of its
// request. The upstream responds only once the caller has its answer.
func TestProofAnswerLate(t *testing.T) {
	t.Parallel()
	report.Run(t, "G5", "answer-late", 8, func(t *testing.T, seed uint64) {
		is := is.New(t)
		h := newHistory(t, system.Options{Seed: seed})
		for i, c := range newChats(seed, "late", "draft", 4) {
			answered := make(chan struct{})
			h.Set(nil, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
				select {
				case <-answered:
				case <-time.After(2 * time.Second):
				}
				next.ServeHTTP(w, r)
			})
			c.Header = []string{"Wisteriakeel-Timeout", "200"}
			got := h.send(h.Entries[i%2], c)
			close(answered)
			is.True(!got.Complete)           // a late response is not passed on
			is.Equal(got.Outcome, "unknown") // and the caller learns that the outcome is unknown
			h.Set(nil, nil)
			c.Header = nil
			h.sendUntilComplete(h.Entries[(i+1)%2], c)
		}
		h.checkLedger()
	})
}

// Guards against an interrupted stream that reaches the caller as complete, and against
// lost or repeated text when another upstream resumes the stream.
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
				h := newHistory(t, system.Options{Seed: seed, EngineFeatures: k.features})
				// A stream has six events: three words, finish_reason, usage and [DONE]. After all six,
				// only the end of the framing is missing.
				const words, allEvents = 3, 6
				for events := range allEvents + 1 {
					h.Set(nil, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
						next.ServeHTTP(&system.TruncatingWriter{ResponseWriter: w, EventsLeft: events}, r)
						panic(http.ErrAbortHandler)
					})
					c := system.Chat{Model: "draft", RequestID: fmt.Sprint("cut-", events), Stream: true, MaxTokens: words, Prompt: fmt.Sprint(seed, " ", events)}
					got := h.send(h.Entries[events%2], c)
					// The entry holds back the finish_reason, so the caller has seen a part of the stream
					// only once the first word was sent.
					if wantComplete := events == 0 || len(k.features) > 0; got.Complete != wantComplete {
						t.Errorf("cut after %d events: complete %v, %d %v %s", events, got.Complete, got.Status, got.Err, got.Body)
					}
					if !got.Complete && got.Outcome == "" {
						t.Errorf("cut after %d events: no outcome: %s", events, got.Body)
					}
					h.sendUntilComplete(h.Entries[(events+1)%2], c)
				}
				h.checkLedger()
			})
		})
	}
}
