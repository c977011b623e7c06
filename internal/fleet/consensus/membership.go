package consensus

import (
	"slices"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

const (
	// MaxVoters limits the number of acknowledgements that a commit needs.
	MaxVoters = 9
	// voterTimeout is how long a voter may be out of contact before a live learner
	// replaces it.
	voterTimeout = 1500 * time.Millisecond
	// noticeTime is the longest time until the loss of a voter is noticed: its instance counts as in
	// contact for 1.6 s after its last poll.
	noticeTime = 2 * voterTimeout
	// learnerTimeout is how long a learner may be out of contact before it is removed.
	learnerTimeout = 20 * time.Second
	// minContact is how long a learner must have been in contact before it becomes an
	// additional voter of an odd group. Such a promotion raises the number of votes that a
	// majority needs, and a process that restarts again and again would take one away with
	// it. It is shorter than the time in which a replaced instance must count again (4 s on
	// the smallest deployments).
	minContact = time.Second
)

// Action is a kind of membership change.
type Action int

// Kinds of membership changes.
const (
	NoChange Action = iota
	Add
	Promote
	Remove
	// Demote takes the vote of a voter, which stays as a learner.
	Demote
	// Replace removes a member that has lost its disk and adds the new identity of its instance,
	// in one change.
	Replace
)

// String returns the name of the action for the log.
func (a Action) String() string {
	return [...]string{"keep", "add", "promote", "remove", "demote", "replace"}[a]
}

// Change is a membership change and its reason.
type Change struct {
	Action Action
	Member replica.Member
	// Lost is the member that Member replaces.
	Lost   replica.Identity
	Reason string
}

// Observation is what the leader knows when it decides on a membership change.
type Observation struct {
	// Self is the leader.
	Self    replica.Identity
	Members []replica.Member
	// Live holds the addresses of the instances in contact that have a disk, and Contact for
	// how long they have been in contact.
	Live    map[replica.Identity]replica.Address
	Contact map[replica.Identity]time.Duration
	// Stopping holds the instances whose process has begun to stop.
	Stopping map[replica.Identity]bool
	// Unreachable holds for how long other members have neither polled nor acknowledged
	// messages.
	Unreachable map[replica.Identity]time.Duration
	// Silent holds for how long members have acknowledged no messages. Their instances may still
	// count as live.
	Silent map[replica.Identity]time.Duration
	// CaughtUp holds the learners that acknowledge messages and hold the log.
	CaughtUp map[replica.Identity]bool
}

// NextChange returns the next membership change that the leader should make. Every live
// instance with a disk becomes a member, the number of voters is odd and as large as
// possible, and a live learner replaces a voter that is out of contact.
//
// A live learner also replaces a voter whose process stops. The voter hands its vote over while it
// still has one: once it is gone, the next loss could take the majority away until the leader
// has noticed the first one.
//
// A voter whose address belongs to another identity has lost its disk and never returns. It
// is removed before anything else: its vote counts for the size of a majority and can't be
// given, and the instance may lose its disk again at any later step. A voter that is only
// out of contact may return with what it acknowledged, so it keeps its vote until a learner
// has been promoted.
func NextChange(o Observation) Change {
	known := map[replica.Identity]replica.Member{}
	var voters, learners []replica.Member
	for _, m := range o.Members {
		known[m.Identity] = m
		if m.Voter {
			voters = append(voters, m)
		} else {
			learners = append(learners, m)
		}
	}
	if lost, ok := o.replacedVoter(voters); ok {
		return o.removeLost(known, lost, "voter has lost its disk")
	}
	if lost, ok := o.lostLearner(learners); ok {
		return o.removeLost(known, lost, "learner is out of contact or has lost its disk")
	}
	if change, ok := nextAddition(known, o.Live); ok {
		return change
	}
	failed, hasFailed := o.failedVoter(voters)
	// A voter that is out of contact keeps its vote until it is replaced, so the target is
	// never below the current number of voters.
	target := max(largestOdd(min(MaxVoters, o.staying())), largestOdd(len(voters)))
	// While the loss of a voter may not have been noticed, an additional instance may be its successor:
	// as a further voter it could not replace it any more.
	grows := len(voters) < target && !slices.ContainsFunc(voters, func(m replica.Member) bool {
		silence, silent := o.Silent[m.Identity]
		return silent && silence < noticeTime
	})
	stopping, hasStopping := o.stoppingVoter(voters)
	if grows || ((hasFailed || hasStopping) && len(voters) <= target) {
		if learner, ok := o.nextVoter(voters, learners); ok {
			return Change{Action: Promote, Member: learner, Reason: "live learner can become a voter"}
		}
	}
	if hasFailed && len(voters) > target {
		return Change{Action: Remove, Member: failed, Reason: "voter was replaced"}
	}
	if hasStopping && len(voters) > target {
		return Change{Action: Demote, Member: stopping, Reason: "voter stops and was replaced"}
	}
	return Change{}
}

// staying returns the number of live instances with a disk whose process does not stop.
func (o *Observation) staying() (n int) {
	for identity := range o.Live {
		if !o.Stopping[identity] {
			n++
		}
	}
	return n
}

// stoppingVoter returns a voter whose process stops. The leader is the last one, since the group is
// without a leader for a moment then.
func (o *Observation) stoppingVoter(voters []replica.Member) (stopping replica.Member, ok bool) {
	for _, m := range voters {
		if o.Stopping[m.Identity] && (!ok || m.Identity != o.Self) {
			stopping, ok = m, true
		}
	}
	return stopping, ok
}

// removeLost returns the change that removes a lost member. If its instance is in contact with a new
// identity that is no member, the same change adds that: on a slow disk each change takes long, and
// the group bears no further loss before the new identity has a vote.
func (o *Observation) removeLost(known map[replica.Identity]replica.Member, lost replica.Member, reason string) Change {
	for identity, address := range o.Live {
		if _, member := known[identity]; !member && address == lost.Address {
			return Change{Action: Replace, Member: replica.Member{Identity: identity, Address: address}, Lost: lost.Identity, Reason: reason}
		}
	}
	return Change{Action: Remove, Member: lost, Reason: reason}
}

// hasLostDisk reports whether the address of a member that is out of contact belongs to an
// instance with another identity.
func (o *Observation) hasLostDisk(m replica.Member) bool {
	if _, live := o.Live[m.Identity]; live || m.Identity == o.Self {
		return false
	}
	for _, address := range o.Live {
		if address == m.Address {
			return true
		}
	}
	return false
}

// replacedVoter returns a voter that has lost its disk. The last voter stays.
func (o *Observation) replacedVoter(voters []replica.Member) (lost replica.Member, ok bool) {
	at := slices.IndexFunc(voters, o.hasLostDisk)
	if at < 0 || len(voters) == 1 {
		return lost, false
	}
	return voters[at], true
}

// lostLearner returns a learner that has lost its disk or is out of contact for too long.
func (o *Observation) lostLearner(learners []replica.Member) (lost replica.Member, ok bool) {
	at := slices.IndexFunc(learners, func(m replica.Member) bool {
		return o.hasLostDisk(m) || o.Unreachable[m.Identity] >= learnerTimeout
	})
	if at < 0 {
		return lost, false
	}
	return learners[at], true
}

// failedVoter returns a voter that is out of contact for too long.
func (o *Observation) failedVoter(voters []replica.Member) (failed replica.Member, ok bool) {
	at := slices.IndexFunc(voters, func(m replica.Member) bool {
		return m.Identity != o.Self && o.Unreachable[m.Identity] >= voterTimeout
	})
	if at < 0 {
		return failed, false
	}
	return voters[at], true
}

// nextVoter returns the learner to promote, the one with the lowest identity of several.
func (o *Observation) nextVoter(voters, learners []replica.Member) (next replica.Member, ok bool) {
	// In a group of one every loss of the voter loses the group, so nothing is gained by
	// a delay.
	raisesMajority := len(voters)%2 == 1 && len(voters) > 1
	for _, m := range learners {
		_, live := o.Live[m.Identity]
		if !live || o.Stopping[m.Identity] || !o.CaughtUp[m.Identity] || (raisesMajority && o.Contact[m.Identity] < minContact) {
			continue
		}
		if !ok || m.Identity < next.Identity {
			next, ok = m, true
		}
	}
	return next, ok
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
		change = Change{Action: Add, Member: replica.Member{Identity: identity, Address: address}, Reason: "instance with a disk is not a member at this address"}
		ok = true
	}
	return change, ok
}
