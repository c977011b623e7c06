package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/fleet/view"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/logging"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// pollWait is how long the leader holds a poll back.
	pollWait = 500 * time.Millisecond
	// pollLimit bounds a poll; a leader that is frozen or cut off costs this much.
	pollLimit = 1200 * time.Millisecond
	// askLimit bounds a question to an instance that may not lead.
	askLimit = 400 * time.Millisecond
	// tellEvery is the pause between reports that nobody waits for.
	tellEvery = 500 * time.Millisecond
	// proposeLimit bounds one proposal; it covers the wait until it is in force.
	proposeLimit = 1500 * time.Millisecond
	// retryLeast and retryMost bound the pause between two tries to find the leader.
	retryLeast = 20 * time.Millisecond
	retryMost  = 120 * time.Millisecond
	// lostAfter is the time without a leader after which that is logged.
	lostAfter = 2 * time.Second
)

// ErrUnavailable says that no leader was found in time. A command may have been committed.
var ErrUnavailable = errors.New("no leader of the deployment was found in time")

// Options are the parts of a client.
type Options struct {
	Self             Address
	Seeds            []Address
	Token            string
	View             *view.View
	DescribeInstance func() *wire.Instance
	// KnownLeader returns what the replica of this instance knows of the leader and the voters.
	KnownLeader func() (leader string, voters []string)
	Timer       timer.Service
	// Random is used by this client alone.
	Random *rand.Rand
	Log    *zap.Logger
}

// Client keeps the view of one instance up to date.
type Client struct {
	options Options
	links   *links
	finder  *finder
}

// NewClient returns a client that does nothing until Run.
func NewClient(o Options) *Client {
	return &Client{
		options: o, links: newLinks(o.Timer, o.Token),
		finder: newFinder(o.Self, o.Seeds, o.Timer),
	}
}

// SetSeeds replaces the seeds.
func (c *Client) SetSeeds(seeds []Address) { c.finder.reseed(seeds) }

// Run polls the leader and reports to it until the context is done.
func (c *Client) Run(ctx context.Context) error {
	g := group.New(ctx)
	p := &poller{Client: c, random: rand.New(rand.NewPCG(c.options.Random.Uint64(), 1))}
	r := &reporter{Client: c}
	g.Go("poll", p.loop)
	g.Go("report", r.loop)
	return errors.CombineErrors(g.Wait(), c.links.Close())
}

// poller holds the long poll.
type poller struct {
	*Client
	random *rand.Rand
	lost   timer.Instant
	silent bool
}

func (p *poller) loop(ctx context.Context) error {
	p.lost = p.options.Timer.Now()
	for ctx.Err() == nil {
		if p.poll(ctx) {
			continue
		}
		pause := retryLeast + time.Duration(p.random.Int64N(int64(retryMost-retryLeast)))
		if err := timer.Sleep(ctx, p.options.Timer, pause); err != nil {
			return nil
		}
	}
	return nil
}

// poll makes one poll; it returns false if the next one should wait a little.
func (p *poller) poll(ctx context.Context) bool {
	leader, voters := p.options.KnownLeader()
	p.finder.hint(Address(leader), voters)
	to := p.finder.current()
	term, cursor := p.options.View.SyncPosition()
	q := &wire.SyncRequest{
		Instance: p.options.DescribeInstance(), Term: term, Cursor: cursor, Wait: uint32(pollWait.Milliseconds()),
	}
	if l := p.options.View.Layout(); l != nil {
		q.Layout = uint64(l.Version)
	}
	sent := p.options.Timer.Now()
	r, err := call(ctx, p.links, to, classSync, pollLimit, func(ctx context.Context, c wire.DRPCFleetClient) (*wire.SyncReply, error) {
		return c.Sync(ctx, q)
	})
	if err != nil {
		p.finder.failed(to)
		p.note(to, err)
		return false
	}
	if !r.GetGuide().GetServed() {
		hinted := p.finder.guided(to, r.GetGuide())
		p.note(to, nil)
		return hinted && p.random.IntN(4) > 0
	}
	p.finder.served(to)
	p.finder.know(r.GetInstances())
	p.finder.learn(r.GetGuide().GetVoters())
	if err := p.options.View.ApplySync(r, sent); err != nil {
		p.options.Log.Error("layout cannot be read", logging.Error(err))
		return false
	}
	if p.silent {
		p.options.Log.Info("leader found", zap.String("leader", string(to)),
			zap.Duration("after", p.options.Timer.Now().Sub(p.lost)))
	}
	p.silent, p.lost = false, p.options.Timer.Now()
	return true
}

