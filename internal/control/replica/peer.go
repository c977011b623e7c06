package replica

import (
	"context"
	"slices"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// peer is another replica of the group. One goroutine sends it entries and heartbeats, one
// snapshots and one vote requests. So a vote request never waits behind a large append, nor a
// heartbeat behind a snapshot, which is acknowledged only once it is restored.
// The fields below the first block are owned by the goroutine of loop.
type peer struct {
	node         *Node
	member       Member
	outgoing     chan *message     // holds at most one, guarded by inFlight
	snapshots    chan *message     // holds at most one, guarded by installing
	voteRequests chan *voteRequest // holds the latest request that is not sent yet
	removed      context.Context   // done once the member is removed or has another address
	remove       context.CancelFunc

	nextIndex     Index         // next entry to send
	matchIndex    Index         // last entry that the peer is known to store
	ackedSentAt   timer.Instant // send time of the latest acknowledged message
	ackedSequence uint64        // sequence number of the latest acknowledged message
	lastSentAt    timer.Instant
	lastSequence  uint64       // sequence number of the last message sent
	inFlight      bool         // an append request awaits its reply
	installing    bool         // a snapshot is being sent
	stalled       bool         // the last message failed: send only heartbeats until one succeeds
	lastVote      *voteRequest // the last vote request, which may still await its reply
	// askedAt is when the first message was sent that may be answered by now, since the last reply or
	// the begin of the last election; never if there is none.
	askedAt timer.Instant
}

// message is an append request, or a request to send the stored snapshot.
type message struct {
	term     Term
	sentAt   timer.Instant // taken before the message is built, since the lease counts from it
	sequence uint64
	request  *wire.AppendRequest // nil if a snapshot is to be sent
	// heartbeatOnly is set while the peer receives a snapshot: the reply says nothing about
	// its log.
	heartbeatOnly bool
}

// voteRequest is a vote or pre-vote request of an election round. It is superseded by that of
// the next round.
type voteRequest struct {
	round      uint64
	request    *wire.VoteRequest
	superseded context.Context
	supersede  context.CancelFunc
}

func newVoteRequest(round uint64, r *wire.VoteRequest) *voteRequest {
	q := &voteRequest{round: round, request: r}
	q.superseded, q.supersede = context.WithCancel(context.Background())
	return q
}

// reconcilePeers starts and stops peers to match the latest membership.
func (n *Node) reconcilePeers() {
	members := n.raftLog.latestMembership().members
	for i, p := range n.peers {
		if m, ok := findMember(members, i); !ok || m.Address != p.member.Address {
			p.remove()
			delete(n.peers, i)
		}
	}
	for _, m := range members {
		if _, ok := n.peers[m.Identity]; ok || m.Identity == n.self.Identity {
			continue
		}
		p := &peer{node: n, member: m, outgoing: make(chan *message, 1), snapshots: make(chan *message, 1), voteRequests: make(chan *voteRequest, 1)}
		p.removed, p.remove = context.WithCancel(context.Background())
		p.askedAt = never
		p.reset(n.raftLog.lastIndex() + 1)
		n.peers[m.Identity] = p
		n.tasks.Go("replicate to "+string(m.Address), p.runReplication)
		n.tasks.Go("install on "+string(m.Address), p.runInstallation)
		n.tasks.Go("request votes from "+string(m.Address), p.runVoteRequests)
	}
	n.peerMembers = slices.Clone(members)
}

// reset prepares the peer for a new term in which this node leads.
func (p *peer) reset(next Index) {
	p.nextIndex, p.matchIndex, p.ackedSentAt, p.ackedSequence, p.lastSentAt, p.stalled = next, 0, never, 0, never, false
}

// asked records that a message is sent.
func (p *peer) asked() {
	if p.askedAt == never {
		p.askedAt = p.node.timer.Now()
	}
}

// send passes an append request to the replication goroutine. No other may be in flight.
func (p *peer) send(m *message) {
	p.asked()
	p.inFlight = true
	p.outgoing <- m
}

// install passes the order to send the stored snapshot to the goroutine that does so. None may
// be under way.
func (p *peer) install(m *message) {
	p.asked()
	p.installing = true
	p.snapshots <- m
}

// requestVote queues a vote request and drops an older one that was not sent yet. It also ends
// the wait for a vote of a former round, which may take long. A pre-vote ends by itself.
func (p *peer) requestVote(q *voteRequest) {
	p.asked()
	if p.lastVote != nil && !p.lastVote.request.GetPrevote() {
		p.lastVote.supersede()
	}
	p.lastVote = q
	select {
	case <-p.voteRequests:
	default:
	}
	p.voteRequests <- q
}

// withRemoval returns a context that is also cancelled when the peer is removed.
func (p *peer) withRemoval(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(p.removed, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// forEach handles what arrives in a queue until the context is done or the peer is removed.
func forEach[M any](ctx context.Context, p *peer, queue <-chan M, handle func(ctx context.Context, m M) error) error {
	ctx, cancel := p.withRemoval(ctx)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-queue:
			if handle(ctx, m) != nil {
				return nil // the context is done
			}
		}
	}
}

// runReplication sends append requests and passes the replies to the loop goroutine.
func (p *peer) runReplication(ctx context.Context) error {
	return forEach(ctx, p, p.outgoing, func(ctx context.Context, m *message) error {
		r := p.sendAppend(ctx, m)
		return p.node.events.Put(ctx, func() { p.node.onAppendReply(p, m, r) })
	})
}

// runInstallation sends snapshots and passes the replies to the loop goroutine.
func (p *peer) runInstallation(ctx context.Context) error {
	return forEach(ctx, p, p.snapshots, p.sendSnapshot)
}

// withTimeout returns a context that ends after d by the timer of the node.
func (p *peer) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return timer.WithTimeout(ctx, p.node.timer, d)
}

