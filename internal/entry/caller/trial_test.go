package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/entry/suspect"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// requestKinds lists one request of each kind.
var requestKinds = []struct {
	name, method, path, body string
	headers                  []string
	success                  int // status
}{
	{"chat completion", "POST", "/v1/chat/completions", chatBody("small", false), nil, 200},
	{"call that may be repeated", "GET", bookingsPath + "/1", "", nil, 201},
	{"call that may not be repeated", "POST", bookingsPath, "{}", []string{"Idempotency-Key", "k1"}, 201},
}

// suspicions returns the suspicion of a request of the account town.
func suspicions(method, path, body string, quarantined bool) map[string]*wire.Suspicion {
	var fields map[string]json.RawMessage
	f := suspect.PlainFingerprint("town", []byte("desk"), []byte(method), []byte(strings.TrimPrefix(path, "/v1/services/desk")), []byte(body))
	if strings.Contains(path, "chat") && json.Unmarshal([]byte(body), &fields) == nil {
		f = suspect.ChatFingerprint("town", fields)
	}
	return map[string]*wire.Suspicion{string(f): {Quarantined: quarantined}}
}

// Guards against a trial that runs although, after it was granted, the lease lapsed or another copy of the
// request crashed a second upstream: group 0 ends the trials of an entry without a lease and grants the next
// one to another entry. A chat completion may run as a new trial.
func TestTrialIsCheckedBeforeSending(t *testing.T) {
	for _, c := range []struct {
		name               string
		lapse, quarantined bool
		statuses           [3]int // by request kind
		chatTrials         int32
	}{
		{"nothing changes", false, false, [3]int{200, 201, 201}, 1},
		{"lease lapses", true, false, [3]int{200, 503, 503}, 2},
		{"quarantined", false, true, [3]int{422, 503, 503}, 1},
	} {
		for i, k := range requestKinds {
			t.Run(c.name+", "+k.name, func(t *testing.T) {
				is := is.New(t)
				f := newFakeControl(poolDocument(), deskDocument())
				f.config.Suspicions = suspicions(k.method, k.path, k.body, false)
				var trials, ended, runs, trialOfRun atomic.Int32
				record := func(http.ResponseWriter, *http.Request) bool {
					runs.Add(1)
					trialOfRun.Store(trials.Load())
					return false
				}
				startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", words: []string{"a"}, breakAfter: -1, intercept: record})
				startBookingService(t, f, "d1", record)
				f.onSuspect = func(r *wire.SuspectRequest) {
					first := r.Move == wire.Move_MOVE_TRIAL && trials.Add(1) == 1
					switch {
					case r.Move == wire.Move_MOVE_END:
						ended.Add(1)
					case first && c.lapse:
						f.renewAfterLapse()
					case first && c.quarantined:
						f.withLock(func() {
							changed := *f.config
							changed.Suspicions = suspicions(k.method, k.path, k.body, true)
							f.config = &changed
						})
					}
				}
				_, s := newHandler(t, f, nil)
				resp, _ := send(t, k.method, s.URL+k.path, k.body, k.headers...)
				is.Equal(resp.StatusCode, c.statuses[i])
				is.Equal(runs.Load() == 1, resp.StatusCode < 300)
				is.Equal(trialOfRun.Load(), runs.Load()*trials.Load())
				is.Equal(ended.Load() == 1, c.lapse || c.quarantined)
				is.True(i > 0 || trials.Load() == c.chatTrials)
			})
		}
	}
}
