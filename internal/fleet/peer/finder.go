package peer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// maxAddresses is the limit for remembered addresses of candidates and for those of other
	// instances.
	maxAddresses = 64
	// redirectLifetime is how long after its last answer a leader is named to other
	// instances, and how long after a failure redirects to an address are ignored. Without
	// the limit, 60 instances kept redirecting each other to a frozen leader for 6 s.
	redirectLifetime = time.Second
	// denialLifetime is how long after an instance has answered that it does not lead, redirects
	// to it are ignored. It may be elected soon.
	denialLifetime = 200 * time.Millisecond
	// failureMemory is how long an address is asked after those that did not fail. Lost members
	// stay in the list for 20 s.
	failureMemory = 30 * time.Second
	// answerInterval is the longest time between two answers of a leader in good order to
	// polls. Until it is over, the leader counts as present whatever other calls say: they may
	// wait for a disk, a majority or other instances.
	answerInterval = pollWait + requestTimeout
)

// finder remembers addresses at which the leader may be found.
type finder struct {
	mu     sync.Mutex
	self   Address
	seeds  []Address
	leader Address // empty if unknown
	// localLeader and localMembers are what the replica of this instance knew last, and
	// localRefuted is true if a call has shown since then that localLeader does not lead.
	localLeader  Address
	localMembers []string
	localRefuted bool
	members      []Address // of the control group, learners included
	// candidates have a disk, and called this instance or were named to it since it last
	// learned the members.
	candidates []Address
	others     []Address // other instances, with or without a disk
	// tried holds the replicas that were returned by next since all of them were, and tries
	// counts the other addresses that it returned.
	tried map[Address]bool
	tries int
	timer timer.Service
	// leaderAnswered is when the leader last answered as such, failures when a call to an address
	// failed that has not answered since.
	leaderAnswered timer.Instant
	failures       map[Address]timer.Instant
	// denials holds when an instance answered that it does not lead.
	denials map[Address]timer.Instant
	// found is closed when a leader becomes known. attempts are the calls to be cancelled when
	// another leader than the one that they call has answered.
	found    chan struct{}
	attempts map[*attempt]struct{}
}

// never is before every instant of a timer. Differences with it don't overflow.
const never = timer.Instant(-1 << 62)

func newFinder(self Address, seeds []Address, t timer.Service) *finder {
	return &finder{
		self: self, seeds: seeds, timer: t, tried: map[Address]bool{}, leaderAnswered: never,
		failures: map[Address]timer.Instant{}, denials: map[Address]timer.Instant{}, found: make(chan struct{}), attempts: map[*attempt]struct{}{},
	}
}

// attempt is a call of the leader.
type attempt struct {
	to     Address
	cancel context.CancelFunc
}

// whileLeader returns a context that is cancelled when another leader than the one at this
// address has answered. release must be called after the call.
func (f *finder) whileLeader(ctx context.Context, to Address) (attemptCtx context.Context, release func()) {
	a := &attempt{to: to}
	attemptCtx, a.cancel = context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[a] = struct{}{}
	if f.leader != to && f.leaderPresent() {
		a.cancel()
	}
	return attemptCtx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.attempts, a)
		a.cancel()
	}
}

// leaderOrFound returns the leader if it is known, else a channel that is closed when it is.
func (f *finder) leaderOrFound() (leader Address, found <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.found
}

// next returns the leader if it is known and not busy, else the next address to try that is
// not. Replicas know the leader soonest: all of them are tried, those that failed last, before
// one of the other addresses is. In a large deployment most other addresses are instances
// without a disk that look for the leader themselves.
func (f *finder) next(busy func(Address) bool) (to Address, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" && !busy(f.leader) {
		return f.leader, true
	}
	replicas := distinct(f.candidates, f.members, addressesOf(f.localMembers))
	if len(replicas) == 0 {
		replicas = f.seeds
	}
	if a, ok := f.nextReplica(replicas, busy); ok {
		return a, true
	}
	clear(f.tried)
	if a, ok := f.nextOther(replicas, busy); ok {
		return a, true
	}
	if a, ok := f.nextReplica(replicas, busy); ok {
		return a, true
	}
	return f.self, !busy(f.self)
}

