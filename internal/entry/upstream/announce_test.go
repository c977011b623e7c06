package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// fakeRegistrar records the calls that would reach the control client.
type fakeRegistrar struct {
	config    *control.Config
	announced []*wire.Upstream
	left      []*wire.LeaveRequest
	heard     []*wire.Heard
	err       error
	// leaseExpired makes the entry report that it holds no configuration lease.
	leaseExpired bool
}

func (f *fakeRegistrar) Announce(_ context.Context, r *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	f.announced = append(f.announced, r.Upstream)
	return &wire.AnnounceReply{}, f.err
}

func (f *fakeRegistrar) Leave(_ context.Context, r *wire.LeaveRequest) (*wire.LeaveReply, error) {
	f.left = append(f.left, r)
	return &wire.LeaveReply{}, f.err
}

func (f *fakeRegistrar) Config() *control.Config { return f.config }

func (f *fakeRegistrar) HoldsLease() bool { return !f.leaseExpired }

func (f *fakeRegistrar) Entries() []*wire.Instance {
	return []*wire.Instance{{Name: "e1", Address: "127.0.0.1:1"}, {Name: "e2", Draining: true}}
}

func (f *fakeRegistrar) ReportUpstream(h *wire.Heard) { f.heard = append(f.heard, h) }

// tokens maps the tokens of credentials to the upstream names that they grant.
type tokens map[string]string

func (t tokens) UpstreamPattern(token string) (string, bool) {
	n, ok := t[token]
	return n, ok
}

const registration = `{"name":"w1","incarnation":5,"sequence":3,"address":"127.0.0.1:9000","service":"pool","model":"m","version":"v1","zone":"z","fencing":true,"lease":4000,"features":["resume"],"load":{"running":1,"waiting":2,"slots":8,"tokens":9,"sequence":4}}`

