// Package view holds one instance's local copy of the state of its deployment: the
// current layout and its lease, upstreams, other instances and roll-outs. It also
// collects what the instance reports to the leader.
package view

import (
	"iter"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/fleet/registry"
	"wisteriakeel.example/wisteriakeel/internal/fleet/slot"
	"wisteriakeel.example/wisteriakeel/internal/fleet/suspect"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// confirmTimeout is how long instances known from the former leader stay listed
	// after a change of leader unless the new leader confirms them.
	confirmTimeout = 2500 * time.Millisecond
	// maxRecords is the number of upstream records above which those of upstreams that
	// left are dropped.
	maxRecords = 4096
	// maxUnnamed limits the announcements that are kept until the layout names their service.
	maxUnnamed = 1024
)

// Decoder decodes the text of a layout.
type Decoder func(version layout.Version, text []byte) (*layout.Layout, error)

// Options configures a view.
type Options struct {
	// Name is that of this instance.
	Name   string
	Decode Decoder
	// LeaseDuration is how long after its confirmation a layout may be used.
	LeaseDuration time.Duration
	// MaxLayoutLag is how long an older layout may be used after a newer one is known.
	MaxLayoutLag time.Duration
	// Sessions is asked when a roll-out begins. It may be nil.
	Sessions Sessions
	// OnLoad is called with the load that an upstream reported to another instance.
	OnLoad func(id string, running, waiting, slowdown int)
	// OnCondition is called when another instance has heard whether an upstream is brittle, or
	// when a brittle one has refused requests.
	OnCondition func(id string, brittle, refused bool)
	// OnEvacuations is called with the number of evacuated zones. It may be nil.
	OnEvacuations func(active int)
	// ColdBounds bounds the requests to a cold upstream.
	ColdBounds permit.ColdBounds
	Timer      timer.Service
	Log        *zap.Logger
}

// Table is an immutable snapshot of the ready and silent upstreams. Those of a service are
// sorted by id.
type Table struct {
	Services map[layout.Service][]*wire.Upstream
}

// never is after every instant of the timer, and -never before all of them.
const never = int64(1 << 62)

// View is the local state of one instance. It is safe for concurrent use.
type View struct {
	options Options

	layout      atomic.Pointer[layout.Layout]
	table       atomic.Pointer[Table]
	rollouts    atomic.Pointer[map[layout.Service]*Rollout]
	leaseExpiry atomic.Int64 // timer.Instant until which the layout counts as confirmed
	lagExpiry   atomic.Int64 // timer.Instant from which the layout is outdated; never if none newer is known

	quarantinedParts atomic.Pointer[map[suspect.Part]bool]
	evacuations      atomic.Pointer[evacuations]

	permits     *permit.Stock
	slots       *slot.Stock
	leasesSlots atomic.Bool // the leader leases slots
	rank        atomic.Pointer[rank]

	// evacuationEnded returns since when the last evacuation of a zone has been over; see EvacuationEnded. It is not
	// called with mu held.
	evacuationEnded func(zone string) (at timer.Instant, ok bool)
	zones           atomic.Pointer[[]string] // of all upstreams

	mu           sync.Mutex
	upstreams    map[string]*wire.Upstream // by id
	unnamed      map[string]*wire.Upstream // announced, of services that the layout does not name
	cold         *coldState
	instances    map[string]*instance // by name
	term         uint64               // period of leadership of the last reply to a poll
	termStart    timer.Instant        // when the first reply of the term was applied
	cursor       uint64               // revision of the leader up to which its changes are applied
	quarantined  map[uint64]bool      // by fingerprint
	responses    *suspect.Responses
	conditions   map[string]*wire.Condition // of upstreams that are or were brittle, by id
	pending      *pendingReport
	urgent       chan struct{} // has a value if the pending report should be sent without delay
	layoutLoaded chan struct{} // closed with the first layout
	newest       newestLayout
	layoutWanted chan struct{} // has a value if a newer layout should be fetched
}

// instance is the record of an instance and the term of the leader that last sent it.
type instance struct {
	record *wire.Instance
	term   uint64
}

