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
	// FeatureLoad is what an upstream announces that accepts orders to load versions.
	FeatureLoad = "load"
	// patience is how long an order is given until the announcement shows the new version.
	// It is longer than an engine takes to load, since each repeated load costs the store.
	patience = 30 * time.Second
	// pause is how long an upstream that did not accept an order is left alone.
	pause = time.Second
	// loadPause keeps loads to one a second: the weight store has one rate for all readers,
	// and loads that share it all end late.
	loadPause = time.Second
)

// load is an order that an upstream needs.
type load struct {
	upstream string
	address  string
	order    Order
}

// attempt is the last order to an upstream.
type attempt struct {
	incarnation uint64
	until       timer.Instant
}

// planner remembers which upstreams have been sent an order.
type planner struct {
	sent     map[string]attempt
	revision uint64
	needed   []load
	current  map[string]uint64
}

// step sends at most one order.
func (o *Dispatcher) step(ctx context.Context) {
	p := &o.plan
	p.refresh(o)
	l, ok := p.due(o.options.Timer.Now())
	if !ok || !o.options.LoadLimiter.Admit(l.order.Model, l.order.Version) {
		return
	}
	wait := patience
	if err := o.Send(ctx, l.address, l.order); err != nil {
		wait = pause
		o.options.Log.Info("order not accepted", zap.Error(err))
	}
	p.sent[l.upstream] = attempt{incarnation: p.current[l.upstream], until: o.options.Timer.Now().Add(wait)}
}

// due returns the needed order that has waited longest, so that an upstream that accepts
// none does not keep the others from their turn.
func (p *planner) due(now timer.Instant) (first load, ok bool) {
	var least timer.Instant
	for _, l := range p.needed {
		a, sent := p.sent[l.upstream]
		switch {
		case !sent:
			return l, true
		case a.incarnation == p.current[l.upstream] && now.Before(a.until):
		case !ok || a.until.Before(least):
			first, least, ok = l, a.until, true
		}
	}
	return first, ok
}

// refresh looks for needed orders anew if the configuration has changed.
func (p *planner) refresh(o *Dispatcher) {
	if r := o.options.Config.Revision(); r == p.revision && r != 0 {
		return
	}
	d := o.options.Config.DeltaSince(0)
	p.revision, p.current = d.Revision, map[string]uint64{}
	documents := map[string]*document.Document{}
	for _, t := range d.Documents {
		parsed, err := document.Parse(t.Service, t.Text)
		if err != nil {
			o.options.Log.Warn("no orders for a service", zap.String("service", t.Service), zap.Error(err))
			continue
		}
		documents[t.Service] = parsed
	}
	for _, u := range d.Upstreams {
		p.current[u.Name] = u.Incarnation
	}
	p.needed = needed(documents, d.Upstreams)
	for n := range p.sent {
		if _, ok := p.current[n]; !ok {
			delete(p.sent, n)
		}
	}
}

// needed lists a load for each upstream that serves a withdrawn version and can load another.
func needed(documents map[string]*document.Document, upstreams []*wire.Upstream) (out []load) {
	for _, u := range upstreams {
		d := documents[u.Service]
		if d == nil || u.Left || !slices.Contains(u.Features, FeatureLoad) {
			continue
		}
		m, ok := d.Model(document.Model(u.Model))
		if !ok {
			continue
		}
		version, ok := newest(m)
		if s, known := m.State(document.Version(u.Version)); !ok || !known || s != document.StateWithdrawn {
			continue
		}
		out = append(out, load{upstream: u.Name, address: u.Address, order: Order{
			Kind: KindLoad, Model: u.Model, Version: string(version),
		}})
	}
	return out
}

// newest returns the active version that the document lists last.
func newest(m document.ModelSpec) (name document.Version, ok bool) {
	for _, v := range m.Versions {
		if v.State == document.StateActive {
			name, ok = v.Name, true
		}
	}
	return name, ok
}

// budget admits one load per pause.
type budget struct {
	timer timer.Service
	last  timer.Instant
	begun bool
}

// Admit tells whether a load may begin now.
func (b *budget) Admit(string, string) bool {
	now := b.timer.Now()
	if b.begun && now.Sub(b.last) < loadPause {
		return false
	}
	b.last, b.begun = now, true
	return true
}
