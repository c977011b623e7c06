package peer

import (
	"slices"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// maxKnown bounds the addresses that are remembered beside the seeds.
	maxKnown = 64
	// hintFor is how long after its last answer an instance is named to others as the
	// leader, and how long after a failure a hint at an address is not followed. Hints
	// at a leader that had frozen sent 60 instances from one to another for 6 s.
	hintFor = time.Second
)

// finder remembers where the leader may be found.
type finder struct {
	mu     sync.Mutex
	self   Address
	seeds  []Address
	leader Address
	voters []Address
	// callers have a disk and called or were named to this instance since it last learned voters.
	callers []Address
	others  []Address
	next    int
	timer   timer.Service
	// at is when the leader last answered, lost the time at which an address failed.
	at   timer.Instant
	lost map[Address]timer.Instant
}

func newFinder(self Address, seeds []Address, t timer.Service) *finder {
	return &finder{self: self, seeds: seeds, timer: t, lost: map[Address]timer.Instant{}}
}

// current returns the leader if one is known, else the next instance to ask.
func (f *finder) current() Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" {
		return f.leader
	}
	var all []Address
	seen := map[Address]bool{}
	for _, list := range [][]Address{f.callers, f.voters, f.seeds, f.others} {
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

// failed forgets the leader if it is the address that did not answer.
func (f *finder) failed(a Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader == a {
		f.leader = ""
	}
	now := f.timer.Now()
	for o, at := range f.lost {
		if now.Sub(at) > hintFor {
			delete(f.lost, o)
		}
	}
	f.lost[a] = now
}

// served notes that an instance answered as the leader.
func (f *finder) served(a Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader, f.at = a, f.timer.Now()
	delete(f.lost, a)
}

// guided follows what an instance that does not lead said. A hint at the instance
// itself, or at one that just failed to lead, is of no use.
func (f *finder) guided(from Address, g *wire.Guide) (hinted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learnVoters(g.GetVoters())
	for _, a := range g.GetCallers() {
		f.called(Address(a))
	}
	if f.leader == from {
		f.leader = ""
	}
	to := Address(g.GetLeader())
	if at, failed := f.lost[to]; failed && f.timer.Now().Sub(at) < hintFor {
		return false
	}
	if to != "" && to != from {
		f.leader = to
		return true
	}
	return false
}

// learn remembers the replicas that a leader named.
func (f *finder) learn(voters []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learnVoters(voters)
}

func (f *finder) learnVoters(voters []string) {
	if len(voters) == 0 {
		return
	}
	f.voters, f.callers = f.voters[:0], nil
	for _, v := range voters {
		f.voters = append(f.voters, Address(v))
	}
}

// know remembers other instances.
func (f *finder) know(instances []*wire.Instance) {
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
		if len(f.others) >= maxKnown {
			f.others = f.others[1:]
		}
		f.others = append(f.others, a)
	}
}

// met remembers an instance that called. One with a disk may lead or know who does.
func (f *finder) met(i *wire.Instance) {
	f.know([]*wire.Instance{i})
	if i.GetIdentity() == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.called(Address(i.GetPeer()))
}

func (f *finder) called(a Address) {
	if a == "" || a == f.self || slices.Contains(f.voters, a) || slices.Contains(f.callers, a) {
		return
	}
	f.callers = append([]Address{a}, f.callers...)
	if len(f.callers) > maxKnown {
		f.callers = f.callers[:maxKnown]
	}
}

// hint takes over what the replica of this instance knows.
func (f *finder) hint(leader Address, voters []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if leader != "" {
		f.leader = leader
	}
	f.learnVoters(voters)
}

// list returns the seeds.
func (f *finder) list() []Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seeds
}

// guide is what this instance tells others.
func (f *finder) guide() *wire.Guide {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := &wire.Guide{}
	if f.timer.Now().Sub(f.at) < hintFor {
		g.Leader = string(f.leader)
	}
	for _, v := range f.voters {
		g.Voters = append(g.Voters, string(v))
	}
	for _, a := range f.callers {
		g.Callers = append(g.Callers, string(a))
	}
	return g
}

// reseed replaces the seeds.
func (f *finder) reseed(seeds []Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}
