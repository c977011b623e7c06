package replica

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// maxLoggedDenials bounds the candidates whose last denial is remembered. Members change, but a
// group has far fewer at a time.
const maxLoggedDenials = 64

// resetElectionTimeout starts a new election timeout of random length.
func (n *Node) resetElectionTimeout() {
	spread := int64(MaxElectionTimeout - MinElectionTimeout)
	timeout := MinElectionTimeout + time.Duration(n.random.Int64N(spread))
	n.electionDeadline = n.timer.Now().Add(timeout)
}

// canCampaign reports whether this replica may start an election. It must be a voter of
// the latest membership, or of the previous one while the latest is not known to be
// committed: a leader that removed itself may be the only replica that holds that entry.
func (n *Node) canCampaign() bool {
	if n.restoring || !n.raftLog.hasMembers() {
		return false
	}
	memberships := n.raftLog.memberships
	latest := memberships[len(memberships)-1]
	if isVoter(latest.members, n.self.Identity) {
		return true
	}
	return latest.index > n.commitIndex && len(memberships) > 1 && isVoter(memberships[len(memberships)-2].members, n.self.Identity)
}

// becomeFollower makes the node a follower of a leader in a term that is not lower than
// the current one. An empty leader means that it is unknown.
func (n *Node) becomeFollower(term Term, newLeader Member) {
	if n.role == leader {
		n.failProposals(ErrOutcomeUnknown)
		n.failReads()
	}
	if n.role == leader || n.role == candidate {
		n.resetElectionTimeout()
	}
	if n.role != follower {
		n.electionRound++
		n.role = follower
	}
	if term > n.term {
		n.term, n.votedFor, n.voteUnsynced = term, "", false
		n.saveHardState(nil)
	}
	n.leader = newLeader
}

// forgetLeader makes the leader unknown after an election timeout without a message from it,
// also on a replica that may not campaign.
func (n *Node) forgetLeader() {
	if n.leader.Identity == "" {
		return
	}
	n.log.Warn("leader lost", zap.String("leader", string(n.leader.Identity)), zap.Uint64("term", uint64(n.term)))
	n.leader = Member{}
}

// campaign starts an election, or the pre-vote before it. A pre-vote changes no term or
// vote on any replica. Only a replica with a majority of pre-votes starts an election, so
// that one that returns from a partition doesn't depose a working leader.
func (n *Node) campaign(preVote bool) {
	n.electionRound++
	round := n.electionRound
	n.leader = Member{}
	n.votesGranted, n.votesDenied, n.outvoted = map[Identity]bool{}, map[Identity]bool{}, false
	if preVote {
		n.role, n.campaignedAt = preCandidate, n.timer.Now()
		for _, p := range n.peers {
			p.askedAt = never
		}
		n.requestVotes(round, n.term+1, true)
		n.recordVote(round, n.self.Identity)
		return
	}
	n.role = candidate
	n.term, n.votedFor = n.term+1, n.self.Identity
	// The vote for itself counts once it is durable. Otherwise the replica could vote a second
	// time in this term after a restart. The others sync their votes meanwhile. How long that
	// takes here is how long it may take there.
	start := n.timer.Now()
	n.electionDeadline = start.Add(maxVoteSync)
	n.saveVote(func() {
		if n.electionRound != round {
			return
		}
		n.votedAt = n.timer.Now()
		n.resetElectionTimeout()
		n.electionDeadline = n.electionDeadline.Add(n.timer.Now().Sub(start))
		n.recordVote(round, n.self.Identity)
	})
	n.submitHardState()
	n.requestVotes(round, n.term, false)
}

// saveVote submits the vote of the current term.
func (n *Node) saveVote(done func()) {
	term := n.term
	n.voteUnsynced = true
	n.saveHardState(func() {
		if n.term == term {
			n.voteUnsynced = false
		}
		if done != nil {
			done()
		}
	})
}

// callElection starts an election after an election timeout. A candidate that no voter has refused
// asks for the missing votes once more instead: their disks may be slow, and a new term would make all
// voters store another vote. Nor does a replica call one while its disk stores its vote for another
// candidate, which its vote for itself would have to wait for.
func (n *Node) callElection() {
	switch {
	case n.role == candidate && n.votesGranted[n.self.Identity] && !n.outvoted:
		n.requestVotes(n.electionRound, n.term, false)
	case n.role == follower && n.voteUnsynced:
	case n.canCampaign() && n.pendingWrites < queueSize:
		n.campaign(true)
	}
}

