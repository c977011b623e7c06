// Package caller handles the HTTP requests of callers: it matches the route, checks the
// key, sends the request to an upstream, retries where the route allows it, and relays the
// response.
package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/fleet/slot"
	"wisteriakeel.example/wisteriakeel/internal/fleet/suspect"
	"wisteriakeel.example/wisteriakeel/internal/fleet/view"
	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/gateway/httpserver"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/gateway/modelselect"
	"wisteriakeel.example/wisteriakeel/internal/gateway/retrybudget"
	"wisteriakeel.example/wisteriakeel/internal/gateway/session"
	"wisteriakeel.example/wisteriakeel/internal/gateway/sizeclass"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// maxLayoutWait limits the wait for the first layout, which a starting deployment has
	// after the election of a leader. An election takes up to 1.2 s.
	maxLayoutWait = 900 * time.Millisecond
	// crashProbeTimeout limits the check whether an upstream still accepts connections.
	crashProbeTimeout = 300 * time.Millisecond
	// maxReportedBytes is the length of a caller's text above which its hash is reported.
	maxReportedBytes = 64
	// partBytes is what a part of a prompt takes in the lists of parts, with room for their growth. freeParts
	// parts do not count: most prompts have fewer, and the bound on connections bounds them.
	partBytes = 64
	freeParts = 64
)

// FleetView is the instance's view of the deployment. Requests read it, and their results
// are reported to it.
type FleetView interface {
	// Layout returns the current layout, or nil before the first one was received.
	Layout() *layout.Layout
	// LayoutLoaded returns a channel that is closed when the first layout has been received.
	LayoutLoaded() <-chan struct{}
	// LayoutConfirmed reports whether a layout is the current one and was confirmed recently
	// enough to be used.
	LayoutConfirmed(l *layout.Layout) bool
	// LayoutOutdated reports whether the current layout must not be used, since a newer one
	// has been known for some time.
	LayoutOutdated() bool
	// Table returns the upstreams that may serve requests.
	Table() *view.Table
	// Rollout returns the most recent roll-out of a service, or nil.
	Rollout(s layout.Service) *view.Rollout
	// HoldSessions keeps sessions on the former version during a roll-out.
	HoldSessions(s layout.Service, sessions ...uint64)
	// DisplacedFor returns how long a session goes on whose last version serves no more during a
	// roll-out; 0 if that is not so.
	DisplacedFor(s layout.Service, session uint64) time.Duration
	// RecordSessionEnd reports a session whose request has ended, if it is displaced.
	RecordSessionEnd(s layout.Service, session uint64)
	// Quarantined reports whether requests with this fingerprint must not be executed.
	Quarantined(fingerprint uint64) bool
	// QuarantinedPart returns a part of a prompt with which requests must not be executed.
	QuarantinedPart(parts []suspect.Part) (suspect.Part, bool)
	// RateLimited reports whether an incarnation of an upstream states a limit of requests or is cold.
	RateLimited(id string, born int64) bool
	// ColdBudget reports whether the cold upstreams of a service are limited, and how.
	// Cold reports whether a request to an incarnation of an upstream needs a permit for a cold one,
	// ColdUpstreams returns the ids of those upstreams of a service. SuspectRestart records that one refused
	// a connection, and SuspectBroken that a connection to it broke: it may have become cold unheard.
	ColdBudget(s layout.Service) (b permit.ColdBudget, limited bool)
	Cold(id string, born int64) bool
	ColdUpstreams(s layout.Service) map[string]bool
	SuspectRestart(id string, born int64)
	SuspectBroken(id string, born int64)
	// HasPermit reports whether TakePermit would return true.
	HasPermit(id string, born int64) bool
	// TakePermit returns the permission for a request to an upstream, or false if the upstream
	// has a limit and the instance holds no permit. RequestPermit asks for one for a later
	// request, and BorrowPermit waits for it and returns when it is worth asking again.
	TakePermit(id string, born int64) (permit.Permit, bool)
	RequestPermit(id string, born int64)
	BorrowPermit(ctx context.Context, id string, born int64) time.Duration
	// RecordLimit records a limit that an upstream stated, and LiftLimit that it states none
	// any more.
	RecordLimit(id string, limit permit.Limit)
	LiftLimit(id string, born int64)
	// AcquireSlot waits for a lease of a slot of one of several brittle upstreams, and ReturnSlot ends it;
	// see slot.Stock.
	AcquireSlot(ctx context.Context, upstreams []slot.Upstream, remaining, patience time.Duration) (l slot.Lease, wait time.Duration, ok bool)
	ReturnSlot(l slot.Lease, use slot.Use)
	// RecordCondition reports whether an upstream is brittle, and how many requests it has refused.
	RecordCondition(id string, brittle bool, tolerated, refusals int)
	// Evacuated reports whether no requests may be sent to the upstreams of an availability zone.
	Evacuated(zone string) bool
	// RecordLeaving records that an upstream stated that it leaves, and UpstreamAddress returns
	// the address of one that takes requests.
	RecordLeaving(id string, born int64) (isNew bool)
	UpstreamAddress(id string, born int64) (address string, ok bool)
	// InstanceCount returns the number of instances that are believed to run.
	InstanceCount() int
	// RecordLoad reports the load of an upstream, RecordOutcome the outcome or a latency of a
	// response, RecordResponse a response to a request with the parts of a prompt, and
	// RecordCrash an upstream that crashed while it ran a request.
	RecordLoad(l *wire.Load)
	RecordOutcome(o *wire.Outcome)
	RecordResponse(parts []suspect.Part)
	RecordCrash(c *wire.Crash)
}

