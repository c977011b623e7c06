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

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// confirmWithin is the time in which a new leader must name an instance again.
	confirmWithin = 2500 * time.Millisecond
	// maxLeft is the number of records above which those of upstreams that left are dropped.
	maxLeft = 4096
)

// Decoder reads the text of a layout.
type Decoder func(version layout.Version, text []byte) (*layout.Layout, error)

// Options are the parts of a view.
type Options struct {
	Decode Decoder
	// Lease is how long a layout may be used for requests with a key after it was confirmed.
	Lease time.Duration
	// RecentSessions returns the sessions of a service that ran lately, for a roll-out that begins.
	RecentSessions func(s layout.Service, bucket uint32) []uint64
	// OnLoad takes a load that an upstream stated to another instance.
	OnLoad func(id string, running, waiting int)
	Timer  timer.Service
	Log    *zap.Logger
}

// Rollout is a roll-out and the sessions that stay on the former version.
type Rollout struct {
	*wire.Rollout
	HeldSessions map[uint64]bool
}

// Table is the upstreams by service, as one consistent reading. It is not changed.
type Table struct {
	Services map[layout.Service][]*wire.Upstream
}

// View is safe for concurrent use.
type View struct {
	options Options

	layout   atomic.Pointer[layout.Layout]
	table    atomic.Pointer[Table]
	rollouts atomic.Pointer[map[layout.Service]*Rollout]
	lease    atomic.Int64 // timer.Instant until which the layout is confirmed

	mu          sync.Mutex
	upstreams   map[string]*wire.Upstream
	instances   map[string]*instance
	term        uint64
	termSince   timer.Instant
	cursor      uint64
	quarantined map[uint64]bool
	news        *news
	wake        chan struct{}
	first       chan struct{} // closed with the first layout
}

// instance is another instance and the term in which it was last named.
type instance struct {
	record *wire.Instance
	term   uint64
}

// news is what this instance must tell the leader.
type news struct {
	changed  map[string]*wire.Upstream
	beats    map[string]*wire.Beat
	loads    map[string]*wire.Load
	outcomes map[outcomeKey]*wire.Outcome
	crashes  []*wire.Crash
	holdings []*wire.Holding
}

type outcomeKey struct{ service, version, route string }

func newNews() *news {
	return &news{
		changed: map[string]*wire.Upstream{}, beats: map[string]*wire.Beat{},
		loads: map[string]*wire.Load{}, outcomes: map[outcomeKey]*wire.Outcome{},
	}
}

// New returns an empty view.
func New(o Options) *View {
	v := &View{
		options: o, upstreams: map[string]*wire.Upstream{}, instances: map[string]*instance{},
		quarantined: map[uint64]bool{}, news: newNews(), wake: make(chan struct{}, 1),
		first: make(chan struct{}),
	}
	v.table.Store(&Table{Services: map[layout.Service][]*wire.Upstream{}})
	v.rollouts.Store(&map[layout.Service]*Rollout{})
	v.lease.Store(int64(-1 << 62))
	return v
}

// Layout returns the layout in force, or nil before the first.
func (v *View) Layout() *layout.Layout { return v.layout.Load() }

// LayoutLoaded is closed once there is a layout.
func (v *View) LayoutLoaded() <-chan struct{} { return v.first }

// LayoutConfirmed tells whether the layout was confirmed recently enough for keys to be trusted.
func (v *View) LayoutConfirmed() bool {
	return v.options.Timer.Now().Before(timer.Instant(v.lease.Load()))
}

// Table returns the upstreams.
func (v *View) Table() *Table { return v.table.Load() }

// Rollout returns the last roll-out of a service, or nil.
func (v *View) Rollout(s layout.Service) *Rollout { return (*v.rollouts.Load())[s] }

// Quarantined tells whether a request may not run any more.
func (v *View) Quarantined(fingerprint uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.quarantined[fingerprint]
}

// Instances returns the instances that are known to run, by name.
func (v *View) Instances() (out []*wire.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.running() {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b *wire.Instance) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out
}

// InstanceCount returns the number of instances that are known to run.
func (v *View) InstanceCount() (n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for range v.running() {
		n++
	}
	return n
}

// running iterates over the instances that are known to run. The mutex is held.
func (v *View) running() iter.Seq[*wire.Instance] {
	late := v.options.Timer.Now().Sub(v.termSince) > confirmWithin
	return func(yield func(*wire.Instance) bool) {
		for _, i := range v.instances {
			if (i.term == v.term || !late) && !yield(i.record) {
				return
			}
		}
	}
}

