// Package coordinator holds the soft state of the deployment's leader: which instances
// are in contact, which upstreams are registered, their loads, and the progress of
// roll-outs. A new leader starts with what is committed and rebuilds the rest from the polls
// and reports of the instances.
package coordinator

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/fleet/slot"
	"wisteriakeel.example/wisteriakeel/internal/fleet/state"
	"wisteriakeel.example/wisteriakeel/internal/fleet/suspect"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// instanceTimeout is how long after its last poll an instance counts as in contact.
	// Instances poll at least every half second.
	instanceTimeout = 1600 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after
	// which an upstream counts as silent. Heartbeats may be seconds late.
	maxMissedHeartbeats = 5
	// checkInterval is the interval between checks of timeouts and roll-outs.
	checkInterval = 200 * time.Millisecond
	// wakeDelay is how long changes are collected before waiting polls return with them. When
	// all instances of a deployment look for a new leader, each of them is a change for all
	// others: without the delay the number of replies grows with the square of the instances.
	wakeDelay = 40 * time.Millisecond
	// quarantineThreshold is the number of different upstreams that a request must crash
	// to be quarantined.
	quarantineThreshold = 3
	// maxHeldSessions bounds the sessions per roll-out that stay on the former version.
	maxHeldSessions = 4096
	// crashWindow is how long a crash counts against a request.
	crashWindow = 2 * time.Minute
)

// Replica is the replica of the control group on this instance.
type Replica interface {
	HoldsLease() (term uint64, ok bool)
	Propose(ctx context.Context, command *wire.Command) (conflict string, err error)
}

// Options configures a coordinator.
type Options struct {
	Replica Replica
	State   *state.State
	// Exposure is the fraction of the requests during a roll-out that a bad version may get.
	Exposure float64
	// HeartbeatInterval is the interval at which upstreams send heartbeats.
	HeartbeatInterval time.Duration
	// ConfirmationLag is how long after the last confirmation of an older layout to an instance
	// a change may be acknowledged although that instance may still use the older one: the time
	// for which a layout may be used without a confirmation, less the time in which an
	// acknowledged change must be in force.
	ConfirmationLag time.Duration
	// EvacuationLag is the same for evacuations: by how much the time for which a layout may be used
	// without a confirmation exceeds the time within which an acknowledged evacuation must be in force.
	EvacuationLag time.Duration
	// ColdBudget returns the budget of permits for a cold upstream of a service, and false if there is
	// no limit. If it is nil, no service has one.
	ColdBudget func(s layout.Service) (permit.ColdBudget, bool)
	Timer      timer.Service
	Log        *zap.Logger
	// Random returns the identifier of a new period of leadership.
	Random func() uint64
}

// Coordinator holds the soft state of one period of leadership. It is safe for concurrent use.
type Coordinator struct {
	options Options

	mu            sync.Mutex
	leaderTerm    uint64                    // log term in which the current period began
	periodStart   timer.Instant             // when the current period began
	period        uint64                    // random identifier of the period; the term on the wire
	revision      uint64                    // revision of the last change; the cursor on the wire
	wakeRevision  uint64                    // revision of the last change that waiting polls return for
	namedLayout   uint64                    // version of the newest layout that a reply has named
	wakeScheduled bool                      // wake is going to run
	changed       chan struct{}             // closed and replaced to wake waiting polls
	applied       chan struct{}             // closed and replaced when an instance has applied a layout or is gone
	upstreams     map[string]*upstream      // by id
	records       map[string]*wire.Upstream // by id, of the same upstreams
	instances     map[string]*instance
	loads         map[string]*load
	limits        map[string]*limit // by upstream id
	lender        *permit.Lender
	slots         *slot.Lender                        // of brittle upstreams; lender lends permits
	sessions      map[string]*SlotSession             // by name of the instance
	conditions    map[string]*condition               // by upstream id
	crashes       map[uint64]map[string]timer.Instant // last crash by fingerprint and upstream id
	parts         *suspect.Tracker                    // parts of prompts in requests that ran on crashed upstreams
	partsRevision uint64                              // revision of the last change of the watched parts
	partsListed   uint64                              // number of the last list of watched parts
	active        map[string]*rollout                 // running roll-outs by service
	stateRevision uint64                              // revision of the last change of the state machine
	orders        map[string]orderApplied             // last orders for availability zones

	committingLeaves chan struct{} // holds a value while leaves are proposed
}

