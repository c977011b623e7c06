// Package caller handles the HTTP requests of client accounts at an entry: chat
// completions, calls of plain services, and the lists of models, entries and
// fairness counts. It checks credentials and permissions, queues requests, sends
// them to upstreams, retries failed attempts and charges the answers.
//
// An entry is an instance that serves callers. Upstreams are the engines and plain
// services that run the requests.
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

// Control is the part of the control client that the handler needs.
type Control interface {
	control.RequestClient
	Suspect(ctx context.Context, r *wire.SuspectRequest) (*wire.SuspectReply, error)
	Ledger(ctx context.Context, r *wire.LedgerRequest) (*wire.LedgerReply, error)
	Config() *control.Config
	LeasedConfig() *control.Config
	LeasePeriod() uint64
	Entries() []*wire.Instance
	Loads() map[string]*wire.Heard
	Tallies() []*wire.Tally
	SetTallySource(f func() []*wire.Tally)
	SetDraining(draining bool)
}

// Credentials finds the client account of a bearer token.
type Credentials interface {
	Account(token string) (document.Account, bool)
}

// Rater rates the quality of a model's answer to the request with the given body, from 0
// (worst) to 1 (best).
type Rater interface {
	Rate(ctx context.Context, service document.Service, model document.Model, body, answer []byte) (float64, error)
}

// Options configure a Handler. Durations and limits that are zero get their defaults,
// unless the field says otherwise.
type Options struct {
	Control     Control
	Credentials Credentials
	// Rater may be nil; cascades then go straight to their most capable model.
	Rater  Rater
	Timer  timer.Service
	Random *rand.Rand
	// Log may be nil.
	Log *zap.Logger
	// Tracer may be nil.
	Tracer trace.Tracer
	// Self identifies this entry, as it is listed to callers.
	Self *wire.Instance
	// Epoch is a random number that differs between two starts of the process.
	Epoch uint64
	// Balancer is the name of a balancer in route.Balancers; "least" by default.
	Balancer string
	// UpstreamLimits limits the requests to upstreams.
	UpstreamLimits upstream.Limits
	// MaxConcurrentRequests limits the requests of an account that one queue runs at
	// once, if the document sets no limit for the account; zero means unlimited. Each
	// plain service and each model of a service has its own queue.
	MaxConcurrentRequests int
	// MaxQueuedPerAccount and MaxQueuedTotal limit the requests that wait in one queue,
	// of one account and of all accounts together. The document can set a lower limit for
	// an account.
	MaxQueuedPerAccount int
	MaxQueuedTotal      int
	// MaxOpenRequests limits the open requests of an account, running or waiting.
	MaxOpenRequests int
	// MaxBodyBytes limits the body of a request, and the buffered part of a
	// streamed answer.
	MaxBodyBytes int64
	// DefaultTimeout applies to requests that name no timeout.
	DefaultTimeout time.Duration
	// MaxRequestTimeout limits the timeout that a request may name.
	MaxRequestTimeout time.Duration
	// EntryListLifetime is how long callers may use a list of entries that they got.
	EntryListLifetime time.Duration
	// PropagationDelay is how long other entries may still list an entry that has
	// begun to drain.
	PropagationDelay time.Duration
	// ClaimTakeoverAge is the age above which an open claim of another owner is
	// taken over, since its owner may have crashed.
	ClaimTakeoverAge time.Duration
	// Dial opens connections to upstreams; TCP is used if it is nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Defaults of Options.
const (
	DefaultMaxBodyBytes      = 8 << 20
	DefaultMaxOpenRequests   = 256
	DefaultTimeout           = time.Minute
	DefaultMaxRequestTimeout = 10 * time.Minute
	DefaultEntryListLifetime = 5 * time.Second
	// DefaultPropagationDelay is the time by which every entry applies a change.
	DefaultPropagationDelay = 3 * time.Second
	DefaultClaimTakeoverAge = 5 * time.Second
)

// setDefaults replaces zero values with their defaults.
func (o *Options) setDefaults() {
	for _, f := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&o.DefaultTimeout, DefaultTimeout},
		{&o.MaxRequestTimeout, DefaultMaxRequestTimeout},
		{&o.EntryListLifetime, DefaultEntryListLifetime},
		{&o.PropagationDelay, DefaultPropagationDelay},
		{&o.ClaimTakeoverAge, DefaultClaimTakeoverAge},
	} {
		if *f.value == 0 {
			*f.value = f.fallback
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
	if o.Balancer == "" {
		o.Balancer = "least"
	}
}

// Handler serves the HTTP requests of client accounts.
type Handler struct {
	options        Options
	control        Control
	timer          timer.Service
	log            *zap.Logger
	pool           *route.Pool
	retryBudget    *route.RetryBudget
	upstreamClient *upstream.Client
	pinCache       *pinCache
	drainState     *drainState
	tracker        Tracker
	openRequests   *requestLimiter

	mu     sync.Mutex
	random *rand.Rand
	queues map[queueKey]*upstreamQueue
}

// New returns a handler. It registers the handler's fairness counts with the
// control client, which reports them.
func New(o Options) (h *Handler, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "create caller handler")
		}
	}()
	o.setDefaults()
	h = &Handler{
		options: o, control: o.Control, timer: o.Timer, log: o.Log,
		retryBudget: route.NewRetryBudget(), pinCache: newPinCache(), queues: map[queueKey]*upstreamQueue{},
		random:     rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64())),
		drainState: newDrainState(), openRequests: newRequestLimiter(o.MaxOpenRequests),
	}
	h.pool, err = route.NewPool(route.PoolOptions{
		Timer: o.Timer, Random: rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64())),
		Balancer: o.Balancer, Zone: o.Self.GetZone(),
	})
	if err != nil {
		return nil, err
	}
	h.upstreamClient = upstream.New(upstream.Options{Timer: o.Timer, Limits: o.UpstreamLimits, OnLoad: h.pool.ReportLoad, OnPause: h.pauseUpstream, Dial: o.Dial})
	h.tracker = h.newTracker()
	o.Control.SetTallySource(h.tallies)
	metric.Func("caller.queues", h.gauges)
	return h, nil
}

