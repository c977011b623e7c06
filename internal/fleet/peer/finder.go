package peer

import (
	"slices"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// maxAddresses bounds the addresses that are remembered beside the seeds.
	maxAddresses = 64
	// hintLifetime is how long after its last answer an instance is named to others as the
	// leader, and how long after a failure a hint at an address is not followed. Hints
	// at a leader that had frozen sent 60 instances from one to another for 6 s.
	hintLifetime = time.Second
)

// finder remembers where the leader may be found.
type finder struct {
	mu     sync.Mutex
	self   Address
	seeds  []Address
	leader Address
	voters []Address
	// candidates have a disk and called or were named to this instance since it last learned voters.
	candidates []Address
	others     []Address
	next       int
	timer      timer.Service
	// leaderAnswered is when the leader last answered, lost the time at which an address failed.
	leaderAnswered timer.Instant
	failures       map[Address]timer.Instant
}

func newFinder(self Address, seeds []Address, t timer.Service) *finder {
	return &finder{self: self, seeds: seeds, timer: t, failures: map[Address]timer.Instant{}}
}

// target returns the leader if one is known, else the next instance to ask.
func (f *finder) target() Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" {
		return f.leader
	}
	var all []Address
	seen := map[Address]bool{}
	for _, list := range [][]Address{f.candidates, f.voters, f.seeds, f.others} {
		for _, a := range list {
			if !seen[a] {
				seen[a] = true
				all = append(all, a)
			}
		}
	}
	if len(all) == 0 {
		return f.self
	}
	a := all[f.next%len(all)]
	f.next++
	return a
}

// markFailed forgets the leader if it is the address that did not answer.
func (f *finder) markFailed(a Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader == a {
		f.leader = ""
	}
	now := f.timer.Now()
	for o, at := range f.failures {
		if now.Sub(at) > hintLifetime {
			delete(f.failures, o)
		}
	}
	f.failures[a] = now
}

// markLeader notes that an instance answered as the leader.
func (f *finder) markLeader(a Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader, f.leaderAnswered = a, f.timer.Now()
	delete(f.failures, a)
}

// redirect follows what an instance that does not lead said. A hint at the instance
// itself, or at one that just failed to lead, is of no use.
func (f *finder) redirect(from Address, g *wire.Guide) (hinted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceVoters(g.GetVoters())
	for _, a := range g.GetCallers() {
		f.addCandidate(Address(a))
	}
	if f.leader == from {
		f.leader = ""
	}
	to := Address(g.GetLeader())
	if at, failed := f.failures[to]; failed && f.timer.Now().Sub(at) < hintLifetime {
		return false
	}
	if to != "" && to != from {
		f.leader = to
		return true
	}
	return false
}

// setVoters remembers the replicas that a leader named.
func (f *finder) setVoters(voters []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceVoters(voters)
}

func (f *finder) replaceVoters(voters []string) {
	if len(voters) == 0 {
		return
	}
	f.voters, f.candidates = f.voters[:0], nil
	for _, v := range voters {
		f.voters = append(f.voters, Address(v))
	}
}

// addInstances remembers other instances.
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

// addCaller remembers an instance that called. One with a disk may lead or know who does.
func (f *finder) addCaller(i *wire.Instance) {
	f.addInstances([]*wire.Instance{i})
	if i.GetIdentity() == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addCandidate(Address(i.GetPeer()))
}

func (f *finder) addCandidate(a Address) {
	if a == "" || a == f.self || slices.Contains(f.voters, a) || slices.Contains(f.candidates, a) {
		return
	}
	f.candidates = append([]Address{a}, f.candidates...)
	if len(f.candidates) > maxAddresses {
		f.candidates = f.candidates[:maxAddresses]
	}
}

// setLocalState takes over what the replica of this instance knows.
func (f *finder) setLocalState(leader Address, voters []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if leader != "" {
		f.leader = leader
	}
	f.replaceVoters(voters)
}

// seedList returns the seeds.
func (f *finder) seedList() []Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seeds
}

// leaderInfo is what this instance tells others.
func (f *finder) leaderInfo() *wire.Guide {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := &wire.Guide{}
	if f.timer.Now().Sub(f.leaderAnswered) < hintLifetime {
		g.Leader = string(f.leader)
	}
	for _, v := range f.voters {
		g.Voters = append(g.Voters, string(v))
	}
	for _, a := range f.candidates {
		g.Callers = append(g.Callers, string(a))
	}
	return g
}

// setSeeds replaces the seeds.
func (f *finder) setSeeds(seeds []Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}
