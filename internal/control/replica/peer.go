package replica

import (
	"context"
	"slices"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

// peer is another replica of the group. Two goroutines talk to it, so that a vote
// never waits behind a large append. The fields below the first block belong to loop.
type peer struct {
	node    *Node
	member  Member
	out     chan *message // at most one, see busy
	ballots chan *ballot  // the latest
	gone    context.Context
	leave   context.CancelFunc

	next     Index
	match    Index
	heard    timer.Instant // when the last answered message was sent
	answered uint64        // its sequence
	sent     timer.Instant
	sequence uint64
	busy     bool // a message is outstanding
	stalled  bool // only heartbeats until one succeeds
}

// message is one append, or the order to send the stored snapshot.
type message struct {
	term     Term
	sent     timer.Instant // read before the message was built
	sequence uint64
	request  *wire.AppendRequest
	install  bool
}

// ballot is one vote request.
type ballot struct {
	round   uint64
	request *wire.VoteRequest
}

// reconcilePeers starts and stops peers to fit the newest membership.
func (n *Node) reconcilePeers() {
	members := n.journal.config().members
	for i, p := range n.peers {
		if m, ok := find(members, i); !ok || m.Address != p.member.Address {
			p.leave()
			delete(n.peers, i)
		}
	}
	for _, m := range members {
		if _, ok := n.peers[m.Identity]; ok || m.Identity == n.self.Identity {
			continue
		}
		p := &peer{node: n, member: m, out: make(chan *message, 1), ballots: make(chan *ballot, 1)}
		p.gone, p.leave = context.WithCancel(context.Background())
		p.reset(n.journal.last() + 1)
		n.peers[m.Identity] = p
		n.members.Go("send to "+string(m.Address), p.runSend)
		n.members.Go("ask "+string(m.Address), p.runAsk)
	}
	n.configured = slices.Clone(members)
}

// reset prepares for a new term as leader.
func (p *peer) reset(next Index) {
	p.next, p.match, p.heard, p.answered, p.sent, p.stalled = next, 0, never, 0, never, false
}

// send passes a message to the sender, which is idle.
func (p *peer) send(m *message) { p.out <- m }

// ask passes a vote request on; it replaces one that was not sent yet.
func (p *peer) ask(b *ballot) {
	select {
	case <-p.ballots:
	default:
	}
	p.ballots <- b
}

// join returns a context that also ends when the peer leaves the group.
func (p *peer) join(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(p.gone, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (p *peer) runSend(ctx context.Context) error {
	ctx, cancel := p.join(ctx)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-p.out:
			if m.install {
				p.install(ctx, m)
				continue
			}
			r := p.append(ctx, m)
			if err := p.node.events.Put(ctx, func() { p.node.replied(p, m, r) }); err != nil {
				return nil
			}
		}
	}
}

// limit ends a call that takes too long.
func (p *peer) limit(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return timer.WithTimeout(ctx, p.node.timer, d)
}

func (p *peer) append(ctx context.Context, m *message) *wire.AppendReply {
	ctx, cancel := p.limit(ctx, appendTimeout)
	defer cancel()
	r, err := p.node.transport.Append(ctx, p.member.Address, m.request)
	if err != nil {
		return nil
	}
	return r
}

// install sends the stored snapshot in chunks.
func (p *peer) install(ctx context.Context, m *message) {
	n := p.node
	meta, data, err := n.store.ReadSnapshot()
	if err != nil || meta.Index == 0 {
		_ = n.events.Put(ctx, func() { n.installed(p, m, nil, 0, true) })
		return
	}
	for offset := 0; ; {
		size := min(len(data)-offset, chunkBytes)
		sent := *m
		sent.sent = n.timer.Now()
		r := p.installChunk(ctx, &wire.InstallRequest{
			Group: uint32(n.group), Term: uint64(m.term), Leader: toWire(n.self),
			Lastindex: uint64(meta.Index), Lastterm: uint64(meta.Term), Members: MembersToWire(meta.Members),
			Offset: uint64(offset), Data: data[offset : offset+size], Done: offset+size == len(data),
			Target: string(p.member.Identity),
		})
		offset += size
		done := offset == len(data) || !r.GetSuccess() || Term(r.GetTerm()) != m.term
		if err := n.events.Put(ctx, func() { n.installed(p, &sent, r, meta.Index, done) }); err != nil || done {
			return
		}
	}
}

func (p *peer) installChunk(ctx context.Context, r *wire.InstallRequest) *wire.InstallReply {
	ctx, cancel := p.limit(ctx, installTimeout)
	defer cancel()
	reply, err := p.node.transport.Install(ctx, p.member.Address, r)
	if err != nil {
		return nil
	}
	return reply
}

func (p *peer) runAsk(ctx context.Context) error {
	ctx, cancel := p.join(ctx)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case b := <-p.ballots:
			r := p.vote(ctx, b)
			if r == nil {
				continue
			}
			if err := p.node.events.Put(ctx, func() { p.node.voted(p, b, r) }); err != nil {
				return nil
			}
		}
	}
}

func (p *peer) vote(ctx context.Context, b *ballot) *wire.VoteReply {
	ctx, cancel := p.limit(ctx, voteTimeout)
	defer cancel()
	r, err := p.node.transport.Vote(ctx, p.member.Address, b.request)
	if err != nil {
		return nil
	}
	return r
}
