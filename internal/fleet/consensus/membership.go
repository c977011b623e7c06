package consensus

import (
	"time"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

const (
	// maxVoters limits the number of acknowledgements that a commit needs.
	maxVoters = 9
	// voterTimeout is how long a voter may be out of contact before a live learner
	// replaces it.
	voterTimeout = 1500 * time.Millisecond
	// learnerTimeout is how long a learner may be out of contact before it is removed.
	learnerTimeout = 20 * time.Second
)

// Action is a kind of membership change.
type Action int

// Kinds of membership changes.
const (
	NoChange Action = iota
	Add
	Promote
	Remove
)

// String returns the name of the action for the log.
func (a Action) String() string { return [...]string{"keep", "add", "promote", "remove"}[a] }

// Change is a membership change and its reason.
type Change struct {
	Action Action
	Member replica.Member
	Reason string
}

// NextChange returns the next membership change that the leader self should make. Every
// live instance with a disk becomes a member, the number of voters is odd and as large as
// possible, and a live learner replaces a voter that is out of contact or whose address
// belongs to another identity now. unreachable holds for how long members have been out of
// contact.
func NextChange(
	self replica.Identity, members []replica.Member, live map[replica.Identity]replica.Address,
	unreachable map[replica.Identity]time.Duration,
) Change {
	known := map[replica.Identity]replica.Member{}
	identityAt := map[replica.Address]replica.Identity{}
	voters := 0
	var learner, failed *replica.Member
	for identity, address := range live {
		identityAt[address] = identity
	}
	for _, m := range members {
		known[m.Identity] = m
		_, alive := live[m.Identity]
		current, taken := identityAt[m.Address]
		superseded := taken && current != m.Identity
		switch {
		case m.Voter:
			voters++
			if m.Identity != self && !alive && (superseded || unreachable[m.Identity] >= voterTimeout) && (failed == nil || superseded) {
				failed = &m
			}
		case alive:
			if learner == nil || m.Identity < learner.Identity {
				learner = &m
			}
		case superseded || unreachable[m.Identity] >= learnerTimeout:
			return Change{Remove, m, "learner is out of contact or was replaced"}
		}
	}
	if change, ok := nextAddition(known, live); ok {
		return change
	}
	// A voter that is out of contact keeps its vote until it is replaced, so the target is
	// never below the current number of voters.
	target := max(largestOdd(min(maxVoters, len(live))), largestOdd(voters))
	switch {
	case learner != nil && (voters < target || (failed != nil && voters <= target)):
		return Change{Promote, *learner, "live learner can become a voter"}
	case failed != nil && voters > target:
		return Change{Remove, *failed, "voter was replaced"}
	}
	return Change{}
}

// largestOdd returns the largest odd number that does not exceed n.
func largestOdd(n int) int { return n - 1 + n%2 }

// nextAddition returns the change that adds a live instance which is not a member, or that
// updates the address of one which is. Of several instances it takes the one with the lowest
// identity.
func nextAddition(known map[replica.Identity]replica.Member, live map[replica.Identity]replica.Address) (change Change, ok bool) {
	for identity, address := range live {
		m, member := known[identity]
		if member && m.Address == address {
			continue
		}
		if ok && change.Member.Identity < identity {
			continue
		}
		change, ok = Change{Add, replica.Member{Identity: identity, Address: address}, "instance with a disk is not a member at this address"}, true
	}
	return change, ok
}
