package replica

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

const (
	// maxPromotionLag is how many entries a learner may be behind the commit index when it is
	// promoted.
	maxPromotionLag = 256
	// maxPromotionSilence is how long ago the last message that a learner acknowledged may
	// have been sent when it is promoted. The leader sends one per HeartbeatInterval.
	maxPromotionSilence = 4 * HeartbeatInterval
)

// errNotCaughtUp is returned while a learner is too far behind to be promoted.
var errNotCaughtUp = errors.New("learner has not caught up")

// AddLearner adds a member without a vote and returns once the change is committed. An
// identity that is a member already keeps its vote; only its address is updated.
func (n *Node) AddLearner(ctx context.Context, m Member) (err error) {
	m.Voter = false
	_, err = n.changeMembership(ctx, func(members []Member) ([]Member, error) {
		at := slices.IndexFunc(members, func(o Member) bool { return o.Identity == m.Identity })
		switch {
		case at < 0:
			return append(members, m), nil
		case members[at].Address == m.Address:
			return nil, nil
		}
		members[at].Address = m.Address
		return members, nil
	})
	return errors.Wrapf(err, "add %s", m.Identity)
}

// RemoveMember removes a member and returns once the change is committed. A leader that
// removed itself steps down then. The last voter can't be removed.
func (n *Node) RemoveMember(ctx context.Context, i Identity) (err error) {
	_, err = n.changeMembership(ctx, func(members []Member) ([]Member, error) {
		if _, ok := findMember(members, i); !ok {
			return nil, nil
		}
		members = slices.DeleteFunc(members, func(m Member) bool { return m.Identity == i })
		return keepVoter(members)
	})
	return errors.Wrapf(err, "remove %s", i)
}

// keepVoter returns the members unless none of them has a vote: the last vote can't be taken.
func keepVoter(members []Member) ([]Member, error) {
	if !slices.ContainsFunc(members, func(m Member) bool { return m.Voter }) {
		return nil, errors.Wrap(ErrInvalidChange, "the last voter stays")
	}
	return members, nil
}

// DemoteMember takes the vote of a member, which stays as a learner, and returns once the change is
// committed. A leader without a vote steps down then. The last vote can't be taken.
func (n *Node) DemoteMember(ctx context.Context, i Identity) (err error) {
	_, err = n.changeMembership(ctx, func(members []Member) ([]Member, error) {
		at := slices.IndexFunc(members, func(m Member) bool { return m.Identity == i })
		if at < 0 || !members[at].Voter {
			return nil, nil
		}
		members[at].Voter = false
		return keepVoter(members)
	})
	return errors.Wrapf(err, "demote %s", i)
}

// ReplaceMember removes a member and adds another one without a vote in one change, and returns
// once that is committed. The majorities before and after it overlap, since only one vote changes.
func (n *Node) ReplaceMember(ctx context.Context, lost Identity, m Member) (err error) {
	m.Voter = false
	_, err = n.changeMembership(ctx, func(members []Member) ([]Member, error) {
		_, present := findMember(members, lost)
		_, added := findMember(members, m.Identity)
		if added && !present {
			return nil, nil
		}
		members = slices.DeleteFunc(members, func(o Member) bool { return o.Identity == lost })
		if !added {
			members = append(members, m)
		}
		return keepVoter(members)
	})
	return errors.Wrapf(err, "replace %s by %s", lost, m.Identity)
}

// PromoteLearner waits until a learner has caught up and makes it a voter. It returns once
// the change is committed and the member stores the log up to and including its promotion.
// The loss of another member right afterwards then loses no committed entry.
func (n *Node) PromoteLearner(ctx context.Context, i Identity) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "promote %s", i)
		}
	}()
	var index Index
	for {
		index, err = n.changeMembership(ctx, func(members []Member) ([]Member, error) { return n.promoteMember(members, i) })
		if !errors.Is(err, errNotCaughtUp) {
			break
		}
		if err := timer.Sleep(ctx, n.timer, HeartbeatInterval); err != nil {
			return err
		}
	}
	for err == nil {
		var stored bool
		if stored, err = n.replicatedTo(ctx, i, index); stored || err != nil {
			return err
		}
		err = timer.Sleep(ctx, n.timer, HeartbeatInterval)
	}
	return err
}

// promoteMember returns the members with member i as a voter, or nil if it is one already.
func (n *Node) promoteMember(members []Member, i Identity) ([]Member, error) {
	at := slices.IndexFunc(members, func(m Member) bool { return m.Identity == i })
	if at < 0 {
		return nil, errors.Wrap(ErrInvalidChange, "not a member")
	}
	if members[at].Voter {
		return nil, nil
	}
	if !n.caughtUp(i) {
		return nil, errNotCaughtUp
	}
	members[at].Voter = true
	return members, nil
}