// SyncPosition returns the term and cursor that the next poll starts from.
func (v *View) SyncPosition() (term, cursor uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.term, v.cursor
}

// ApplySync takes over the reply to a poll that was sent at an instant. It returns an
// error if the layout cannot be read; everything else is taken over all the same.
func (v *View) ApplySync(r *wire.SyncReply, sent timer.Instant) (err error) {
	if l := r.GetLayout(); l != nil {
		err = v.learnLayout(l)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.term != r.GetTerm() {
		v.term, v.termSince = r.GetTerm(), v.options.Timer.Now()
		for _, u := range v.upstreams {
			v.news.changed[u.GetId()] = u
		}
		v.signal()
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
			v.options.OnLoad(l.GetId(), int(l.GetRunning()), int(l.GetWaiting()))
		}
	}
	v.learnRollouts(r.GetRollouts())
	for _, f := range r.GetQuarantined() {
		v.quarantined[f] = true
	}
	if err != nil {
		return err
	}
	v.cursor = r.GetCursor()
	v.lease.Store(int64(sent.Add(v.options.Lease)))
	return nil
}

// learnLayout puts a layout in force unless a newer one is.
func (v *View) learnLayout(l *wire.Layout) error {
	if have := v.Layout(); have != nil && have.Version >= layout.Version(l.GetVersion()) {
		return nil
	}
	n, err := v.options.Decode(layout.Version(l.GetVersion()), l.GetText())
	if err != nil {
		return err
	}
	if v.layout.Swap(n) == nil {
		close(v.first)
	}
	v.options.Log.Info("layout in force", zap.Uint64("version", l.GetVersion()),
		zap.Int("routes", len(n.Routes)), zap.Int("accounts", len(n.Clients)))
	return nil
}

func (v *View) learnRollouts(rollouts []*wire.Rollout) {
	if len(rollouts) == 0 {
		return
	}
	next := maps.Clone(*v.rollouts.Load())
	for _, r := range rollouts {
		s := layout.Service(r.GetService())
		had := next[s]
		n := &Rollout{Rollout: r, HeldSessions: map[uint64]bool{}}
		for _, session := range r.GetHeld() {
			n.HeldSessions[session] = true
		}
		next[s] = n
		if r.GetPhase() == wire.Phase_PHASE_RUNNING && r.GetShare() == 0 && v.options.RecentSessions != nil &&
			(had == nil || had.GetTarget() != r.GetTarget() || had.GetPhase() != r.GetPhase()) {
			v.hold(s, v.options.RecentSessions(s, r.GetBucket()))
		}
		v.options.Log.Info("roll-out", zap.String("service", r.GetService()), zap.String("target", r.GetTarget()),
			zap.Uint32("share", r.GetShare()), zap.Stringer("phase", r.GetPhase()))
	}
	v.rollouts.Store(&next)
}

// ApplyAnnouncement takes over an announcement of an upstream and tells the leader.
func (v *View) ApplyAnnouncement(u *wire.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.upstreams[u.GetId()]
	if !Newer(u, old) {
		return
	}
	same := Equivalent(u, old)
	v.merge(u)
	if same {
		v.news.beats[u.GetId()] = &wire.Beat{Id: u.GetId(), Born: u.GetBorn(), Sequence: u.GetSequence()}
		return
	}
	v.publish()
	v.news.changed[u.GetId()] = u
	v.signal()
	v.options.Log.Info("upstream changed", zap.String("upstream", u.GetId()), zap.String("service", u.GetService()),
		zap.String("address", u.GetAddress()), zap.String("version", u.GetVersion()), zap.Stringer("stage", u.GetStage()),
		zap.Int64("born", u.GetBorn()), zap.Uint64("sequence", u.GetSequence()))
}

// Deregister takes over that an upstream leaves for good. One that is not known cannot be
// named to others, since its service is not known.
func (v *View) Deregister(id string, born int64, sequence uint64) {
	v.mu.Lock()
	old := v.upstreams[id]
	v.mu.Unlock()
	u := &wire.Upstream{Id: id, Born: born, Sequence: sequence, Stage: wire.Stage_STAGE_LEFT}
	if old != nil {
		if born == 0 {
			u.Born = old.GetBorn()
		}
		u.Service, u.Address, u.Zone, u.Version = old.GetService(), old.GetAddress(), old.GetZone(), old.GetVersion()
		u.Slots = old.GetSlots()
	}
	v.ApplyAnnouncement(u)
}

