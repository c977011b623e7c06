package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/entry/suspect"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// fingerprint returns the fingerprint of a request of the account town.
func fingerprint(method, path, body string) string {
	if resource, ok := strings.CutPrefix(path, "/v1/services/desk"); ok {
		return string(suspect.PlainFingerprint("town", []byte("desk"), []byte(method), []byte(resource), []byte(body)))
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(body), &fields); err != nil {
		panic(err)
	}
	return string(suspect.ChatFingerprint("town", fields))
}

// Guards against a trial that runs although the request was quarantined after it was granted,
// since another copy of it crashed a second upstream.
func TestTrialOfQuarantinedRequestIsNotSent(t *testing.T) {
	for _, c := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
	}{
		{"chat completion", "POST", "/v1/chat/completions", chatBody("small", false), nil, 422},
		{"repeatable call", "GET", bookingsPath + "/1", "", nil, 503},
		{"call that must run at most once", "POST", bookingsPath, "{}", []string{"Idempotency-Key", "k"}, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeControl(poolDocument(), deskDocument())
			engine := startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: []string{"a"}, breakAfter: -1})
			desk := startBookingService(t, f, "d1", nil)
			suspect := func(quarantined bool) {
				f.withLock(func() {
					changed := *f.config
					changed.Suspicions = map[string]*wire.Suspicion{fingerprint(c.method, c.path, c.body): {Quarantined: quarantined}}
					f.config = &changed
				})
			}
			suspect(false)
			f.onSuspect = func(*wire.SuspectRequest) { suspect(true) }
			_, s := newHandler(t, f, nil)
			resp, body := send(t, c.method, s.URL+c.path, c.body, c.headers...)
			is.Equal(resp.StatusCode, c.status)
			is.True(strings.Contains(body, "not run"))
			is.Equal(engine.requestCount()+desk.runCount(), 0)
		})
	}
}

// Guards against a trial that runs although the lease lapsed after it was granted: group 0 ends
// the trials of an entry without a lease and grants the next one to another entry.
func TestTrialEndsWithTheLease(t *testing.T) {
	for _, c := range []struct {
		name, method, path, body string
		headers                  []string
		// lapse is true if the lease lapses and is renewed while the first trial is granted.
		lapse          bool
		status, trials int
	}{
		{"chat completion", "POST", "/v1/chat/completions", chatBody("small", false), nil, false, 200, 1},
		{"chat completion, lapse", "POST", "/v1/chat/completions", chatBody("small", false), nil, true, 200, 2},
		{"repeatable call", "GET", bookingsPath + "/1", "", nil, false, 201, 1},
		{"repeatable call, lapse", "GET", bookingsPath + "/1", "", nil, true, 503, 1},
		{"call that must run at most once", "POST", bookingsPath, "{}", []string{"Idempotency-Key", "k"}, false, 201, 1},
		{"call that must run at most once, lapse", "POST", bookingsPath, "{}", []string{"Idempotency-Key", "k"}, true, 503, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeControl(poolDocument(), deskDocument())
			var mu sync.Mutex
			var sentTrials []int // the number of trials granted before each run
			trials, ended := 0, 0
			record := func(http.ResponseWriter, *http.Request) bool {
				mu.Lock()
				defer mu.Unlock()
				sentTrials = append(sentTrials, trials)
				return false
			}
			startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: []string{"a"}, breakAfter: -1, intercept: record})
			startBookingService(t, f, "d1", record)
			f.onSuspect = func(r *wire.SuspectRequest) {
				mu.Lock()
				defer mu.Unlock()
				switch r.Move {
				case wire.Move_MOVE_TRIAL:
					trials++
					if c.lapse && trials == 1 {
						f.renewAfterLapse()
					}
				case wire.Move_MOVE_END:
					ended++
				}
			}
			f.config.Suspicions = map[string]*wire.Suspicion{fingerprint(c.method, c.path, c.body): {}}
			_, s := newHandler(t, f, nil)
			resp, _ := send(t, c.method, s.URL+c.path, c.body, c.headers...)
			is.Equal(resp.StatusCode, c.status)
			mu.Lock()
			defer mu.Unlock()
			is.Equal(trials, c.trials)
			if c.lapse {
				is.Equal(ended, 1)
			}
			for _, n := range sentTrials {
				is.Equal(n, c.trials)
			}
			is.Equal(len(sentTrials) == 1, c.status < 300)
		})
	}
}
