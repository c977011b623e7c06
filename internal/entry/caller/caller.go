// Package caller serves client accounts: chat completions, plain services and
// the lists of models and entries.
package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/entry/queue"
	"wisteriakeel.example/wisteriakeel/internal/entry/route"
	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Control is the part of the control client that requests use.
type Control interface {
	control.RequestClient
	Suspect(ctx context.Context, r *wire.SuspectRequest) (*wire.SuspectReply, error)
	Ledger(ctx context.Context, r *wire.LedgerRequest) (*wire.LedgerReply, error)
	Config() *control.Config
	LeasedConfig() *control.Config
	Entries() []*wire.Instance
	Loads() map[string]*wire.Heard
	Tallies() []*wire.Tally
	SetTallySource(f func() []*wire.Tally)
	SetDraining(draining bool)
}

// Credentials checks the tokens of client accounts.
type Credentials interface {
	Account(token string) (document.Account, bool)
}

// Rater rates a model's answer from 0 to 1.
type Rater interface {
	Rate(ctx context.Context, service document.Service, model document.Model, request, answer []byte) (float64, error)
}

// Options are what a Handler needs. Zero durations and limits take their default.
type Options struct {
	Control     Control
	Credentials Credentials
	// Rater may be nil; cascades then use their most capable model.
	Rater  Rater
	Timer  timer.Service
	Random *rand.Rand
	Log    *zap.Logger
	// Tracer may be nil.
	Tracer trace.Tracer
	// Self is this entry as callers see it; Epoch is random per process start.
	Self  *wire.Instance
	Epoch uint64
	// Chooser names a registered chooser.
	Chooser  string
	Upstream upstream.Limits
	// MaxConcurrentRequests bounds the requests in progress of an account whose document
	// sets no limit; zero means none.
	MaxConcurrentRequests int
	// MaxQueuedPerAccount and Total bound the waiting requests per account and together.
	MaxQueuedPerAccount int
	MaxQueuedTotal      int
	// MaxOpenRequests bounds the open requests per account.
	MaxOpenRequests int
	// MaxBodyBytes bounds the body of a request in bytes.
	MaxBodyBytes int64
	// DefaultTimeout is the deadline of requests that name none, Longest the greatest one.
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	// EntryListLifetime is how long callers may use a list of entries.
	EntryListLifetime time.Duration
	// PropagationDelay is how long other entries may go on naming one that drains.
	PropagationDelay time.Duration
	// ClaimTakeoverAge is the age from which an open claim of another owner is taken over.
	ClaimTakeoverAge time.Duration
	// Dial opens connections to upstreams; TCP by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Defaults of the options.
const (
	DefaultMaxBodyBytes      = 8 << 20
	DefaultMaxOpenRequests   = 256
	DefaultTimeout           = time.Minute
	DefaultMaxTimeout        = 10 * time.Minute
	DefaultEntryListLifetime = 5 * time.Second
	// DefaultPropagationDelay is the bound on a change being in force everywhere.
	DefaultPropagationDelay = 3 * time.Second
	DefaultClaimTakeoverAge = 5 * time.Second
)

func (o *Options) fill() {
	for _, f := range []struct {
		value *time.Duration
		base  time.Duration
	}{
		{&o.DefaultTimeout, DefaultTimeout},
		{&o.MaxTimeout, DefaultMaxTimeout},
		{&o.EntryListLifetime, DefaultEntryListLifetime},
		{&o.PropagationDelay, DefaultPropagationDelay},
		{&o.ClaimTakeoverAge, DefaultClaimTakeoverAge},
	} {
		if *f.value == 0 {
			*f.value = f.base
		}
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if o.MaxOpenRequests == 0 {
		o.MaxOpenRequests = DefaultMaxOpenRequests
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Tracer == nil {
		o.Tracer = otel.Tracer("wisteriakeel/entry")
	}
	if o.Chooser == "" {
		o.Chooser = "least"
	}
}

// Handler serves client accounts.
type Handler struct {
	options    Options
	control    Control
	timer      timer.Service
	log        *zap.Logger
	pool       *route.Pool
	budget     *route.RetryBudget
	dispatcher *upstream.Client
	pins       *pins
	drain      *drain
	tracker    Tracker
	open       *connections

	mu     sync.Mutex
	random *rand.Rand
	queues map[placeKey]*place
}

// New returns a handler and reports its fairness counts to the control client.
func New(o Options) (h *Handler, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "caller handler")
		}
	}()
	o.fill()
	h = &Handler{
		options: o, control: o.Control, timer: o.Timer, log: o.Log,
		budget: route.NewRetryBudget(), pins: newPins(), queues: map[placeKey]*place{},
		random: rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64())),
		drain:  newDrain(), open: newConnections(o.MaxOpenRequests),
	}
	h.pool, err = route.NewPool(route.PoolOptions{
		Timer: o.Timer, Random: rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64())),
		Balancer: o.Chooser, Zone: o.Self.GetZone(),
	})
	if err != nil {
		return nil, err
	}
	h.dispatcher = upstream.New(upstream.Options{Timer: o.Timer, Limits: o.Upstream, OnLoad: h.pool.ReportLoad, Dial: o.Dial})
	h.tracker = h.newTracker()
	o.Control.SetTallySource(h.tallies)
	metric.Func("caller.queues", h.gauges)
	return h, nil
}