// upstream is what the leader knows about an upstream besides its record.
type upstream struct {
	revision      uint64 // revision of its last change
	lastHeartbeat timer.Instant
	// drainingSince is the sequence number with which it began to drain.
	drainingSince uint64
	// coldEnd is until when it is cold by its announcements, and suspectedAt when this leader heard
	// of the last suspicion that it has restarted.
	coldEnd     timer.Instant
	suspectedAt timer.Instant
}

// instance is an instance that has polled in this period.
type instance struct {
	record        *wire.Instance
	revision      uint64
	lastPoll      timer.Instant
	layoutVersion uint64 // version of the layout that it has applied
	told          toldVersion
	evacuations   followed
}

// load is the last load that an upstream reported.
type load struct {
	record   *wire.Load
	revision uint64
}

// New returns an empty coordinator.
func New(o Options) *Coordinator {
	c := &Coordinator{options: o, changed: make(chan struct{}), applied: make(chan struct{}), active: map[string]*rollout{}, committingLeaves: make(chan struct{}, 1)}
	c.reset(0)
	return c
}

// reset starts a new period of leadership with the committed leaves as the only records of
// upstreams. Roll-outs are still tracked.
// c.mu must be held.
func (c *Coordinator) reset(term uint64) {
	c.leaderTerm, c.period, c.revision, c.wakeRevision, c.namedLayout = term, c.options.Random(), 1, 1, 0
	c.periodStart = c.options.Timer.Now()
	c.upstreams, c.records = map[string]*upstream{}, map[string]*wire.Upstream{}
	c.instances, c.loads = map[string]*instance{}, map[string]*load{}
	c.limits, c.lender = map[string]*limit{}, permit.NewLender()
	c.resetSlots()
	c.conditions = map[string]*condition{}
	c.crashes = map[uint64]map[string]timer.Instant{}
	c.parts = suspect.New(func(p suspect.Part) bool { return c.options.State.PartQuarantined(string(p)) })
	c.partsRevision, c.partsListed = 1, 0
	c.stateRevision = 1
	c.applyLeaves()
}

// checkLeadership reports whether this instance leads, and starts a new period if the term
// of its leadership is new. c.mu must be held.
func (c *Coordinator) checkLeadership() bool {
	term, ok := c.options.Replica.HoldsLease()
	if ok && term != c.leaderTerm {
		c.reset(term)
		c.options.Log.Info("became leader of the deployment", zap.Uint64("term", term))
	}
	return ok
}

// nextRevision returns the revision for a change that waiting polls return for after
// wakeDelay. c.mu must be held.
func (c *Coordinator) nextRevision() uint64 {
	c.revision++
	if !c.wakeScheduled {
		c.wakeScheduled = true
		c.options.Timer.AfterFunc(wakeDelay, c.wake)
	}
	return c.revision
}

// wake makes the waiting polls return with the changes so far.
func (c *Coordinator) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeScheduled, c.wakeRevision = false, c.revision
	close(c.changed)
	c.changed = make(chan struct{})
}

// StateChanged must be called after each change of the replicated state.
func (c *Coordinator) StateChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trackRollouts()
	c.trackEvacuations()
	c.applyLeaves()
	c.stateRevision = c.nextRevision()
}

// LiveReplicas returns the peer addresses of the instances in contact that have a disk.
func (c *Coordinator) LiveReplicas() map[replica.Identity]replica.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[replica.Identity]replica.Address{}
	now := c.options.Timer.Now()
	for _, i := range c.instances {
		if i.record.GetIdentity() != "" && now.Sub(i.lastPoll) < instanceTimeout {
			out[replica.Identity(i.record.GetIdentity())] = replica.Address(i.record.GetPeer())
		}
	}
	return out
}

// StoppingReplicas returns the replicas of the instances that have begun to stop.
func (c *Coordinator) StoppingReplicas() map[replica.Identity]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[replica.Identity]bool{}
	for _, i := range c.instances {
		if i.record.GetStopping() {
			out[replica.Identity(i.record.GetIdentity())] = true
		}
	}
	return out
}

// InContact reports whether an instance with this peer address is in contact.
func (c *Coordinator) InContact(peer string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.instances {
		if i.record.GetPeer() == peer && !i.record.GetGone() {
			return true
		}
	}
	return false
}

