// Package system runs the whole path from callers to upstreams in one process for
// proofs: control instances, entries, simulated engines and plain services. Each
// control instance and entry stands behind a Gate, at which it can be killed, cut
// off and frozen; a hook sees the steps of requests as they pass.
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

// The services of the default documents and their credentials.
const (
	// EngineService is the service of the engines: models draft@1 and large@1.
	EngineService = "wisteria-pool"
	// PlainService is the plain service: bookings and seals may not be repeated, lookups may.
	PlainService = "crewdesk"
	// HillToken and Dale are tokens of client accounts that may use everything.
	HillToken = "hill-token-000001"
	DaleToken = "dale-token-000001"

	// UpstreamToken is the token of all upstreams.
	UpstreamToken = "work-token-000001"

	secrets = `{"accounts":[{"name":"hill","token":"hill-token-000001"},{"name":"dale","token":"dale-token-000001"}],
"operators":[{"name":"team","token":"team-token-000001","services":["wisteria-pool","crewdesk"]}],
"upstreams":[{"name":"*","token":"work-token-000001"}],"peer":"peer-token-000001"}`
)

// DefaultDocuments returns the default documents by service. A booking has no price, a
// seal costs 5; both may take 1 s.
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

// Step names what a request does at an entry or an upstream.
type Step string

// The steps that a hook sees, Before and After each.
const (
	StepOpen     Step = "open"     // a claim is opened or taken over
	StepDispatch Step = "dispatch" // a claim moves to dispatching
	StepFinish   Step = "finish"   // a claim ends with its answer
	StepAbort    Step = "abort"    // a claim ends without a dispatch
	StepRead     Step = "read"     // a claim is read
	StepPin      Step = "pin"
	StepCharge   Step = "charge"
	// StepSend is the first byte of a connection to an upstream; it has no After and no Key.
	StepSend Step = "send"
	// StepRun is the work of an upstream, from the request read to the answer written.
	StepRun Step = "run"
)

// HookPoint is a step of one request. Key is the idempotency key of a claim or run,
// the session of a pin, the request of a charge.
type HookPoint struct {
	// Instance names the entry or the upstream.
	Instance  string
	Step      Step
	Completed bool
	Key       string
	// ClaimReply is the reply of a claim's step, nil before it or if it failed.
	ClaimReply *wire.ClaimReply
}

// Options configures a system. Zero values take their default.
type Options struct {
	Seed uint64
	// Entries, Plains and Engines count instances; by default 2 entries, 1 plain
	// service and no engine. Every second engine serves large, the others draft.
	Entries, PlainServices, Engines int
	// Documents are the texts by service; those of Documents by default.
	Documents map[string]string
	// ClaimTakeoverAge is the age from which an open claim is taken over; 500 ms by default.
	ClaimTakeoverAge time.Duration
	// MaxCallTimeout bounds a call; 3 s by default.
	MaxCallTimeout time.Duration
	// RatingAddress is the address of a rating service; cascades go without one otherwise.
	RatingAddress string
	// HeaderTimeout and Token bound the wait for the header and the next part of an answer;
	// those of upstream.DefaultLimits by default.
	HeaderTimeout, TokenTimeout time.Duration
	// TokenInterval is the time that an engine needs for one token; 1 ms by default.
	TokenInterval time.Duration
	// EngineVersions are those of the engines, one for each pair of draft and large in
	// turn; all have version 1 by default.
	EngineVersions []string
	// EngineFeatures are what engines announce; all that they have by default.
	EngineFeatures []string
	// WrapUpstream may change what an upstream answers.
	WrapUpstream func(upstream string, next http.Handler) http.Handler
	// EntryListLifetime and Spread are those of the entries; their defaults if zero.
	EntryListLifetime, PropagationDelay time.Duration
	// Hook is called at each Point, in the goroutine that makes the step, and may
	// kill or freeze its instance. The goroutine then goes no further.
	Hook func(HookPoint)
	// Log is silent by default.
	Log *zap.Logger
}

