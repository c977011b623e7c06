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
	// Engine is the service of the engines: models draft@1 and large@1.
	Engine = "wisteria-pool"
	// Plain is the plain service: bookings and seals may not be repeated, lookups may.
	Plain = "crewdesk"
	// Hill and Dale are tokens of client accounts that may use everything.
	Hill = "hill-token-000001"
	Dale = "dale-token-000001"

	// Work is the token of all upstreams.
	Work = "work-token-000001"

	secrets = `{"accounts":[{"name":"hill","token":"hill-token-000001"},{"name":"dale","token":"dale-token-000001"}],
"operators":[{"name":"team","token":"team-token-000001","services":["wisteria-pool","crewdesk"]}],
"upstreams":[{"name":"*","token":"work-token-000001"}],"peer":"peer-token-000001"}`
)

// Documents returns the default documents by service. A booking has no price, a
// seal costs 5; both may take 1 s.
func Documents() map[string]string {
	return map[string]string{
		Engine: `{"service":"wisteria-pool","kind":"engine","models":[
{"name":"draft","price":{"input":1,"output":2},"versions":[{"name":"1","state":"active"}]},
{"name":"large","price":{"input":10,"output":20},"versions":[{"name":"1","state":"active"}]}],
"cascades":[{"name":"auto","steps":["draft","large"],"quality":0.8}],
"accounts":[{"name":"hill","models":["auto","draft","large"],"weight":1,"limit":{}},
{"name":"dale","models":["auto","draft","large"],"weight":1,"limit":{}}]}`,
		Plain: `{"service":"crewdesk","kind":"plain","calls":[
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
	Open     Step = "open"     // a claim is opened or taken over
	Dispatch Step = "dispatch" // a claim moves to dispatching
	Finish   Step = "finish"   // a claim ends with its answer
	Abort    Step = "abort"    // a claim ends without a dispatch
	Read     Step = "read"     // a claim is read
	Pin      Step = "pin"
	Charge   Step = "charge"
	// Send is the first byte of a connection to an upstream; it has no After and no Key.
	Send Step = "send"
	// Run is the work of an upstream, from the request read to the answer written.
	Run Step = "run"
)

// Point is a step of one request. Key is the idempotency key of a claim or run,
// the session of a pin, the request of a charge.
type Point struct {
	// Instance names the entry or the upstream.
	Instance string
	Step     Step
	After    bool
	Key      string
	// Claim is the reply of a claim's step, nil before it or if it failed.
	Claim *wire.ClaimReply
}

// Options configures a system. Zero values take their default.
type Options struct {
	Seed uint64
	// Entries, Plains and Engines count instances; by default 2 entries, 1 plain
	// service and no engine. Every second engine serves large, the others draft.
	Entries, Plains, Engines int
	// Documents are the texts by service; those of Documents by default.
	Documents map[string]string
	// Takeover is the age from which an open claim is taken over; 500 ms by default.
	Takeover time.Duration
	// Longest bounds a call; 3 s by default.
	Longest time.Duration
	// Rating is the address of a rating service; cascades go without one otherwise.
	Rating string
	// Header and Token bound the wait for the header and the next part of an answer;
	// those of upstream.DefaultLimits by default.
	Header, Token time.Duration
	// Step is the time that an engine needs for one token; 1 ms by default.
	Step time.Duration
	// Versions are those of the engines, one for each pair of draft and large in
	// turn; all have version 1 by default.
	Versions []string
	// Features are what engines announce; all that they have by default.
	Features []string
	// Wrap may change what an upstream answers.
	Wrap func(upstream string, next http.Handler) http.Handler
	// Lifetime and Spread are those of the entries; their defaults if zero.
	Lifetime, Spread time.Duration
	// Hook is called at each Point, in the goroutine that makes the step, and may
	// kill or freeze its instance. The goroutine then goes no further.
	Hook func(Point)
	// Log is silent by default.
	Log *zap.Logger
}

func (o *Options) complete() {
	if o.Entries == 0 {
		o.Entries = 2
	}
	if o.Plains == 0 {
		o.Plains = 1
	}
	if o.Documents == nil {
		o.Documents = Documents()
	}
	if o.Takeover == 0 {
		o.Takeover = 500 * time.Millisecond
	}
	if o.Longest == 0 {
		o.Longest = 3 * time.Second
	}
	if o.Step == 0 {
		o.Step = time.Millisecond
	}
	if len(o.Versions) == 0 {
		o.Versions = []string{"1"}
	}
	if o.Features == nil {
		o.Features = engine.Features()
	}
	if o.Wrap == nil {
		o.Wrap = func(_ string, next http.Handler) http.Handler { return next }
	}
	if o.Hook == nil {
		o.Hook = func(Point) {}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
}

// System is a running system.
type System struct {
	Controls []*Control
	Entries  []*Entry
	Plains   []*Upstream
	Engines  []*Upstream

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
	s.Until("leases", func() bool { return s.all(func(e *Entry) bool { return e.Client.HoldsLease() }) })
	for service, text := range o.Documents {
		s.Apply(service, text)
	}
	for i := range o.Plains {
		s.Plains = append(s.Plains, s.startPlain(i))
	}
	for i := range o.Engines {
		s.Engines = append(s.Engines, s.startEngine(i))
	}
	s.Until("upstreams", func() bool {
		return s.all(func(e *Entry) bool { return len(e.Client.Config().Upstreams) == o.Plains+o.Engines })
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
	s.Until("document", func() bool {
		return s.all(func(e *Entry) bool { return e.Client.Config().Documents[document.Service(service)] != nil })
	})
}

// Until waits for the condition and fails the test if it does not come true.
// It must not ask a frozen instance.
func (s *System) Until(what string, f func() bool) {
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

// Restart starts an entry in place of a killed one, under another address.
func (s *System) Restart(i int) *Entry {
	s.test.Helper()
	e := s.startEntry(i)
	s.Entries[i] = e
	s.Until("lease of the new entry", e.Client.HoldsLease)
	return e
}

func (s *System) alive() *Entry {
	for _, e := range s.Entries {
		if !e.Gate.Killed() {
			return e
		}
	}
	s.test.Fatal("no entry lives")
	return nil
}

func (s *System) all(f func(e *Entry) bool) bool {
	for _, e := range s.Entries {
		if !e.Gate.Killed() && (e.Client.Config() == nil || !f(e)) {
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
	for _, u := range append(s.Plains, s.Engines...) {
		u.Kill()
	}
	for _, c := range s.Controls {
		c.Kill()
	}
	_ = s.group.Stop()
}

func (s *System) rater() *rating.Client {
	if s.options.Rating == "" {
		return nil
	}
	return rating.New(s.options.Rating)
}

func newClock(g *Gate) *clock { return &clock{System: timer.NewSystem(), gate: g} }
