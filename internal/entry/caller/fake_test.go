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

// fakeControl keeps claims, pins and charges in memory.
type fakeControl struct {
	mu      sync.Mutex
	config  *control.Config
	held    bool
	entries []*wire.Instance
	claims  map[string]*wire.ClaimReply
	// pinned is the revision under which the pins were made.
	pinned  uint64
	pins    map[string]string
	charges []*wire.ChargeRequest
	// fail makes the calls of that kind fail.
	fail map[string]error
	// onClaim runs before each step of a claim.
	onClaim func(r *wire.ClaimRequest)
	// onPin runs after each pin.
	onPin   func()
	drained bool
	tallies func() []*wire.Tally
}

func newFakeControl(docs ...*document.Document) *fakeControl {
	f := &fakeControl{
		held: true, claims: map[string]*wire.ClaimReply{}, pins: map[string]string{}, fail: map[string]error{},
		config:  &control.Config{Documents: map[document.Service]*document.Document{}, Upstreams: map[string]*wire.Upstream{}},
		entries: []*wire.Instance{{Name: "e2", Address: "127.0.0.1:2", Zone: "z2"}, {Name: "e1", Address: "127.0.0.1:1", Zone: "z1"}},
	}
	f.change(docs...)
	return f
}

// change puts documents in force.
func (f *fakeControl) change(docs ...*document.Document) {
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

// join registers a server as an upstream.
func (f *fakeControl) join(name string, s *httptest.Server, u *wire.Upstream) {
	u.Name, u.Incarnation, u.Address = name, 1, strings.TrimPrefix(s.URL, "http://")
	f.do(func() { f.replace(name, u) })
}

// replace publishes a changed copy of the configuration; the lock is held.
func (f *fakeControl) replace(name string, u *wire.Upstream) {
	c := *f.config
	c.Revision++
	c.Upstreams = maps.Clone(c.Upstreams)
	delete(c.Upstreams, name)
	if u != nil {
		c.Upstreams[name] = u
	}
	f.config = &c
}

// slots sets the slots that all upstreams report.
func (f *fakeControl) slots(n uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = f.entries[1:]
	for _, u := range f.config.Upstreams {
		u.Load = &wire.Load{Slots: n, Sequence: 9}
	}
}

// LeasedConfig is the configuration unless the test took the lease away.
func (f *fakeControl) LeasedConfig() (c *control.Config) {
	f.do(func() {
		if f.held {
			c = f.config
		}
	})
	return c
}

// do runs f while nothing else changes the fake.
func (f *fakeControl) do(g func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g()
}

func (f *fakeControl) Config() (c *control.Config)           { f.do(func() { c = f.config }); return c }
func (f *fakeControl) hold(held bool)                        { f.do(func() { f.held = held }) }
func (f *fakeControl) leave(name string)                     { f.do(func() { f.replace(name, nil) }) }
func (f *fakeControl) Entries() []*wire.Instance             { return f.entries }
func (f *fakeControl) Loads() map[string]*wire.Heard         { return nil }
func (f *fakeControl) Tallies() []*wire.Tally                { return f.tallies() }
func (f *fakeControl) SetTallySource(g func() []*wire.Tally) { f.tallies = g }
func (f *fakeControl) SetDraining(draining bool)             { f.drained = draining }
func (f *fakeControl) charged() (list []*wire.ChargeRequest) {
	f.do(func() { list = f.charges })
	return list
}

// Ledger counts the charges of each account.
func (f *fakeControl) Ledger(context.Context, *wire.LedgerRequest) (*wire.LedgerReply, error) {
	r := &wire.LedgerReply{}
	for _, c := range f.charged() {
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
	if r.Version == "" || f.pins[k] != r.From || r.From != "" && r.Revision < f.pinned {
		return &wire.PinReply{Version: f.pins[k], Revision: f.pinned}, nil
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
	// Moves that are sent again by the same owner succeed again.
	mine := c.Owner == r.Owner && c.Epoch == r.Epoch
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
		if won = mine && (c.Phase == wire.Phase_PHASE_OPEN || c.Phase == wire.Phase_PHASE_DISPATCHING); won {
			c.Phase = wire.Phase_PHASE_DISPATCHING
		}
	case wire.Step_STEP_FINISH:
		if won = mine && c.Phase == wire.Phase_PHASE_DISPATCHING; won {
			c.Phase, c.Answer = wire.Phase_PHASE_DONE, r.Answer
		}
	case wire.Step_STEP_ABORT:
		if won = mine && c.Phase == wire.Phase_PHASE_OPEN; won {
			c.Phase = wire.Phase_PHASE_NONE
		}
	}
	return &wire.ClaimReply{Phase: c.Phase, Owner: c.Owner, Epoch: c.Epoch, Digest: c.Digest, Answer: c.Answer, Age: c.Age, Won: won}, nil
}

// Suspect keeps no suspicion.
func (f *fakeControl) Suspect(_ context.Context, r *wire.SuspectRequest) (*wire.SuspectReply, error) {
	return &wire.SuspectReply{Standings: make([]wire.Standing, len(r.Suspects))}, nil
}

// book holds one account per token; the token is the account's name.
type book struct{}

func (book) Account(token string) (document.Account, bool) {
	return document.Account(token), token != "" && token != "nobody"
}

func newHandler(t *testing.T, f *fakeControl, edit func(o *Options)) (*Handler, *httptest.Server) {
	t.Helper()
	o := Options{
		Control: f, Credentials: book{}, Timer: timer.NewSystem(), Random: rand.New(rand.NewPCG(1, 2)),
		Self: &wire.Instance{Name: "e1", Address: "127.0.0.1:1", Zone: "z1"}, Epoch: 7,
	}
	if edit != nil {
		edit(&o)
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

// engine is a fake engine.
type engine struct {
	name    string
	version string
	words   []string
	// breakAfter ends the connection after that many words; -1 never.
	breakAfter int
	// edit changes the answer's header or takes the request over.
	edit func(w http.ResponseWriter, r *http.Request) bool

	mu    sync.Mutex
	calls []*http.Request
}

func (e *engine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	if e.edit != nil && e.edit(w, r) {
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

// startEngine registers a fake engine for m@version.
func startEngine(t *testing.T, f *fakeControl, name, model string, e *engine, features ...string) *engine {
	t.Helper()
	e.name = name
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	f.join(name, s, &wire.Upstream{Service: "pool", Model: model, Version: e.version, Zone: "z1", Features: features})
	return e
}

// parse reads a document in the form in which operators write it.
func parse(text string) *document.Document {
	d := &document.Document{}
	if err := json.Unmarshal([]byte(text), d); err != nil {
		panic(err)
	}
	return d
}

func poolDocument() *document.Document {
	return parse(`{"service":"pool","kind":"engine","models":[
		{"name":"small","price":{"input":1,"output":2},"versions":[{"name":"v1","state":"active"},{"name":"v0","state":"withdrawn"}]},
		{"name":"large","price":{"input":10,"output":20},"versions":[{"name":"v1","state":"active"}]}],
		"cascades":[{"name":"draft","steps":["small","large"],"quality":0.5}],
		"accounts":[{"name":"town","models":["small","draft"],"weight":1},{"name":"farm","models":["large@v1"],"weight":1}]}`)
}

func deskDocument() *document.Document {
	return parse(`{"service":"desk","kind":"plain","calls":[
		{"method":"POST","path":"/bookings","price":3,"timeout":2000},{"method":"GET","path":"/bookings/","repeat":true}],
		"accounts":[{"name":"town","calls":["/bookings","/bookings/"],"weight":1}]}`)
}
