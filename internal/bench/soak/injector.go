package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// injector injects the faults of one seed. Faults may overlap within a fault phase. In
// the quiet phases in between there is only planned work, so that time limits that hold
// without faults are checked too.
type injector struct {
	*Soak
	faults       []fault
	random       *rand.Rand
	active       sync.WaitGroup
	replacements int // upstreams started in place of others so far
	extraCallers int // callers started for partitions so far
}

// fault is a fault or planned work that the injector chooses by weight.
type fault struct {
	name string // under which the report counts it
	// weight is the relative probability. A fault with 0 is drawn only if it is named, so that the seeds of
	// the tests keep their sequences.
	weight int
	// planned marks maintenance work that callers must not notice.
	planned bool
	inject  func(in *injector, ctx context.Context, r *rand.Rand)
}

// faults lists all faults and planned work.
var faults = []fault{
	{"kill", 3, false, (*injector).killInstance},
	{"wipe", 1, false, (*injector).wipeInstance},
	{"pause", 3, false, (*injector).pauseInstance},
	{"herd", 1, false, (*injector).killAllInstances},
	{"proxy", 4, false, (*injector).disturbProxy},
	{"crash", 3, false, (*injector).crashUpstream},
	{"grey", 2, false, (*injector).failSomeRequests},
	{"terminate", 2, true, (*injector).terminateInstance},
	{"limit", 2, true, (*injector).limitUpstreams},
	{"brittle", 2, true, (*injector).makeBrittle},
	{"partition", 2, true, (*injector).partitionInstances},
	{"pause of an upstream", 2, true, (*injector).pauseUpstreams},
	{"drain", 2, true, (*injector).drainUpstream},
	{"document", 4, true, (*injector).replaceDocument},
	{"core", 0, false, (*injector).freezeCore},
	{"evacuation", 0, true, (*injector).evacuateZone},
}

// newInjector returns an injector of the chosen faults.
func newInjector(s *Soak) (*injector, error) {
	in := &injector{Soak: s, faults: faults, random: rand.New(rand.NewPCG(s.options.Seed, 3))}
	if len(s.options.Faults) == 0 {
		return in, nil
	}
	in.faults = nil
	planned := false
	for _, name := range s.options.Faults {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, errors.Newf("no fault has the name %q", name)
		}
		f := faults[i]
		f.weight = max(f.weight, 1)
		in.faults = append(in.faults, f)
		planned = planned || faults[i].planned
	}
	if !planned {
		return nil, errors.New("quiet phases need planned work")
	}
	return in, nil
}

// run injects faults for the configured duration and waits until all of them have ended.
func (in *injector) run(ctx context.Context) error {
	start := in.options.Timer.Now()
	for ctx.Err() == nil && in.options.Timer.Now() < start.Add(in.options.FaultDuration) {
		passed := in.options.Timer.Now().Sub(start) % (faultPhase + quietPhase)
		f := in.chooseFault(passed >= faultPhase)
		rf := &runningFault{injector: in, fault: f, random: rand.New(rand.NewPCG(in.random.Uint64(), 4))}
		in.recorder.count(f.name)
		in.active.Add(1)
		go rf.run(ctx)
		gap := time.Duration(100+in.random.IntN(900)) * time.Millisecond
		if passed >= faultPhase {
			gap += time.Second
		}
		_ = timer.Sleep(ctx, in.options.Timer, gap)
		for _, i := range in.instances {
			if i.exitedUnexpectedly() {
				in.recorder.violation("%s has ended by itself: %v", i.name, i.currentProcess().Err())
			}
		}
	}
	in.active.Wait()
	return ctx.Err()
}

// chooseFault draws the next fault, or only planned work.
func (in *injector) chooseFault(plannedOnly bool) fault {
	var candidates []fault
	for _, f := range in.faults {
		if f.planned || !plannedOnly {
			candidates = append(candidates, slices.Repeat([]fault{f}, f.weight)...)
		}
	}
	return candidates[in.random.IntN(len(candidates))]
}

// runningFault is a fault in progress with its own random numbers.
type runningFault struct {
	*injector
	fault  fault
	random *rand.Rand
}