// Register adds the handler's paths.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", h.serve(h.chat))
	mux.HandleFunc("GET /v1/models", h.serve(h.models))
	mux.HandleFunc("GET /v1/entries", h.serve(h.entries))
	mux.HandleFunc("GET /v1/fairness", h.serve(h.fairness))
	mux.HandleFunc("/v1/services/{service}/{path...}", h.serve(h.plain))
}

// ReportLoad takes the load of a heartbeat that this entry received.
func (h *Handler) ReportLoad(name string, incarnation uint64, load *wire.Load) {
	h.pool.ReportLoad(name, incarnation, load)
}

// Close drops idle connections to upstreams.
func (h *Handler) Close() { h.dispatcher.Close() }

// number returns a random number.
func (h *Handler) number() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.Uint64()
}

// identity returns a random request identity.
func (h *Handler) identity() string {
	return strconv.FormatUint(h.number(), 36) + strconv.FormatUint(h.number(), 36)
}

// placeKey names what requests contend for: the upstreams of a service's model,
// or of a plain service with an empty model.
type placeKey struct {
	service document.Service
	model   document.Model
}

// place is the queue for one set of upstreams and its present capacity.
type place struct {
	placeKey
	handler *Handler
	queue   *queue.Queue
	// limit holds until the instant; both are guarded by the queue's lock.
	limit int
	until timer.Instant
}

// capacityAge is how long a computed capacity is used.
const capacityAge = 10 * time.Millisecond

// silentSlots is the number of slots of an upstream that reports none.
const silentSlots = 64

// queue returns the queue of the service's model.
func (h *Handler) queue(service document.Service, model document.Model) *queue.Queue {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := placeKey{service, model}
	p, ok := h.queues[k]
	if !ok {
		p = &place{placeKey: k, handler: h}
		p.queue = queue.New(queue.Options{
			Timer: h.timer, Random: rand.New(rand.NewPCG(h.random.Uint64(), h.random.Uint64())),
			Capacity: p.parallel, MaxQueuedPerAccount: h.options.MaxQueuedPerAccount, MaxQueuedTotal: h.options.MaxQueuedTotal,
		})
		h.queues[k] = p
	}
	return p.queue
}

// parallel returns how many of the model's requests this entry may have in
// progress: its part of all slots, and more while others leave slots free.
func (p *place) parallel(running int) int {
	now := p.handler.timer.Now()
	if p.limit > 0 && now < p.until {
		return p.limit
	}
	c := p.handler.control.Config()
	if c == nil {
		return 1
	}
	free, slots := p.handler.pool.FreeSlots(c, p.handler.control.Loads(), p.service, p.model, silentSlots)
	entries := 0
	for _, e := range p.handler.control.Entries() {
		if !e.Draining {
			entries++
		}
	}
	entries = max(entries, 1)
	p.limit = max((slots+entries-1)/entries, running+free, 1)
	p.until = now.Add(capacityAge)
	return p.limit
}

// tallies sums the counts of all queues.
func (h *Handler) tallies() []*wire.Tally {
	sums := map[string]*wire.Tally{}
	order := []*wire.Tally{}
	for _, p := range h.places() {
		for _, t := range p.queue.Tallies() {
			s, ok := sums[t.Account]
			if !ok {
				sums[t.Account] = t
				order = append(order, t)
				continue
			}
			s.Requests += t.Requests
			s.Refusals += t.Refusals
			for i := range t.Waits {
				s.Waits[i] += t.Waits[i]
			}
		}
	}
	return order
}