// Sync answers a poll: at once if there are changes that the caller does not know, else
// after the next change or the requested wait. ok is false if this instance does not lead.
func (c *Coordinator) Sync(ctx context.Context, q *wire.SyncRequest) (r *wire.SyncReply, ok bool) {
	c.mu.Lock()
	if !c.checkLeadership() {
		c.mu.Unlock()
		return nil, false
	}
	c.recordPoll(q)
	timeout := make(chan struct{})
	stop := c.options.Timer.AfterFunc(time.Duration(q.GetWait())*time.Millisecond, func() { close(timeout) })
	defer stop()
	for q.GetTerm() == c.period && q.GetCursor() >= c.wakeRevision {
		changed := c.changed
		c.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-ctx.Done():
			return nil, false
		}
		c.mu.Lock()
		if expired {
			break
		}
	}
	defer c.mu.Unlock()
	if !c.checkLeadership() {
		return nil, false
	}
	return c.reply(q), true
}

// recordPoll updates the record of the polling instance. c.mu must be held.
func (c *Coordinator) recordPoll(q *wire.SyncRequest) {
	name := q.GetInstance().GetName()
	known := c.instances[name]
	if known == nil || !proto.Equal(known.record, q.GetInstance()) {
		none := toldVersion{at: c.periodStart, olderAt: c.periodStart}
		told, toldEvacuations := none, none
		if known != nil {
			told, toldEvacuations = known.told, known.evacuations.told
		}
		known = &instance{record: q.GetInstance(), layoutVersion: q.GetLayout(), told: told, evacuations: followed{told: toldEvacuations}}
		c.instances[name] = known
		known.revision = c.nextRevision()
	}
	known.lastPoll = c.options.Timer.Now()
	if q.GetTerm() == c.period && q.GetCursor() >= known.told.cursor {
		known.told.heard = known.told.version
	}
	c.recordApplied(known, q.GetLayout())
	c.recordFollowed(known, q)
}

// recordApplied records the version of the layout that an instance has applied. c.mu must be
// held.
func (c *Coordinator) recordApplied(i *instance, version uint64) {
	if version <= i.layoutVersion {
		return
	}
	i.layoutVersion = version
	c.wakeApplied()
}

// wakeApplied makes WaitLayoutApplied check its condition again. c.mu must be held.
func (c *Coordinator) wakeApplied() {
	close(c.applied)
	c.applied = make(chan struct{})
}

// reply returns the changes that the caller of a poll does not know. c.mu must be held.
func (c *Coordinator) reply(q *wire.SyncRequest) *wire.SyncReply {
	l := c.options.State.Layout()
	if l.GetVersion() > c.namedLayout {
		// StateChanged may be about to run. The cursor of no earlier reply may stand for this one.
		c.namedLayout = l.GetVersion()
		c.revision++
	}
	r := &wire.SyncReply{Term: c.period, Cursor: c.revision, LeasesSlots: true, Evacuations: c.replyEvacuations(q)}
	since := q.GetCursor()
	if q.GetTerm() != c.period {
		since = 0
	}
	if l.GetVersion() > q.GetLayout() {
		r.Layout = &wire.Layout{Version: l.GetVersion(), Digest: l.GetDigest()}
	}
	if i := c.instances[q.GetInstance().GetName()]; i != nil {
		i.told.tell(l.GetVersion(), c.revision, c.options.Timer.Now())
	}
	for id, u := range c.upstreams {
		if u.revision > since {
			r.Upstreams = append(r.Upstreams, c.records[id])
		}
	}
	for _, i := range c.instances {
		if i.revision > since {
			r.Instances = append(r.Instances, i.record)
		}
	}
	for _, l := range c.loads {
		if l.revision > since {
			r.Loads = append(r.Loads, l.record)
		}
	}
	for _, l := range c.limits {
		if l.revision > since {
			r.Limits = append(r.Limits, l.record)
		}
	}
	for _, o := range c.conditions {
		if o.revision > since {
			r.Conditions = append(r.Conditions, o.record)
		}
	}
	if c.partsRevision > since {
		r.Watched = asStrings(c.parts.Watched(c.options.Timer.Now()))
	}
	if c.stateRevision > since {
		r.Quarantined = c.options.State.Quarantined()
		r.QuarantinedParts = c.options.State.QuarantinedParts()
		r.Rollouts = c.rollouts()
	}
	return r
}

