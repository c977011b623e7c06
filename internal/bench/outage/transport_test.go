package outage

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against requests that arrive damaged in some manner, which instances would rightly refuse, and
// against changes that are never answered.
func TestTransport(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		text, _ := io.ReadAll(q.Body)
		_, _ = w.Write(text)
	}))
	defer server.Close()
	tr := newTransport(1, timer.NewSystem())
	client, text := &http.Client{Transport: tr}, strings.Repeat("text", 500)
	answered, dropped := 0, 0
	for range 15 {
		reply, err := client.Post(server.URL, "text/plain", strings.NewReader(text))
		if errors.Is(err, errDropped) {
			dropped++
			is.True(dropped <= answered+1)
			continue
		}
		is.NoErr(err)
		got, err := io.ReadAll(reply.Body)
		is.NoErr(err)
		is.NoErr(reply.Body.Close())
		is.Equal(string(got), text)
		answered++
	}
	is.True(dropped > 0)
}