func (rf *runningFault) run(ctx context.Context) {
	defer rf.active.Done()
	rf.fault.inject(rf.injector, ctx, rf.random)
}

// reserveInstance reserves a random instance, or one with a data directory if controlOnly is set.
// It returns nil if the drawn instance is reserved, or if it has a data directory and another
// such instance is reserved: the control group survives the loss of only one replica at a time.
func (in *injector) reserveInstance(r *rand.Rand, controlOnly bool) *instance {
	limit := len(in.instances)
	if controlOnly {
		limit = controlInstances
	}
	i := in.instances[r.IntN(limit)]
	if i.dataDirectory != "" {
		for _, o := range in.instances[:controlInstances] {
			if o != i {
				o.mu.Lock()
				reserved := o.reserved
				o.mu.Unlock()
				if reserved {
					return nil
				}
			}
		}
	}
	if !i.reserve() {
		return nil
	}
	return i
}

// restartInstance starts a reserved instance, records a violation if that fails, and ends the
// reservation.
func (in *injector) restartInstance(i *instance) {
	if err := i.start(false); err != nil {
		in.recorder.violation("%v", err)
	}
	i.release()
}

// sleepRandom sleeps for a random time between the two limits.
func (in *injector) sleepRandom(ctx context.Context, r *rand.Rand, shortest, longest time.Duration) {
	_ = timer.Sleep(ctx, in.options.Timer, shortest+time.Duration(r.Int64N(int64(longest-shortest))))
}

// beginFault marks the start of a fault, during which limits that hold without faults are not
// checked. The returned function marks its end.
func (in *injector) beginFault() func() { return in.recorder.beginDisturbance(false) }

// killInstance kills an instance and starts it again.
func (in *injector) killInstance(ctx context.Context, r *rand.Rand) {
	if i := in.reserveInstance(r, false); i != nil {
		defer in.beginFault()()
		i.kill()
		in.sleepRandom(ctx, r, 0, 2*time.Second)
		in.restartInstance(i)
	}
}

// wipeInstance kills an instance with a data directory, deletes the directory and starts the instance again.
func (in *injector) wipeInstance(ctx context.Context, r *rand.Rand) {
	if i := in.reserveInstance(r, true); i != nil {
		defer in.beginFault()()
		i.kill()
		if err := os.RemoveAll(i.dataDirectory); err != nil {
			in.recorder.violation("wipe: %v", err)
		}
		in.sleepRandom(ctx, r, 0, time.Second)
		in.restartInstance(i)
		// The other replicas stay reserved until this one has caught up: the control group
		// survives the loss of only one replica at a time.
		for _, o := range in.instances[:controlInstances] {
			if o.reserve() {
				defer o.release()
			}
		}
		in.sleepRandom(ctx, r, reconnectTime, reconnectTime+time.Second)
	}
}

// pauseInstance stops an instance with SIGSTOP for a while.
func (in *injector) pauseInstance(ctx context.Context, r *rand.Rand) {
	if i := in.reserveInstance(r, false); i != nil {
		defer in.beginFault()()
		defer i.release()
		p := i.currentProcess()
		p.Signal(syscall.SIGSTOP)
		in.sleepRandom(ctx, r, 100*time.Millisecond, 3*time.Second)
		p.Signal(syscall.SIGCONT)
	}
}

// killAllInstances kills all instances that are not reserved at the same moment, and later starts them
// again together.
func (in *injector) killAllInstances(ctx context.Context, r *rand.Rand) {
	defer in.beginFault()()
	var reserved []*instance
	for _, i := range in.instances {
		if i.reserve() {
			reserved = append(reserved, i)
		}
	}
	for _, i := range reserved {
		i.currentProcess().Kill()
	}
	for _, i := range reserved {
		i.kill()
	}
	in.sleepRandom(ctx, r, 0, time.Second)
	in.forgetLimits()
	for _, i := range reserved {
		in.restartInstance(i)
	}
}

// randomUpstream draws an upstream.
func (in *injector) randomUpstream(r *rand.Rand) *simulatedUpstream {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.upstreams[r.IntN(len(in.upstreams))]
}