// New returns a view without a layout, upstreams or instances.
func New(o Options) *View {
	v := &View{
		options: o, permits: permit.NewStock(o.Timer), slots: slot.NewStock(o.Timer), upstreams: map[string]*wire.Upstream{}, unnamed: map[string]*wire.Upstream{},
		cold: newColdState(), instances: map[string]*instance{},
		conditions: map[string]*wire.Condition{}, quarantined: map[uint64]bool{}, responses: suspect.NewResponses(), pending: newPendingReport(), urgent: make(chan struct{}, 1),
		layoutLoaded: make(chan struct{}), layoutWanted: make(chan struct{}, 1),
	}
	v.quarantinedParts.Store(&map[suspect.Part]bool{})
	v.evacuations.Store(&evacuations{})
	v.evacuationEnded = v.EvacuationEnded
	v.table.Store(&Table{Services: map[layout.Service][]*wire.Upstream{}})
	v.rollouts.Store(&map[layout.Service]*Rollout{})
	v.zones.Store(new([]string))
	v.leaseExpiry.Store(-never)
	v.lagExpiry.Store(never)
	return v
}

// Table returns the upstreams that may serve requests.
func (v *View) Table() *Table { return v.table.Load() }

// UpstreamAddress returns the address of an incarnation of an upstream that takes requests and whose zone
// is not evacuated.
func (v *View) UpstreamAddress(id string, born int64) (address string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	u := v.upstreams[id]
	ok = u != nil && u.GetBorn() == born && (u.GetStage() == wire.Stage_STAGE_READY || u.GetStage() == wire.Stage_STAGE_SILENT) &&
		!v.Evacuated(u.GetZone())
	return u.GetAddress(), ok
}

// Rollout returns the most recent roll-out of a service, or nil.
func (v *View) Rollout(s layout.Service) *Rollout { return (*v.rollouts.Load())[s] }

// Quarantined reports whether requests with this fingerprint must not run.
func (v *View) Quarantined(fingerprint uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.quarantined[fingerprint]
}

// Instances returns the instances that are believed to run, sorted by name.
func (v *View) Instances() (out []*wire.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.running() {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b *wire.Instance) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out
}

// InstanceCount returns the number of instances that are believed to run.
func (v *View) InstanceCount() (n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for range v.running() {
		n++
	}
	return n
}

// running iterates over the instances that are believed to run: all known ones at first
// after a change of leader, later only those that the new leader confirmed. v.mu must be
// held.
func (v *View) running() iter.Seq[*wire.Instance] {
	onlyConfirmed := v.options.Timer.Now().Sub(v.termStart) > confirmTimeout
	return func(yield func(*wire.Instance) bool) {
		for _, i := range v.instances {
			if (i.term == v.term || !onlyConfirmed) && !yield(i.record) {
				return
			}
		}
	}
}

// SyncPosition returns the term and cursor from which the next poll continues.
func (v *View) SyncPosition() (term, cursor uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.term, v.cursor
}

// ApplySync applies the reply to a poll that was sent at the given instant. If the reply names
// a newer layout, that has to be fetched and passed to ApplyLayout.
func (v *View) ApplySync(r *wire.SyncReply, sent timer.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.term != r.GetTerm() {
		v.term, v.termStart = r.GetTerm(), v.options.Timer.Now()
		// A new leader starts without records and needs all of them.
		for _, u := range v.upstreams {
			v.pending.upstreams[u.GetId()] = u
		}
		v.queueLimits()
		v.queueConditions()
		v.slots.LeaderChanged()
		v.signalUrgent()
	}
	changed := false
	for _, u := range r.GetUpstreams() {
		changed = v.merge(u) || changed
	}
	if changed {
		v.publish()
	}
	for _, i := range r.GetInstances() {
		if i.GetGone() {
			delete(v.instances, i.GetName())
			continue
		}
		v.instances[i.GetName()] = &instance{record: i, term: r.GetTerm()}
	}
	if v.options.OnLoad != nil {
		for _, l := range r.GetLoads() {
			v.options.OnLoad(l.GetId(), int(l.GetRunning()), int(l.GetWaiting()), int(l.GetSlowdown()))
		}
	}
	v.leasesSlots.Store(r.GetLeasesSlots())
	v.updateRank()
	v.applyLimits(r.GetLimits())
	v.applyConditions(r.GetConditions())
	v.applyRollouts(r.GetRollouts())
	for _, f := range r.GetQuarantined() {
		v.quarantined[f] = true
	}
	v.applyParts(r)
	v.applyEvacuations(r.GetEvacuations())
	v.cursor = r.GetCursor()
	v.confirmLayout(layout.Version(r.GetLayout().GetVersion()), sent)
}

