// Package suspect finds out which requests of an entry were in flight when an
// upstream crashed, reports them to group 0 and asks there before a suspected
// request runs again.
package suspect

import (
	"context"
	"slices"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// probes are the times from a broken connection to the attempts to connect anew. A
// process that dies may close its connections shortly before its listener.
var probes = []time.Duration{0, 10 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond}

// later are further attempts after a run was abandoned: nobody sees its connection
// break, and a busy upstream may run the request only after its caller has left.
var later = []time.Duration{300 * time.Millisecond, time.Second}

// inforce bounds the wait until all entries know of a crash.
const inforce = 3000

// ControlClient keeps the suspicions in group 0.
type ControlClient interface {
	Suspect(ctx context.Context, r *wire.SuspectRequest) (*wire.SuspectReply, error)
}

// Options are what a Tracker needs.
type Options struct {
	Timer   timer.Service
	Control ControlClient
	// RefusesConnections tells whether the address refuses connections.
	RefusesConnections func(ctx context.Context, address string) bool
	// Owner and Epoch name the process of the entry.
	Owner string
	Epoch uint64
}

// Tracker knows the runs of one entry.
type Tracker struct {
	options Options

	mu sync.Mutex
	// asked numbers the requests for trials, by which group 0 tells late copies.
	asked     uint64
	flights   map[target]map[*Run]struct{}
	inquiries map[target]*inquiry
}

// target is one incarnation of an upstream.
type target struct {
	name        string
	incarnation uint64
}

// inquiry finds out whether an upstream crashed. All runs that break meanwhile
// share it.
type inquiry struct {
	runs      []*Run
	done      chan struct{}
	standings map[Fingerprint]wire.Standing
	err       error
}

// New returns a tracker.
func New(o Options) *Tracker {
	return &Tracker{options: o, flights: map[target]map[*Run]struct{}{}, inquiries: map[target]*inquiry{}}
}

// Run is a request on its way to one upstream. Exactly one of Finished, Broke and
// Ended must be called.
type Run struct {
	tracker     *Tracker
	fingerprint Fingerprint
	account     string
	target      target
	address     string
	nonce       uint64
	// sent is true once bytes may have reached the upstream; guarded by the tracker's lock.
	sent bool
	// inquiry is the last one whose report names the run, nil if there is none; guarded by
	// the tracker's lock.
	inquiry *inquiry
	trial   bool
}

// Begin returns a run of a request that is not suspected.
func (k *Tracker) Begin(f Fingerprint, account string, u *wire.Upstream) *Run {
	return &Run{tracker: k, fingerprint: f, account: account, target: target{u.Name, u.Incarnation}, address: u.Address}
}

// MarkSent is called before the first byte is sent. Only from then on the run is in
// flight: a request that waits for its trial is no suspect of a crash.
func (r *Run) MarkSent() {
	k := r.tracker
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.flights[r.target] == nil {
		k.flights[r.target] = map[*Run]struct{}{}
	}
	k.flights[r.target][r] = struct{}{}
	r.sent = true
}

// RequestTrial asks group 0 whether the suspected request may run on the upstream. The run
// is nil unless it may or an error leaves that open; the caller must end such a run,
// or the trial that was perhaps granted holds up every resend. The standing WAIT comes with the trial that must end
// first, nil while crashes are not confirmed yet.
func (k *Tracker) RequestTrial(ctx context.Context, f Fingerprint, account string, u *wire.Upstream) (r *Run, s wire.Standing, t *wire.Trial, err error) {
	r = k.Begin(f, account, u)
	k.mu.Lock()
	k.asked++
	r.nonce = k.asked
	k.mu.Unlock()
	reply, err := k.options.Control.Suspect(ctx, r.request(wire.Move_MOVE_TRIAL))
	if err != nil {
		r.trial = true
		return r, s, nil, err
	}
	s = reply.Standings[0]
	if s != wire.Standing_STANDING_GRANTED && s != wire.Standing_STANDING_FREE {
		return nil, s, reply.Trial, nil
	}
	// A request that is free by now needs no trial, whatever the entry's own configuration still says.
	r.trial = true
	return r, s, nil, nil
}

// IsTrial tells whether group 0 permitted this run of a suspected request.
func (r *Run) IsTrial() bool { return r.trial }

// Complete clears the request if it was suspected.
func (r *Run) Complete(ctx context.Context) error {
	q := r.leave()
	if q == nil && !r.trial {
		return nil
	}
	if q != nil {
		// A report that arrives after the clearance would leave the suspicion behind.
		select {
		case <-q.done:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	_, err := r.tracker.options.Control.Suspect(ctx, r.request(wire.Move_MOVE_CLEAR))
	return err
}

// End ends a run that says nothing about the request.
func (r *Run) End(ctx context.Context) error {
	r.leave()
	if !r.trial {
		return nil
	}
	_, err := r.tracker.options.Control.Suspect(ctx, r.request(wire.Move_MOVE_END))
	return err
}

// Abandon ends a run without an answer whose caller left or whose time was over. The
// upstream may still crash by it: a trial counts as a broken connection, any other
// run is a suspect if the upstream refuses connections soon after.
func (r *Run) Abandon(ctx context.Context) error {
	k := r.tracker
	k.mu.Lock()
	sent := r.sent
	k.mu.Unlock()
	switch {
	case sent && r.trial:
		r.leave()
		q := r.request(wire.Move_MOVE_END)
		q.Upstream = ""
		_, err := k.options.Control.Suspect(ctx, q)
		return err
	case sent && k.refused(ctx, r.address, later...):
		_, err := r.ReportBrokenConnection(ctx)
		return err
	}
	return r.End(ctx)
}

// ReportBrokenConnection reports that the connection of the run broke and returns how the request
// stands then.
func (r *Run) ReportBrokenConnection(ctx context.Context) (wire.Standing, error) {
	defer r.leave()
	k := r.tracker
	k.mu.Lock()
	if !r.sent {
		k.mu.Unlock()
		return wire.Standing_STANDING_FREE, r.End(ctx)
	}
	q, joined := k.inquiries[r.target]
	if !joined {
		q = &inquiry{done: make(chan struct{}), standings: map[Fingerprint]wire.Standing{}}
		k.inquiries[r.target] = q
	}
	q.runs = append(q.runs, r)
	k.mu.Unlock()
	if !joined {
		k.inquire(ctx, r, q)
	}
	select {
	case <-q.done:
		return q.standings[r.fingerprint], q.err
	case <-ctx.Done():
		return 0, context.Cause(ctx)
	}
}

// inquire reports the runs whose connections broke. If the upstream refuses
// connections, all runs in flight there are suspects.
func (k *Tracker) inquire(ctx context.Context, r *Run, q *inquiry) {
	defer close(q.done)
	move := wire.Move_MOVE_BREAK
	if k.refused(ctx, r.address) {
		move = wire.Move_MOVE_CRASH
	}
	k.mu.Lock()
	delete(k.inquiries, r.target)
	if move == wire.Move_MOVE_CRASH {
		for o := range k.flights[r.target] {
			if !slices.Contains(q.runs, o) {
				q.runs = append(q.runs, o)
			}
		}
	}
	request := r.request(move)
	request.Wait, request.Suspects = inforce, nil
	for _, o := range q.runs {
		o.inquiry = q
		if _, ok := q.standings[o.fingerprint]; !ok {
			q.standings[o.fingerprint] = wire.Standing_STANDING_SUSPECTED
			request.Suspects = append(request.Suspects, &wire.Suspect{Fingerprint: string(o.fingerprint), Account: o.account})
		}
	}
	k.mu.Unlock()
	reply, err := k.options.Control.Suspect(ctx, request)
	if err != nil {
		q.err = err
		return
	}
	for i, s := range reply.Standings {
		q.standings[Fingerprint(request.Suspects[i].Fingerprint)] = s
	}
}

// refused tells whether the upstream refuses connections shortly after one broke.
func (k *Tracker) refused(ctx context.Context, address string, later ...time.Duration) bool {
	passed := time.Duration(0)
	for _, p := range slices.Concat(probes, later) {
		if p > passed && timer.Sleep(ctx, k.options.Timer, p-passed) != nil {
			return false
		}
		passed = p
		if k.options.RefusesConnections(ctx, address) {
			return true
		}
	}
	return false
}

// leave ends the flight and returns the inquiry that named the run, if any.
func (r *Run) leave() *inquiry {
	k := r.tracker
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.flights[r.target], r)
	if len(k.flights[r.target]) == 0 {
		delete(k.flights, r.target)
	}
	return r.inquiry
}

func (r *Run) request(m wire.Move) *wire.SuspectRequest {
	o := r.tracker.options
	return &wire.SuspectRequest{
		Move: m, Suspects: []*wire.Suspect{{Fingerprint: string(r.fingerprint), Account: r.account}},
		Upstream: r.target.name, Incarnation: r.target.incarnation, Owner: o.Owner, Epoch: o.Epoch, Nonce: r.nonce,
	}
}
