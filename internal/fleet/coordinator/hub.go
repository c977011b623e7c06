// Package coordinator keeps the soft state of the leader: which instances are in contact,
// which upstreams were heard of and how loaded they are, and how roll-outs go on.
// It is built anew from what the instances say whenever the leader changes.
package coordinator

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/fleet/state"
	"wisteriakeel.example/wisteriakeel/internal/fleet/view"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/logging"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// goneAfter is the silence after which an instance leaves the list of entries; polls
	// come at least every half second.
	goneAfter = 1600 * time.Millisecond
	// silentBeats is the number of missed heartbeats after which an upstream counts as silent.
	// Heartbeats may be seconds late.
	silentBeats = 5
	// lookPause lies between two looks at silences and roll-outs.
	lookPause = 200 * time.Millisecond
	// applyLimit bounds the wait until a command is in force.
	applyLimit = 700 * time.Millisecond
	// killers is the number of upstreams that a request may crash before it is quarantined.
	killers = 3
	// maxHeld bounds the sessions of a roll-out that stay on the former version.
	maxHeld = 4096
	// crashMemory is how long a crash counts against a request.
	crashMemory = 2 * time.Minute
)

// Replica is the replica of this instance.
type Replica interface {
	HoldsLease() (term uint64, ok bool)
	Propose(ctx context.Context, command *wire.Command) (conflict string, err error)
}

// Options are the parts of a hub.
type Options struct {
	Replica Replica
	State   *state.State
	// Exposure is the part of the requests of a roll-out that a bad version may get.
	Exposure float64
	// HeartbeatInterval is the interval of upstreams' heartbeats.
	HeartbeatInterval time.Duration
	Timer             timer.Service
	Log               *zap.Logger
	// Random gives the number of a new period of leadership.
	Random func() uint64
}

// Coordinator is the soft state of one period of leadership.
type Coordinator struct {
	options Options

	mu        sync.Mutex
	leading   uint64 // term of the log that this soft state belongs to
	term      uint64 // random number of the period
	revision  uint64
	urgent    uint64 // revision of the last change that polls are answered for
	changed   chan struct{}
	upstreams map[string]*upstream
	records   map[string]*wire.Upstream // the records of upstreams
	instances map[string]*instance
	loads     map[string]*load
	crashes   map[uint64]map[string]timer.Instant
	stages    map[string]*rollout
	durable   uint64 // revision of the last change of the state machine
}

type upstream struct {
	revision uint64
	heard    timer.Instant
}

type instance struct {
	record   *wire.Instance
	revision uint64
	seen     timer.Instant
	layout   uint64
}

type load struct {
	record   *wire.Load
	revision uint64
}

// New returns a hub that is not in use yet.
func New(o Options) *Coordinator {
	h := &Coordinator{options: o, changed: make(chan struct{}), stages: map[string]*rollout{}}
	h.reset(0)
	return h
}

func (h *Coordinator) reset(leading uint64) {
	h.leading, h.term, h.revision, h.urgent = leading, h.options.Random(), 1, 1
	h.upstreams, h.records = map[string]*upstream{}, map[string]*wire.Upstream{}
	h.instances, h.loads = map[string]*instance{}, map[string]*load{}
	h.crashes = map[uint64]map[string]timer.Instant{}
	h.durable = 1
}

// lead tells whether this instance leads, and starts a new period if it does newly.
// The mutex is held.
func (h *Coordinator) lead() bool {
	term, ok := h.options.Replica.HoldsLease()
	if ok && term != h.leading {
		h.reset(term)
		h.options.Log.Info("leading the deployment", zap.Uint64("term", term))
	}
	return ok
}

// bump wakes those who wait for a change. The mutex is held.
func (h *Coordinator) bump() uint64 {
	h.revision++
	h.urgent = h.revision
	h.wake()
	return h.revision
}

// wake lets those who wait look again. The mutex is held.
func (h *Coordinator) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// StateChanged must be called after each change of the state machine.
func (h *Coordinator) StateChanged() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.follow()
	h.durable = h.bump()
}

// LiveReplicas returns the instances with disks that are in contact.
func (h *Coordinator) LiveReplicas() map[replica.Identity]replica.Address {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[replica.Identity]replica.Address{}
	now := h.options.Timer.Now()
	for _, i := range h.instances {
		if i.record.GetIdentity() != "" && now.Sub(i.seen) < goneAfter {
			out[replica.Identity(i.record.GetIdentity())] = replica.Address(i.record.GetPeer())
		}
	}
	return out
}

