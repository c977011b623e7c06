// Package system runs the whole router in one process for the proofs: control
// instances, entries, simulated engines and plain services. A FaultInjector in
// front of each instance can kill, partition or freeze it, and a hook is called
// before and after the steps of each request.
package system

import (
	"context"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/config/secret"
	"wisteriakeel.example/wisteriakeel/internal/entry/rating"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Services of the default documents and their credentials.
const (
	// EngineService is the service of the engines, with models draft@1 and large@1.
	EngineService = "wisteria-pool"
	// PlainService is the plain service. Lookups are idempotent, bookings and seals are not.
	PlainService = "crewdesk"
	// HillToken and DaleToken are tokens of client accounts that may use every model and call.
	HillToken = "hill-token-000001"
	DaleToken = "dale-token-000001"

	// UpstreamToken is the token of all upstreams.
	UpstreamToken = "work-token-000001"

	// secretsDocument is the secrets file of all instances.
	secretsDocument = `{"accounts":[{"name":"hill","token":"hill-token-000001"},{"name":"dale","token":"dale-token-000001"}],
"operators":[{"name":"team","token":"team-token-000001","services":["wisteria-pool","crewdesk"]}],
"upstreams":[{"name":"*","token":"work-token-000001"}],"peer":"peer-token-000001"}`
)

// DefaultDocuments returns the default documents by service. A booking has no price, a
// seal costs 5; both time out after 1 s.
func DefaultDocuments() map[string]string {
	return map[string]string{
		EngineService: `{"service":"wisteria-pool","kind":"engine","models":[
{"name":"draft","price":{"input":1,"output":2},"versions":[{"name":"1","state":"active"}]},
{"name":"large","price":{"input":10,"output":20},"versions":[{"name":"1","state":"active"}]}],
"cascades":[{"name":"auto","steps":["draft","large"],"quality":0.8}],
"accounts":[{"name":"hill","models":["auto","draft","large"],"weight":1,"limit":{}},
{"name":"dale","models":["auto","draft","large"],"weight":1,"limit":{}}]}`,
		PlainService: `{"service":"crewdesk","kind":"plain","calls":[
{"method":"POST","path":"/bookings","repeat":false,"timeout":1000},
{"method":"POST","path":"/seals","repeat":false,"price":5,"timeout":1000},
{"method":"GET","path":"/lookups/","repeat":true,"price":1,"timeout":1000}],
"accounts":[{"name":"hill","calls":["/bookings","/seals","/lookups/"],"weight":1,"limit":{}},
{"name":"dale","calls":["/bookings","/seals","/lookups/"],"weight":1,"limit":{}}]}`,
	}
}

// Step is a step of a request at an entry or an upstream.
type Step string

// Steps for which the hook is called, once before and once after each.
const (
	StepOpen     Step = "open"     // a claim is opened or taken over
	StepDispatch Step = "dispatch" // a claim moves to dispatching
	StepFinish   Step = "finish"   // a claim ends with the response
	StepAbort    Step = "abort"    // a claim ends without a dispatch
	StepRead     Step = "read"     // a claim is read
	StepPin      Step = "pin"      // a session is pinned to a version
	StepCharge   Step = "charge"   // a request is charged
	// StepSend is the first write to a connection to an upstream. The hook is called only
	// before it, and without a Key.
	StepSend Step = "send"
	// StepRun is the processing of a request by an upstream, until its response is written.
	StepRun Step = "run"
)

// HookPoint describes a call of the hook: before a step of a request, or after it if
// Completed is set. Key is the idempotency key of a claim or run, the session of a pin,
// or the request of a charge.
type HookPoint struct {
	// Instance is the name of the entry or the upstream.
	Instance  string
	Step      Step
	Completed bool
	Key       string
	// ClaimReply is the reply to a step of a claim; nil before the step and if it failed.
	ClaimReply *wire.ClaimReply
}

// Options configures a system. Zero values select the defaults.
type Options struct {
	Seed uint64
	// Entries, PlainServices and Engines are numbers of instances; by default 2 entries,
	// 1 plain service and no engine. Every second engine serves large, the others draft.
	Entries, PlainServices, Engines int
	// Documents holds the document of each service; DefaultDocuments by default.
	Documents map[string]string
	// ClaimTakeoverAge is the age at which an open claim may be taken over; 500 ms by default.
	ClaimTakeoverAge time.Duration
	// MaxRequestTimeout limits the duration of a call; 3 s by default.
	MaxRequestTimeout time.Duration
	// RatingAddress is the address of a rating service; if empty, cascades run without ratings.
	RatingAddress string
	// HeaderTimeout and EventGapTimeout limit the wait for the header and for the next part
	// of an upstream's response; those of upstream.DefaultLimits by default.
	HeaderTimeout, EventGapTimeout time.Duration
	// TokenInterval is the time an engine takes per token; 1 ms by default.
	TokenInterval time.Duration
	// EngineVersions are the model versions that engines serve; each pair of draft and
	// large takes the next one, cyclically. All engines serve version 1 by default.
	EngineVersions []string
	// EngineFeatures are the features that engines announce; all supported ones by default.
	EngineFeatures []string
	// WrapUpstream may wrap the HTTP handler of an upstream to change its responses.
	WrapUpstream func(upstream string, next http.Handler) http.Handler
	// EntryListLifetime and PropagationDelay are passed to the entries, which have defaults.
	EntryListLifetime, PropagationDelay time.Duration
	// Hook is called before and after each step in the goroutine that makes the step. It
	// may kill or freeze the instance, which stops or blocks that goroutine.
	Hook func(HookPoint)
	// Log discards everything by default.
	Log *zap.Logger
}

func (o *Options) setDefaults() {
	if o.Entries == 0 {
		o.Entries = 2
	}
	if o.PlainServices == 0 {
		o.PlainServices = 1
	}
	if o.Documents == nil {
		o.Documents = DefaultDocuments()
	}
	if o.ClaimTakeoverAge == 0 {
		o.ClaimTakeoverAge = 500 * time.Millisecond
	}
	if o.MaxRequestTimeout == 0 {
		o.MaxRequestTimeout = 3 * time.Second
	}
	if o.TokenInterval == 0 {
		o.TokenInterval = time.Millisecond
	}
	if len(o.EngineVersions) == 0 {
		o.EngineVersions = []string{"1"}
	}
	if o.EngineFeatures == nil {
		o.EngineFeatures = engine.Features()
	}
	if o.WrapUpstream == nil {
		o.WrapUpstream = func(_ string, next http.Handler) http.Handler { return next }
	}
	if o.Hook == nil {
		o.Hook = func(HookPoint) {}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
}

// System is a running router with its upstreams.
type System struct {
	Controls      []*Control
	Entries       []*Entry
	PlainServices []*Upstream
	Engines       []*Upstream

	options          Options
	test             testing.TB
	secrets          *secret.Credentials
	group            *group.Group
	controlAddresses []string
	done             chan struct{}
	// entryStarts counts started entries, so that a restarted entry gets a new epoch.
	entryStarts uint64
}

// waitTimeout limits each wait for a condition. It is much longer than an election, which
// takes up to 2.4 s on an idle machine.
const waitTimeout = 30 * time.Second

// Start starts a system and waits until its documents are in force and all entries
// know its upstreams. The system stops at the end of the test.
func Start(t testing.TB, o Options) *System {
	t.Helper()
	o.setDefaults()
	s := &System{options: o, test: t, done: make(chan struct{}), group: group.New(context.Background())}
	var err error
	s.secrets, err = secret.Parse("secrets", []byte(secretsDocument))
	s.requireNoError(err)
	for i := range 3 {
		s.Controls = append(s.Controls, s.addControl(i))
		s.controlAddresses = append(s.controlAddresses, s.Controls[i].Address)
	}
	// Cleanups run in reverse order: the temporary directories that addControl creates
	// must be removed after the instances that write to them have stopped.
	t.Cleanup(s.stop)
	for _, c := range s.Controls {
		c.start()
	}
	for i := range o.Entries {
		s.Entries = append(s.Entries, s.startEntry(i))
	}
	s.WaitFor("leases", func() bool { return s.allLiveEntries(func(e *Entry) bool { return e.Client.HoldsLease() }) })
	for service, text := range o.Documents {
		s.Apply(service, text)
	}
	for i := range o.PlainServices {
		s.PlainServices = append(s.PlainServices, s.startPlain(i))
	}
	for i := range o.Engines {
		s.Engines = append(s.Engines, s.startEngine(i))
	}
	s.WaitFor("upstreams", func() bool {
		return s.allLiveEntries(func(e *Entry) bool { return len(e.Client.Config().Upstreams) == o.PlainServices+o.Engines })
	})
	return s
}

// Apply applies a document through the first live entry and waits until all live entries
// have a document of the service.
func (s *System) Apply(service, text string) {
	s.test.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	e := s.firstLiveEntry()
	base := uint64(0)
	if r, err := e.Client.Show(ctx, &wire.ShowRequest{Service: service}); err == nil {
		for _, d := range r.Documents {
			base = d.Revision
		}
	}
	_, err := e.Client.Apply(ctx, &wire.ApplyRequest{
		Service: service, Text: []byte(text), Base: base, Operator: "team", Wait: 5000,
		Change: service + "-" + time.Now().String(),
	})
	s.requireNoError(err)
	s.WaitFor("document", func() bool {
		return s.allLiveEntries(func(e *Entry) bool { return e.Client.Config().Documents[document.Service(service)] != nil })
	})
}

// WaitFor waits until the condition holds and fails the test after waitTimeout.
// The condition must not use a frozen instance, which would block it.
func (s *System) WaitFor(what string, condition func() bool) {
	s.test.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); {
		if time.Now().After(end) {
			s.test.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Leader returns the control instance that leads the group, or nil if none is known.
// Group 0 holds the configuration, group 1 all claims, pins and charges.
func (s *System) Leader(number uint32) *Control {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := s.firstLiveEntry().Client.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return nil
	}
	for _, group := range r.Groups {
		for _, c := range s.Controls {
			if group.Group == number && group.Leader == c.Address {
				return c
			}
		}
	}
	return nil
}

// RestartEntry replaces a killed entry by a new one at another address.
func (s *System) RestartEntry(i int) *Entry {
	s.test.Helper()
	e := s.startEntry(i)
	s.Entries[i] = e
	s.WaitFor("lease of the new entry", e.Client.HoldsLease)
	return e
}

func (s *System) firstLiveEntry() *Entry {
	for _, e := range s.Entries {
		if !e.FaultInjector.Killed() {
			return e
		}
	}
	s.test.Fatal("no live entry")
	return nil
}

// allLiveEntries reports whether all entries that were not killed have a configuration and
// satisfy f.
func (s *System) allLiveEntries(f func(e *Entry) bool) bool {
	for _, e := range s.Entries {
		if !e.FaultInjector.Killed() && (e.Client.Config() == nil || !f(e)) {
			return false
		}
	}
	return true
}

func (s *System) requireNoError(err error) {
	s.test.Helper()
	if err != nil {
		s.test.Fatal(err)
	}
}

func (s *System) stop() {
	close(s.done)
	for _, e := range s.Entries {
		e.Kill()
	}
	for _, u := range append(s.PlainServices, s.Engines...) {
		u.Kill()
	}
	for _, c := range s.Controls {
		c.Kill()
	}
	_ = s.group.Stop()
}

// ratingClient returns a client of the rating service, or nil if there is none.
func (s *System) ratingClient() *rating.Client {
	if s.options.RatingAddress == "" {
		return nil
	}
	return rating.New(s.options.RatingAddress)
}

// newClock returns the timer service of an instance, which blocks while the instance is frozen.
func newClock(f *FaultInjector) *clock { return &clock{System: timer.NewSystem(), injector: f} }
