// Package caller serves the requests of callers: it finds the route, checks the
// key, sends the request to an upstream and passes the answer on.
package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/view"
	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/gateway/modelselect"
	"wisteriakeel.example/wisteriakeel/internal/gateway/retrybudget"
	"wisteriakeel.example/wisteriakeel/internal/gateway/session"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/logging"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// bodyDefault bounds a body before a layout states a limit.
	bodyDefault = 4 << 20
	// excess is what is read of a body beyond its limit.
	excess = 4 << 20
	// startWait bounds the wait for the first layout; an election takes up to 1.2 s.
	startWait = 900 * time.Millisecond
	// probeLimit bounds the look whether an upstream still accepts connections.
	probeLimit = 300 * time.Millisecond
)

// FleetView is what the instance knows of its deployment.
type FleetView interface {
	Layout() *layout.Layout
	LayoutLoaded() <-chan struct{}
	LayoutConfirmed() bool
	Table() *view.Table
	Rollout(s layout.Service) *view.Rollout
	HoldSessions(s layout.Service, sessions ...uint64)
	Quarantined(fingerprint uint64) bool
	InstanceCount() int
	RecordLoad(l *wire.Load)
	RecordOutcome(o *wire.Outcome)
	RecordCrash(c *wire.Crash)
}

// Options are the parts of a handler.
type Options struct {
	Names    *upstream.Protocol
	View     FleetView
	Upstream *upstream.Client
	Chooser  *balancer.Balancer
	Budget   *retrybudget.Budget
	Sessions *session.Tracker
	Timer    timer.Service
	// Random is shared by all requests; the handler locks it.
	Random *rand.Rand
	Log    *zap.Logger
}

// Handler serves callers.
type Handler struct {
	Options
	metrics *metrics

	mu       sync.Mutex
	running  atomic.Int64
	draining atomic.Bool
	refusing atomic.Bool
}

// New returns a handler.
func New(o Options) *Handler { return &Handler{Options: o, metrics: counters} }

// Drain makes every answer end its connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// Refuse makes every new request be refused as not run.
func (h *Handler) Refuse() { h.refusing.Store(true) }

// Running returns the number of requests in progress.
func (h *Handler) Running() int64 { return h.running.Load() }

// point returns a random number from 0 to 1.
func (h *Handler) point() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Random.Float64()
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	h.metrics.Requests.Add(1)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{Handler: h, writer: w, request: r, arrived: h.Timer.Now(), id: r.Header.Get(h.Names.RequestID)}
	if !q.admit() {
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := h.Timer.AfterFunc(q.left(), func() { cancel(errTimeout) })
	defer stop()
	q.ctx = ctx
	q.serve()
}

// request is one request of a caller on its way.
type request struct {
	*Handler
	ctx     context.Context
	writer  http.ResponseWriter
	request *http.Request
	arrived timer.Instant

	id          string
	layout      *layout.Layout
	route       *layout.Route
	service     layout.Service
	client      *layout.Client
	body        []byte
	fingerprint uint64
	// limit is the time from the arrival after which the caller has no use for an answer.
	limit    time.Duration
	forward  http.Header
	key      uint64 // hash of the shared part of the prompt
	session  uint64 // hash of what roll-outs keep together
	model    layout.Model
	size     int // index of the model among the route's sizes
	priority int

	ran int // exchanges in which the request ran or may have run

	// The state of an answer that is being passed on.
	began    bool
	first    time.Duration // from the arrival to the first byte
	position int64
}

// left returns the time until the limit.
func (q *request) left() time.Duration { return q.limit - q.Timer.Now().Sub(q.arrived) }

// admit checks everything that needs no upstream. It answers the caller if it returns false.
func (q *request) admit() bool {
	if q.refusing.Load() {
		return q.refuse(http.StatusServiceUnavailable, "instance is stopping", retryElsewhere)
	}
	if !q.await() {
		return q.refuse(http.StatusServiceUnavailable, "no configuration yet", retrySoon)
	}
	host := q.request.Host
	if name, _, err := net.SplitHostPort(host); err == nil && q.layout.Match(host, q.request.URL.Path) == nil {
		host = name
	}
	if q.route = q.layout.Match(host, q.request.URL.Path); q.route == nil {
		return q.refuse(http.StatusNotFound, "no route", 0)
	}
	if q.id == "" {
		return q.refuse(http.StatusBadRequest, "no request id", 0)
	}
	if !q.authenticate() {
		return false
	}
	if !q.read() {
		return false
	}
	q.limit = q.route.Timeout
	if v := q.request.Header.Get(q.Names.Deadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return q.refuse(http.StatusBadRequest, "deadline is not a positive number of milliseconds", 0)
		}
		q.limit = min(q.limit, time.Duration(ms)*time.Millisecond)
	}
	q.service = q.route.PickService(q.point())
	q.prompt()
	q.fingerprint = q.print()
	if q.View.Quarantined(q.fingerprint) {
		q.log("quarantined")
		q.fail(http.StatusBadGateway, "request crashed several upstreams and is not run again")
		return false
	}
	q.Budget.CountRequest(string(q.service))
	q.Sessions.Record(q.service, q.session)
	return true
}

