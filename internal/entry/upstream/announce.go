package upstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Bounds of announcements.
const (
	bodyLimit    = 64 << 10
	textLimit    = 256
	featureLimit = 32
	eventLimit   = 1024
	// defaultLease and defaultInterval are in milliseconds.
	defaultLease    = 5000
	defaultInterval = 1000
	leaseLimit      = 60000
)

// Registrar is the part of the control client that registrations use.
type Registrar interface {
	Announce(ctx context.Context, r *wire.AnnounceRequest) (*wire.AnnounceReply, error)
	Leave(ctx context.Context, r *wire.LeaveRequest) (*wire.LeaveReply, error)
	Config() *control.Config
	HoldsLease() bool
	Entries() []*wire.Instance
	ReportUpstream(h *wire.Heard)
}

// Credentials checks the tokens of upstreams; the name may end in "*".
type Credentials interface {
	UpstreamPattern(token string) (name string, ok bool)
}

// CacheEvent is one change of an engine's prompt-prefix cache.
type CacheEvent struct {
	// Kind is "stored" or "evicted".
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
}

// Handler serves announcements, leaves and events of upstreams.
type Handler struct {
	registrar   Registrar
	credentials Credentials
	// Tracer may be replaced before the first request.
	Tracer trace.Tracer
	// OnLoad receives the load of each heartbeat; it may be nil.
	OnLoad func(name string, incarnation uint64, load *wire.Load)
	// OnCacheEvents receives cache events, which may come late and with gaps; it may be nil.
	OnCacheEvents func(name string, incarnation, sequence uint64, events []CacheEvent)
}

// NewHandler returns a handler.
func NewHandler(r Registrar, c Credentials) *Handler {
	return &Handler{registrar: r, credentials: c, Tracer: otel.Tracer("wisteriakeel/upstream")}
}

// Register adds the handler's paths.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/upstreams/announce", h.announce)
	mux.HandleFunc("POST /v1/upstreams/leave", h.leave)
	mux.HandleFunc("POST /v1/upstreams/events", h.events)
}

type loadBody struct {
	Running  uint32 `json:"running"`
	Waiting  uint32 `json:"waiting"`
	Slots    uint32 `json:"slots"`
	Tokens   uint64 `json:"tokens"`
	Sequence uint64 `json:"sequence"`
}

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

type departure struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

type eventsBody struct {
	Name        string       `json:"name"`
	Incarnation uint64       `json:"incarnation"`
	Sequence    uint64       `json:"sequence"`
	Events      []CacheEvent `json:"events"`
}

type entryBody struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

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
		if len(f.value) > textLimit {
			return errors.Newf("%s is longer than %d bytes", f.name, textLimit)
		}
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		return errors.Newf("address %q is not host:port", a.Address)
	}
	if a.Incarnation == 0 {
		return errors.New("incarnation is missing")
	}
	if a.Lease > leaseLimit {
		return errors.Newf("lease is longer than %d ms", leaseLimit)
	}
	if len(a.Features) > featureLimit {
		return errors.Newf("more than %d features", featureLimit)
	}
	return nil
}