// ApplyReport applies the report of an instance and proposes to quarantine requests that
// crashed too many upstreams. ok is false if this instance does not lead.
func (c *Coordinator) ApplyReport(ctx context.Context, q *wire.TellRequest) (term uint64, ok bool) {
	c.mu.Lock()
	if !c.checkLeadership() {
		c.mu.Unlock()
		return 0, false
	}
	now := c.options.Timer.Now()
	if i := c.instances[q.GetInstance()]; i != nil {
		c.recordApplied(i, q.GetLayout())
	}
	for _, u := range q.GetUpstreams() {
		c.applyUpstream(u, now)
	}
	for _, b := range q.GetBeats() {
		c.applyHeartbeat(b, now)
	}
	for _, l := range q.GetLoads() {
		// Loads do not wake waiting polls: they are sent with the next reply.
		c.loads[l.GetId()] = &load{record: l, revision: c.revision + 1}
	}
	if len(q.GetLoads()) > 0 {
		c.revision++
	}
	for _, o := range q.GetOutcomes() {
		c.recordOutcome(o)
	}
	for _, o := range q.GetHoldings() {
		c.holdSessions(o)
	}
	c.recordLimits(q.GetLimits(), now)
	c.recordConditions(q.GetConditions())
	fingerprints := c.recordCrashes(q.GetCrashes(), now)
	c.recordParts(q, now)
	term = c.period
	c.mu.Unlock()
	c.quarantine(ctx, fingerprints)
	return term, true
}

// Run detects silent upstreams and lost instances and advances roll-outs until the context
// is done.
func (c *Coordinator) Run(ctx context.Context) error { return c.loop(ctx) }

func (c *Coordinator) loop(ctx context.Context) error {
	ticks := c.options.Timer.Subscribe(checkInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
		for due := true; due; due = c.awaitStage(ctx) {
			c.advance(ctx)
		}
	}
}

// advance makes a check and commits what follows from it.
func (c *Coordinator) advance(ctx context.Context) {
	ends := c.check()
	c.quarantinePart(ctx)
	c.quarantineRequests(ctx)
	for _, end := range ends {
		if _, err := c.options.Replica.Propose(ctx, &wire.Command{Body: &wire.Command_End{End: end}}); err != nil {
			c.options.Log.Warn("could not commit the end of a roll-out", zap.String("service", end.GetService()), journal.Error(err))
		}
	}
}

// check marks instances as gone and upstreams as silent after their timeouts, forgets old
// crashes and advances roll-outs. It returns the roll-outs that end. Silent upstreams that
// were draining count as left.
func (c *Coordinator) check() (ends []*wire.Rollout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.checkLeadership() {
		return nil
	}
	now := c.options.Timer.Now()
	for name, i := range c.instances {
		if i.record.GetGone() || now.Sub(i.lastPoll) < instanceTimeout {
			continue
		}
		c.options.Log.Info("instance out of contact", zap.String("instance", name))
		i.record = &wire.Instance{Name: name, Zone: i.record.GetZone(), Gone: true}
		i.revision = c.nextRevision()
		c.wakeApplied()
	}
	for id, u := range c.upstreams {
		old := c.records[id]
		if now.Sub(u.lastHeartbeat) < maxMissedHeartbeats*c.options.HeartbeatInterval ||
			(old.GetStage() != wire.Stage_STAGE_READY && old.GetStage() != wire.Stage_STAGE_DRAINING) {
			continue
		}
		n := proto.Clone(old).(*wire.Upstream)
		n.Stage = wire.Stage_STAGE_SILENT
		if old.GetStage() == wire.Stage_STAGE_DRAINING {
			n.Stage = wire.Stage_STAGE_LEFT
		}
		c.records[id] = n
		u.revision = c.nextRevision()
		c.options.Log.Info("upstream silent", zap.String("upstream", id), zap.Duration("silence", now.Sub(u.lastHeartbeat)))
	}
	c.dropLimits()
	c.dropConditions()
	c.answerWants(c.slots.Advance(now))
	c.parts.Expire(now)
	if revision := c.parts.Revision(); revision != c.partsListed {
		c.partsListed, c.partsRevision = revision, c.nextRevision()
	}
	for f, crashed := range c.crashes {
		for id, at := range crashed {
			if now.Sub(at) > crashWindow {
				delete(crashed, id)
			}
		}
		if len(crashed) == 0 {
			delete(c.crashes, f)
		}
	}
	return c.advanceRollouts(now)
}