// nextOther returns the next address that is not a replica, if possible one that did not fail.
// f.mu must be held.
func (f *finder) nextOther(replicas []Address, busy func(Address) bool) (next Address, ok bool) {
	var sound, failed []Address
	for _, a := range distinct(f.seeds, f.others) {
		switch _, failedBefore := f.failures[a]; {
		case slices.Contains(replicas, a) || busy(a):
		case failedBefore:
			failed = append(failed, a)
		default:
			sound = append(sound, a)
		}
	}
	if len(sound) == 0 {
		sound = failed
	}
	if len(sound) == 0 {
		return "", false
	}
	f.tries++
	return sound[(f.tries-1)%len(sound)], true
}

// nextReplica returns a replica that was not tried yet, if possible one that did not fail.
// f.mu must be held.
func (f *finder) nextReplica(replicas []Address, busy func(Address) bool) (next Address, ok bool) {
	for _, a := range replicas {
		if f.tried[a] || busy(a) {
			continue
		}
		if _, failed := f.failures[a]; !failed {
			next, ok = a, true
			break
		}
		if !ok {
			next, ok = a, true
		}
	}
	if ok {
		f.tried[next] = true
	}
	return next, ok
}

// failedRecently reports whether a call to an address failed within redirectLifetime. f.mu must
// be held.
func (f *finder) failedRecently(a Address) bool {
	at, failed := f.failures[a]
	return failed && f.timer.Now().Sub(at) < redirectLifetime
}

// distinct returns the addresses of the lists in their order, each once.
func distinct(lists ...[]Address) (out []Address) {
	for _, list := range lists {
		for _, a := range list {
			if !slices.Contains(out, a) {
				out = append(out, a)
			}
		}
	}
	return out
}

// leaderAddress returns the address of the leader, or "" if it is not known.
func (f *finder) leaderAddress() Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// markFailed records a failed poll, and forgets the leader if it is at this address.
func (f *finder) markFailed(a Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail(a)
}

// fail is markFailed for callers that hold f.mu.
func (f *finder) fail(a Address) {
	f.refute(a)
	now := f.timer.Now()
	for o, at := range f.failures {
		if now.Sub(at) > failureMemory {
			delete(f.failures, o)
		}
	}
	f.failures[a] = now
}

// markPollFailed is markFailed for a poll that was sent at an instant. If the leader has answered
// another call since, only the connection has failed.
func (f *finder) markPollFailed(a Address, sent timer.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != a || f.leaderAnswered.Before(sent) {
		f.fail(a)
	}
}

// markCallFailed records a failed call that is not a poll.
func (f *finder) markCallFailed(a Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != a || !f.leaderPresent() {
		f.fail(a)
	}
}

// markCallServed records that the leader answered a call that is not a poll. A former leader
// may answer such a call late.
func (f *finder) markCallServed(a Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader == "" || f.leader == a {
		f.serve(a)
	}
}

// leaderPresent reports whether the leader has answered within answerInterval. f.mu must be held.
func (f *finder) leaderPresent() bool { return f.timer.Now().Sub(f.leaderAnswered) < answerInterval }

// refute records that no leader is at this address. f.mu must be held.
func (f *finder) refute(a Address) {
	if f.leader == a {
		f.setLeader("")
	}
	if f.localLeader == a {
		f.localRefuted = true
	}
}

// setLeader sets the address at which the leader is believed to be. f.mu must be held.
func (f *finder) setLeader(a Address) {
	if f.leader == a {
		return
	}
	f.leader, f.leaderAnswered = a, never
	if a != "" {
		close(f.found)
		f.found = make(chan struct{})
	}
}

// markLeader records that an instance answered a poll as the leader.
func (f *finder) markLeader(a Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serve(a)
}

// serve is markLeader for callers that hold f.mu.
func (f *finder) serve(a Address) {
	f.setLeader(a)
	f.leaderAnswered = f.timer.Now()
	for c := range f.attempts {
		if c.to != a {
			c.cancel()
		}
	}
	f.localRefuted = f.localLeader != a
	delete(f.failures, a)
}