// disturbProxy delays, stalls or resets the connections to an upstream for a while.
func (in *injector) disturbProxy(ctx context.Context, r *rand.Rand) {
	u, m := in.randomUpstream(r), proxyMode(1+r.IntN(len(modeNames)-1))
	in.recorder.count(modeNames[m])
	defer in.beginFault()()
	u.proxy.setMode(m)
	in.sleepRandom(ctx, r, 200*time.Millisecond, 3*time.Second)
	u.proxy.setMode(modePass)
}

// failSomeRequests makes an upstream fail a share of its requests for a while.
func (in *injector) failSomeRequests(ctx context.Context, r *rand.Rand) {
	defer in.beginFault()()
	u := in.randomUpstream(r)
	u.failurePercent.Store(int32(20 + r.IntN(80)))
	in.sleepRandom(ctx, r, time.Second, 4*time.Second)
	u.failurePercent.Store(0)
}

// crashUpstream crashes an upstream and starts another in its place, sometimes under the same name.
func (in *injector) crashUpstream(ctx context.Context, r *rand.Rand) {
	defer in.beginFault()()
	u := in.removeUpstream(r)
	if u == nil {
		return
	}
	u.crash()
	in.sleepRandom(ctx, r, 0, 2*time.Second)
	in.replaceUpstream(u, r.IntN(3) == 0)
}

// drainUpstream replaces an upstream in an orderly way: it drains, deregisters, then stops.
func (in *injector) drainUpstream(ctx context.Context, r *rand.Rand) {
	u := in.removeUpstream(r)
	if u == nil {
		return
	}
	in.replaceUpstream(u, false)
	if r.IntN(2) == 0 {
		u.beginLeaving()
	} else {
		u.beginDraining()
	}
	in.stopDrained(ctx, r, u)
}

// stopDrained deregisters an upstream that drains, and stops it.
func (in *injector) stopDrained(ctx context.Context, r *rand.Rand, u *simulatedUpstream) {
	d := in.options.Dialect.DrainDelay()
	in.sleepRandom(ctx, r, d+time.Second, d+3*time.Second)
	u.mu.Lock()
	u.deregistered = true
	u.mu.Unlock()
	in.sleepRandom(ctx, r, 2*announceInterval, 4*announceInterval)
	u.crash()
}

// removeUpstream removes a random upstream from the list, or returns nil if fewer than two of its
// service would be left.
func (in *injector) removeUpstream(r *rand.Rand) *simulatedUpstream {
	in.mu.Lock()
	defer in.mu.Unlock()
	i := r.IntN(len(in.upstreams))
	u := in.upstreams[i]
	sameService := 0
	for _, o := range in.upstreams {
		if o.service == u.service {
			sameService++
		}
	}
	if sameService < 3 {
		return nil
	}
	in.upstreams = slices.Delete(in.upstreams, i, i+1)
	return u
}

// replaceUpstream starts an upstream of the same service and zone as u.
func (in *injector) replaceUpstream(u *simulatedUpstream, sameName bool) {
	in.mu.Lock()
	in.replacements++
	name := u.id
	if !sameName {
		name = fmt.Sprint(u.service, "-", 100+in.replacements)
	}
	seed := in.options.Seed + uint64(100+in.replacements)
	in.mu.Unlock()
	replacement, err := in.startUpstream(name, u.service, u.zone, seed)
	if err != nil {
		in.recorder.violation("upstream: %v", err)
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.upstreams = append(in.upstreams, replacement)
}

// terminateInstance shuts an instance down gracefully and starts it again.
func (in *injector) terminateInstance(ctx context.Context, r *rand.Rand) {
	if i := in.reserveInstance(r, false); i != nil {
		defer in.recorder.beginDisturbance(true)()
		if err := i.terminate(in.options.Timer); err != nil {
			in.recorder.violation("%s: %v", i.name, err)
		}
		in.sleepRandom(ctx, r, 0, time.Second)
		in.restartInstance(i)
	}
}

// replaceDocument applies the next configuration document unless one is still pending.
func (in *injector) replaceDocument(ctx context.Context, _ *rand.Rand) {
	in.mu.Lock()
	pending := in.documentPending
	in.mu.Unlock()
	if !pending && !in.applyDocument(ctx, in.nextDocument()) && ctx.Err() == nil {
		in.recorder.violation("a document is not acknowledged")
	}
}
