package replica

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// maxLag is how many entries a learner may be behind when it is promoted.
const maxLag = 256

// errLagging says that the learner has not caught up yet.
var errLagging = errors.New("learner has not caught up")

// AddLearner adds a member without a vote and returns once that is committed. If the
// identity is a member already, it keeps its vote and only its address is updated.
func (n *Node) AddLearner(ctx context.Context, m Member) (err error) {
	m.Voter = false
	_, err = n.change(ctx, func(members []Member) ([]Member, error) {
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

// RemoveMember removes a member and returns once that is committed. A leader that removed
// itself steps down.
func (n *Node) RemoveMember(ctx context.Context, i Identity) (err error) {
	_, err = n.change(ctx, func(members []Member) ([]Member, error) {
		if _, ok := find(members, i); !ok {
			return nil, nil
		}
		members = slices.DeleteFunc(members, func(m Member) bool { return m.Identity == i })
		if !slices.ContainsFunc(members, func(m Member) bool { return m.Voter }) {
			return nil, errors.Wrap(ErrInvalidChange, "the last voter stays")
		}
		return members, nil
	})
	return errors.Wrapf(err, "remove %s", i)
}

// PromoteLearner waits until a learner has caught up and gives it a vote. It returns once that
// is committed and the member holds the log up to and including its promotion, so that
// another member may be lost right afterwards.
func (n *Node) PromoteLearner(ctx context.Context, i Identity) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "promote %s", i)
		}
	}()
	var index Index
	for {
		index, err = n.change(ctx, func(members []Member) ([]Member, error) { return n.promoted(members, i) })
		if !errors.Is(err, errLagging) {
			break
		}
		if err := timer.Sleep(ctx, n.timer, HeartbeatInterval); err != nil {
			return err
		}
	}
	for err == nil {
		var holds bool
		if holds, err = n.holds(ctx, i, index); holds || err != nil {
			return err
		}
		err = timer.Sleep(ctx, n.timer, HeartbeatInterval)
	}
	return err
}

func (n *Node) promoted(members []Member, i Identity) ([]Member, error) {
	at := slices.IndexFunc(members, func(m Member) bool { return m.Identity == i })
	if at < 0 {
		return nil, errors.Wrap(ErrInvalidChange, "not a member")
	}
	if members[at].Voter {
		return nil, nil
	}
	if p, ok := n.peers[i]; !ok || p.match+maxLag < n.commit {
		return nil, errLagging
	}
	members[at].Voter = true
	return members, nil
}

// holds tells whether a member is known to hold the log up to an index.
func (n *Node) holds(ctx context.Context, i Identity, index Index) (bool, error) {
	type answer struct{ leads, holds bool }
	a, err := call(ctx, n, func(reply func(answer)) {
		p, ok := n.peers[i]
		own := i == n.self.Identity && n.stable >= index
		reply(answer{leads: n.role == leader, holds: own || (ok && p.match >= index)})
	})
	if err == nil && !a.leads {
		err = errors.Wrap(ErrOutcomeUnknown, "leadership lost")
	}
	return a.holds, err
}

// change appends a new membership and waits until it is committed. f gets a copy of the
// present one; it returns nil if there is nothing to change.
func (n *Node) change(ctx context.Context, f func(members []Member) ([]Member, error)) (Index, error) {
	type begun struct {
		index Index
		err   error
	}
	p := &proposal{kind: wire.Kind_KIND_MEMBERS, result: make(chan outcome, 1)}
	b, err := call(ctx, n, func(reply func(begun)) {
		index, err := n.beginChange(p, f)
		reply(begun{index, err})
	})
	if err != nil {
		return 0, errors.Mark(err, ErrOutcomeUnknown)
	}
	if b.err != nil {
		return 0, b.err
	}
	_, err = n.await(ctx, p)
	return b.index, err
}

func (n *Node) beginChange(p *proposal, f func(members []Member) ([]Member, error)) (Index, error) {
	c := n.journal.config()
	if !n.leading() {
		return 0, ErrNotLeader
	}
	// Without an entry of the own term, a change of a former leader could still compete
	// with this one, and two majorities could be disjoint.
	if n.commit < n.noop || c.index > n.commit {
		return 0, ErrChangePending
	}
	members, err := f(slices.Clone(c.members))
	if err != nil {
		return 0, err
	}
	if members == nil {
		p.finish(nil, nil)
		return c.index, nil
	}
	if p.data, err = encodeMembers(members); err != nil {
		return 0, err
	}
	index := n.journal.last() + 1
	return index, n.appendProposals([]*proposal{p}, len(p.data)+entryOverhead)
}
