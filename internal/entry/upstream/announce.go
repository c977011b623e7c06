package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Limits and defaults of announcements.
const (
	maxBodyBytes = 64 << 10
	// bodyTimeout limits the time for a body to arrive. Upstreams ask another entry after a second.
	bodyTimeout = 5 * time.Second
	// maxTextBytes limits each text field.
	maxTextBytes       = 256
	maxFeatures        = 32
	maxEvents          = 1024
	defaultLeaseMillis = 5000
	// maxHeartbeatIntervalMillis limits the time between heartbeats, which is otherwise a
	// quarter of the lease.
	maxHeartbeatIntervalMillis = 1000
	maxLeaseMillis             = 60000
)

// Registrar is the subset of the control client that handles registrations of upstreams.
type Registrar interface {
	Announce(ctx context.Context, r *wire.AnnounceRequest) (*wire.AnnounceReply, error)
	Leave(ctx context.Context, r *wire.LeaveRequest) (*wire.LeaveReply, error)
	Config() *control.Config
	HoldsLease() bool
	Entries() []*wire.Instance
	ReportUpstream(h *wire.Heard)
}

// Credentials authenticates upstreams. A token grants one upstream name, or all
// names with a prefix if the granted name ends in "*".
type Credentials interface {
	UpstreamPattern(token string) (name string, ok bool)
}

// CacheEvent is a change of an engine's prompt prefix cache.
type CacheEvent struct {
	// Kind is "stored" or "evicted".
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
}

// Handler handles HTTP requests of upstreams: announcements, which register an
// upstream and serve as its heartbeats, deregistrations and cache events.
type Handler struct {
	registrar   Registrar
	credentials Credentials
	// Tracer starts the spans of control calls. It may be replaced before the first request.
	Tracer trace.Tracer
	// OnLoad is called with the load of each heartbeat. It may be nil.
	OnLoad func(name string, incarnation uint64, load *wire.Load)
	// OnCacheEvents is called with cache events, which may arrive late and with gaps. It may be nil.
	OnCacheEvents func(name string, incarnation, sequence uint64, events []CacheEvent)
}

// NewHandler returns a handler that authenticates upstreams with c and registers them with r.
func NewHandler(r Registrar, c Credentials) *Handler {
	return &Handler{registrar: r, credentials: c, Tracer: otel.Tracer("wisteriakeel/upstream")}
}

// Register adds the handler's routes to the mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/upstreams/announce", h.announce)
	mux.HandleFunc("POST /v1/upstreams/leave", h.leave)
	mux.HandleFunc("POST /v1/upstreams/events", h.events)
}

// loadBody is the load of an upstream in an announcement. Tokens counts the tokens that
// are queued or in generation.
type loadBody struct {
	Running  uint32 `json:"running"`
	Waiting  uint32 `json:"waiting"`
	Slots    uint32 `json:"slots"`
	Tokens   uint64 `json:"tokens"`
	Sequence uint64 `json:"sequence"`
}

// announcement is the JSON body of a registration, which also serves as a heartbeat.
// Lease is the time in milliseconds after which the registration expires without a
// heartbeat; zero means defaultLeaseMillis.
type announcement struct {
	Name        string    `json:"name"`
	Incarnation uint64    `json:"incarnation"`
	Sequence    uint64    `json:"sequence"`
	Address     string    `json:"address"`
	Service     string    `json:"service"`
	Model       string    `json:"model"`
	Version     string    `json:"version"`
	Zone        string    `json:"zone"`
	Fencing     bool      `json:"fencing"`
	Lease       uint32    `json:"lease"`
	Features    []string  `json:"features"`
	Load        *loadBody `json:"load"`
}

// leaveBody is the JSON body of a deregistration.
type leaveBody struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

// eventsBody is the JSON body of a report of cache events.
type eventsBody struct {
	Name        string       `json:"name"`
	Incarnation uint64       `json:"incarnation"`
	Sequence    uint64       `json:"sequence"`
	Events      []CacheEvent `json:"events"`
}

// entryBody is one entry to which the upstream can send its announcements.
type entryBody struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

// announceReply is the JSON body of the answer to an announcement. Lease and Interval,
// the time until the next heartbeat, are in milliseconds.
type announceReply struct {
	Lease    uint32      `json:"lease"`
	Interval uint32      `json:"interval"`
	Entries  []entryBody `json:"entries"`
}