// await waits a little for the first layout: after a restart of all instances it comes
// within a second, and many callers come back only once.
func (q *request) await() bool {
	if q.layout = q.View.Layout(); q.layout != nil {
		return true
	}
	limit := startWait
	if ms, err := strconv.ParseInt(q.request.Header.Get(q.Names.Deadline), 10, 64); err == nil {
		limit = min(limit, time.Duration(ms)*time.Millisecond/2)
	}
	ctx, cancel := timer.WithTimeout(q.request.Context(), q.Timer, limit)
	defer cancel()
	select {
	case <-q.View.LayoutLoaded():
	case <-ctx.Done():
	}
	q.layout = q.View.Layout()
	return q.layout != nil
}

// authenticate finds the client account of the key.
func (q *request) authenticate() bool {
	q.priority = q.route.Priority
	if !q.layout.RequiresKey() || q.route.Public {
		return true
	}
	scheme, key, _ := strings.Cut(q.request.Header.Get(q.Names.Authorization), " ")
	if !strings.EqualFold(scheme, q.Names.AuthScheme) || key == "" {
		return q.refuse(http.StatusUnauthorized, "no key", 0)
	}
	// Without a recent confirmation, the key may have been withdrawn.
	if !q.View.LayoutConfirmed() {
		return q.refuse(http.StatusServiceUnavailable, "configuration not confirmed", retrySoon)
	}
	if q.client = q.layout.Client(key); q.client == nil {
		return q.refuse(http.StatusUnauthorized, "key is not known", 0)
	}
	if q.client.Priority >= 0 {
		q.priority = q.client.Priority
	}
	return true
}

// read reads the body within the limit of the layout.
func (q *request) read() bool {
	limit := int64(bodyDefault)
	if q.layout.Limits.MaxBodyBytes > 0 {
		limit = int64(q.layout.Limits.MaxBodyBytes)
	}
	if q.request.ContentLength == 0 {
		return true
	}
	body, err := io.ReadAll(io.LimitReader(q.request.Body, limit+1))
	if int64(len(body)) > limit {
		// A caller that is still sending would see a closed connection in place of the answer.
		if _, err := io.CopyN(io.Discard, q.request.Body, excess); err != nil && !errors.Is(err, io.EOF) {
			q.log("rest of a body not read", logging.Error(err))
		}
		return q.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
	}
	if err != nil {
		q.log("body not read", logging.Error(err))
		return q.refuse(http.StatusBadRequest, "body cannot be read", 0)
	}
	q.body = body
	return true
}

// prompt reads what the choice of an upstream depends on.
func (q *request) prompt() {
	header := q.request.Header
	q.forward = q.Names.RequestHeaders(header)
	q.model = layout.Model(header.Get(q.Names.Model))
	q.size = modelselect.Initial(len(q.route.Models))
	parts := strings.Split(header.Get(q.Names.PromptPrefix), ",")
	if q.route.SessionAffinity && len(parts) >= 2 {
		// The last part belongs to the request alone; the one before it is the longest
		// that others share.
		q.key = xxhash.Sum64String(partID(parts[len(parts)-2]))
	}
	switch s := header.Get(q.Names.Session); {
	case s != "":
		q.session = xxhash.Sum64String(s)
	case len(parts) >= 2:
		q.session = xxhash.Sum64String(partID(parts[len(parts)-1]))
	default:
		q.session = xxhash.Sum64String(q.id)
	}
	q.position = -1
	if v := header.Get(q.Names.LastEventID); v != "" {
		if id, err := strconv.ParseInt(v, 10, 64); err == nil {
			q.position = id
		}
	}
}

// partID returns the identity of a part of a prompt.
func partID(part string) string {
	id, _, _ := strings.Cut(part, ":")
	return id
}

// print returns the hash by which a request that comes again is known: its caller,
// path and body.
func (q *request) print() uint64 {
	d := xxhash.New()
	name := ""
	if q.client != nil {
		name = string(q.client.Name)
	}
	// Writes to a hash never fail.
	_, _ = d.WriteString(name + "\x00" + q.request.Method + "\x00" + q.request.Host + q.request.RequestURI + "\x00")
	_, _ = d.Write(q.body)
	return d.Sum64()
}