// Guards against confirming registrations before they are replicated, writing
// heartbeats to the control group's log, and accepting unchecked bodies or credentials.
func TestAnnouncements(t *testing.T) {
	for _, c := range []struct {
		name, path, token, body string
		known                   func(u *wire.Upstream) // changes the upstream that is registered already; nil if none is
		err                     error
		status, announced       int
		heard, left             int
	}{
		{"new upstream", "announce", "one", registration, nil, nil, 200, 1, 1, 0},
		{"heartbeat", "announce", "one", registration, func(*wire.Upstream) {}, nil, 200, 0, 1, 0},
		{"heartbeat without a lease", "announce", "one", registration, func(*wire.Upstream) {}, nil, 503, 0, 0, 0},
		{"new incarnation", "announce", "one", registration, func(u *wire.Upstream) { u.Incarnation = 4 }, nil, 200, 1, 1, 0},
		{"outdated incarnation", "announce", "one", registration, func(u *wire.Upstream) { u.Incarnation = 6 }, nil, 409, 0, 0, 0},
		{"changed address", "announce", "one", registration, func(u *wire.Upstream) { u.Address = "127.0.0.1:1" }, nil, 200, 1, 1, 0},
		{"changed features", "announce", "one", registration, func(u *wire.Upstream) { u.Features = nil }, nil, 200, 1, 1, 0},
		{"incarnation that has left", "announce", "one", registration, nil, control.ErrConflict, 409, 1, 0, 0},
		{"no leader", "announce", "one", registration, nil, control.ErrUnavailable, 503, 1, 0, 0},
		{"prefix credential", "announce", "all", registration, nil, nil, 200, 1, 1, 0},
		{"credential for another upstream", "announce", "two", registration, nil, nil, 403, 0, 0, 0},
		{"no credential", "announce", "", registration, nil, nil, 401, 0, 0, 0},
		{"unknown field", "announce", "one", `{"name":"w1","colour":1}`, nil, nil, 400, 0, 0, 0},
		{"body with two values", "announce", "one", registration + registration, nil, nil, 400, 0, 0, 0},
		{"no address", "announce", "one", `{"name":"w1","incarnation":1,"service":"pool"}`, nil, nil, 400, 0, 0, 0},
		{"version without model", "announce", "one", strings.Replace(registration, `"model":"m"`, `"model":""`, 1), nil, nil, 400, 0, 0, 0},
		{"port out of range", "announce", "one", strings.Replace(registration, ":9000", ":65536", 1), nil, nil, 400, 0, 0, 0},
		{"port 0", "announce", "one", strings.Replace(registration, ":9000", ":0", 1), nil, nil, 400, 0, 0, 0},
		{"incarnation too large", "announce", "one", strings.Replace(registration, `"incarnation":5`, `"incarnation":1e99`, 1), nil, nil, 400, 0, 0, 0},
		{"deeply nested", "announce", "one", strings.Replace(registration, `"w1"`, strings.Repeat("[", 5000)+strings.Repeat("]", 5000), 1), nil, nil, 400, 0, 0, 0},
		{"body too large", "announce", "one", `{"name":"` + strings.Repeat("x", maxBodyBytes) + `"}`, nil, nil, 400, 0, 0, 0},
		{"leave", "leave", "one", `{"name":"w1","incarnation":5,"sequence":4}`, nil, nil, 200, 0, 0, 1},
		{"leave not confirmed", "leave", "one", `{"name":"w1","incarnation":5,"sequence":4}`, nil, control.ErrOutcomeUnknown, 503, 0, 0, 1},
		{"leave of another upstream", "leave", "two", `{"name":"w1","incarnation":5,"sequence":4}`, nil, nil, 403, 0, 0, 0},
		{"events", "events", "one", `{"name":"w1","incarnation":5,"sequence":4,"events":[{"kind":"stored","prefix":"ab"}]}`, nil, nil, 200, 0, 0, 0},
		{"unknown kind of event", "events", "one", `{"name":"w1","events":[{"kind":"lost"}]}`, nil, nil, 400, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeRegistrar{config: &control.Config{Upstreams: map[string]*wire.Upstream{}}, err: c.err}
			f.leaseExpired = c.name == "heartbeat without a lease"
			if c.known != nil {
				var a announcement
				is.NoErr(json.Unmarshal([]byte(registration), &a))
				f.config.Upstreams["w1"] = a.toWire()
				c.known(f.config.Upstreams["w1"])
			}
			h := NewHandler(f, tokens{"one": "w1", "two": "w2", "all": "w*"})
			var events []CacheEvent
			h.OnCacheEvents = func(_ string, _, _ uint64, e []CacheEvent) { events = append(events, e...) }
			mux := http.NewServeMux()
			h.Register(mux)
			r := httptest.NewRequest("POST", "/v1/upstreams/"+c.path, strings.NewReader(c.body))
			r.Header.Set("Authorization", "Bearer "+c.token)
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, r)
			is.Equal(w.Code, c.status)
			is.Equal(len(f.announced), c.announced)
			is.Equal(len(f.heard), c.heard)
			is.Equal(len(f.left), c.left)
			if c.path == "announce" && c.status == 200 {
				is.Equal(strings.TrimSpace(w.Body.String()), `{"lease":4000,"interval":1000,"entries":[{"name":"e1","address":"127.0.0.1:1","zone":"","region":""}]}`)
				is.Equal(f.heard[0].Load.Running, uint32(1))
			}
			if c.path == "events" && c.status == 200 {
				is.Equal(len(events), 1)
			}
		})
	}
}

// Guards against misread load reports, which would send requests to the wrong upstream.
func TestParseLoad(t *testing.T) {
	for _, c := range []struct {
		text string
		ok   bool
		load *wire.Load
	}{
		{"running=3 waiting=1 slots=8 tokens=900 sequence=17", true, &wire.Load{Running: 3, Waiting: 1, Slots: 8, Tokens: 900, Sequence: 17}},
		{"slots=8 colour=7", true, &wire.Load{Slots: 8}},
		{"", true, &wire.Load{}},
		{"running", false, nil},
		{"running=-1", false, nil},
		{"running=5000000000", false, nil},
	} {
		is := is.New(t)
		l, err := ParseLoad(c.text)
		is.Equal(err == nil, c.ok)
		if c.ok {
			is.Equal(l.String(), c.load.String())
		}
	}
}
