// Package suspect detects requests that may crash upstreams (poison requests). It
// reports the requests of an entry that were in flight when an upstream crashed
// to control group 0, which keeps the suspicions, and asks the group for
// permission before a suspected request runs again.
package suspect

import (
	"context"
	"slices"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// probeDelays are the delays from a broken connection to the attempts to reconnect.
// A dying process may close its connections shortly before its listener, so one
// attempt is not enough.
var probeDelays = []time.Duration{0, 10 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond}

// abandonedProbeDelays are further attempts after an abandoned run: its connection
// is closed, so a later break goes unnoticed, and a busy upstream may start the
// request only after its caller has left.
var abandonedProbeDelays = []time.Duration{300 * time.Millisecond, time.Second}

// propagationWaitMillis limits how long group 0 delays its reply to a crash report
// until all entries know of the crash.
const propagationWaitMillis = 3000

// ControlClient sends reports and queries about suspected requests to group 0.
type ControlClient interface {
	Suspect(ctx context.Context, r *wire.SuspectRequest) (*wire.SuspectReply, error)
}

// Options are the dependencies and settings of a Tracker.
type Options struct {
	Timer   timer.Service
	Control ControlClient
	// RefusesConnections reports whether the address refuses connections.
	RefusesConnections func(ctx context.Context, address string) bool
	// Owner and Epoch identify the process of the entry.
	Owner string
	Epoch uint64
}

// Tracker tracks the runs of one entry that are in flight and reports them when
// an upstream crashes.
type Tracker struct {
	options Options

	mu sync.Mutex
	// lastNonce is the number of the latest request for a trial. Group 0 detects
	// late duplicates by this number.
	lastNonce   uint64
	inFlight    map[target]map[*Run]struct{}
	crashChecks map[target]*crashCheck
}

// target is one incarnation of an upstream.
type target struct {
	name        string
	incarnation uint64
}

// crashCheck determines whether an upstream crashed and reports the result. Runs
// on the same upstream whose connections break before the report share one check.
type crashCheck struct {
	runs      []*Run
	done      chan struct{}
	standings map[Fingerprint]wire.Standing
	err       error
}

// New returns a tracker without runs.
func New(o Options) *Tracker {
	return &Tracker{options: o, inFlight: map[target]map[*Run]struct{}{}, crashChecks: map[target]*crashCheck{}}
}

// Run is one attempt to run a request on one upstream. The caller must end it with
// exactly one call of Complete, ReportBrokenConnection, Abandon or End.
type Run struct {
	tracker     *Tracker
	fingerprint Fingerprint
	account     string
	target      target
	address     string
	nonce       uint64
	// sent is true once bytes may have reached the upstream; guarded by the tracker's lock.
	sent bool
	// crashCheck is the last check whose report includes the run, nil if there is
	// none; guarded by the tracker's lock.
	crashCheck *crashCheck
	trial      bool
}

// Begin returns a run of a request that is not suspected.
func (k *Tracker) Begin(f Fingerprint, account string, u *wire.Upstream) *Run {
	return &Run{tracker: k, fingerprint: f, account: account, target: target{u.Name, u.Incarnation}, address: u.Address}
}

// MarkSent marks the run as in flight. It must be called before the first byte is
// sent, but not earlier: a request that still waits for its trial cannot be the
// cause of a crash.
func (r *Run) MarkSent() {
	k := r.tracker
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inFlight[r.target] == nil {
		k.inFlight[r.target] = map[*Run]struct{}{}
	}
	k.inFlight[r.target][r] = struct{}{}
	r.sent = true
}

// RequestTrial asks group 0 whether the suspected request may run on the upstream.
// It returns a run if the request may, and also together with an error, because
// the trial may have been granted although the reply was lost. The caller must end
// that run too: an open trial blocks every resend. With the standing WAIT it
// returns the trial that must end first, or nil if the crashes are not confirmed yet.
func (k *Tracker) RequestTrial(ctx context.Context, f Fingerprint, account string, u *wire.Upstream) (r *Run, s wire.Standing, t *wire.Trial, err error) {
	r = k.Begin(f, account, u)
	k.mu.Lock()
	k.lastNonce++
	r.nonce = k.lastNonce
	k.mu.Unlock()
	reply, err := k.options.Control.Suspect(ctx, r.suspectRequest(wire.Move_MOVE_TRIAL))
	if err != nil {
		r.trial = true
		return r, s, nil, err
	}
	s = reply.Standings[0]
	if s != wire.Standing_STANDING_GRANTED && s != wire.Standing_STANDING_FREE {
		return nil, s, reply.Trial, nil
	}
	// Group 0 may have cleared the request already (FREE) while the entry's own
	// configuration still lists it as suspected; it needs no trial then.
	r.trial = true
	return r, s, nil, nil
}

// IsTrial reports whether this is a run of a suspected request that group 0
// permitted or, if its reply was lost, may have permitted.
func (r *Run) IsTrial() bool { return r.trial }

// Complete ends a run that got a complete response. The request did not crash the
// upstream, so a suspicion against it is cleared.
func (r *Run) Complete(ctx context.Context) error {
	check := r.removeInFlight()
	if check == nil && !r.trial {
		return nil
	}
	if check != nil {
		// A report that arrives after the clearance would leave the request suspected.
		select {
		case <-check.done:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	_, err := r.tracker.options.Control.Suspect(ctx, r.suspectRequest(wire.Move_MOVE_CLEAR))
	return err
}

// End ends a run whose result neither clears the request nor makes it suspected.
func (r *Run) End(ctx context.Context) error {
	r.removeInFlight()
	if !r.trial {
		return nil
	}
	_, err := r.tracker.options.Control.Suspect(ctx, r.suspectRequest(wire.Move_MOVE_END))
	return err
}

// Abandon ends a run that got no response before its caller left or its deadline
// passed. The request may still crash the upstream: a trial counts as a broken
// connection, and any other run is suspected if the upstream refuses connections
// soon after.
func (r *Run) Abandon(ctx context.Context) error {
	k := r.tracker
	k.mu.Lock()
	sent := r.sent
	k.mu.Unlock()
	switch {
	case sent && r.trial:
		r.removeInFlight()
		q := r.suspectRequest(wire.Move_MOVE_END)
		q.Upstream = "" // group 0 records the trial as a broken connection
		_, err := k.options.Control.Suspect(ctx, q)
		return err
	case sent && k.connectionsRefused(ctx, r.address, abandonedProbeDelays...):
		_, err := r.ReportBrokenConnection(ctx)
		return err
	}
	return r.End(ctx)
}

// ReportBrokenConnection ends a run whose connection broke, reports it to group 0 and
// returns the standing of the request after that.
func (r *Run) ReportBrokenConnection(ctx context.Context) (wire.Standing, error) {
	defer r.removeInFlight()
	k := r.tracker
	k.mu.Lock()
	if !r.sent {
		k.mu.Unlock()
		return wire.Standing_STANDING_FREE, r.End(ctx)
	}
	check, joined := k.crashChecks[r.target]
	if !joined {
		check = &crashCheck{done: make(chan struct{}), standings: map[Fingerprint]wire.Standing{}}
		k.crashChecks[r.target] = check
	}
	check.runs = append(check.runs, r)
	k.mu.Unlock()
	if !joined {
		k.checkAndReport(ctx, r, check)
	}
	select {
	case <-check.done:
		return check.standings[r.fingerprint], check.err
	case <-ctx.Done():
		return 0, context.Cause(ctx)
	}
}

// checkAndReport reports the runs whose connections broke. If the upstream refuses
// connections, it crashed, and all runs in flight there are reported as suspects.
func (k *Tracker) checkAndReport(ctx context.Context, r *Run, check *crashCheck) {
	defer close(check.done)
	move := wire.Move_MOVE_BREAK
	if k.connectionsRefused(ctx, r.address) {
		move = wire.Move_MOVE_CRASH
	}
	k.mu.Lock()
	delete(k.crashChecks, r.target)
	if move == wire.Move_MOVE_CRASH {
		for o := range k.inFlight[r.target] {
			if !slices.Contains(check.runs, o) {
				check.runs = append(check.runs, o)
			}
		}
	}
	request := r.suspectRequest(move)
	request.Wait, request.Suspects = propagationWaitMillis, nil
	for _, o := range check.runs {
		o.crashCheck = check
		if _, ok := check.standings[o.fingerprint]; !ok {
			check.standings[o.fingerprint] = wire.Standing_STANDING_SUSPECTED
			request.Suspects = append(request.Suspects, &wire.Suspect{Fingerprint: string(o.fingerprint), Account: o.account})
		}
	}
	k.mu.Unlock()
	reply, err := k.options.Control.Suspect(ctx, request)
	if err != nil {
		check.err = err
		return
	}
	for i, s := range reply.Standings {
		check.standings[Fingerprint(request.Suspects[i].Fingerprint)] = s
	}
}

// connectionsRefused probes the address after probeDelays and the further delays and
// reports whether one of the attempts was refused.
func (k *Tracker) connectionsRefused(ctx context.Context, address string, further ...time.Duration) bool {
	elapsed := time.Duration(0)
	for _, d := range slices.Concat(probeDelays, further) {
		if d > elapsed && timer.Sleep(ctx, k.options.Timer, d-elapsed) != nil {
			return false
		}
		elapsed = d
		if k.options.RefusesConnections(ctx, address) {
			return true
		}
	}
	return false
}

// removeInFlight marks the run as no longer in flight and returns the last crash
// check that reported it, nil if there is none.
func (r *Run) removeInFlight() *crashCheck {
	k := r.tracker
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.inFlight[r.target], r)
	if len(k.inFlight[r.target]) == 0 {
		delete(k.inFlight, r.target)
	}
	return r.crashCheck
}

func (r *Run) suspectRequest(m wire.Move) *wire.SuspectRequest {
	o := r.tracker.options
	return &wire.SuspectRequest{
		Move: m, Suspects: []*wire.Suspect{{Fingerprint: string(r.fingerprint), Account: r.account}},
		Upstream: r.target.name, Incarnation: r.target.incarnation, Owner: o.Owner, Epoch: o.Epoch, Nonce: r.nonce,
	}
}