func (a *announcement) wire() *wire.Upstream {
	u := &wire.Upstream{
		Name: a.Name, Incarnation: a.Incarnation, Sequence: a.Sequence,
		Address: a.Address, Service: a.Service, Model: a.Model, Version: a.Version,
		Zone: a.Zone, Fencing: a.Fencing, Lease: a.Lease, Features: a.Features,
	}
	if u.Lease == 0 {
		u.Lease = defaultLease
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
	if !h.read(w, r, &a, func() string { return a.Name }) {
		return
	}
	if err := a.validate(); err != nil {
		refuse(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	if !h.registrar.HoldsLease() {
		// The leader does not hear from this entry, so that the registration would end.
		refuse(w, http.StatusServiceUnavailable, "lease", "this entry has no valid configuration lease; use another one")
		return
	}
	u := a.wire()
	if h.outdated(u) {
		refuseFault(w, control.ErrConflict)
		return
	}
	if !h.known(u) {
		if err := h.register(r, u); err != nil {
			refuseFault(w, err)
			return
		}
	}
	h.registrar.ReportUpstream(&wire.Heard{Name: u.Name, Incarnation: u.Incarnation, Load: u.Load})
	if h.OnLoad != nil && u.Load != nil {
		h.OnLoad(u.Name, u.Incarnation, u.Load)
	}
	reply := announceReply{Lease: u.Lease, Interval: min(defaultInterval, max(u.Lease/4, 1)), Entries: []entryBody{}}
	for _, e := range h.registrar.Entries() {
		if !e.Draining {
			reply.Entries = append(reply.Entries, entryBody{Name: e.Name, Address: e.Address, Zone: e.Zone, Region: e.Region})
		}
	}
	answer(w, http.StatusOK, reply)
}

// register puts the registration into the log of the control group.
func (h *Handler) register(r *http.Request, u *wire.Upstream) (err error) {
	ctx, span := h.span(r, "control announce", u.Name)
	defer func() { finish(span, err) }()
	_, err = h.registrar.Announce(ctx, &wire.AnnounceRequest{Upstream: u})
	if err == nil {
		metric.Int("upstream.announced").Add(1)
	}
	return err
}

// span begins the span of a control call; heartbeats have none.
func (h *Handler) span(r *http.Request, name, upstream string) (context.Context, trace.Span) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return h.Tracer.Start(ctx, name, trace.WithAttributes(attribute.String("upstream", upstream)))
}

func finish(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// outdated tells whether a later incarnation is registered already.
func (h *Handler) outdated(u *wire.Upstream) bool {
	c := h.registrar.Config()
	return c != nil && c.Upstreams[u.Name].GetIncarnation() > u.Incarnation
}

// known tells whether the registry in force holds exactly this registration,
// so that the announcement is only a heartbeat.
func (h *Handler) known(u *wire.Upstream) bool {
	c := h.registrar.Config()
	if c == nil {
		return false
	}
	k := c.Upstreams[u.Name]
	return k != nil && !k.Left && k.Incarnation == u.Incarnation &&
		k.Address == u.Address && k.Service == u.Service && k.Model == u.Model &&
		k.Version == u.Version && k.Zone == u.Zone && k.Fencing == u.Fencing &&
		k.Lease == u.Lease && slices.Equal(k.Features, u.Features)
}

func (h *Handler) leave(w http.ResponseWriter, r *http.Request) {
	var d departure
	if !h.read(w, r, &d, func() string { return d.Name }) {
		return
	}
	if err := h.unregister(r, &d); err != nil {
		refuseFault(w, err)
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

// unregister ends the registration in the log of the control group.
func (h *Handler) unregister(r *http.Request, d *departure) (err error) {
	ctx, span := h.span(r, "control leave", d.Name)
	defer func() { finish(span, err) }()
	_, err = h.registrar.Leave(ctx, &wire.LeaveRequest{
		Name: d.Name, Incarnation: d.Incarnation, Sequence: d.Sequence,
	})
	if err == nil {
		metric.Int("upstream.left").Add(1)
	}
	return err
}

func (h *Handler) events(w http.ResponseWriter, r *http.Request) {
	var e eventsBody
	if !h.read(w, r, &e, func() string { return e.Name }) {
		return
	}
	if len(e.Events) > eventLimit {
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
	answer(w, http.StatusOK, struct{}{})
}

// read decodes a bounded body and checks the credential for the name in it.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, v any, name func() string) bool {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	granted, ok := h.credentials.UpstreamPattern(token)
	if !ok {
		refuse(w, http.StatusUnauthorized, "credential", "no valid upstream credential")
		return false
	}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		refuse(w, http.StatusBadRequest, "invalid", "body: "+err.Error())
		return false
	}
	if d.More() {
		refuse(w, http.StatusBadRequest, "invalid", "body holds more than one value")
		return false
	}
	if !grants(granted, name()) {
		refuse(w, http.StatusForbidden, "permission", "the credential is for another upstream")
		return false
	}
	return true
}

// grants tells whether a credential's name covers the announced name.
func grants(granted, name string) bool {
	if prefix, ok := strings.CutSuffix(granted, "*"); ok {
		return strings.HasPrefix(name, prefix)
	}
	return name != "" && granted == name
}

func refuseFault(w http.ResponseWriter, err error) {
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

func refuse(w http.ResponseWriter, status int, code, message string) {
	type detail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	}
	answer(w, status, struct {
		Error detail `json:"error"`
	}{detail{Message: message, Type: "upstream", Code: code}})
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A peer that is gone cannot be told anything more.
	_ = json.NewEncoder(w).Encode(v)
}