// InContact tells whether the instance at a peer address is in contact.
func (h *Coordinator) InContact(peer string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range h.instances {
		if i.record.GetPeer() == peer && !i.record.GetGone() {
			return true
		}
	}
	return false
}

// Sync answers a poll. ok is false if this instance does not lead.
func (h *Coordinator) Sync(ctx context.Context, q *wire.SyncRequest) (r *wire.SyncReply, ok bool) {
	h.mu.Lock()
	if !h.lead() {
		h.mu.Unlock()
		return nil, false
	}
	h.seen(q)
	timeout := make(chan struct{})
	stop := h.options.Timer.AfterFunc(time.Duration(q.GetWait())*time.Millisecond, func() { close(timeout) })
	defer stop()
	for q.GetTerm() == h.term && q.GetCursor() >= h.urgent {
		changed := h.changed
		h.mu.Unlock()
		late := false
		select {
		case <-changed:
		case <-timeout:
			late = true
		case <-ctx.Done():
			return nil, false
		}
		h.mu.Lock()
		if late {
			break
		}
	}
	defer h.mu.Unlock()
	if !h.lead() {
		return nil, false
	}
	return h.reply(q), true
}

// seen records that an instance is in contact. The mutex is held.
func (h *Coordinator) seen(q *wire.SyncRequest) {
	name := q.GetInstance().GetName()
	have := h.instances[name]
	if have == nil || !proto.Equal(have.record, q.GetInstance()) {
		have = &instance{record: q.GetInstance()}
		h.instances[name] = have
		have.revision = h.bump()
	}
	have.seen = h.options.Timer.Now()
	if q.GetLayout() != have.layout {
		have.layout = q.GetLayout()
		// For proposals that wait for the layout to be in force; polls wait on.
		h.wake()
	}
}

func (h *Coordinator) reply(q *wire.SyncRequest) *wire.SyncReply {
	r := &wire.SyncReply{Term: h.term, Cursor: h.revision}
	since := q.GetCursor()
	if q.GetTerm() != h.term {
		since = 0
	}
	if l := h.options.State.Layout(); l.GetVersion() > q.GetLayout() {
		r.Layout = l
	}
	for id, u := range h.upstreams {
		if u.revision > since {
			r.Upstreams = append(r.Upstreams, h.records[id])
		}
	}
	for _, i := range h.instances {
		if i.revision > since {
			r.Instances = append(r.Instances, i.record)
		}
	}
	for _, l := range h.loads {
		if l.revision > since {
			r.Loads = append(r.Loads, l.record)
		}
	}
	if h.durable > since {
		r.Quarantined = h.options.State.Quarantined()
		r.Rollouts = h.rollouts()
	}
	return r
}

// ApplyReport takes over what an instance heard. ok is false if this instance does not lead.
func (h *Coordinator) ApplyReport(ctx context.Context, q *wire.TellRequest) (term uint64, ok bool) {
	h.mu.Lock()
	if !h.lead() {
		h.mu.Unlock()
		return 0, false
	}
	now := h.options.Timer.Now()
	for _, u := range q.GetUpstreams() {
		h.announce(u, now)
	}
	for _, b := range q.GetBeats() {
		h.beat(b, now)
	}
	for _, l := range q.GetLoads() {
		// Loads ride along with other changes or the next poll; they wake nobody.
		h.loads[l.GetId()] = &load{record: l, revision: h.revision + 1}
	}
	if len(q.GetLoads()) > 0 {
		h.revision++
	}
	for _, o := range q.GetOutcomes() {
		h.count(o)
	}
	for _, o := range q.GetHoldings() {
		h.hold(o)
	}
	found := h.blame(q.GetCrashes(), now)
	term = h.term
	h.mu.Unlock()
	for _, f := range found {
		_, err := h.options.Replica.Propose(ctx, &wire.Command{Body: &wire.Command_Quarantine{Quarantine: f}})
		h.options.Log.Warn("request quarantined", zap.Uint64("fingerprint", f), logging.Error(err))
	}
	return term, true
}

