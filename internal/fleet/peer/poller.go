package peer

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// pollWait is how long the leader may delay its answer to a poll.
	pollWait = 500 * time.Millisecond
	// pollTimeout bounds a poll.
	pollTimeout = 1200 * time.Millisecond
	// hedgeDelay is how long an instance may take to answer a poll, beyond what it may delay the
	// answer, before another one is asked as well. A lost host costs a search only this time.
	hedgeDelay = 250 * time.Millisecond
	// maxPolls is the number of polls in progress: those to two lost replicas and a lost
	// seed leave one.
	maxPolls = 4
	// minRetryDelay and maxRetryDelay bound the pause between two attempts to reach the leader.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 120 * time.Millisecond
	// longOutage is the time without a leader after which the pause is longOutageFactor times as
	// long. No lease on a layout lasts longer as a rule, and the calls of all instances must not
	// take processor time from the replicas that are left.
	longOutage       = 4 * time.Second
	longOutageFactor = 4
	// warnDelay is the time without a leader after which a warning is logged.
	warnDelay = 2 * time.Second
	// maxLoggedAddresses is the number of addresses in a warning, those asked last.
	maxLoggedAddresses = 16
)

// poller runs the long poll, and searches for the leader on behalf of all calls of the instance.
type poller struct {
	*Client
	random  *rand.Rand
	results chan *poll
	polls   sync.WaitGroup
	// pending holds the polls in progress whose answers count.
	pending map[Address]*poll
	// next is when another poll is sent unless an answer changes that.
	next timer.Instant
	// server answered the last poll as leader; empty if a later one to it failed.
	server     Address
	lastServed timer.Instant // when a leader last answered a poll
	warned     bool          // a warning was logged since then
	// outcomes are those of the polls that no leader answered since then, by address.
	outcomes map[Address]outcome
}

// outcome tells how a poll ended.
type outcome struct {
	at   timer.Instant
	text string
}

// poll is one poll of an instance.
type poll struct {
	*poller
	to      Address
	request *wire.SyncRequest
	sent    timer.Instant
	cancel  context.CancelFunc
	reply   *wire.SyncReply
	err     error
}

// run makes the call.
func (c *poll) run(ctx context.Context) {
	defer c.polls.Done()
	c.reply, c.err = call(ctx, c.connections, c.to, classPoll, pollTimeout, func(ctx context.Context, l wire.DRPCFleetClient) (*wire.SyncReply, error) {
		return l.Sync(ctx, c.request)
	})
	select {
	case c.results <- c:
	case <-ctx.Done():
	}
}

// loop polls the leader, or searches for it.
func (p *poller) loop(ctx context.Context) error {
	defer p.polls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.lastServed = p.options.Timer.Now()
	p.next = p.lastServed
	for ctx.Err() == nil {
		p.warnNoLeader()
		switch c := p.await(ctx); {
		case ctx.Err() != nil:
		case c == nil:
			p.send(ctx)
		case p.pending[c.to] == c:
			delete(p.pending, c.to)
			c.cancel()
			p.handle(c)
		}
	}
	return nil
}

// await returns a poll that has ended, or nil when the next one is due.
func (p *poller) await(ctx context.Context) *poll {
	due := make(chan struct{})
	stop := p.options.Timer.AfterFunc(p.next.Sub(p.options.Timer.Now()), func() { close(due) })
	defer stop()
	select {
	case <-ctx.Done():
	case <-due:
		// After a pause of the process both may have come: an answer goes first.
		select {
		case c := <-p.results:
			return c
		default:
		}
	case c := <-p.results:
		return c
	}
	return nil
}

// send polls the next address that has no poll in progress.
func (p *poller) send(ctx context.Context) {
	p.refreshLocalState()
	now := p.options.Timer.Now()
	p.next = now.Add(hedgeDelay)
	to, ok := p.finder.next(func(a Address) bool { return p.pending[a] != nil })
	if !ok {
		return
	}
	if len(p.pending) >= maxPolls {
		p.giveUpOldest()
	}
	term, cursor := p.options.View.SyncPosition()
	c := &poll{poller: p, to: to, sent: now, request: &wire.SyncRequest{Instance: p.options.DescribeInstance(), Term: term, Cursor: cursor}}
	followed, _ := p.options.View.EvacuationRevision("")
	c.request.Evacuations = &wire.Evacuations{Revision: followed}
	if to == p.server {
		c.request.Wait = uint32(pollWait.Milliseconds())
		p.next = p.next.Add(pollWait)
	}
	if l := p.options.View.Layout(); l != nil {
		c.request.Layout = uint64(l.Version)
	}
	p.pending[to] = c
	ctx, c.cancel = context.WithCancel(ctx)
	p.polls.Add(1)
	go c.run(ctx)
}

