package view

import (
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// pendingReport collects what this instance has yet to report to the leader.
type pendingReport struct {
	upstreams  map[string]*wire.Upstream // by upstream id, like heartbeats and loads
	heartbeats map[string]*wire.Beat
	loads      map[string]*wire.Load
	limits     map[string]*wire.Limit
	conditions map[string]*wire.Condition
	outcomes   map[outcomeKey]*wire.Outcome
	crashes    []crash
	holdings   []*wire.Holding
	layout     layout.Version // version that was put into force, or 0
}

// crash is a crash of an upstream that was noticed at a time.
type crash struct {
	*wire.Crash
	at timer.Instant
}

// outcomeKey identifies the responses whose outcomes are counted together.
type outcomeKey struct {
	service, version, route, model string
	gap                            bool
	load                           uint32
}

func newPendingReport() *pendingReport {
	return &pendingReport{
		upstreams: map[string]*wire.Upstream{}, heartbeats: map[string]*wire.Beat{},
		loads: map[string]*wire.Load{}, limits: map[string]*wire.Limit{}, conditions: map[string]*wire.Condition{}, outcomes: map[outcomeKey]*wire.Outcome{},
	}
}

// TakeReport returns the pending report and clears it. It returns nil if nothing is pending.
func (v *View) TakeReport() *wire.TellRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := v.pending
	survived := v.responses.Take()
	if n.layout == 0 && len(survived)+len(n.upstreams)+len(n.heartbeats)+len(n.loads)+len(n.limits)+len(n.conditions)+len(n.outcomes)+len(n.crashes)+len(n.holdings) == 0 {
		return nil
	}
	v.pending = newPendingReport()
	r := &wire.TellRequest{Holdings: n.holdings, Layout: uint64(n.layout)}
	for _, k := range n.crashes {
		k.AgeMs = uint32(v.options.Timer.Now().Sub(k.at) / time.Millisecond)
		r.Crashes = append(r.Crashes, k.Crash)
	}
	for _, p := range survived {
		r.Survived = append(r.Survived, string(p))
	}
	for _, u := range n.upstreams {
		r.Upstreams = append(r.Upstreams, u)
	}
	for id, b := range n.heartbeats {
		if n.upstreams[id] == nil {
			r.Beats = append(r.Beats, b)
		}
	}
	for _, l := range n.loads {
		r.Loads = append(r.Loads, l)
	}
	for _, l := range n.limits {
		r.Limits = append(r.Limits, l)
	}
	for _, c := range n.conditions {
		r.Conditions = append(r.Conditions, c)
	}
	for _, o := range n.outcomes {
		r.Outcomes = append(r.Outcomes, o)
	}
	return r
}

// RequeueReport puts a report that was taken at a time and not delivered back into the queue, without its
// heartbeats, outcomes and loads, which would be out of date.
func (v *View) RequeueReport(r *wire.TellRequest, taken timer.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, u := range r.GetUpstreams() {
		if v.pending.upstreams[u.GetId()] == nil {
			v.pending.upstreams[u.GetId()] = u
		}
	}
	for _, l := range r.GetLimits() {
		if v.pending.limits[l.GetId()] == nil {
			v.pending.limits[l.GetId()] = l
		}
	}
	for _, c := range r.GetConditions() {
		if n := v.pending.conditions[c.GetId()]; n != nil {
			n.Refusals += c.GetRefusals()
		} else {
			v.pending.conditions[c.GetId()] = c
		}
	}
	for _, k := range r.GetCrashes() {
		v.pending.crashes = append(v.pending.crashes, crash{k, taken.Add(-time.Duration(k.GetAgeMs()) * time.Millisecond)})
	}
	v.pending.holdings = append(v.pending.holdings, r.GetHoldings()...)
	v.responses.Return(r.GetSurvived())
}
