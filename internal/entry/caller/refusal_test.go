package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
)

// parseErrorBody decodes an error body.
func parseErrorBody(t *testing.T, body string) errorDetail {
	t.Helper()
	var b errorBody
	is.New(t).NoErr(json.Unmarshal([]byte(body), &b))
	return b.Error
}

// Guards against requests that run without a credential, permission or lease, and against
// refusals that don't tell the caller that nothing ran.
func TestRefusalsBeforeTheDispatch(t *testing.T) {
	const chat, desk = "/v1/chat/completions", "/v1/services/desk"
	for _, c := range []struct {
		name, method, path, body string
		headers                  []string
		holdsLease               bool
		status                   int
		code                     string
	}{
		{"no credential", "POST", chat, chatBody("small", false), []string{"Authorization", "Bearer nobody"}, true, 401, "credential"},
		{"model of another account", "POST", chat, chatBody("large", false), nil, true, 403, "permission"},
		{"unknown model", "POST", chat, chatBody("none", false), nil, true, 404, "model_not_found"},
		{"withdrawn version", "POST", chat, chatBody("small@v0", false), nil, true, 503, "version"},
		{"no lease", "POST", chat, chatBody("small", false), nil, false, 503, "lease"},
		{"body is not JSON", "POST", chat, "x", nil, true, 400, "body"},
		{"model missing", "POST", chat, "{}", nil, true, 400, "model"},
		{"body too large", "POST", chat, strings.Repeat(" ", 2000), nil, true, 413, "body"},
		{"invalid timeout", "POST", chat, chatBody("small", false), []string{"Wisteriakeel-Timeout", "0"}, true, 400, "timeout"},
		{"call not declared", "DELETE", desk + "/bookings", "", nil, true, 403, "permission"},
		{"path that leaves its prefix", "GET", desk + "/bookings/%2e%2e/secret", "", nil, true, 400, "path"},
		{"unknown service", "GET", "/v1/services/none/x", "", nil, true, 404, "service"},
		{"booking without a key", "POST", desk + "/bookings", "{}", nil, true, 400, "idempotency_key"},
		{"booking without a lease", "POST", desk + "/bookings", "{}", []string{"Idempotency-Key", "k"}, false, 503, "lease"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeControl(poolDocument(), deskDocument())
			e := startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", breakAfter: -1})
			d := startBookingService(t, f, "d1", nil)
			f.setLease(c.holdsLease)
			_, s := newHandler(t, f, func(o *Options) { o.MaxBodyBytes = 1000 })
			resp, body := send(t, c.method, s.URL+c.path, c.body, c.headers...)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get("Wisteriakeel-Outcome"), "not run")
			is.Equal(parseErrorBody(t, body).Code, c.code)
			is.Equal(string(parseErrorBody(t, body).Outcome), "not run")
			if c.status == 503 {
				is.True(resp.Header.Get("Retry-After") != "")
			}
			if c.code == "lease" {
				is.Equal(resp.Header.Get("Wisteriakeel-Entries"), "127.0.0.1:2")
			}
			is.Equal(e.requestCount()+d.runCount(), 0)
		})
	}
}

// Guards against requests that run by the permission or lease that they were queued with,
// although it was withdrawn while they waited.
func TestChecksAreRepeatedBeforeTheDispatch(t *testing.T) {
	withdraw := func(f *fakeControl) {
		d := poolDocument()
		d.Models[0].Versions[0].State = document.StateWithdrawn
		f.setDocuments(d)
	}
	for _, c := range []struct {
		name   string
		change func(f *fakeControl)
		status int
	}{
		{"lease lost", func(f *fakeControl) { f.setLease(false) }, 503},
		{"permission withdrawn", func(f *fakeControl) {
			d := poolDocument()
			d.Accounts = d.Accounts[1:]
			f.setDocuments(d)
		}, 403},
		{"version withdrawn", withdraw, 503},
		{"upstream deregistered", func(f *fakeControl) { f.removeUpstream("w1") }, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeControl(poolDocument())
			e := startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", breakAfter: -1})
			h, s := newHandler(t, f, nil)
			// The pin call comes between the queue and the dispatch.
			f.onPin = func() { c.change(f) }
			resp, body := send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", false), "Wisteriakeel-Session", "s")
			is.Equal(resp.StatusCode, c.status)
			is.Equal(string(parseErrorBody(t, body).Outcome), "not run")
			is.Equal(e.requestCount(), 0)
			is.Equal(h.queue("pool", "small").Tallies()[0].Requests, uint64(1))
		})
	}
}

// Guards against requests that wait in the queue beyond their deadline, and against late
// refusals when the queue is full.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(poolDocument())
	release := make(chan struct{})
	started := make(chan struct{}, 100)
	e := startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", breakAfter: -1, intercept: func(http.ResponseWriter, *http.Request) bool {
		started <- struct{}{}
		<-release
		return false
	}})
	startEngine(t, f, "w2", "large", &fakeEngine{version: "v1", breakAfter: -1})
	f.setSlots(1)
	h, s := newHandler(t, f, func(o *Options) { o.MaxQueuedPerAccount = 1 })
	unblock := sync.OnceFunc(func() { close(release) })
	t.Cleanup(unblock) // also when the test fails, since the server waits for its requests
	var group sync.WaitGroup
	group.Go(func() { send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", false)) })
	<-started
	begin := time.Now()
	resp, body := send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", false), "Wisteriakeel-Timeout", "100")
	is.Equal(resp.StatusCode, 503)
	is.Equal(parseErrorBody(t, body).Code, "deadline")
	is.True(time.Since(begin) < 2*time.Second)
	group.Go(func() { send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", false)) })
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		_, waiting = h.queue("pool", "small").Size()
	}
	// Requests for another model of the service don't wait.
	resp, _ = send(t, "POST", s.URL+"/v1/chat/completions", chatBody("large", false), "Authorization", "Bearer farm")
	is.Equal(resp.StatusCode, 200)
	resp, body = send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", false))
	is.Equal(resp.StatusCode, 429)
	is.Equal(parseErrorBody(t, body).Code, "account_queue_full")
	is.True(parseErrorBody(t, body).Retry > 0)
	// At the limit of open requests the next is refused, whatever it asks for.
	h.openRequests.limit = 2
	resp, body = send(t, "GET", s.URL+"/v1/models", "")
	is.Equal(resp.StatusCode, 429)
	is.Equal(parseErrorBody(t, body).Code, "connections")
	unblock()
	group.Wait()
	is.Equal(e.requestCount(), 2)
}

// Guards against delivering an answer as complete although its charge failed.
func TestNoAnswerWithoutCharge(t *testing.T) {
	for _, stream := range []bool{false, true} {
		is := is.New(t)
		f := newFakeControl(poolDocument())
		f.fail["charge"] = control.ErrOutcomeUnknown
		startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: []string{"a"}, breakAfter: -1})
		_, s := newHandler(t, f, nil)
		resp, body := send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", stream))
		is.True(strings.Contains(body, `"outcome":"unknown"`))
		is.True(!strings.Contains(body, "[DONE]"))
		is.True(!strings.Contains(body, `"stop"`))
		if !stream {
			is.Equal(resp.StatusCode, http.StatusBadGateway)
		}
	}
}
