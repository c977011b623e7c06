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

// Bounds of the cache of pins.
const (
	pinLimit = 65536
	pinAge   = time.Hour
)

// pins caches the versions that sessions keep.
type pins struct {
	mu    sync.Mutex
	named map[pinKey]pin
}

type pinKey struct {
	account document.Account
	service document.Service
	session string
	model   document.Model
}

// pin is valid for one state of the document: another entry may move a pin
// once the document has withdrawn its version.
type pin struct {
	version  document.Version
	document *document.Document
	since    timer.Instant
}

func newPins() *pins { return &pins{named: map[pinKey]pin{}} }

func (p *pins) get(k pinKey) (pin, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.named[k]
	return v, ok
}

func (p *pins) put(k pinKey, v pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.named) >= pinLimit {
		for o := range p.named {
			delete(p.named, o)
			break
		}
	}
	p.named[k] = v
}

// sessionVersion returns the version that the session keeps, and pins one if it keeps
// none or if its version is withdrawn.
func (q *request) sessionVersion(ctx context.Context, c *control.Config, p *route.Plan, step document.Model) (v document.Version, err error) {
	h := q.handler
	k := pinKey{q.account, p.Document.Service, q.session, step}
	if old, ok := h.pins.get(k); ok && old.document == p.Document &&
		h.timer.Now().Sub(old.since) < pinAge && p.Accepts(step, old.version, q.session, true) {
		return old.version, nil
	}
	want, err := q.prefer(c, p, step)
	if err != nil && !errors.Is(err, route.ErrNoVersion) {
		return "", err
	}
	v, err = q.pin(ctx, c.Revision, p, step, want)
	if err != nil {
		return "", err
	}
	h.pins.put(k, pin{version: v, document: p.Document, since: h.timer.Now()})
	return v, nil
}

// prefer returns the first version that takes the key's work and has an upstream.
func (q *request) prefer(c *control.Config, p *route.Plan, step document.Model) (document.Version, error) {
	list, err := p.EligibleVersions(step, q.key())
	if err != nil {
		return "", err
	}
	for _, v := range list {
		if serves(c, route.Requirements{Service: p.Document.Service, Model: step, Version: v}) {
			return v, nil
		}
	}
	return list[0], nil
}

func serves(c *control.Config, w route.Requirements) bool {
	for _, u := range c.Upstreams {
		if w.Matches(u) {
			return true
		}
	}
	return false
}

// key is what the share of a roll-out is taken by.
func (q *request) key() string {
	if q.session != "" {
		return q.session
	}
	return q.id
}

const (
	// pinMoves bounds how often a pin is followed that others move at the same time.
	pinMoves = 3
	// behindPause is the wait of an entry that has yet to learn of the configuration
	// under which another one made a pin; a change arrives within a few milliseconds.
	behindPause = 50 * time.Millisecond
)

// pin writes the session's pin and moves it off a version that no longer takes
// work. Without a wanted version it only reads the pin, since a session that is
// pinned already can go on, for example on a retiring version.
func (q *request) pin(ctx context.Context, revision document.Revision, p *route.Plan, step document.Model, want document.Version) (document.Version, error) {
	from := ""
	for range pinMoves {
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
			if err := timer.Sleep(ctx, q.handler.timer, behindPause); err != nil {
				return "", err
			}
			return "", errChanged
		}
		if c := q.handler.control.LeasedConfig(); c == nil || c.Documents[p.Document.Service] != p.Document {
			// A pin that was made under a later document must not be moved by this one.
			return "", errChanged
		}
		if p.Name.Version != "" && got != p.Name.Version && live(p.Document, step, got) {
			return "", errPinned
		}
		if want == "" {
			return "", errors.Wrapf(route.ErrNoVersion, "%q", string(step))
		}
		from = string(got)
	}
	return "", errors.Wrap(control.ErrConflict, "the session's version keeps moving")
}

// live tells whether the version exists and is not withdrawn.
func live(d *document.Document, step document.Model, v document.Version) bool {
	m, _ := d.Model(step)
	state, ok := m.State(v)
	return ok && state != document.StateWithdrawn
}

func (q *request) sendPin(ctx context.Context, revision document.Revision, p *route.Plan, step document.Model, want document.Version, from string) (reply *wire.PinReply, err error) {
	ctx, span := q.handler.options.Tracer.Start(ctx, "control pin")
	defer func() { end(span, err) }()
	reply, err = q.handler.control.Pin(ctx, &wire.PinRequest{
		Account: string(q.account), Service: string(p.Document.Service), Session: q.session,
		Model: string(step), Version: string(want), From: from, Revision: uint64(revision),
	})
	if errors.Is(err, control.ErrConflict) || errors.Is(err, control.ErrNotFound) {
		// The reply names the version that the pin holds, if there is one.
		return reply, nil
	}
	return reply, err
}