func (o *Options) complete() {
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
	if o.MaxCallTimeout == 0 {
		o.MaxCallTimeout = 3 * time.Second
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

// System is a running system.
type System struct {
	Controls      []*Control
	Entries       []*Entry
	PlainServices []*Upstream
	Engines       []*Upstream

	options Options
	test    testing.TB
	secrets *secret.Credentials
	group   *group.Group
	peers   []string
	ended   chan struct{}
	// started counts entries, so that one that is restarted has an epoch of its own.
	started uint64
}

// startLimit bounds the start; elections take up to 2.4 s on an idle machine.
const startLimit = 30 * time.Second

// Start returns a system whose documents are in force and whose upstreams are
// known to all entries. It ends with the test.
func Start(t testing.TB, o Options) *System {
	t.Helper()
	o.complete()
	s := &System{options: o, test: t, ended: make(chan struct{}), group: group.New(context.Background())}
	var err error
	s.secrets, err = secret.Parse("secrets", []byte(secrets))
	s.must(err)
	for i := range 3 {
		s.Controls = append(s.Controls, s.addControl(i))
		s.peers = append(s.peers, s.Controls[i].Address)
	}
	// Cleanups run in reverse order: the directories that addControl asks for must be
	// removed after the instances that write to them have stopped.
	t.Cleanup(s.stop)
	for _, c := range s.Controls {
		c.start()
	}
	for i := range o.Entries {
		s.Entries = append(s.Entries, s.startEntry(i))
	}
	s.WaitFor("leases", func() bool { return s.all(func(e *Entry) bool { return e.Client.HoldsLease() }) })
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
		return s.all(func(e *Entry) bool { return len(e.Client.Config().Upstreams) == o.PlainServices+o.Engines })
	})
	return s
}

// Apply puts a document in force through the first entry that lives.
func (s *System) Apply(service, text string) {
	s.test.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	e := s.alive()
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
	s.must(err)
	s.WaitFor("document", func() bool {
		return s.all(func(e *Entry) bool { return e.Client.Config().Documents[document.Service(service)] != nil })
	})
}

// WaitFor waits for the condition and fails the test if it does not come true.
// It must not ask a frozen instance.
func (s *System) WaitFor(what string, f func() bool) {
	s.test.Helper()
	for end := time.Now().Add(startLimit); !f(); {
		if time.Now().After(end) {
			s.test.Fatalf("not reached: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Leader returns the control instance that leads the group; nil if none does.
// Group 0 holds the configuration, group 1 all claims, pins and charges.
func (s *System) Leader(g uint32) *Control {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := s.alive().Client.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return nil
	}
	for _, group := range r.Groups {
		for _, c := range s.Controls {
			if group.Group == g && group.Leader == c.Address {
				return c
			}
		}
	}
	return nil
}

// RestartEntry starts an entry in place of a killed one, under another address.
func (s *System) RestartEntry(i int) *Entry {
	s.test.Helper()
	e := s.startEntry(i)
	s.Entries[i] = e
	s.WaitFor("lease of the new entry", e.Client.HoldsLease)
	return e
}

func (s *System) alive() *Entry {
	for _, e := range s.Entries {
		if !e.FaultInjector.Killed() {
			return e
		}
	}
	s.test.Fatal("no entry lives")
	return nil
}

func (s *System) all(f func(e *Entry) bool) bool {
	for _, e := range s.Entries {
		if !e.FaultInjector.Killed() && (e.Client.Config() == nil || !f(e)) {
			return false
		}
	}
	return true
}

func (s *System) must(err error) {
	s.test.Helper()
	if err != nil {
		s.test.Fatal(err)
	}
}

func (s *System) stop() {
	close(s.ended)
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

func (s *System) rater() *rating.Client {
	if s.options.RatingAddress == "" {
		return nil
	}
	return rating.New(s.options.RatingAddress)
}

func newClock(g *FaultInjector) *clock { return &clock{System: timer.NewSystem(), gate: g} }