// requestVotes sends the vote requests of a round to the voters that have granted none yet.
func (n *Node) requestVotes(round uint64, term Term, preVote bool) {
	for _, m := range n.raftLog.latestMembership().members {
		p, ok := n.peers[m.Identity]
		if !ok || !m.Voter || n.votesGranted[m.Identity] {
			continue
		}
		p.requestVote(newVoteRequest(round, &wire.VoteRequest{
			Group: uint32(n.group), Term: uint64(term), Candidate: memberToWire(n.self),
			Lastindex: uint64(n.raftLog.lastIndex()), Lastterm: uint64(n.raftLog.lastTerm()),
			Prevote: preVote, Target: string(m.Identity),
		}))
	}
}

// recordVote records a granted vote. With a majority, a pre-candidate starts the election
// and a candidate becomes the leader. The majority must include the replica itself: a candidate
// whose term is not durable could be elected in the same term again after a restart.
func (n *Node) recordVote(round uint64, from Identity) {
	if round != n.electionRound || (n.role != preCandidate && n.role != candidate) {
		return
	}
	n.votesGranted[from] = true
	votes, voters := 0, 0
	for _, m := range n.raftLog.latestMembership().members {
		if m.Voter {
			voters++
			if n.votesGranted[m.Identity] {
				votes++
			}
		}
	}
	if votes <= voters/2 || !n.votesGranted[n.self.Identity] {
		return
	}
	if n.role == preCandidate {
		n.campaign(false)
		return
	}
	n.becomeLeader()
}

// onVoteReply handles the reply to a vote request.
func (n *Node) onVoteReply(p *peer, q *voteRequest, r *wire.VoteReply) {
	if n.peers[p.member.Identity] != p || Identity(r.GetIdentity()) != p.member.Identity {
		return
	}
	p.askedAt = never
	if t := Term(r.GetTerm()); t > n.term && !r.GetGranted() {
		n.becomeFollower(t, Member{})
		return
	}
	if r.GetGranted() {
		n.recordVote(q.round, p.member.Identity)
	} else if q.round == n.electionRound {
		n.votesDenied[p.member.Identity] = true
		// A voter in an older term may not vote yet; one in this term has refused.
		n.outvoted = n.outvoted || (!q.request.GetPrevote() && Term(r.GetTerm()) == n.term)
	}
}

// electionVotes describes which voters granted, denied and didn't answer the requests of the
// current round.
func (n *Node) electionVotes() []zap.Field {
	var granted, denied, unanswered []string
	for _, m := range n.raftLog.latestMembership().members {
		switch {
		case !m.Voter:
		case n.votesGranted[m.Identity]:
			granted = append(granted, string(m.Address))
		case n.votesDenied[m.Identity]:
			denied = append(denied, string(m.Address))
		default:
			unanswered = append(unanswered, string(m.Address))
		}
	}
	return []zap.Field{zap.Strings("granted", granted), zap.Strings("denied", denied), zap.Strings("unanswered", unanswered)}
}

// logFailedElection logs the votes of the current round, which has not led to a leader in time,
// unless those of the last failed round were the same.
func (n *Node) logFailedElection() {
	if n.role != preCandidate && n.role != candidate {
		return
	}
	votes := n.electionVotes()
	if result := fmt.Sprint(n.role, votes); result != n.loggedElection {
		n.loggedElection = result
		n.log.Warn("election failed", append(votes, zap.Bool("prevote", n.role == preCandidate), zap.Uint64("term", uint64(n.term)))...)
	}
}

// logDenial logs why a candidate is denied a vote, once per reason in a row.
func (n *Node) logDenial(r *wire.VoteRequest, reason string) {
	i := Identity(r.GetCandidate().GetIdentity())
	if n.loggedDenials[i] == reason {
		return
	}
	if len(n.loggedDenials) >= maxLoggedDenials {
		clear(n.loggedDenials)
	}
	n.loggedDenials[i] = reason
	n.log.Info("vote denied", zap.String("candidate", r.GetCandidate().GetAddress()), zap.Bool("prevote", r.GetPrevote()),
		zap.Uint64("term", r.GetTerm()), zap.String("reason", reason))
}

// becomeLeader starts a term as leader. It appends a no-op, since committing an entry of
// its own term also commits the entries of earlier terms. The entries in first come before it, in the
// same write.
func (n *Node) becomeLeader(first ...Entry) {
	n.log.Info("elected", append(n.electionVotes(), zap.Uint64("term", uint64(n.term)))...)
	n.loggedElection = ""
	n.role, n.leader, n.electedAt = leader, n.self, n.timer.Now()
	n.electionRound++
	n.noopIndex = n.raftLog.lastIndex() + 1 + Index(len(first))
	for _, p := range n.peers {
		p.reset(n.noopIndex)
	}
	if err := n.appendEntries(append(first, Entry{Index: n.noopIndex, Term: n.term, Kind: wire.Kind_KIND_NOOP})); err != nil {
		n.log.Error("no-op refused", zap.Error(err))
	}
}