// applyRollouts stores roll-outs. When one begins, it queues the recently active sessions of
// the service, which stay on the former version. v.mu must be held.
func (v *View) applyRollouts(rollouts []*wire.Rollout) {
	if len(rollouts) == 0 {
		return
	}
	next := maps.Clone(*v.rollouts.Load())
	for _, r := range rollouts {
		s := layout.Service(r.GetService())
		previous := next[s]
		n := v.newRollout(r)
		next[s] = n
		if r.GetPhase() == wire.Phase_PHASE_RUNNING && r.GetShare() == 0 && v.options.Sessions != nil &&
			(previous == nil || previous.GetTarget() != r.GetTarget() || previous.GetPhase() != r.GetPhase()) {
			v.reportSessions(r)
		}
		v.options.Log.Info("roll-out", zap.String("service", r.GetService()), zap.String("target", r.GetTarget()),
			zap.Uint32("share", r.GetShare()), zap.Stringer("phase", r.GetPhase()))
	}
	v.rollouts.Store(&next)
}

// ApplyAnnouncement applies the announcement of an upstream and queues it for the leader:
// as a heartbeat if nothing changed that other instances need, else as an urgent change. That
// of an upstream whose service the layout does not name waits until it does: such an upstream gets
// no requests, and must not displace another one at its address.
func (v *View) ApplyAnnouncement(u *wire.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.isNamed(u) {
		if known := v.unnamed[u.GetId()]; registry.Newer(u, known) && (known != nil || len(v.unnamed) < maxUnnamed) {
			v.unnamed[u.GetId()] = u
		}
		return
	}
	if v.Layout() == nil && v.upstreams[u.GetId()].GetAddress() == "" && u.GetAddress() != "" {
		u = proto.Clone(u).(*wire.Upstream)
		u.Address = ""
	}
	v.applyAnnouncement(u)
}

// isNamed reports whether an upstream is known with its address, or the layout names its service. The
// end of any upstream counts. Before the first layout no service is named, and no upstream gets requests;
// one that drains is reported all the same, since it may rely on the acknowledgement, but without its
// address, so that it displaces none. v.mu must be held.
func (v *View) isNamed(u *wire.Upstream) bool {
	if v.upstreams[u.GetId()].GetAddress() != "" || u.GetStage() == wire.Stage_STAGE_LEFT {
		return true
	}
	if l := v.Layout(); l != nil {
		return l.Pool(layout.Service(u.GetService())) != nil
	}
	return u.GetStage() != wire.Stage_STAGE_READY
}

// applyNamed applies the announcements that waited for the current layout. v.mu must be held.
func (v *View) applyNamed() {
	for id, u := range v.unnamed {
		if v.isNamed(u) {
			delete(v.unnamed, id)
			v.applyAnnouncement(u)
		}
	}
}

// applyAnnouncement is ApplyAnnouncement for upstreams that count. v.mu must be held.
func (v *View) applyAnnouncement(u *wire.Upstream) {
	delete(v.unnamed, u.GetId())
	old := v.upstreams[u.GetId()]
	if !registry.Newer(u, old) {
		return
	}
	u = registry.Merge(u, old)
	end := v.cold.ends[u.GetId()]
	v.merge(u)
	if registry.Equivalent(u, old) && v.cold.ends[u.GetId()].Sub(end) < registry.MinProlongation {
		v.pending.heartbeats[u.GetId()] = &wire.Beat{Id: u.GetId(), Born: u.GetBorn(), Sequence: u.GetSequence()}
		return
	}
	v.publish()
	v.pending.upstreams[u.GetId()] = u
	v.signalUrgent()
	v.options.Log.Info("upstream changed", zap.String("upstream", u.GetId()), zap.String("service", u.GetService()),
		zap.String("address", u.GetAddress()), zap.String("version", u.GetVersion()), zap.Stringer("stage", u.GetStage()),
		zap.Int64("born", u.GetBorn()), zap.Uint64("sequence", u.GetSequence()), zap.Uint32("cold", u.GetCold()))
}

// ReportUpstream queues the record of an upstream for the leader, whether or not the leader has
// it already.
func (v *View) ReportUpstream(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u := v.upstreams[id]; u != nil {
		v.pending.upstreams[id] = u
	}
}

// Deregister marks an incarnation of an upstream as left; incarnation 0 stands for the known
// one. For an unknown upstream the service and address are not known either and stay empty, as do those
// of one that waits for a layout: it must not displace another one at its address.
func (v *View) Deregister(id string, incarnation int64, sequence uint64) {
	v.mu.Lock()
	old, waiting := v.upstreams[id], v.unnamed[id]
	v.mu.Unlock()
	u := &wire.Upstream{Id: id, Born: incarnation, Sequence: sequence, Stage: wire.Stage_STAGE_LEFT}
	if incarnation == 0 {
		u.Born = max(old.GetBorn(), waiting.GetBorn())
	}
	if old != nil {
		u.Service, u.Address, u.Zone, u.Version = old.GetService(), old.GetAddress(), old.GetZone(), old.GetVersion()
		u.Slots = old.GetSlots()
	}
	v.ApplyAnnouncement(u)
}

