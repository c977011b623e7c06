package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// fakeControl is a control client that keeps claims, pins and charges in memory.
type fakeControl struct {
	mu        sync.Mutex
	config    *control.Config
	leaseHeld bool
	// period is the number of the lease period.
	period  uint64
	entries []*wire.Instance
	claims  map[string]*wire.ClaimReply
	// pinRevision is the revision under which the pins were made.
	pinRevision uint64
	pins        map[string]string
	charges     []*wire.ChargeRequest
	// fail maps a call, "charge" or "claim" followed by the step, to the error that it
	// returns.
	fail map[string]error
	// onClaim is called before each step of a claim.
	onClaim func(r *wire.ClaimRequest)
	// onSuspect is called before each move of a suspicion.
	onSuspect func(r *wire.SuspectRequest)
	// onPin is called after each pin.
	onPin    func()
	draining bool
	tallies  func() []*wire.Tally
}

func newFakeControl(docs ...*document.Document) *fakeControl {
	f := &fakeControl{
		leaseHeld: true, claims: map[string]*wire.ClaimReply{}, pins: map[string]string{}, fail: map[string]error{},
		config:  &control.Config{Documents: map[document.Service]*document.Document{}, Upstreams: map[string]*wire.Upstream{}},
		entries: []*wire.Instance{{Name: "e2", Address: "127.0.0.1:2", Zone: "z2"}, {Name: "e1", Address: "127.0.0.1:1", Zone: "z1"}},
	}
	f.setDocuments(docs...)
	return f
}

// setDocuments publishes a new configuration with the documents.
func (f *fakeControl) setDocuments(docs ...*document.Document) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := *f.config
	c.Revision++
	c.Documents = maps.Clone(c.Documents)
	for _, d := range docs {
		c.Documents[d.Service] = d
	}
	f.config = &c
}

// addUpstream registers the server as an upstream.
func (f *fakeControl) addUpstream(name string, s *httptest.Server, u *wire.Upstream) {
	u.Name, u.Incarnation, u.Address = name, 1, strings.TrimPrefix(s.URL, "http://")
	f.withLock(func() { f.setUpstream(name, u) })
}

// setUpstream publishes a configuration with the upstream changed, or removed if u is
// nil; the lock is held.
func (f *fakeControl) setUpstream(name string, u *wire.Upstream) {
	c := *f.config
	c.Revision++
	c.Upstreams = maps.Clone(c.Upstreams)
	delete(c.Upstreams, name)
	if u != nil {
		c.Upstreams[name] = u
	}
	f.config = &c
}

// setSlots sets the slots that all upstreams report, and leaves one entry, so that it may
// use all of them.
func (f *fakeControl) setSlots(n uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = f.entries[1:]
	for _, u := range f.config.Upstreams {
		u.Load = &wire.Load{Slots: n, Sequence: 9}
	}
}

// LeasedConfig returns the configuration unless the test took the lease away.
func (f *fakeControl) LeasedConfig() (c *control.Config) {
	f.withLock(func() {
		if f.leaseHeld {
			c = f.config
		}
	})
	return c
}

// withLock calls g with the lock held.
func (f *fakeControl) withLock(g func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g()
}

func (f *fakeControl) Config() (c *control.Config) { f.withLock(func() { c = f.config }); return c }

func (f *fakeControl) LeasePeriod() (p uint64) { f.withLock(func() { p = f.period }); return p }

func (f *fakeControl) setLease(held bool) { f.withLock(func() { f.leaseHeld = held }) }

// renewAfterLapse renews the lease after it has lapsed.
func (f *fakeControl) renewAfterLapse() { f.withLock(func() { f.period++ }) }

func (f *fakeControl) removeUpstream(name string)            { f.withLock(func() { f.setUpstream(name, nil) }) }
func (f *fakeControl) Entries() []*wire.Instance             { return f.entries }
func (f *fakeControl) Loads() map[string]*wire.Heard         { return nil }
func (f *fakeControl) Tallies() []*wire.Tally                { return f.tallies() }
func (f *fakeControl) SetTallySource(g func() []*wire.Tally) { f.tallies = g }
func (f *fakeControl) SetDraining(draining bool)             { f.draining = draining }
func (f *fakeControl) recordedCharges() (list []*wire.ChargeRequest) {
	f.withLock(func() { list = f.charges })
	return list
}