// redirect applies the answer of an instance that is not the leader, and reports whether a
// leader is known then. A leader that has just answered is kept. One that failed or said that it
// does not lead recently is ignored, so that instances that name each other are not asked in turn.
func (f *finder) redirect(from Address, g *wire.Guide) (redirected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceMembers(g.GetVoters())
	for _, a := range g.GetCallers() {
		f.addCandidate(Address(a))
	}
	to := Address(g.GetLeader())
	switch {
	case to != from:
		f.refute(from)
	case f.leader == from:
		// It is elected and not ready, or is cut off: others are asked until denialLifetime is over.
		f.setLeader("")
	}
	delete(f.failures, from)
	now := f.timer.Now()
	maps.DeleteFunc(f.denials, func(_ Address, at timer.Instant) bool { return now.Sub(at) >= denialLifetime })
	f.denials[from] = now
	if f.leaderPresent() {
		return true
	}
	if _, denied := f.denials[to]; to == "" || denied || f.failedRecently(to) {
		return false
	}
	f.setLeader(to)
	return true
}

// setMembers replaces the members of the control group by those that a leader named.
func (f *finder) setMembers(members []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceMembers(members)
}

// replaceMembers replaces the members and drops the candidates. It ignores an empty list.
// f.mu must be held.
func (f *finder) replaceMembers(members []string) {
	if len(members) == 0 {
		return
	}
	f.members, f.candidates = addressesOf(members), nil
}

// addressesOf returns strings as addresses.
func addressesOf(list []string) (out []Address) {
	for _, s := range list {
		out = append(out, Address(s))
	}
	return out
}

// addInstances remembers the addresses of other instances.
func (f *finder) addInstances(instances []*wire.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range instances {
		a := Address(i.GetPeer())
		if a == "" || a == f.self || i.GetGone() {
			continue
		}
		known := false
		for _, o := range f.others {
			known = known || o == a
		}
		if known {
			continue
		}
		if len(f.others) >= maxAddresses {
			f.others = f.others[1:]
		}
		f.others = append(f.others, a)
	}
}

// addCaller remembers an instance that called. One with a disk may be the leader or know it.
func (f *finder) addCaller(i *wire.Instance) {
	f.addInstances([]*wire.Instance{i})
	if i.GetIdentity() == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addCandidate(Address(i.GetPeer()))
}

// addCandidate remembers the address of an instance with a disk, to be tried before the
// earlier ones. f.mu must be held.
func (f *finder) addCandidate(a Address) {
	if a == "" || a == f.self || slices.Contains(f.members, a) || slices.Contains(f.candidates, a) {
		return
	}
	f.candidates = append([]Address{a}, f.candidates...)
	if len(f.candidates) > maxAddresses {
		f.candidates = f.candidates[:maxAddresses]
	}
}

// setLocalState sets the leader and the members as known to the replica of this instance. News
// replaces what was known before. What the replica still believes does not: a replica that can't
// campaign never forgets a lost leader.
func (f *finder) setLocalState(leader Address, members []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	isNews := leader != f.localLeader
	if isNews {
		f.localLeader, f.localRefuted = leader, false
	}
	at, denied := f.denials[leader]
	usable := !f.localRefuted && (!denied || f.timer.Now().Sub(at) >= denialLifetime)
	if leader != "" && (isNews || f.leader == "" && usable) {
		f.setLeader(leader)
	}
	if !slices.Equal(members, f.localMembers) {
		f.localMembers = members
		f.replaceMembers(members)
	}
}

// seedList returns the addresses of the seeds.
func (f *finder) seedList() []Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seeds
}

// leaderInfo returns what this instance knows about the leader, for other instances.
func (f *finder) leaderInfo() *wire.Guide {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := &wire.Guide{}
	switch {
	case f.timer.Now().Sub(f.leaderAnswered) < redirectLifetime:
		g.Leader = string(f.leader)
	case !f.localRefuted:
		g.Leader = string(f.localLeader)
	}
	g.Voters = slices.Clone(f.localMembers)
	if len(g.Voters) == 0 {
		for _, m := range f.members {
			g.Voters = append(g.Voters, string(m))
		}
	}
	for _, a := range f.candidates {
		g.Callers = append(g.Callers, string(a))
	}
	return g
}

// setSeeds replaces the addresses of the seeds.
func (f *finder) setSeeds(seeds []Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}