func (a *announcement) validate() error {
	for _, f := range []struct {
		name, value string
		needed      bool
	}{
		{"name", a.Name, true},
		{"address", a.Address, true},
		{"service", a.Service, true},
		{"model", a.Model, a.Version != ""},
		{"version", a.Version, a.Model != ""},
		{"zone", a.Zone, false},
	} {
		if f.needed && f.value == "" {
			return errors.Newf("%s is missing", f.name)
		}
		if len(f.value) > maxTextBytes {
			return errors.Newf("%s is longer than %d bytes", f.name, maxTextBytes)
		}
	}
	_, port, err := net.SplitHostPort(a.Address)
	if err != nil {
		return errors.Newf("address %q is not host:port", a.Address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Newf("address %q: expected a port from 1 to 65535", a.Address)
	}
	if a.Incarnation == 0 {
		return errors.New("incarnation is missing")
	}
	if a.Lease > maxLeaseMillis {
		return errors.Newf("lease is longer than %d ms", maxLeaseMillis)
	}
	if len(a.Features) > maxFeatures {
		return errors.Newf("more than %d features", maxFeatures)
	}
	return nil
}

func (a *announcement) toWire() *wire.Upstream {
	u := &wire.Upstream{
		Name: a.Name, Incarnation: a.Incarnation, Sequence: a.Sequence,
		Address: a.Address, Service: a.Service, Model: a.Model, Version: a.Version,
		Zone: a.Zone, Fencing: a.Fencing, Lease: a.Lease, Features: a.Features,
	}
	if u.Lease == 0 {
		u.Lease = defaultLeaseMillis
	}
	if l := a.Load; l != nil {
		u.Load = &wire.Load{
			Running: l.Running, Waiting: l.Waiting, Slots: l.Slots,
			Tokens: l.Tokens, Sequence: l.Sequence,
		}
	}
	return u
}

func (h *Handler) announce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	if !h.readBody(w, r, &a, func() string { return a.Name }) {
		return
	}
	if err := a.validate(); err != nil {
		refuse(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	if !h.registrar.HoldsLease() {
		// The leader does not receive this entry's reports of heartbeats, so the
		// registration would expire.
		refuse(w, http.StatusServiceUnavailable, "lease", "this entry has no valid configuration lease; use another one")
		return
	}
	u := a.toWire()
	if h.superseded(u) {
		refuseError(w, control.ErrConflict)
		return
	}
	if !h.isRegistered(u) {
		if err := h.register(r, u); err != nil {
			refuseError(w, err)
			return
		}
	}
	h.registrar.ReportUpstream(&wire.Heard{Name: u.Name, Incarnation: u.Incarnation, Load: u.Load})
	if h.OnLoad != nil && u.Load != nil {
		h.OnLoad(u.Name, u.Incarnation, u.Load)
	}
	reply := announceReply{Lease: u.Lease, Interval: min(maxHeartbeatIntervalMillis, max(u.Lease/4, 1)), Entries: []entryBody{}}
	for _, e := range h.registrar.Entries() {
		if !e.Draining {
			reply.Entries = append(reply.Entries, entryBody{Name: e.Name, Address: e.Address, Zone: e.Zone, Region: e.Region})
		}
	}
	writeJSON(w, http.StatusOK, reply)
}

// register commits the registration to the log of the control group.
func (h *Handler) register(r *http.Request, u *wire.Upstream) (err error) {
	ctx, span := h.startSpan(r, "control announce", u.Name)
	defer func() { endSpan(span, err) }()
	_, err = h.registrar.Announce(ctx, &wire.AnnounceRequest{Upstream: u})
	if err == nil {
		metric.Int("upstream.announced").Add(1)
	}
	return err
}

// startSpan starts the span of a control call. Heartbeats make none and have no span.
func (h *Handler) startSpan(r *http.Request, name, upstream string) (context.Context, trace.Span) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return h.Tracer.Start(ctx, name, trace.WithAttributes(attribute.String("upstream", upstream)))
}

// endSpan ends the span and marks it as failed if err is not nil.
func endSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// superseded reports whether a later incarnation of the upstream is registered already.
func (h *Handler) superseded(u *wire.Upstream) bool {
	c := h.registrar.Config()
	return c != nil && c.Upstreams[u.Name].GetIncarnation() > u.Incarnation
}

// isRegistered reports whether the configuration in force has exactly this
// registration, in which case the announcement is only a heartbeat.
func (h *Handler) isRegistered(u *wire.Upstream) bool {
	c := h.registrar.Config()
	if c == nil {
		return false
	}
	registered := c.Upstreams[u.Name]
	return registered != nil && !registered.Left && registered.Incarnation == u.Incarnation &&
		registered.Address == u.Address && registered.Service == u.Service && registered.Model == u.Model &&
		registered.Version == u.Version && registered.Zone == u.Zone && registered.Fencing == u.Fencing &&
		registered.Lease == u.Lease && slices.Equal(registered.Features, u.Features)
}

func (h *Handler) leave(w http.ResponseWriter, r *http.Request) {
	var b leaveBody
	if !h.readBody(w, r, &b, func() string { return b.Name }) {
		return
	}
	if err := h.unregister(r, &b); err != nil {
		refuseError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// unregister commits the end of the registration to the log of the control group.
func (h *Handler) unregister(r *http.Request, b *leaveBody) (err error) {
	ctx, span := h.startSpan(r, "control leave", b.Name)
	defer func() { endSpan(span, err) }()
	_, err = h.registrar.Leave(ctx, &wire.LeaveRequest{
		Name: b.Name, Incarnation: b.Incarnation, Sequence: b.Sequence,
	})
	if err == nil {
		metric.Int("upstream.left").Add(1)
	}
	return err
}

func (h *Handler) events(w http.ResponseWriter, r *http.Request) {
	var e eventsBody
	if !h.readBody(w, r, &e, func() string { return e.Name }) {
		return
	}
	if len(e.Events) > maxEvents {
		refuse(w, http.StatusBadRequest, "invalid", "too many events")
		return
	}
	for _, v := range e.Events {
		if v.Kind != "stored" && v.Kind != "evicted" {
			refuse(w, http.StatusBadRequest, "invalid", "event kind is neither stored nor evicted")
			return
		}
	}
	if h.OnCacheEvents != nil {
		h.OnCacheEvents(e.Name, e.Incarnation, e.Sequence, e.Events)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// readBody checks the credential, decodes the size-limited body into v and checks
// that the credential covers the upstream name in it. Otherwise it writes an error
// response and returns false.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, v any, name func() string) bool {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	granted, ok := h.credentials.UpstreamPattern(token)
	if !ok {
		refuse(w, http.StatusUnauthorized, "credential", "no valid upstream credential")
		return false
	}
	// A writer without deadlines is that of a test.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	held := memory.FromContext(r.Context())
	text, err := held.ReadWhole(memory.Call, http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength, maxBodyBytes)
	if err == nil {
		err = held.Reserve(memory.Call, memory.DecodedBytes(text))
	}
	switch {
	case errors.Is(err, memory.ErrShort):
		refuse(w, http.StatusServiceUnavailable, "memory", "memory is short")
		return false
	case err != nil:
		refuse(w, http.StatusBadRequest, "invalid", "body: "+err.Error())
		return false
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		refuse(w, http.StatusBadRequest, "invalid", "body: "+err.Error())
		return false
	}
	if d.More() {
		refuse(w, http.StatusBadRequest, "invalid", "body holds more than one value")
		return false
	}
	if !covers(granted, name()) {
		refuse(w, http.StatusForbidden, "permission", "the credential is for another upstream")
		return false
	}
	return true
}

// covers reports whether the name granted by a credential covers the announced name.
func covers(granted, name string) bool {
	if prefix, ok := strings.CutSuffix(granted, "*"); ok {
		return strings.HasPrefix(name, prefix)
	}
	return name != "" && granted == name
}

// refuseError writes the error response for an error of the control client.
func refuseError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, control.ErrConflict):
		refuse(w, http.StatusConflict, "conflict", "a later incarnation or sequence is registered, or this one has left")
	case errors.Is(err, control.ErrInvalid):
		refuse(w, http.StatusBadRequest, "invalid", err.Error())
	case errors.Is(err, control.ErrNotFound):
		refuse(w, http.StatusNotFound, "missing", "not registered")
	case errors.Is(err, control.ErrStorageFull):
		refuse(w, http.StatusInsufficientStorage, "full", "control storage full")
	default:
		refuse(w, http.StatusServiceUnavailable, "unavailable", "the registration could not be confirmed; send it again")
	}
}

// refuse writes an error response.
func refuse(w http.ResponseWriter, status int, code, message string) {
	type detail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	}
	writeJSON(w, status, struct {
		Error detail `json:"error"`
	}{detail{Message: message, Type: "upstream", Code: code}})
}

// writeJSON writes v as a JSON response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has closed its connection.
	_ = json.NewEncoder(w).Encode(v)
}