// Register adds the handler's routes to the mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", h.serve(h.chat))
	mux.HandleFunc("GET /v1/models", h.serve(h.models))
	mux.HandleFunc("GET /v1/entries", h.serve(h.entries))
	mux.HandleFunc("GET /v1/fairness", h.serve(h.fairness))
	mux.HandleFunc("/v1/services/{service}/{path...}", h.serve(h.plain))
}

// ReportLoad passes the load from an upstream's heartbeat to the upstream pool.
func (h *Handler) ReportLoad(name string, incarnation uint64, load *wire.Load) {
	h.pool.ReportLoad(name, incarnation, load)
}

// Close closes the idle connections to upstreams.
func (h *Handler) Close() { h.upstreamClient.Close() }

// randomUint64 returns a random number. It is safe for concurrent use.
func (h *Handler) randomUint64() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.Uint64()
}

// newRequestID returns a random request ID.
func (h *Handler) newRequestID() string {
	return strconv.FormatUint(h.randomUint64(), 36) + strconv.FormatUint(h.randomUint64(), 36)
}

// queueKey identifies a set of upstreams that requests compete for: those of one
// model of a service. The model of a plain service is empty.
type queueKey struct {
	service document.Service
	model   document.Model
}

// upstreamQueue is the queue for one set of upstreams with its cached capacity.
type upstreamQueue struct {
	queueKey
	handler *Handler
	queue   *queue.Queue
	// capacity is computed again after capacityExpires; the queue's lock guards both.
	capacity        int
	capacityExpires timer.Instant
}

// capacityLifetime is how long a computed capacity is cached.
const capacityLifetime = 10 * time.Millisecond

// assumedSlots is the number of requests at a time that an upstream is assumed to serve
// if it reports no slots.
const assumedSlots = 64

// queue returns the queue of the service's model and creates it on first use.
func (h *Handler) queue(service document.Service, model document.Model) *queue.Queue {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := queueKey{service, model}
	p, ok := h.queues[k]
	if !ok {
		p = &upstreamQueue{queueKey: k, handler: h}
		p.queue = queue.New(queue.Options{
			Timer: h.timer, Random: rand.New(rand.NewPCG(h.random.Uint64(), h.random.Uint64())),
			Capacity: p.maxRunning, MaxQueuedPerAccount: h.options.MaxQueuedPerAccount, MaxQueuedTotal: h.options.MaxQueuedTotal,
		})
		h.queues[k] = p
	}
	return p.queue
}

// maxRunning returns how many requests of this queue the entry may have in
// progress: its equal share of the upstreams' slots, or more while other entries
// leave slots free. At least one is always allowed.
func (p *upstreamQueue) maxRunning(running int) int {
	now := p.handler.timer.Now()
	if p.capacity > 0 && now < p.capacityExpires {
		return p.capacity
	}
	c := p.handler.control.Config()
	if c == nil {
		return 1
	}
	free, slots := p.handler.pool.FreeSlots(c, p.handler.control.Loads(), p.service, p.model, assumedSlots)
	entries := 0
	for _, e := range p.handler.control.Entries() {
		if !e.Draining {
			entries++
		}
	}
	entries = max(entries, 1)
	p.capacity = max((slots+entries-1)/entries, running+free, 1)
	p.capacityExpires = now.Add(capacityLifetime)
	return p.capacity
}

// tallies returns the fairness counts of each account, that is, its requests, refusals
// and waits, summed over all queues.
func (h *Handler) tallies() []*wire.Tally {
	sums := map[string]*wire.Tally{}
	order := []*wire.Tally{}
	for _, p := range h.allQueues() {
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
