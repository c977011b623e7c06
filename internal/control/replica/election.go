package replica

import (
	"context"
	"time"

	"go.uber.org/zap"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// deferElection sets a new random election timeout.
func (n *Node) deferElection() {
	spread := int64(MaxElectionTimeout - MinElectionTimeout)
	wait := MinElectionTimeout + time.Duration(n.random.Int64N(spread))
	n.election = n.timer.Now().Add(wait)
}

// mayCampaign is true for a voter of the newest membership. It is also true for a
// voter of the one before while the newest is not known to be committed: a leader
// that removed itself may be the only one that holds that entry.
func (n *Node) mayCampaign() bool {
	if n.restore || !n.journal.formed() {
		return false
	}
	c := n.journal.configs
	newest := c[len(c)-1]
	if voter(newest.members, n.self.Identity) {
		return true
	}
	return newest.index > n.commit && len(c) > 1 && voter(c[len(c)-2].members, n.self.Identity)
}

// follow adopts a term and leaves any other role.
func (n *Node) follow(term Term, from Member) {
	if n.role == leader {
		n.failWaiting(ErrOutcomeUnknown)
		n.failReads()
		n.deferElection()
	}
	if n.role != follower {
		n.round++
		n.role = follower
	}
	if term > n.term {
		n.term, n.vote = term, ""
		n.saveHard(nil)
	}
	n.leader = from
}

// campaign asks for votes. A pre-vote changes no state anywhere; only a majority of
// pre-votes leads to a real campaign, so that a replica that was cut off does not
// depose a working leader on its return.
func (n *Node) campaign(pre bool) {
	n.round++
	round := n.round
	n.leader = Member{}
	n.granted = map[Identity]bool{}
	if pre {
		n.role = precandidate
		n.canvass(round, n.term+1, true)
		return
	}
	n.role = candidate
	n.term, n.vote = n.term+1, n.self.Identity
	// The own vote is durable before anyone else is asked, or a restart could vote again.
	n.saveHard(func() {
		if n.round == round {
			n.canvass(round, n.term, false)
		}
	})
}

// canvass sends the vote requests of a round and counts the own vote.
func (n *Node) canvass(round uint64, term Term, pre bool) {
	for _, m := range n.journal.config().members {
		p, ok := n.peers[m.Identity]
		if !ok || !m.Voter {
			continue
		}
		p.ask(&ballot{round: round, request: &wire.VoteRequest{
			Group: uint32(n.group), Term: uint64(term), Candidate: toWire(n.self),
			Lastindex: uint64(n.journal.last()), Lastterm: uint64(n.journal.lastTerm()),
			Prevote: pre, Target: string(m.Identity),
		}})
	}
	n.count(round, n.self.Identity)
}

// count adds a vote to a round.
func (n *Node) count(round uint64, from Identity) {
	if round != n.round || (n.role != precandidate && n.role != candidate) {
		return
	}
	n.granted[from] = true
	votes, voters := 0, 0
	for _, m := range n.journal.config().members {
		if m.Voter {
			voters++
			if n.granted[m.Identity] {
				votes++
			}
		}
	}
	if votes <= voters/2 {
		return
	}
	if n.role == precandidate {
		n.campaign(false)
		return
	}
	n.lead()
}

// voted handles the reply to a vote request.
func (n *Node) voted(p *peer, b *ballot, r *wire.VoteReply) {
	if n.peers[p.member.Identity] != p || Identity(r.GetIdentity()) != p.member.Identity {
		return
	}
	if t := Term(r.GetTerm()); t > n.term && !r.GetGranted() {
		n.follow(t, Member{})
		return
	}
	if r.GetGranted() {
		n.count(b.round, p.member.Identity)
	}
}

// lead begins a term as leader. The no-op commits what earlier terms left behind.
func (n *Node) lead() {
	n.log.Info("elected", zap.Uint64("term", uint64(n.term)))
	n.role, n.leader, n.elected = leader, n.self, n.timer.Now()
	n.round++
	n.noop = n.journal.last() + 1
	for _, p := range n.peers {
		p.reset(n.noop)
	}
	if err := n.saveEntries([]Entry{{Index: n.noop, Term: n.term, Kind: wire.Kind_KIND_NOOP}}); err != nil {
		n.log.Error("no-op refused", zap.Error(err))
	}
}

// settled tells whether this replica may vote at the moment: not while it has a
// leader, and not before a lease that a former process may have supported has ended.
func (n *Node) settled() bool {
	now := n.timer.Now()
	return n.role != leader && !n.restore &&
		now.Sub(n.start) >= MinElectionTimeout && now.Sub(n.contact) >= MinElectionTimeout
}

// Vote handles a vote request of another replica.
func (n *Node) Vote(ctx context.Context, r *wire.VoteRequest) (*wire.VoteReply, error) {
	if Identity(r.GetTarget()) != n.self.Identity {
		return nil, ErrWrongTarget
	}
	return call(ctx, n, func(answer func(*wire.VoteReply)) {
		granted := n.grant(r)
		reply := &wire.VoteReply{Term: uint64(n.term), Granted: granted, Identity: string(n.self.Identity)}
		n.durable(func() { answer(reply) })
	})
}

func (n *Node) grant(r *wire.VoteRequest) bool {
	term, from := Term(r.GetTerm()), Identity(r.GetCandidate().GetIdentity())
	if !n.settled() || from == "" {
		return false
	}
	last, lastTerm := Index(r.GetLastindex()), Term(r.GetLastterm())
	current := lastTerm > n.journal.lastTerm() || (lastTerm == n.journal.lastTerm() && last >= n.journal.last())
	if r.GetPrevote() {
		return term > n.term && current
	}
	if term < n.term {
		return false
	}
	if term > n.term {
		n.follow(term, Member{})
	}
	if !current || (n.vote != "" && n.vote != from) {
		return false
	}
	if n.vote == "" {
		n.vote = from
		n.saveHard(nil)
	}
	n.deferElection()
	return true
}