// RecordLeaving records that an incarnation of an upstream stated in a response that it leaves. It
// returns false if that is known.
func (v *View) RecordLeaving(id string, born int64) bool {
	v.mu.Lock()
	old := v.upstreams[id]
	v.mu.Unlock()
	if old == nil || old.GetBorn() != born || old.GetLeaving() || old.GetStage() == wire.Stage_STAGE_LEFT {
		return false
	}
	u := proto.Clone(old).(*wire.Upstream)
	u.Leaving, u.Stage = true, wire.Stage_STAGE_DRAINING
	v.ApplyAnnouncement(u)
	return true
}

// merge stores a record if it is newer than the known one, and marks earlier upstreams at its
// address as left. It reports whether anything changed that other instances need. v.mu must
// be held.
func (v *View) merge(u *wire.Upstream) (changed bool) {
	old := v.upstreams[u.GetId()]
	announced := registry.Newer(u, old)
	if u = registry.Merge(u, old); u == nil {
		return false
	}
	v.upstreams[u.GetId()] = u
	v.cold.record(u, old, announced, v.options.Timer.Now())
	retired := registry.RetireReplaced(v.upstreams, u)
	if old != nil && (old.GetBorn() != u.GetBorn() || u.GetStage() == wire.Stage_STAGE_LEFT) {
		v.permits.Lift(u.GetId(), old.GetBorn())
	}
	for _, id := range retired {
		v.permits.Lift(id, v.upstreams[id].GetBorn())
	}
	if len(v.upstreams) > maxRecords {
		v.pruneLeft()
	}
	return !registry.Equivalent(u, old) || len(retired) > 0
}

// pruneLeft deletes the records of upstreams that have left.
func (v *View) pruneLeft() {
	for id, u := range v.upstreams {
		if u.GetStage() == wire.Stage_STAGE_LEFT {
			v.cold.forget(id)
			delete(v.upstreams, id)
		}
	}
}

// publish replaces the table that requests read by one of the current records. v.mu must be
// held.
func (v *View) publish() {
	t := &Table{Services: map[layout.Service][]*wire.Upstream{}}
	zones := map[string]bool{}
	for _, u := range v.upstreams {
		zones[u.GetZone()] = true
		if u.GetStage() == wire.Stage_STAGE_READY || u.GetStage() == wire.Stage_STAGE_SILENT {
			s := layout.Service(u.GetService())
			t.Services[s] = append(t.Services[s], u)
		}
	}
	for _, list := range t.Services {
		slices.SortFunc(list, func(a, b *wire.Upstream) int { return strings.Compare(a.GetId(), b.GetId()) })
	}
	v.table.Store(t)
	list := slices.Sorted(maps.Keys(zones))
	v.zones.Store(&list)
}

// RecordLoad queues the load that an upstream reported with a response.
func (v *View) RecordLoad(l *wire.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pending.loads[l.GetId()] = l
}

// RecordOutcome adds the outcome of a response to the counts of its service, version and route.
func (v *View) RecordOutcome(o *wire.Outcome) {
	v.mu.Lock()
	defer v.mu.Unlock()
	k := outcomeKey{o.GetService(), o.GetVersion(), o.GetRoute(), o.GetModel(), o.GetGap(), o.GetLoad()}
	sum := v.pending.outcomes[k]
	if sum == nil {
		v.pending.outcomes[k] = o
		return
	}
	sum.Good += o.GetGood()
	sum.Bad += o.GetBad()
	sum.Times += o.GetTimes()
	sum.Logs += o.GetLogs()
	sum.Squares += o.GetSquares()
	for i, n := range o.GetRanges() {
		if i >= len(sum.Ranges) {
			sum.Ranges = append(sum.Ranges, 0)
		}
		sum.Ranges[i] += n
	}
}

// RecordCrash queues the report that an upstream crashed while it ran a request.
func (v *View) RecordCrash(c *wire.Crash) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pending.crashes = append(v.pending.crashes, crash{c, v.options.Timer.Now()})
	v.signalUrgent()
}

// UrgentReport returns a channel that receives a value when the pending report should be
// sent without delay.
func (v *View) UrgentReport() <-chan struct{} { return v.urgent }

// signalUrgent makes UrgentReport deliver a value unless one is already waiting there.
func (v *View) signalUrgent() {
	select {
	case v.urgent <- struct{}{}:
	default:
	}
}