// Options holds the dependencies of a handler.
type Options struct {
	Protocol *upstream.Protocol
	View     FleetView
	Upstream *upstream.Client
	Balancer *balancer.Balancer
	Budget   *retrybudget.Budget
	Sessions *session.Tracker
	Timer    timer.Service
	// Random is shared by all requests; the handler serializes access to it.
	Random *rand.Rand
	Log    *zap.Logger
	// ReadingTime returns the reading time per token of a model relative to the smallest one of its service. If it
	// is nil or returns false, that follows from the prices of the models.
	ReadingTime func(s layout.Service, m layout.Model) (relative float64, ok bool)
	// SeparateHeavy gives requests that engines take long to read upstreams of their own where that is
	// expected to pay.
	SeparateHeavy bool
}

// Handler is the HTTP handler for callers.
type Handler struct {
	Options
	metrics *metrics
	models  *modelselect.Selector
	sizes   *sizeclass.Classifier
	// urgencies is the scale of the last layout.
	urgencies atomic.Pointer[urgencyScale]

	mu      sync.Mutex   // guards Random
	running atomic.Int64 // requests in progress
	// waitingForRoom is the number of requests that wait for a brittle upstream.
	waitingForRoom atomic.Int64
	// invalidLeaving holds the incarnations of upstreams whose invalid leave was logged.
	invalidLeaving sync.Map
	draining       atomic.Bool
	rejecting      atomic.Bool
	finishing      atomic.Bool // no request is sent to an upstream any more

	progressMu sync.Mutex
	inProgress map[*request]struct{}
}

// New returns a handler that publishes the metrics of the process.
func New(o Options) *Handler {
	return &Handler{Options: o, metrics: processMetrics, models: modelselect.New(o.Timer), sizes: sizeclass.New(o.Timer), inProgress: map[*request]struct{}{}}
}

// Running returns the number of requests in progress.
func (h *Handler) Running() int64 { return h.running.Load() }

// randomFloat returns a random number in [0, 1).
func (h *Handler) randomFloat() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Random.Float64()
}

// ServeHTTP admits a request and dispatches it to an upstream within its time limit.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.metrics.Requests.Add(1)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{Handler: h, writer: w, httpRequest: r, arrived: h.Timer.Now(), id: r.Header.Get(h.Protocol.RequestID)}
	q.ctx, q.cancel = context.WithCancelCause(r.Context())
	defer q.cancel(nil)
	defer q.begin()()
	q.memory = memory.FromContext(r.Context())
	q.memory.Begin(q)
	defer q.memory.End()
	if !q.admit() {
		if r.ContentLength != 0 && !q.bodyRead {
			httpserver.LimitRest(w)
		}
		return
	}
	stop := h.Timer.AfterFunc(q.remaining(), func() { q.cancel(errTimeout) })
	defer stop()
	q.dispatch()
}

