package caller

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/entry/route"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Limits of pinCache.
const (
	maxCachedPins     = 65536
	cachedPinLifetime = time.Hour
)

// pinCache caches the model versions that sessions are pinned to.
type pinCache struct {
	mu      sync.Mutex
	entries map[pinKey]cachedPin
}

type pinKey struct {
	account document.Account
	service document.Service
	session string
	model   document.Model
}

// cachedPin is valid only while the document stays the same, since another entry may move
// the pin once a later document withdraws the version.
type cachedPin struct {
	version  document.Version
	document *document.Document
	cachedAt timer.Instant
}

func newPinCache() *pinCache { return &pinCache{entries: map[pinKey]cachedPin{}} }

func (p *pinCache) get(k pinKey) (cachedPin, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.entries[k]
	return v, ok
}

func (p *pinCache) put(k pinKey, v cachedPin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.entries) >= maxCachedPins {
		for o := range p.entries {
			delete(p.entries, o)
			break
		}
	}
	p.entries[k] = v
}

// sessionVersion returns the version of a model that the session is pinned to. It pins
// the session to a version if it has none or if its version was withdrawn.
func (q *request) sessionVersion(ctx context.Context, c *control.Config, p *route.Plan, step document.Model) (v document.Version, err error) {
	h := q.handler
	k := pinKey{q.account, p.Document.Service, q.session, step}
	if cached, ok := h.pinCache.get(k); ok && cached.document == p.Document &&
		h.timer.Now().Sub(cached.cachedAt) < cachedPinLifetime && p.Accepts(step, cached.version, q.session, true) {
		return cached.version, nil
	}
	want, err := q.preferredVersion(c, p, step)
	if err != nil && !errors.Is(err, route.ErrNoVersion) {
		return "", err
	}
	v, err = q.pinSession(ctx, c.Revision, p, step, want)
	if err != nil {
		return "", err
	}
	h.pinCache.put(k, cachedPin{version: v, document: p.Document, cachedAt: h.timer.Now()})
	return v, nil
}

// preferredVersion returns the first version that accepts this request and has an
// upstream, or the first one that accepts it if none has.
func (q *request) preferredVersion(c *control.Config, p *route.Plan, step document.Model) (document.Version, error) {
	list, err := p.EligibleVersions(step, q.rolloutKey())
	if err != nil {
		return "", err
	}
	for _, v := range list {
		if hasUpstream(c, route.Requirements{Service: p.Document.Service, Model: step, Version: v}) {
			return v, nil
		}
	}
	return list[0], nil
}

// hasUpstream reports whether any registered upstream meets the requirements.
func hasUpstream(c *control.Config, r route.Requirements) bool {
	for _, u := range c.Upstreams {
		if r.Matches(u) {
			return true
		}
	}
	return false
}

// rolloutKey decides which share of a roll-out the request belongs to; all requests of
// a session share one key.
func (q *request) rolloutKey() string {
	if q.session != "" {
		return q.session
	}
	return q.id
}

const (
	// maxPinMoves limits the attempts at a pin that other entries move at the same time.
	maxPinMoves = 3
	// staleConfigDelay is how long an entry waits for the configuration under which
	// another entry made a pin. A change normally arrives within a few milliseconds.
	staleConfigDelay = 50 * time.Millisecond
)

// pinSession pins the session to the wanted version unless it has a pin, and moves the
// pin if its version no longer accepts requests. If want is empty it only reads the pin,
// since a session that has a pin can continue, for example on a retiring version.
func (q *request) pinSession(ctx context.Context, revision document.Revision, p *route.Plan, step document.Model, want document.Version) (document.Version, error) {
	from := ""
	for range maxPinMoves {
		reply, err := q.sendPin(ctx, revision, p, step, want, from)
		if err != nil {
			return "", err
		}
		got := document.Version(reply.GetVersion())
		if got == "" {
			return "", errors.Wrapf(route.ErrNoVersion, "%q", string(step))
		}
		if p.Accepts(step, got, q.session, true) {
			if from != "" {
				q.writer.Header().Set(headerMoved, from)
			}
			return got, nil
		}
		if reply.GetRevision() > uint64(revision) {
			if err := timer.Sleep(ctx, q.handler.timer, staleConfigDelay); err != nil {
				return "", err
			}
			return "", errConfigChanged
		}
		if c := q.handler.control.LeasedConfig(); c == nil || c.Documents[p.Document.Service] != p.Document {
			// The pin may have been made under a later document, so this one must not
			// move it.
			return "", errConfigChanged
		}
		if p.Name.Version != "" && got != p.Name.Version && notWithdrawn(p.Document, step, got) {
			return "", errOtherVersionPinned
		}
		if want == "" {
			return "", errors.Wrapf(route.ErrNoVersion, "%q", string(step))
		}
		from = string(got)
	}
	return "", errors.Wrap(control.ErrConflict, "the session's version keeps moving")
}

// notWithdrawn reports whether the document has the version and it is not withdrawn.
func notWithdrawn(d *document.Document, step document.Model, v document.Version) bool {
	m, _ := d.Model(step)
	state, ok := m.State(v)
	return ok && state != document.StateWithdrawn
}

// sendPin asks the control group to pin the session to want. A pin to another version
// than from is left as it is, and the reply names its version.
func (q *request) sendPin(ctx context.Context, revision document.Revision, p *route.Plan, step document.Model, want document.Version, from string) (reply *wire.PinReply, err error) {
	ctx, span := q.handler.options.Tracer.Start(ctx, "control pin")
	defer func() { endSpan(span, err) }()
	reply, err = q.handler.control.Pin(ctx, &wire.PinRequest{
		Account: string(q.account), Service: string(p.Document.Service), Session: q.session,
		Model: string(step), Version: string(want), From: from, Revision: uint64(revision),
	})
	if errors.Is(err, control.ErrConflict) || errors.Is(err, control.ErrNotFound) {
		// The reply names the pinned version, if there is one.
		return reply, nil
	}
	return reply, err
}