// pause returns a random pause before the next attempt.
func (p *poller) pause() time.Duration {
	pause := minRetryDelay + time.Duration(p.random.Int64N(int64(maxRetryDelay-minRetryDelay)))
	if p.isLongOutage() {
		pause *= longOutageFactor
	}
	return pause
}

// isLongOutage reports whether no leader has answered for long.
func (p *poller) isLongOutage() bool { return p.options.Timer.Now().Sub(p.lastServed) > longOutage }

// giveUpOldest ends the oldest poll to an instance that is not believed to lead.
func (p *poller) giveUpOldest() {
	var oldest *poll
	leader := p.finder.leaderAddress()
	for _, c := range p.pending {
		if c.to != leader && (oldest == nil || c.sent.Before(oldest.sent)) {
			oldest = c
		}
	}
	delete(p.pending, oldest.to)
	oldest.cancel()
	p.finder.markFailed(oldest.to)
	p.recordOutcome(oldest.to, "no answer, given up")
}

// handle applies the outcome of a poll.
func (p *poller) handle(c *poll) {
	served := c.err == nil && c.reply.GetGuide().GetServed()
	if served {
		p.handleServed(c)
		return
	}
	if p.server == c.to {
		p.server = ""
	}
	pause := p.pause()
	if c.err != nil {
		p.finder.markPollFailed(c.to, c.sent)
		p.recordOutcome(c.to, c.err.Error())
	} else {
		if p.finder.redirect(c.to, c.reply.GetGuide()) && p.random.IntN(4) > 0 {
			pause = 0
		}
		p.recordOutcome(c.to, describeRedirect(c.reply.GetGuide()))
	}
	// While the leader that is named has yet to answer, others are asked at the pace of hedges.
	if p.pending[p.finder.leaderAddress()] != nil {
		return
	}
	next := p.options.Timer.Now().Add(pause)
	if p.isLongOutage() || next < p.next {
		p.next = next
	}
}

// handleServed applies the answer of the leader.
func (p *poller) handleServed(c *poll) {
	for a, other := range p.pending {
		other.cancel()
		delete(p.pending, a)
	}
	p.finder.markLeader(c.to)
	p.finder.addInstances(c.reply.GetInstances())
	p.finder.setMembers(c.reply.GetGuide().GetVoters())
	p.options.View.ApplySync(c.reply, c.sent)
	now := p.options.Timer.Now()
	if p.warned {
		p.options.Log.Info("leader found", zap.String("leader", string(c.to)), zap.Duration("after", now.Sub(p.lastServed)),
			zap.Strings("asked", p.describeOutcomes()))
	}
	clear(p.outcomes)
	p.server, p.warned, p.lastServed, p.next = c.to, false, now, now
}

// recordOutcome remembers the outcome of the last poll to an address.
func (p *poller) recordOutcome(to Address, text string) {
	p.outcomes[to] = outcome{p.options.Timer.Now(), text}
	if len(p.outcomes) > maxLoggedAddresses {
		delete(p.outcomes, p.byAge()[maxLoggedAddresses])
	}
}

// byAge returns the addresses that have outcomes, the newest first.
func (p *poller) byAge() []Address {
	return slices.SortedFunc(maps.Keys(p.outcomes), func(a, b Address) int {
		return cmp.Or(cmp.Compare(p.outcomes[b].at, p.outcomes[a].at), cmp.Compare(a, b))
	})
}

// describeOutcomes returns the outcomes of the polls that no leader answered, for the log.
func (p *poller) describeOutcomes() (out []string) {
	now := p.options.Timer.Now()
	for _, a := range p.byAge() {
		o := p.outcomes[a]
		out = append(out, fmt.Sprintf("%s %d ms ago: %s", a, now.Sub(o.at).Milliseconds(), o.text))
	}
	return out
}

// describeRedirect describes the answer of an instance that is not the leader.
func describeRedirect(g *wire.Guide) string {
	if g.GetLeader() == "" {
		return "does not lead, names no leader"
	}
	return "does not lead, names " + g.GetLeader()
}

// warnNoLeader logs a warning if no leader has answered for warnDelay, once per outage. If the
// instances that were asked name no leader, none is elected; if they name one, this instance
// does not reach it.
func (p *poller) warnNoLeader() {
	if since := p.options.Timer.Now().Sub(p.lastServed); since > warnDelay && !p.warned {
		p.warned = true
		p.options.Log.Warn("no leader answers", zap.Duration("since", since), zap.Strings("asked", p.describeOutcomes()))
	}
}
