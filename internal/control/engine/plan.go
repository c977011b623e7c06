package engine

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	// FeatureLoad is the feature that an upstream announces if it accepts load orders.
	FeatureLoad = "load"
	// loadTimeout is the wait for an upstream to announce the new version before the order is
	// repeated. It is longer than an engine takes to load, since each repeated load puts load
	// on the weight store.
	loadTimeout = 30 * time.Second
	// retryDelay is the wait before the next order to an upstream that did not accept one.
	retryDelay = time.Second
	// minLoadInterval is the minimum time between the starts of two loads. All readers share
	// the rate of the weight store, so concurrent loads delay each other.
	minLoadInterval = time.Second
)

// neededLoad is a load order that an upstream needs.
type neededLoad struct {
	upstream string
	address  string
	order    Order
}

// attempt records the last order to an upstream.
type attempt struct {
	incarnation uint64        // incarnation of the upstream at that time
	retryAt     timer.Instant // when the order may be repeated
}

// planner determines the needed orders and records which upstreams have been sent one.
type planner struct {
	attempts     map[string]attempt // by upstream name
	revision     uint64             // revision of the configuration for which needed was determined
	needed       []neededLoad
	incarnations map[string]uint64 // by upstream name, at that revision
}

// sendNext sends the next order that is due, if the load limiter admits it.
func (d *Dispatcher) sendNext(ctx context.Context) {
	p := &d.planner
	p.refresh(d)
	l, ok := p.nextDue(d.options.Timer.Now())
	if !ok || !d.options.LoadLimiter.Admit(l.order.Model, l.order.Version) {
		return
	}
	delay := loadTimeout
	if err := d.Send(ctx, l.address, l.order); err != nil {
		delay = retryDelay
		d.options.Log.Info("order not accepted", zap.Error(err))
	}
	p.attempts[l.upstream] = attempt{incarnation: p.incarnations[l.upstream], retryAt: d.options.Timer.Now().Add(delay)}
}

// nextDue returns an order for an upstream that has been sent none, or else the order whose
// retry time passed first, so that an upstream that accepts no order doesn't block others.
func (p *planner) nextDue(now timer.Instant) (next neededLoad, ok bool) {
	var earliest timer.Instant
	for _, l := range p.needed {
		a, sent := p.attempts[l.upstream]
		switch {
		case !sent:
			return l, true
		case a.incarnation == p.incarnations[l.upstream] && now.Before(a.retryAt):
		case !ok || a.retryAt.Before(earliest):
			next, earliest, ok = l, a.retryAt, true
		}
	}
	return next, ok
}

// refresh determines the needed orders again if the configuration has changed.
func (p *planner) refresh(d *Dispatcher) {
	if r := d.options.Config.Revision(); r == p.revision && r != 0 {
		return
	}
	changes := d.options.Config.DeltaSince(0)
	p.revision, p.incarnations = changes.Revision, map[string]uint64{}
	documents := map[string]*document.Document{}
	for _, t := range changes.Documents {
		parsed, err := document.Parse(t.Service, t.Text)
		if err != nil {
			d.options.Log.Warn("invalid service document, no orders are sent for it",
				zap.String("service", t.Service), zap.Error(err))
			continue
		}
		documents[t.Service] = parsed
	}
	for _, u := range changes.Upstreams {
		p.incarnations[u.Name] = u.Incarnation
	}
	p.needed = neededLoads(documents, changes.Upstreams)
	for n := range p.attempts {
		if _, ok := p.incarnations[n]; !ok {
			delete(p.attempts, n)
		}
	}
}

// neededLoads returns a load order for each upstream that serves a withdrawn version and
// accepts load orders. The order is for the newest active version.
func neededLoads(documents map[string]*document.Document, upstreams []*wire.Upstream) (out []neededLoad) {
	for _, u := range upstreams {
		d := documents[u.Service]
		if d == nil || u.Left || !slices.Contains(u.Features, FeatureLoad) {
			continue
		}
		m, ok := d.Model(document.Model(u.Model))
		if !ok {
			continue
		}
		version, ok := newestActive(m)
		if s, known := m.State(document.Version(u.Version)); !ok || !known || s != document.StateWithdrawn {
			continue
		}
		out = append(out, neededLoad{upstream: u.Name, address: u.Address, order: Order{
			Kind: KindLoad, Model: u.Model, Version: string(version),
		}})
	}
	return out
}

// newestActive returns the active version that is last in the document.
func newestActive(m document.ModelSpec) (name document.Version, ok bool) {
	for _, v := range m.Versions {
		if v.State == document.StateActive {
			name, ok = v.Name, true
		}
	}
	return name, ok
}

// intervalLimiter admits one load per minLoadInterval.
type intervalLimiter struct {
	timer   timer.Service
	last    timer.Instant // start of the last load
	started bool          // a load was admitted before
}

// Admit reports whether a load may start now.
func (i *intervalLimiter) Admit(string, string) bool {
	now := i.timer.Now()
	if i.started && now.Sub(i.last) < minLoadInterval {
		return false
	}
	i.last, i.started = now, true
	return true
}
