package caller

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an upstream that mixes up the answers of two callers with the same
// request ID: if it were given that ID, its echo could not tell them apart.
func TestUpstreamRequestIDIsUnique(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(poolDocument())
	e := startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: []string{"a"}, breakAfter: -1})
	_, s := newHandler(t, f, nil)
	seen := map[string]bool{}
	for range 2 {
		resp, _ := send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", false), "X-Request-Id", "same")
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(resp.Header.Get("X-Request-Id"), "same")
	}
	for _, r := range e.calls {
		id := r.Header.Get("X-Request-Id")
		is.True(strings.HasPrefix(id, "same"+upstreamIDSeparator))
		seen[id] = true
	}
	is.Equal(len(seen), 2)
}