// request is the state of one request while it is being handled.
type request struct {
	*Handler
	ctx         context.Context
	cancel      context.CancelCauseFunc
	readingBody atomic.Bool
	sent        atomic.Bool // to an upstream, or about to be
	writer      http.ResponseWriter
	httpRequest *http.Request
	arrived     timer.Instant

	id             string
	layout         *layout.Layout
	route          *layout.Route
	service        layout.Service
	client         *layout.Client
	key            string             // of the client account
	memory         *memory.Connection // accounts for what the request holds
	bodyRead       bool               // as far as it has arrived
	body           memory.Blocks
	fingerprint    uint64
	timeout        time.Duration // from the arrival
	upstreamHeader http.Header
	prefix         balancer.Prefix
	// sharedParts are the identifiers of the prompt parts that other requests may share: all
	// but the last.
	sharedParts []suspect.Part
	sessionHash uint64 // hash of the session; a roll-out keeps a session on one version
	hasSession  bool   // the caller names the session
	model       layout.Model
	modelIndex  int // index of the selected model in the route's list
	modelChoice
	// utilization is the mean load per slot of the candidates when the model was selected.
	utilization float64
	priority    int
	placement

	// permissionExpired is true if an exchange did not begin because the key or the layout was
	// no longer valid, and quarantined if it or a part of its prompt was in quarantine.
	permissionExpired bool
	quarantined       bool
	// onlyEvacuated is true if all upstreams that could serve the request are in evacuated zones.
	onlyEvacuated bool
	// permitWait is when the first of the upstreams with a limit may have a permit again, counted
	// from the last choice of an upstream; 0 if none is short of permits.
	permitWait time.Duration
	// cold are the candidates of the last choice that are cold and limited, and permitDeadline is until when
	// the request waits for a permit where all are; 0 before it waits.
	cold           map[string]bool
	permitDeadline timer.Instant
	// leaseWait is when a brittle upstream may have a slot again, counted from the last choice of an
	// upstream; 0 if that is not known.
	leaseWait time.Duration
	// noRoom is true if a brittle upstream had no room for the request, which waits for it until
	// roomDeadline; 0 before it waits.
	noRoom       bool
	roomDeadline timer.Instant
	// pauseWait is how long all upstreams pause; 0 if they do not.
	pauseWait time.Duration
	// turnDeadline is until when the request waits for its turn after a pause; 0 before it waits.
	turnDeadline timer.Instant

	// unconnected is the number of exchanges without a connection, and placeWaits of those that waited for one.
	unconnected, placeWaits int
	// alternatives is the number of upstreams that may serve the request, whether or not a connection is free.
	alternatives int

	executions int // exchanges in which the upstream executed or may have executed the request

	// The state of the response to the caller.
	responseStarted bool
	timeToFirstByte time.Duration // from the arrival to the first byte
	lastEventID     int64         // of the stream, as the caller has received it; -1 without one
}

// remaining returns the time left until the request times out.
func (q *request) remaining() time.Duration { return q.timeout - q.Timer.Now().Sub(q.arrived) }

// admit makes all checks that need no upstream. If it returns false, it has answered the caller.
func (q *request) admit() bool {
	if q.memory.Evicted() {
		return q.rejectMemory()
	}
	if q.rejecting.Load() {
		return q.reject(http.StatusServiceUnavailable, "instance is stopping", retryOtherInstance)
	}
	if !q.awaitLayout() {
		return q.reject(http.StatusServiceUnavailable, "no configuration yet", retryAfterLeaderChange)
	}
	if q.View.LayoutOutdated() {
		return q.reject(http.StatusServiceUnavailable, "newer configuration is not loaded yet", retryOtherInstance)
	}
	// Without a recent confirmation of the layout, the route or the key may have been added,
	// changed or removed since. That holds for rejections too.
	if !q.layoutConfirmed() {
		return q.reject(http.StatusServiceUnavailable, "configuration not confirmed", retryAfterLeaderChange)
	}
	if q.route = q.layout.Match(q.httpRequest.Host, q.httpRequest.URL.Path); q.route == nil {
		q.log("no route matches", zap.String("host", reportedText(q.httpRequest.Host)), zap.String("path", reportedText(q.httpRequest.URL.Path)))
		return q.reject(http.StatusNotFound, "no route", 0)
	}
	if q.id == "" {
		return q.reject(http.StatusBadRequest, "no request id", 0)
	}
	if !q.authenticate() {
		return false
	}
	q.timeout = q.route.Timeout
	if v := q.httpRequest.Header.Get(q.Protocol.Deadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return q.reject(http.StatusBadRequest, "deadline is not a positive number of milliseconds", 0)
		}
		q.timeout = min(q.timeout, time.Duration(ms)*time.Millisecond)
	}
	if !q.readBody() {
		return false
	}
	if !q.reserveParts() {
		return q.rejectMemory()
	}
	q.service = q.route.PickService(q.randomFloat())
	q.readRoutingHeaders()
	q.fingerprint = q.computeFingerprint()
	if q.isQuarantined() {
		return q.rejectQuarantined()
	}
	if !q.checkSession() {
		return false
	}
	q.Budget.CountRequest(string(q.service))
	q.Sessions.Record(q.service, q.sessionHash)
	return true
}

// awaitLayout waits a short time for the first layout. After a restart of all instances the
// layout arrives within a second, and many callers retry only once.
func (q *request) awaitLayout() bool {
	if q.layout = q.View.Layout(); q.layout != nil {
		return true
	}
	wait := maxLayoutWait
	if ms, err := strconv.ParseInt(q.httpRequest.Header.Get(q.Protocol.Deadline), 10, 64); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond/2)
	}
	ctx, cancel := timer.WithTimeout(q.ctx, q.Timer, wait)
	defer cancel()
	select {
	case <-q.View.LayoutLoaded():
	case <-ctx.Done():
	}
	q.layout = q.View.Layout()
	return q.layout != nil
}

