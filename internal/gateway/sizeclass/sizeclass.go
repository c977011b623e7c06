// Package sizeclass separates the requests of a service that take an inference engine long to read from
// those that it reads quickly. An engine reads prompts one after the other, so that a short one waits for
// all long ones before it. Under a heavy-tailed load it pays to give the heavy requests upstreams of their
// own (size interval task assignment). The package decides from the work of recent requests whether to
// do so, from which work a request is heavy, and which upstreams are the heavy part. It does no I/O.
package sizeclass

import (
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Work is the reading work of a request: its prompt tokens that are not expected in the prompt cache, times
// the reading time per token of its model relative to the smallest one.
type Work float64

const (
	// planInterval is the time between two decisions about a service.
	planInterval = time.Second
	// minUpstreams is the number of upstreams from which two parts of them are large enough to choose from.
	minUpstreams = 8
	// minRequests is the decayed number of requests that a decision needs: with fewer, the share
	// of the rare heavy ones is not known.
	minRequests = 60
	// startUtilization is the load, in requests per slot, from which upstreams are separated, and
	// stopUtilization the one below which they are not any more. With about one request at an upstream,
	// the choice of the less loaded one of two avoids long prompts well enough.
	startUtilization = 0.08
	stopUtilization  = 0.05
	// startGain is the expected waiting time of all requests with separate parts, relative to that
	// without, below which the parts are separated, and stopGain the one above which they are not any more.
	startGain = 0.6
	stopGain  = 0.75
	// boundaryGain is the relative waiting time from which a better boundary replaces the current one.
	boundaryGain = 0.95
	// minHeavyWork and maxHeavyWork bound the part of the work that is that of heavy requests. Outside,
	// one of the parts would be a few upstreams whose number can't follow the load.
	minHeavyWork = 0.1
	maxHeavyWork = 0.9
	// shareHeadroom is added to the share of the upstreams for the heavy requests, since few
	// large requests arrive less evenly than many small ones.
	shareHeadroom = 0.02
	minShare      = 0.1
	maxShare      = 0.85
	// shareStep is the change of the share from which the parts follow it.
	shareStep = 0.03
	// maxServices limits the services with statistics.
	maxServices = 256
)

// Upstream is an upstream of a service.
type Upstream struct {
	ID, Zone string
}

// Classifier decides for each service. It is safe for concurrent use.
type Classifier struct {
	timer    timer.Service
	mu       sync.Mutex
	services map[layout.Service]*serviceState
}

// serviceState is what is known about the requests of a service, and the current decision.
type serviceState struct {
	works     histogram
	plan      *Plan
	plannedAt timer.Instant
}

// New returns a classifier that has seen no requests.
func New(t timer.Service) *Classifier {
	return &Classifier{timer: t, services: map[layout.Service]*serviceState{}}
}

func (c *Classifier) service(s layout.Service) *serviceState {
	state := c.services[s]
	if state == nil {
		if len(c.services) >= maxServices {
			clear(c.services)
		}
		state = &serviceState{}
		c.services[s] = state
	}
	return state
}

// Record counts a request that is sent to an upstream, and returns its work relative to the mean.
func (c *Classifier) Record(s layout.Service, w Work) (relative float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.service(s)
	state.works.add(w, c.timer.Now())
	return float64(w) / state.works.mean()
}

// Plan returns the current decision about a service: nil if its requests are not separated. isDue is true
// if the caller should call Update.
func (c *Classifier) Plan(s layout.Service) (p *Plan, isDue bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, now := c.service(s), c.timer.Now()
	isDue = state.plannedAt == 0 || now.Sub(state.plannedAt) >= planInterval
	if isDue {
		state.plannedAt = now // only one of several concurrent callers updates
	}
	return state.plan, isDue
}

// Update decides about a service. utilization is the number of requests per slot of its upstreams. changed
// is true if requests are separated now and were not before, or the other way round.
func (c *Classifier) Update(s layout.Service, upstreams []Upstream, utilization float64) (p *Plan, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.service(s)
	before := state.plan
	state.works.decay(c.timer.Now())
	state.plan = state.works.decide(before, utilization)
	if state.plan != nil && !state.plan.assign(upstreams) {
		state.plan = nil
	}
	return state.plan, (before == nil) != (state.plan == nil)
}

// decide returns the plan for the recorded requests, nil if it does not pay to separate them.
func (h *histogram) decide(before *Plan, utilization float64) *Plan {
	minUtilization, gain := startUtilization, startGain
	if before != nil {
		minUtilization, gain = stopUtilization, stopGain
	}
	if h.total.count < minRequests || utilization < minUtilization {
		return nil
	}
	best, ok := h.bestSplit()
	if before != nil {
		if current := h.splitAt(before.bucket); current.valid() && (!ok || best.waiting > boundaryGain*current.waiting) {
			best, ok = current, true
		}
	}
	if !ok || best.waiting > gain {
		return nil
	}
	p := &Plan{Boundary: bucketStart(best.bucket), Share: min(max(best.heavyWork+shareHeadroom, minShare), maxShare), bucket: best.bucket}
	if before != nil && before.bucket == p.bucket && before.Share-p.Share < shareStep && p.Share-before.Share < shareStep {
		p.Share = before.Share
	}
	return p
}