// merge takes over a record if it is newer, and drops former holders of its address.
func (v *View) merge(u *wire.Upstream) (changed bool) {
	old := v.upstreams[u.GetId()]
	if !Newer(u, old) {
		return false
	}
	v.upstreams[u.GetId()] = u
	ended := RetireReplaced(v.upstreams, u)
	if len(v.upstreams) > maxLeft {
		v.forget()
	}
	return !Equivalent(u, old) || len(ended) > 0
}

// forget drops the records of upstreams that left.
func (v *View) forget() {
	for id, u := range v.upstreams {
		if u.GetStage() == wire.Stage_STAGE_LEFT {
			delete(v.upstreams, id)
		}
	}
}

// publish makes the upstreams visible to requests.
func (v *View) publish() {
	t := &Table{Services: map[layout.Service][]*wire.Upstream{}}
	for _, u := range v.upstreams {
		if u.GetStage() == wire.Stage_STAGE_READY || u.GetStage() == wire.Stage_STAGE_SILENT {
			s := layout.Service(u.GetService())
			t.Services[s] = append(t.Services[s], u)
		}
	}
	for _, list := range t.Services {
		slices.SortFunc(list, func(a, b *wire.Upstream) int { return strings.Compare(a.GetId(), b.GetId()) })
	}
	v.table.Store(t)
}

// RecordLoad records the load that an upstream stated with an answer.
func (v *View) RecordLoad(l *wire.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.news.loads[l.GetId()] = l
}

// RecordOutcome records an answer of a version.
func (v *View) RecordOutcome(o *wire.Outcome) {
	v.mu.Lock()
	defer v.mu.Unlock()
	k := outcomeKey{o.GetService(), o.GetVersion(), o.GetRoute()}
	have := v.news.outcomes[k]
	if have == nil {
		v.news.outcomes[k] = o
		return
	}
	have.Good += o.GetGood()
	have.Bad += o.GetBad()
	have.Times += o.GetTimes()
	have.Logs += o.GetLogs()
	have.Squares += o.GetSquares()
}

// RecordCrash records that an upstream broke off a request.
func (v *View) RecordCrash(c *wire.Crash) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.news.crashes = append(v.news.crashes, c)
	v.signal()
}

// HoldSessions tells the leader of sessions that run on the former version while a roll-out begins.
func (v *View) HoldSessions(s layout.Service, sessions ...uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hold(s, sessions)
}

func (v *View) hold(s layout.Service, sessions []uint64) {
	if len(sessions) == 0 {
		return
	}
	v.news.holdings = append(v.news.holdings, &wire.Holding{Service: string(s), Sessions: sessions})
	v.signal()
}

// UrgentReport delivers a signal when there is something that must be told at once.
func (v *View) UrgentReport() <-chan struct{} { return v.wake }

func (v *View) signal() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// TakeReport takes what is to be told, or nil.
func (v *View) TakeReport() *wire.TellRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := v.news
	if len(n.changed)+len(n.beats)+len(n.loads)+len(n.outcomes)+len(n.crashes)+len(n.holdings) == 0 {
		return nil
	}
	v.news = newNews()
	r := &wire.TellRequest{Crashes: n.crashes, Holdings: n.holdings}
	for _, u := range n.changed {
		r.Upstreams = append(r.Upstreams, u)
	}
	for id, b := range n.beats {
		if n.changed[id] == nil {
			r.Beats = append(r.Beats, b)
		}
	}
	for _, l := range n.loads {
		r.Loads = append(r.Loads, l)
	}
	for _, o := range n.outcomes {
		r.Outcomes = append(r.Outcomes, o)
	}
	return r
}

// RequeueReport gives back what could not be told. Counts and loads are left out: they
// would be out of date.
func (v *View) RequeueReport(r *wire.TellRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, u := range r.GetUpstreams() {
		if v.news.changed[u.GetId()] == nil {
			v.news.changed[u.GetId()] = u
		}
	}
	v.news.crashes = append(v.news.crashes, r.GetCrashes()...)
	v.news.holdings = append(v.news.holdings, r.GetHoldings()...)
}