// Ledger returns one total per charge.
func (f *fakeControl) Ledger(context.Context, *wire.LedgerRequest) (*wire.LedgerReply, error) {
	r := &wire.LedgerReply{}
	for _, c := range f.recordedCharges() {
		r.Totals = append(r.Totals, &wire.Total{Account: c.Account, Service: c.Service, Requests: 1, Amount: c.Amount})
	}
	return r, nil
}

func (f *fakeControl) Charge(_ context.Context, r *wire.ChargeRequest) (*wire.ChargeReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.fail["charge"]; err != nil {
		return nil, err
	}
	for _, c := range f.charges {
		if c.Account == r.Account && c.Request == r.Request && c.Digest == r.Digest {
			return &wire.ChargeReply{Repeated: true}, nil
		}
	}
	f.charges = append(f.charges, r)
	return &wire.ChargeReply{}, nil
}

func (f *fakeControl) Pin(_ context.Context, r *wire.PinRequest) (*wire.PinReply, error) {
	if f.onPin != nil {
		defer f.onPin()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	k := r.Account + "/" + r.Service + "/" + r.Session + "/" + r.Model
	if r.Version == "" || f.pins[k] != r.From || r.From != "" && r.Revision < f.pinRevision {
		return &wire.PinReply{Version: f.pins[k], Revision: f.pinRevision}, nil
	}
	f.pins[k] = r.Version
	return &wire.PinReply{Version: r.Version, Won: true}, nil
}

func (f *fakeControl) Claim(_ context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	if f.onClaim != nil {
		f.onClaim(r)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.fail["claim"+r.Step.String()]; err != nil {
		return nil, err
	}
	k := r.Account + "/" + r.Key
	c := f.claims[k]
	if c == nil {
		c = &wire.ClaimReply{}
		f.claims[k] = c
	}
	// Steps that the same owner sends again succeed again.
	owned := c.Owner == r.Owner && c.Epoch == r.Epoch
	won := false
	switch r.Step {
	case wire.Step_STEP_OPEN:
		if won = c.Phase == wire.Phase_PHASE_OPEN && c.Owner == r.Owner; won {
			break
		}
		if won = c.Phase == wire.Phase_PHASE_NONE || (c.Phase == wire.Phase_PHASE_OPEN && r.Takeover && r.Epoch == c.Epoch); won {
			c.Phase, c.Owner, c.Digest = wire.Phase_PHASE_OPEN, r.Owner, r.Digest
			c.Epoch++
		}
	case wire.Step_STEP_DISPATCH:
		if won = owned && (c.Phase == wire.Phase_PHASE_OPEN || c.Phase == wire.Phase_PHASE_DISPATCHING); won {
			c.Phase = wire.Phase_PHASE_DISPATCHING
		}
	case wire.Step_STEP_FINISH:
		if won = owned && c.Phase == wire.Phase_PHASE_DISPATCHING; won {
			c.Phase, c.Answer = wire.Phase_PHASE_DONE, r.Answer
		}
	case wire.Step_STEP_ABORT:
		if won = owned && c.Phase == wire.Phase_PHASE_OPEN; won {
			c.Phase = wire.Phase_PHASE_NONE
		}
	}
	return &wire.ClaimReply{Phase: c.Phase, Owner: c.Owner, Epoch: c.Epoch, Digest: c.Digest, Answer: c.Answer, Age: c.Age, Won: won}, nil
}

// Suspect accepts all reports and keeps no suspicion.
func (f *fakeControl) Suspect(_ context.Context, r *wire.SuspectRequest) (*wire.SuspectReply, error) {
	if f.onSuspect != nil {
		f.onSuspect(r)
	}
	return &wire.SuspectReply{Standings: make([]wire.Standing, len(r.Suspects))}, nil
}

// fakeCredentials accepts every token but "nobody"; the token is the account's name.
type fakeCredentials struct{}

func (fakeCredentials) Account(token string) (document.Account, bool) {
	return document.Account(token), token != "" && token != "nobody"
}

// newHandler starts a handler behind an HTTP server; configure may change its options.
func newHandler(t *testing.T, f *fakeControl, configure func(o *Options)) (*Handler, *httptest.Server) {
	t.Helper()
	o := Options{
		Control: f, Credentials: fakeCredentials{}, Timer: timer.NewSystem(), Random: rand.New(rand.NewPCG(1, 2)),
		Self: &wire.Instance{Name: "e1", Address: "127.0.0.1:1", Zone: "z1"}, Epoch: 7,
	}
	if configure != nil {
		configure(&o)
	}
	h, err := New(o)
	is.New(t).NoErr(err)
	mux := http.NewServeMux()
	h.Register(mux)
	s := httptest.NewServer(mux)
	t.Cleanup(func() {
		s.Close()
		h.Close()
	})
	return h, s
}

// fakeEngine is an engine that answers every request with the same words.
type fakeEngine struct {
	name    string
	version string
	words   []string
	// breakAfter is the number of words after which the connection is closed; -1 means
	// never.
	breakAfter int
	// intercept may change the response's header; if it returns true, it has written the
	// response itself.
	intercept func(w http.ResponseWriter, r *http.Request) bool

	mu    sync.Mutex
	calls []*http.Request
}

func (e *fakeEngine) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.calls = append(e.calls, r)
	e.mu.Unlock()
	var body struct {
		Stream bool `json:"stream"`
		Model  string
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	h.Set("Wisteriakeel-Version", e.version)
	h.Set("Wisteriakeel-Load", "running=1 waiting=0 slots=8 tokens=9 sequence=3")
	if e.intercept != nil && e.intercept(w, r) {
		return
	}
	usage := fmt.Sprintf(`{"prompt_tokens":5,"completion_tokens":%d,"total_tokens":%d}`, len(e.words), len(e.words)+5)
	if !body.Stream {
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"id":"c-1","object":"chat.completion","created":1,"model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":%s}`,
			body.Model, strings.Join(e.words, ""), usage)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	chunk := func(choices, rest string) {
		fmt.Fprintf(w, `data: {"id":"c-%s","object":"chat.completion.chunk","created":1,"model":%q,"choices":[%s]%s}`+"\n\n",
			e.name, body.Model, choices, rest)
		w.(http.Flusher).Flush()
	}
	chunk(`{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}`, "")
	from, _ := strconv.Atoi(r.Header.Get("Wisteriakeel-Resume"))
	for i, word := range e.words {
		if i < from {
			continue
		}
		if e.breakAfter >= 0 && i == e.breakAfter {
			panic(http.ErrAbortHandler)
		}
		chunk(fmt.Sprintf(`{"index":0,"delta":{"content":%q},"finish_reason":null}`, word), "")
	}
	chunk(`{"index":0,"delta":{},"finish_reason":"stop"}`, "")
	chunk("", `,"usage":`+usage)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// startEngine starts the engine and registers it as an upstream for the model.
func startEngine(t *testing.T, f *fakeControl, name, model string, e *fakeEngine, features ...string) *fakeEngine {
	t.Helper()
	e.name = name
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	f.addUpstream(name, s, &wire.Upstream{Service: "pool", Model: model, Version: e.version, Zone: "z1", Features: features})
	return e
}

// parseDocument decodes a document from the JSON form that operators write.
func parseDocument(text string) *document.Document {
	d := &document.Document{}
	if err := json.Unmarshal([]byte(text), d); err != nil {
		panic(err)
	}
	return d
}

// poolDocument returns a document of an engine service. Version v0 of its model small is
// withdrawn; the cascade draft tries small before large.
func poolDocument() *document.Document {
	return parseDocument(`{"service":"pool","kind":"engine","models":[
		{"name":"small","price":{"input":1,"output":2},"versions":[{"name":"v1","state":"active"},{"name":"v0","state":"withdrawn"}]},
		{"name":"large","price":{"input":10,"output":20},"versions":[{"name":"v1","state":"active"}]}],
		"cascades":[{"name":"draft","steps":["small","large"],"quality":0.5}],
		"accounts":[{"name":"town","models":["small","draft"],"weight":1},{"name":"farm","models":["large@v1"],"weight":1}]}`)
}

// deskDocument returns a document of a plain service. Its bookings must run at most once;
// reading them is idempotent.
func deskDocument() *document.Document {
	return parseDocument(`{"service":"desk","kind":"plain","calls":[
		{"method":"POST","path":"/bookings","price":3,"timeout":2000},{"method":"GET","path":"/bookings/","repeat":true}],
		"accounts":[{"name":"town","calls":["/bookings","/bookings/"],"weight":1}]}`)
}