// reasonNotToVote returns why this replica may grant no votes now, or "" if it may. It may not
// while it leads or restores a snapshot, within the minimum election timeout after the last
// message from a leader, or within that time after its start: it may have acknowledged a
// heartbeat just before a restart, and a lease may depend on that.
func (n *Node) reasonNotToVote() string {
	now := n.timer.Now()
	switch {
	case n.role == leader:
		return "leading"
	case n.restoring:
		return "restoring a snapshot"
	case now.Sub(n.startedAt) < MinElectionTimeout:
		return "just started"
	case now.Sub(n.lastContact) < MinElectionTimeout:
		return "in contact with a leader"
	}
	return ""
}

// hasPrecedence reports whether this replica has begun to request pre-votes at about the same time as a
// candidate with the same log, and goes on while the candidate yields. Otherwise both could get pre-votes
// of each other and split the votes, and the next election waits for the disks again. Precedence ends
// after maxPrecedence, since the requests of this replica may be lost.
func (n *Node) hasPrecedence(candidate Identity, last Index, lastTerm Term) bool {
	return n.role == preCandidate && n.timer.Now().Sub(n.campaignedAt) < maxPrecedence && n.self.Identity < candidate &&
		last == n.raftLog.lastIndex() && lastTerm == n.raftLog.lastTerm()
}

// yield ends the request for pre-votes in favour of another candidate.
func (n *Node) yield() {
	n.electionRound++
	n.role = follower
	n.resetElectionTimeout()
}

// Vote handles a vote request of another replica.
func (n *Node) Vote(ctx context.Context, r *wire.VoteRequest) (*wire.VoteReply, error) {
	if Identity(r.GetTarget()) != n.self.Identity {
		return nil, ErrWrongTarget
	}
	return runInLoop(ctx, n, func(answer func(*wire.VoteReply)) {
		granted := n.decideVote(r)
		reply := &wire.VoteReply{Term: uint64(n.term), Granted: granted, Identity: string(n.self.Identity)}
		if r.GetPrevote() {
			// A pre-vote binds to nothing, so nothing has to be durable.
			answer(reply)
			return
		}
		n.whenDurable(func() {
			if granted && n.term == Term(r.GetTerm()) && n.role == follower && n.leader.Identity == "" {
				// The candidate gets the time of the sync on top.
				n.votedAt = n.timer.Now()
				n.resetElectionTimeout()
			}
			answer(reply)
		})
	})
}

// decideVote decides on a vote or pre-vote request, and records a vote that it grants.
func (n *Node) decideVote(r *wire.VoteRequest) (granted bool) {
	reason := n.reasonToDeny(r)
	if reason != "" {
		n.logDenial(r, reason)
		return false
	}
	delete(n.loggedDenials, Identity(r.GetCandidate().GetIdentity()))
	if r.GetPrevote() {
		if n.role == preCandidate {
			n.yield()
		}
		return true
	}
	if n.votedFor == "" {
		n.votedFor = Identity(r.GetCandidate().GetIdentity())
		n.saveVote(nil)
	}
	n.resetElectionTimeout()
	return true
}

// reasonToDeny returns why a vote or pre-vote may not be granted, or "" if it may. A vote request
// of a newer term that comes while votes may be granted starts that term here.
func (n *Node) reasonToDeny(r *wire.VoteRequest) string {
	term, candidateID := Term(r.GetTerm()), Identity(r.GetCandidate().GetIdentity())
	if candidateID == "" {
		return "no candidate"
	}
	if reason := n.reasonNotToVote(); reason != "" {
		return reason
	}
	last, lastTerm := Index(r.GetLastindex()), Term(r.GetLastterm())
	upToDate := lastTerm > n.raftLog.lastTerm() || (lastTerm == n.raftLog.lastTerm() && last >= n.raftLog.lastIndex())
	if r.GetPrevote() {
		// While an election is in progress, another one would only split the votes.
		electing := n.votedFor != "" && n.votedFor != candidateID && n.leader.Identity == "" &&
			(n.voteUnsynced || n.timer.Now().Sub(n.votedAt) < MinElectionTimeout)
		switch {
		case term <= n.term:
			return "old term"
		case !upToDate:
			return "log is behind"
		case electing:
			return "voted for another candidate"
		case n.hasPrecedence(candidateID, last, lastTerm):
			return "requesting votes itself"
		}
		return ""
	}
	if term < n.term {
		return "old term"
	}
	if term > n.term {
		n.becomeFollower(term, Member{})
	}
	switch {
	case !upToDate:
		return "log is behind"
	case n.votedFor != "" && n.votedFor != candidateID:
		return "voted for another candidate"
	}
	return ""
}
