package consensus

import (
	"time"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

const (
	// maxVoters bounds the acknowledgements that a commit needs.
	maxVoters = 9
	// voterTimeout is the silence after which a voter is replaced where another
	// instance with a disk is ready to take its place.
	voterTimeout = 1500 * time.Millisecond
	// learnerTimeout is the silence after which a member without a vote is removed.
	learnerTimeout = 20 * time.Second
)

// Action is one kind of change of the membership.
type Action int

// Actions.
const (
	NoChange Action = iota
	Add
	Promote
	Remove
)

// String names the action for the log.
func (a Action) String() string { return [...]string{"keep", "add", "promote", "remove"}[a] }

// Change is one change and its reason.
type Change struct {
	Action Action
	Member replica.Member
	Reason string
}

// NextChange decides the next change: every live instance with a disk becomes a member,
// the number of voters is odd and as large as possible, and a voter that cannot
// return or is silent gives its place to a live learner.
func NextChange(
	self replica.Identity, members []replica.Member, live map[replica.Identity]replica.Address,
	quiet map[replica.Identity]time.Duration,
) Change {
	known := map[replica.Identity]replica.Member{}
	holder := map[replica.Address]replica.Identity{}
	voters := 0
	var learner, dead *replica.Member
	for identity, address := range live {
		holder[address] = identity
	}
	for _, m := range members {
		known[m.Identity] = m
		_, alive := live[m.Identity]
		other, taken := holder[m.Address]
		lost := taken && other != m.Identity
		switch {
		case m.Voter:
			voters++
			if m.Identity != self && !alive && (lost || quiet[m.Identity] >= voterTimeout) && (dead == nil || lost) {
				dead = &m
			}
		case alive:
			if learner == nil || m.Identity < learner.Identity {
				learner = &m
			}
		case lost || quiet[m.Identity] >= learnerTimeout:
			return Change{Remove, m, "member without a vote is gone"}
		}
	}
	if s, ok := nextAddition(known, live); ok {
		return s
	}
	// An instance that is away for a while keeps its vote, so the target never falls
	// below the present number.
	target := max(largestOdd(min(maxVoters, len(live))), largestOdd(voters))
	switch {
	case learner != nil && (voters < target || (dead != nil && voters <= target)):
		return Change{Promote, *learner, "instance with a disk is ready"}
	case dead != nil && voters > target:
		return Change{Remove, *dead, "voter was replaced"}
	}
	return Change{}
}

// largestOdd returns the largest odd number that is at most n.
func largestOdd(n int) int { return n - 1 + n%2 }

// nextAddition returns the addition of a live instance that is no member, or the change of its address.
func nextAddition(known map[replica.Identity]replica.Member, live map[replica.Identity]replica.Address) (s Change, ok bool) {
	for identity, address := range live {
		m, member := known[identity]
		if member && m.Address == address {
			continue
		}
		if ok && s.Member.Identity < identity {
			continue
		}
		s, ok = Change{Add, replica.Member{Identity: identity, Address: address}, "instance with a disk appeared"}, true
	}
	return s, ok
}