// AnnounceToSeeds tells the seeds that are not in contact where the control group is. After a
// restart of all instances, seeds without a disk know of nobody but other seeds.
func (c *Client) AnnounceToSeeds(ctx context.Context, inContact func(Address) bool) {
	for _, a := range c.finder.list() {
		if a == c.options.Self || inContact(a) {
			continue
		}
		_, err := call(ctx, c.links, a, classRequest, askLimit, func(ctx context.Context, l wire.DRPCFleetClient) (*wire.SyncReply, error) {
			return l.Sync(ctx, &wire.SyncRequest{Instance: c.options.DescribeInstance()})
		})
		if err != nil {
			c.options.Log.Debug("seed not greeted", logging.Error(err))
		}
	}
}

// note logs once that no leader answers.
func (p *poller) note(to Address, err error) {
	if since := p.options.Timer.Now().Sub(p.lost); since > lostAfter && !p.silent {
		p.silent = true
		p.options.Log.Warn("no leader answers", zap.String("asked", string(to)), zap.Duration("since", since), logging.Error(err))
	}
}

// reporter tells the leader what this instance hears.
type reporter struct{ *Client }

func (r *reporter) loop(ctx context.Context) error {
	ticks := r.options.Timer.Subscribe(tellEvery)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		case <-r.options.View.UrgentReport():
		}
		if err := r.report(ctx); err != nil {
			r.options.Log.Debug("report not delivered", logging.Error(err))
			if err := timer.Sleep(ctx, r.options.Timer, retryMost); err != nil {
				return nil
			}
		}
	}
}

func (r *reporter) report(ctx context.Context) error {
	n := r.options.View.TakeReport()
	if n == nil {
		return nil
	}
	n.Instance = r.options.DescribeInstance().GetName()
	to := r.finder.current()
	reply, err := call(ctx, r.links, to, classTell, askLimit, func(ctx context.Context, c wire.DRPCFleetClient) (*wire.TellReply, error) {
		return c.Tell(ctx, n)
	})
	if err == nil && !reply.GetGuide().GetServed() {
		r.finder.guided(to, reply.GetGuide())
		err = errors.Newf("%s does not lead", to)
	}
	if err != nil {
		r.options.View.RequeueReport(n)
	}
	return err
}

// Propose commits a command. The error is ErrUnavailable if its outcome is not known.
func (c *Client) Propose(ctx context.Context, command *wire.Command) (conflict string, err error) {
	r, err := lead(ctx, c, proposeLimit, func(ctx context.Context, l wire.DRPCFleetClient) (*wire.ProposeReply, error) {
		return l.Propose(ctx, &wire.ProposeRequest{Command: command})
	})
	return r.GetConflict(), err
}

// Read returns the layout and roll-outs as a majority confirms them.
func (c *Client) Read(ctx context.Context) (*wire.ReadReply, error) {
	return lead(ctx, c, askLimit, func(ctx context.Context, l wire.DRPCFleetClient) (*wire.ReadReply, error) {
		return l.Read(ctx, &wire.ReadRequest{})
	})
}

// RequestBootstrap asks a seed whether this instance may found the group.
func (c *Client) RequestBootstrap(ctx context.Context, seed Address, identity string) bool {
	r, err := call(ctx, c.links, seed, classRequest, askLimit, func(ctx context.Context, l wire.DRPCFleetClient) (*wire.FoundReply, error) {
		return l.Found(ctx, &wire.FoundRequest{Identity: identity})
	})
	if err != nil {
		c.options.Log.Debug("seed does not answer", logging.Error(err))
	}
	return r.GetGranted()
}

// lead makes a call at the leader until one serves it or the context ends.
func lead[R interface {
	proto.Message
	GetGuide() *wire.Guide
}](
	ctx context.Context, c *Client, limit time.Duration, f func(context.Context, wire.DRPCFleetClient) (R, error),
) (reply R, err error) {
	for {
		to := c.finder.current()
		reply, err = call(ctx, c.links, to, classRequest, limit, f)
		switch {
		case err != nil:
			c.finder.failed(to)
		case reply.GetGuide().GetServed():
			return reply, nil
		default:
			c.finder.guided(to, reply.GetGuide())
		}
		if timer.Sleep(ctx, c.options.Timer, retryMost) != nil {
			var none R
			return none, errors.WithSecondaryError(ErrUnavailable, err)
		}
	}
}