func (h *Coordinator) announce(u *wire.Upstream, now timer.Instant) {
	old := h.records[u.GetId()]
	if !view.Newer(u, old) {
		if have := h.upstreams[u.GetId()]; have != nil && old.GetStage() != wire.Stage_STAGE_SILENT {
			have.heard = now
		}
		return
	}
	same := view.Equivalent(u, old)
	h.records[u.GetId()] = u
	have := h.upstreams[u.GetId()]
	if have == nil {
		have = &upstream{}
		h.upstreams[u.GetId()] = have
	}
	have.heard = now
	if !same {
		have.revision = h.bump()
	}
	for _, id := range view.RetireReplaced(h.records, u) {
		h.upstreams[id].revision = h.bump()
	}
}

// beat notes that an upstream lives. One that was silent is named again.
func (h *Coordinator) beat(b *wire.Beat, now timer.Instant) {
	old := h.records[b.GetId()]
	if old == nil || old.GetBorn() != b.GetBorn() || old.GetSequence() >= b.GetSequence() ||
		old.GetStage() == wire.Stage_STAGE_LEFT {
		return
	}
	u := proto.Clone(old).(*wire.Upstream)
	u.Sequence = b.GetSequence()
	if u.GetStage() == wire.Stage_STAGE_SILENT {
		u.Stage = wire.Stage_STAGE_READY
	}
	h.announce(u, now)
}

// blame returns the requests that have crashed too many upstreams.
func (h *Coordinator) blame(crashes []*wire.Crash, now timer.Instant) (found []uint64) {
	for _, c := range crashes {
		by := h.crashes[c.GetFingerprint()]
		if by == nil {
			by = map[string]timer.Instant{}
			h.crashes[c.GetFingerprint()] = by
		}
		before := len(by)
		by[c.GetUpstream()] = now
		if before < killers && len(by) >= killers {
			found = append(found, c.GetFingerprint())
		}
	}
	return found
}

// Run looks for silences and takes roll-outs on until the context is done.
func (h *Coordinator) Run(ctx context.Context) error { return h.loop(ctx) }

func (h *Coordinator) loop(ctx context.Context) error {
	ticks := h.options.Timer.Subscribe(lookPause)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
		for _, end := range h.look() {
			if _, err := h.options.Replica.Propose(ctx, &wire.Command{Body: &wire.Command_End{End: end}}); err != nil {
				h.options.Log.Warn("end of a roll-out not committed", zap.String("service", end.GetService()), logging.Error(err))
			}
		}
	}
}

// look ends silent registrations and decides the next stage of roll-outs.
func (h *Coordinator) look() (ends []*wire.Rollout) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lead() {
		return nil
	}
	now := h.options.Timer.Now()
	for name, i := range h.instances {
		if i.record.GetGone() || now.Sub(i.seen) < goneAfter {
			continue
		}
		h.options.Log.Info("instance out of contact", zap.String("instance", name))
		i.record = &wire.Instance{Name: name, Gone: true}
		i.revision = h.bump()
	}
	for id, u := range h.upstreams {
		old := h.records[id]
		if now.Sub(u.heard) < silentBeats*h.options.HeartbeatInterval ||
			(old.GetStage() != wire.Stage_STAGE_READY && old.GetStage() != wire.Stage_STAGE_DRAINING) {
			continue
		}
		n := proto.Clone(old).(*wire.Upstream)
		n.Stage = wire.Stage_STAGE_SILENT
		if old.GetStage() == wire.Stage_STAGE_DRAINING {
			n.Stage = wire.Stage_STAGE_LEFT
		}
		h.records[id] = n
		u.revision = h.bump()
		h.options.Log.Info("upstream silent", zap.String("upstream", id), zap.Duration("silence", now.Sub(u.heard)))
	}
	for f, by := range h.crashes {
		for id, at := range by {
			if now.Sub(at) > crashMemory {
				delete(by, id)
			}
		}
		if len(by) == 0 {
			delete(h.crashes, f)
		}
	}
	return h.decide(now)
}

// WaitLayoutApplied waits until every instance in contact has a layout, or a little while.
func (h *Coordinator) WaitLayoutApplied(ctx context.Context, version uint64) {
	ctx, cancel := timer.WithTimeout(ctx, h.options.Timer, applyLimit)
	defer cancel()
	h.mu.Lock()
	defer h.mu.Unlock()
	for !h.applied(version) {
		changed := h.changed
		h.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		h.mu.Lock()
		if ctx.Err() != nil {
			return
		}
	}
}

func (h *Coordinator) applied(version uint64) bool {
	now := h.options.Timer.Now()
	for _, i := range h.instances {
		if !i.record.GetGone() && now.Sub(i.seen) < goneAfter && i.layout < version {
			return false
		}
	}
	return true
}