// caughtUp reports whether a learner acknowledges messages and stores the log at least up to
// the first entry of this term. An empty learner thus never counts as caught up, however
// short the log is.
func (n *Node) caughtUp(i Identity) bool {
	p, ok := n.peers[i]
	return ok && p.matchIndex >= n.noopIndex && p.matchIndex+maxPromotionLag >= n.commitIndex &&
		n.timer.Now().Sub(p.ackedSentAt) <= maxPromotionSilence
}

// CaughtUpLearners returns the learners that could be promoted now.
func (n *Node) CaughtUpLearners(ctx context.Context) (map[Identity]bool, error) {
	return runInLoop(ctx, n, func(reply func(map[Identity]bool)) {
		out := map[Identity]bool{}
		for _, m := range n.raftLog.latestMembership().members {
			if !m.Voter && n.role == leader && n.caughtUp(m.Identity) {
				out[m.Identity] = true
			}
		}
		reply(out)
	})
}

// Acknowledging returns the other members that have acknowledged a message which this leader
// sent lately.
func (n *Node) Acknowledging(ctx context.Context) (map[Identity]bool, error) {
	return runInLoop(ctx, n, func(reply func(map[Identity]bool)) {
		out := map[Identity]bool{}
		for i, p := range n.peers {
			if n.role == leader && n.timer.Now().Sub(p.ackedSentAt) <= maxPromotionSilence {
				out[i] = true
			}
		}
		reply(out)
	})
}

// Unanswered returns, of the other members that have acknowledged nothing to this leader yet, for how
// long they have replied to nothing, the election before included.
func (n *Node) Unanswered(ctx context.Context) (map[Identity]time.Duration, error) {
	return runInLoop(ctx, n, func(reply func(map[Identity]time.Duration)) {
		out := map[Identity]time.Duration{}
		for i, p := range n.peers {
			if n.role == leader && p.askedAt != never && p.ackedSentAt == never {
				out[i] = n.timer.Now().Sub(p.askedAt)
			}
		}
		reply(out)
	})
}

// replicatedTo reports whether a member is known to store the log up to an index.
func (n *Node) replicatedTo(ctx context.Context, i Identity, index Index) (bool, error) {
	type answer struct{ leader, stored bool }
	a, err := runInLoop(ctx, n, func(reply func(answer)) {
		p, ok := n.peers[i]
		own := i == n.self.Identity && n.stableIndex >= index
		reply(answer{leader: n.role == leader, stored: own || (ok && p.matchIndex >= index)})
	})
	if err == nil && !a.leader {
		err = errors.Wrap(ErrOutcomeUnknown, "leadership lost")
	}
	return a.stored, err
}

// changeMembership appends a new membership, waits until it is committed and returns its
// index. f gets a copy of the current members and returns the new ones, or nil if there is
// nothing to change.
func (n *Node) changeMembership(ctx context.Context, f func(members []Member) ([]Member, error)) (Index, error) {
	type started struct {
		index Index
		err   error
	}
	p := &proposal{kind: wire.Kind_KIND_MEMBERS, result: make(chan outcome, 1)}
	s, err := runInLoop(ctx, n, func(reply func(started)) {
		index, err := n.startChange(p, f)
		reply(started{index, err})
	})
	if err != nil {
		return 0, errors.Mark(err, ErrOutcomeUnknown)
	}
	if s.err != nil {
		return 0, s.err
	}
	_, err = n.await(ctx, p)
	return s.index, err
}

// startChange appends a new membership as the entry of p and returns its index. If there is
// nothing to change, it completes p and returns the index of the latest membership.
func (n *Node) startChange(p *proposal, f func(members []Member) ([]Member, error)) (Index, error) {
	latest := n.raftLog.latestMembership()
	if !n.leaseValid() {
		return 0, ErrNotLeader
	}
	// Only one change may be uncommitted at a time. Until an entry of the current term is
	// committed, a change by a former leader could still be committed, and its majority
	// and that of this change could be disjoint.
	if n.commitIndex < n.noopIndex || latest.index > n.commitIndex {
		return 0, ErrChangePending
	}
	members, err := f(slices.Clone(latest.members))
	if err != nil {
		return 0, err
	}
	if members == nil {
		p.complete(nil, nil)
		return latest.index, nil
	}
	if p.data, err = encodeMembers(members); err != nil {
		return 0, err
	}
	index := n.raftLog.lastIndex() + 1
	return index, n.appendProposals([]*proposal{p}, len(p.data)+entryOverhead)
}