// layoutConfirmed reports whether the layout of the request is confirmed. It replaces the layout
// by one that has come into force since.
func (q *request) layoutConfirmed() bool {
	if q.View.LayoutConfirmed(q.layout) {
		return true
	}
	q.layout = q.View.Layout()
	return q.View.LayoutConfirmed(q.layout)
}

// authenticate looks up the client account of the key and sets the priority of the request.
func (q *request) authenticate() bool {
	q.priority = q.route.Priority
	if !q.layout.RequiresKey() || q.route.Public {
		return true
	}
	scheme, key, _ := strings.Cut(q.httpRequest.Header.Get(q.Protocol.Authorization), " ")
	if !strings.EqualFold(scheme, q.Protocol.AuthScheme) || key == "" {
		return q.reject(http.StatusUnauthorized, "no key", 0)
	}
	if q.client = q.layout.Client(key); q.client == nil {
		return q.reject(http.StatusUnauthorized, "key is not known", 0)
	}
	q.key = key
	q.memory.SetAccount(string(q.client.Name))
	if q.client.Priority >= 0 {
		q.priority = q.client.Priority
	}
	return true
}

// reserveParts accounts for the list of the parts of the prompt once it is split.
func (q *request) reserveParts() bool {
	n := strings.Count(q.httpRequest.Header.Get(q.Protocol.PromptPrefix), ",")
	return n < freeParts || q.memory.Reserve(memory.Header, memory.Bytes(n*partBytes)) == nil
}

// readRoutingHeaders reads the headers that the choice of the upstream depends on.
func (q *request) readRoutingHeaders() {
	header := q.httpRequest.Header
	q.upstreamHeader = q.Protocol.RequestHeaders(header)
	q.model = layout.Model(header.Get(q.Protocol.Model))
	parts := strings.Split(header.Get(q.Protocol.PromptPrefix), ",")
	q.readModelRequest(parts[len(parts)-1])
	for _, part := range parts[:len(parts)-1] {
		q.sharedParts = append(q.sharedParts, promptPart(part))
	}
	if q.route.SessionAffinity && len(parts) >= 2 {
		// The last part is specific to this request; the one before it is the longest
		// prefix that other requests share.
		q.prefix = sharedPrefix(parts[len(parts)-2])
	}
	switch s := header.Get(q.Protocol.Session); {
	case s != "":
		q.sessionHash, q.hasSession = xxhash.Sum64String(s), true
	case len(parts) >= 2:
		q.sessionHash = xxhash.Sum64String(promptPartID(parts[len(parts)-1]))
	default:
		q.sessionHash = xxhash.Sum64String(q.id)
	}
	q.lastEventID = -1
	if v := header.Get(q.Protocol.LastEventID); v != "" {
		if id, err := strconv.ParseInt(v, 10, 64); err == nil {
			q.lastEventID = id
		}
	}
}

// sharedPrefix returns the prefix of the prompt that ends with a part. Its length is that of
// the part; those before it are shared by so many requests that every upstream holds them.
func sharedPrefix(part string) balancer.Prefix {
	id, text, _ := strings.Cut(part, ":")
	tokens, err := strconv.Atoi(text)
	if err != nil {
		tokens = 0
	}
	return balancer.Prefix{Key: xxhash.Sum64String(id), Tokens: tokens}
}

// promptPart returns the identifier of a prompt part by which crashes are attributed. It is a copy, since it is
// remembered longer than the header that it is a part of.
func promptPart(part string) suspect.Part {
	return suspect.Part(strings.Clone(reportedText(promptPartID(part))))
}

// reportedText returns a text of a caller as it is sent to other instances. A long one, or one that is not
// UTF-8 and could not be encoded there, is replaced by its hash.
func reportedText(text string) string {
	if len(text) > maxReportedBytes || !utf8.ValidString(text) {
		return strconv.FormatUint(xxhash.Sum64String(text), 16)
	}
	return text
}

// promptPartID returns the identifier of a prompt part, which ends at the first colon.
func promptPartID(part string) string {
	id, _, _ := strings.Cut(part, ":")
	return strings.TrimSpace(id)
}

// computeFingerprint returns a hash of the account, method, host, URI and body, by which a
// repeated request is recognized whatever its request id.
func (q *request) computeFingerprint() uint64 {
	d := xxhash.New()
	account := ""
	if q.client != nil {
		account = string(q.client.Name)
	}
	// Writes to the digest never fail.
	_, _ = d.WriteString(account + "\x00" + q.httpRequest.Method + "\x00" + q.httpRequest.Host + q.httpRequest.RequestURI + "\x00")
	for _, part := range q.body {
		_, _ = d.Write(part)
	}
	return d.Sum64()
}
