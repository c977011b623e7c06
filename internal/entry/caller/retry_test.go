package caller

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
)

// streamedContent returns the content of a streamed answer.
func streamedContent(body string) string {
	var b strings.Builder
	for _, part := range strings.Split(body, `"delta":{"content":"`)[1:] {
		word, _, _ := strings.Cut(part, `"`)
		b.WriteString(word)
	}
	return b.String()
}

// Guards against interrupted streams that end as if complete, lose or repeat words, or
// continue with another version.
func TestBrokenStream(t *testing.T) {
	list := []string{"a", "b", "c", "d"}
	for _, c := range []struct {
		name         string
		breakAfter   int
		features     []string
		otherVersion string
		complete     bool
	}{
		{"resumes on another upstream", 2, []string{"resume"}, "v1", true},
		{"no upstream supports resuming", 2, nil, "v1", false},
		{"other version only", 2, []string{"resume"}, "v2", false},
		{"breaks before the first word", 0, nil, "v1", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := poolDocument()
			d.Models[0].Versions = append(d.Models[0].Versions, document.VersionSpec{Name: "v2", State: document.StateActive})
			d.Accounts[0].Models = []string{"small@v1"}
			f := newFakeControl(d)
			first := startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: list, breakAfter: c.breakAfter})
			other := &fakeEngine{version: c.otherVersion, words: list, breakAfter: -1}
			h, s := newHandler(t, f, nil)
			// The second upstream registers once the first was selected.
			first.intercept = func(http.ResponseWriter, *http.Request) bool {
				startEngine(t, f, "w2", "small", other, c.features...)
				return false
			}
			_, body := send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", true))
			is.Equal(first.requestCount(), 1)
			is.Equal(strings.HasSuffix(body, "data: [DONE]\n\n"), c.complete)
			is.True(h.retryBudget.AllowRetry())
			if !c.complete {
				is.True(strings.Contains(body, `"outcome":"failed"`))
				is.Equal(len(f.recordedCharges()), 0)
				return
			}
			is.Equal(streamedContent(body), "abcd")
			is.Equal(strings.Count(body, `"id":"c-w1"`), strings.Count(body, "data: {"))
			is.Equal(strings.Count(body, `"role"`), 1)
			is.Equal(len(f.recordedCharges()), 1)
			is.Equal(len(f.recordedCharges()[0].Costs), 2)
			is.Equal(f.recordedCharges()[0].Output, uint64(4))
		})
	}
}

// Guards against failures of one upstream that reach the caller although another could
// serve the request, and against retries of requests that the engine rejects.
func TestRetryOnAnotherUpstream(t *testing.T) {
	for _, c := range []struct {
		name       string
		fault      func(w http.ResponseWriter, r *http.Request) bool
		status     int
		otherCalls int
		outcome    string
	}{
		{"refused", func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Wisteriakeel-Outcome", "not run")
			w.WriteHeader(503)
			return true
		}, 200, 1, ""},
		{"failed", func(w http.ResponseWriter, _ *http.Request) bool { w.WriteHeader(500); return true }, 200, 1, ""},
		{"answer of another request", func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("X-Request-Id", "other")
			return false
		}, 200, 1, ""},
		{"connection breaks", func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }, 200, 1, ""},
		{"request rejected", func(w http.ResponseWriter, _ *http.Request) bool { w.WriteHeader(422); return true }, 422, 0, "failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeControl(poolDocument())
			other := &fakeEngine{version: "v1", words: []string{"a"}, breakAfter: -1}
			bad := startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", breakAfter: -1})
			bad.intercept = func(w http.ResponseWriter, r *http.Request) bool {
				startEngine(t, f, "w2", "small", other)
				return c.fault(w, r)
			}
			_, s := newHandler(t, f, nil)
			resp, _ := send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", false))
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get("Wisteriakeel-Outcome"), c.outcome)
			is.Equal(bad.requestCount(), 1)
			is.Equal(other.requestCount(), c.otherCalls)
		})
	}
}

// Guards against the outcome "not run" for a request that ran on one upstream and was
// then refused by another.
func TestWorstOutcomeIsReported(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(poolDocument())
	bad := startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", breakAfter: -1})
	bad.intercept = func(http.ResponseWriter, *http.Request) bool {
		startEngine(t, f, "w2", "small", &fakeEngine{version: "v1", breakAfter: -1, intercept: func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Wisteriakeel-Outcome", "not run")
			w.WriteHeader(503)
			return true
		}})
		panic(http.ErrAbortHandler)
	}
	_, s := newHandler(t, f, nil)
	resp, body := send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", false))
	is.Equal(resp.Header.Get("Wisteriakeel-Outcome"), "unknown")
	is.Equal(string(parseErrorBody(t, body).Outcome), "unknown")
}

// fakeRater returns the same rating or error for every answer.
type fakeRater struct {
	rating float64
	err    error
	// text is the last answer that was to be rated.
	text string
}

func (r *fakeRater) Rate(_ context.Context, _ document.Service, _ document.Model, _, answer []byte) (float64, error) {
	r.text = string(answer)
	return r.rating, r.err
}

// Guards against delivering a cheap model's answer unrated or below the required
// quality, and against charging for a cheap answer that could not be rated.
func TestCascade(t *testing.T) {
	for _, c := range []struct {
		name              string
		rater             *fakeRater
		cheapFails        bool
		model             string
		cheapCalls, costs int
	}{
		{"good cheap answer", &fakeRater{rating: 0.5}, false, "small@v1", 1, 1},
		{"poor cheap answer", &fakeRater{rating: 0.49}, false, "large@v1", 1, 2},
		{"rating fails", &fakeRater{err: errors.New("down")}, false, "large@v1", 1, 2},
		{"no rater", nil, false, "large@v1", 0, 1},
		{"cheap model fails", &fakeRater{rating: 1}, true, "large@v1", 1, 2},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				f := newFakeControl(poolDocument())
				cheap := startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: []string{"a", "b"}, breakAfter: -1})
				if c.cheapFails {
					cheap.intercept = func(w http.ResponseWriter, _ *http.Request) bool { w.WriteHeader(500); return true }
				}
				startEngine(t, f, "w2", "large", &fakeEngine{version: "v1", words: []string{"c"}, breakAfter: -1})
				_, s := newHandler(t, f, func(o *Options) {
					if c.rater != nil {
						o.Rater = c.rater
					}
				})
				resp, body := send(t, "POST", s.URL+"/v1/chat/completions", chatBody("draft", stream))
				is.Equal(resp.StatusCode, 200)
				is.Equal(resp.Header.Get("Wisteriakeel-Model"), c.model)
				is.Equal(cheap.requestCount(), c.cheapCalls)
				if stream {
					is.Equal(streamedContent(body), map[string]string{"small@v1": "ab", "large@v1": "c"}[c.model])
				}
				if c.rater != nil && !c.cheapFails {
					is.Equal(c.rater.text, "ab")
				}
				is.Equal(len(f.recordedCharges()), 1)
				is.Equal(len(f.recordedCharges()[0].Costs), c.costs)
				is.Equal(f.recordedCharges()[0].Model+"@v1", c.model)
				last := f.recordedCharges()[0].Costs[c.costs-1]
				is.Equal(last.Amount, f.recordedCharges()[0].Amount) // all attempts have a price
			})
		}
	}
}