// sendAppend sends an append request. It returns nil if the call fails.
func (p *peer) sendAppend(ctx context.Context, m *message) *wire.AppendReply {
	ctx, cancel := p.withTimeout(ctx, appendTimeout)
	defer cancel()
	r, err := p.node.transport.Append(ctx, p.member.Address, m.request)
	if err != nil {
		return nil
	}
	return r
}

// sendSnapshot sends the stored snapshot in chunks. It fails if the context is done.
func (p *peer) sendSnapshot(ctx context.Context, m *message) error {
	n := p.node
	meta, data, err := n.store.ReadSnapshot()
	if err != nil || meta.Index == 0 {
		return n.events.Put(ctx, func() { n.onInstallReply(p, m, nil, 0, true) })
	}
	for offset := 0; ; {
		size := min(len(data)-offset, snapshotChunkBytes)
		chunk := *m
		chunk.sentAt = n.timer.Now()
		r := p.sendChunk(ctx, &wire.InstallRequest{
			Group: uint32(n.group), Term: uint64(m.term), Leader: memberToWire(n.self),
			Lastindex: uint64(meta.Index), Lastterm: uint64(meta.Term), Members: MembersToWire(meta.Members),
			Offset: uint64(offset), Data: data[offset : offset+size], Done: offset+size == len(data),
			Target: string(p.member.Identity),
		})
		offset += size
		done := offset == len(data) || !r.GetSuccess() || Term(r.GetTerm()) != m.term
		if err := n.events.Put(ctx, func() { n.onInstallReply(p, &chunk, r, meta.Index, done) }); err != nil || done {
			return err
		}
	}
}

// sendChunk sends a chunk of a snapshot. It returns nil if the call fails.
func (p *peer) sendChunk(ctx context.Context, r *wire.InstallRequest) *wire.InstallReply {
	ctx, cancel := p.withTimeout(ctx, installTimeout)
	defer cancel()
	reply, err := p.node.transport.Install(ctx, p.member.Address, r)
	if err != nil {
		return nil
	}
	return reply
}

// runVoteRequests sends vote requests and passes the replies to the loop goroutine.
func (p *peer) runVoteRequests(ctx context.Context) error {
	return forEach(ctx, p, p.voteRequests, func(ctx context.Context, q *voteRequest) error {
		r := p.sendVoteRequest(ctx, q)
		if r == nil {
			return nil
		}
		return p.node.events.Put(ctx, func() { p.node.onVoteReply(p, q, r) })
	})
}

// voteTimeout returns how long the reply to a vote request is awaited.
func voteTimeout(r *wire.VoteRequest) time.Duration {
	if r.GetPrevote() {
		return preVoteTimeout
	}
	return maxVoteSync
}

// sendVoteRequest sends a vote request. It returns nil if the call fails.
func (p *peer) sendVoteRequest(ctx context.Context, q *voteRequest) *wire.VoteReply {
	ctx, cancel := p.withTimeout(ctx, voteTimeout(q.request))
	defer cancel()
	defer context.AfterFunc(q.superseded, cancel)()
	r, err := p.node.transport.Vote(ctx, p.member.Address, q.request)
	if err != nil {
		return nil
	}
	return r
}
