package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/fleet/relay"
	"wisteriakeel.example/wisteriakeel/internal/fleet/view"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// requestTimeout bounds other calls to an instance that may not be the leader.
	requestTimeout = 400 * time.Millisecond
	// reportInterval is the interval of reports without urgent changes.
	reportInterval = 500 * time.Millisecond
	// proposeTimeout bounds a proposal, including the wait until a layout is in force, which
	// takes up to half of the time in which changes must be acknowledged (4 s as a rule).
	proposeTimeout = 2500 * time.Millisecond
)

// ErrUnavailable means that no leader answered in time. A proposed command may or may not
// have been committed.
var ErrUnavailable = errors.New("no leader of the deployment was found in time")

// Options configures a client.
type Options struct {
	// Self is the peer address of this instance.
	Self      Address
	Seeds     []Address
	PeerToken string
	View      *view.View
	// DescribeInstance returns the record of this instance for other instances.
	DescribeInstance func() *wire.Instance
	// Layouts holds the newest layout for other instances.
	Layouts *relay.Store
	// CommittedLayout returns the newest committed layout in the replica of this instance, or
	// nil before the first and on an instance without a disk.
	CommittedLayout func() *wire.Layout
	// KnownLeader returns the addresses of the leader and of all members of the control group
	// as known to the replica of this instance. They are empty on an instance without a disk,
	// where KnownLeader may be nil.
	KnownLeader func() (leader string, members []string)
	Timer       timer.Service
	// Dial opens a connection to another instance. If it is nil, the client connects over TCP.
	Dial func(ctx context.Context, to string) (net.Conn, error)
	// Random must not be used elsewhere.
	Random *rand.Rand
	Log    *zap.Logger
}

// Client keeps the view of one instance up to date and calls the leader on its behalf.
type Client struct {
	options     Options
	connections *connections
	finder      *finder
	// layoutCommitted has a value if the replica of this instance may hold a newer layout.
	layoutCommitted chan struct{}

	mu sync.Mutex
	// reportWaiters are closed when what was queued before them has been delivered.
	reportWaiters []chan struct{}
	reportNow     chan struct{} // has a value if there are new waiters
}

// NewClient returns a client. It starts to poll and report in Run.
func NewClient(o Options) *Client {
	return &Client{
		options: o, connections: newConnections(o.Timer, o.PeerToken, o.Dial),
		finder: newFinder(o.Self, o.Seeds, o.Timer), layoutCommitted: make(chan struct{}, 1),
		reportNow: make(chan struct{}, 1),
	}
}

// SetSeeds replaces the addresses of the seeds.
func (c *Client) SetSeeds(seeds []Address) { c.finder.setSeeds(seeds) }

// refreshLocalState passes what the replica of this instance knows to the finder.
func (c *Client) refreshLocalState() {
	if c.options.KnownLeader != nil {
		leader, members := c.options.KnownLeader()
		c.finder.setLocalState(Address(leader), members)
	}
}

// awaitLeader returns the address at which the leader is believed to be. While it is not known,
// it waits for the search of the poller, which is the only one, until the context is done.
func (c *Client) awaitLeader(ctx context.Context) (Address, error) {
	for {
		c.refreshLocalState()
		leader, found := c.finder.leaderOrFound()
		if leader != "" {
			return leader, nil
		}
		select {
		case <-found:
		case <-ctx.Done():
			return "", errors.Wrap(context.Cause(ctx), "no leader is known")
		}
	}
}

// leaderInfo returns what this instance knows about the leader, for other instances.
func (c *Client) leaderInfo() *wire.Guide {
	c.refreshLocalState()
	return c.finder.leaderInfo()
}

// Run polls the leader and sends reports to it until the context is done.
func (c *Client) Run(ctx context.Context) error {
	g := group.New(ctx)
	p := &poller{
		Client: c, random: rand.New(rand.NewPCG(c.options.Random.Uint64(), 1)), results: make(chan *poll), pending: map[Address]*poll{}, outcomes: map[Address]outcome{},
	}
	r := &reporter{Client: c}
	g.Go("poll", p.loop)
	g.Go("report", r.loop)
	g.Go("borrow", (&borrower{c}).loop)
	g.Go("slots", (&slotLeaser{c}).loop)
	g.Go("fetch", (&fetcher{c, map[Address]timer.Instant{}}).loop)
	return errors.CombineErrors(g.Wait(), c.connections.Close())
}

// AnnounceToSeeds polls the seeds that are not in contact, all at the same time, so that they
// learn the address of this instance. After a restart of all instances, seeds without a disk know
// only the other seeds.
func (c *Client) AnnounceToSeeds(ctx context.Context, inContact func(Address) bool) {
	var g sync.WaitGroup
	defer g.Wait()
	for _, a := range c.finder.seedList() {
		if a != c.options.Self && !inContact(a) {
			g.Add(1)
			go (&announcement{Client: c, to: a, ended: g.Done}).run(ctx)
		}
	}
}

// announcement tells one seed the address of this instance.
type announcement struct {
	*Client
	to    Address
	ended func()
}

func (a *announcement) run(ctx context.Context) {
	defer a.ended()
	_, err := call(ctx, a.connections, a.to, classRequest, requestTimeout, func(ctx context.Context, l wire.DRPCFleetClient) (*wire.SyncReply, error) {
		return l.Sync(ctx, &wire.SyncRequest{Instance: a.options.DescribeInstance()})
	})
	if err != nil {
		a.options.Log.Debug("could not announce to seed", journal.Error(err))
	}
}

// reporter sends the pending reports of the view to the leader.
type reporter struct{ *Client }

// WaitReported sends the pending report at once and waits until the leader has everything that
// was queued in the view before the call and has committed the leaves among it. Otherwise the
// knowledge of this instance, or that of the leader, is lost with its process.
func (c *Client) WaitReported(ctx context.Context) error {
	delivered := make(chan struct{})
	c.mu.Lock()
	c.reportWaiters = append(c.reportWaiters, delivered)
	c.mu.Unlock()
	select {
	case c.reportNow <- struct{}{}:
	default:
	}
	select {
	case <-delivered:
		return nil
	case <-ctx.Done():
		return errors.Wrap(context.Cause(ctx), "report not delivered")
	}
}

// takeReportWaiters returns the waiters and clears the list.
func (c *Client) takeReportWaiters() []chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.reportWaiters
	c.reportWaiters = nil
	return w
}

// loop sends a report at each interval, and at once after an urgent change.
func (r *reporter) loop(ctx context.Context) error {
	ticks := r.options.Timer.Subscribe(reportInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		case <-r.options.View.UrgentReport():
		case <-r.reportNow:
		}
		if err := r.report(ctx); err != nil {
			r.options.Log.Debug("could not deliver report", journal.Error(err))
			if err := timer.Sleep(ctx, r.options.Timer, maxRetryDelay); err != nil {
				return nil
			}
		}
	}
}

// report sends the pending report, if there is one, and tells those who wait for it. A report
// that cannot be delivered is queued again, and so are they.
func (r *reporter) report(ctx context.Context) (err error) {
	// What was queued before a waiter is in this report or was delivered with an earlier one.
	waiters := r.takeReportWaiters()
	defer func() {
		if err != nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.reportWaiters = append(waiters, r.reportWaiters...)
			return
		}
		for _, w := range waiters {
			close(w)
		}
	}()
	taken, n := r.options.Timer.Now(), r.options.View.TakeReport()
	if n == nil {
		return nil
	}
	n.Instance = r.options.DescribeInstance().GetName()
	findCtx, cancel := timer.WithTimeout(ctx, r.options.Timer, requestTimeout)
	defer cancel()
	to, err := r.awaitLeader(findCtx)
	if err != nil {
		r.options.View.RequeueReport(n, taken)
		return err
	}
	reply, err := call(ctx, r.connections, to, classReport, requestTimeout, func(ctx context.Context, c wire.DRPCFleetClient) (*wire.TellReply, error) {
		return c.Tell(ctx, n)
	})
	if err == nil && !reply.GetGuide().GetServed() {
		r.finder.redirect(to, reply.GetGuide())
		err = errors.Newf("%s is not the leader", to)
	}
	if err != nil {
		r.options.View.RequeueReport(n, taken)
	}
	return err
}

// Propose commits a command through the leader. The error is ErrUnavailable if the outcome
// is unknown.
func (c *Client) Propose(ctx context.Context, command *wire.Command) (conflict string, err error) {
	r, err := callLeader(ctx, c, classPropose, proposeTimeout, func(ctx context.Context, l wire.DRPCFleetClient) (*wire.ProposeReply, error) {
		return l.Propose(ctx, &wire.ProposeRequest{Command: command})
	})
	return r.GetConflict(), err
}

// Read returns the layout, the roll-outs and the evacuations, confirmed by a majority of the voters.
func (c *Client) Read(ctx context.Context) (*wire.ReadReply, error) {
	return callLeader(ctx, c, classRead, requestTimeout, func(ctx context.Context, l wire.DRPCFleetClient) (*wire.ReadReply, error) {
		return l.Read(ctx, &wire.ReadRequest{})
	})
}

// callLeader calls the leader, retrying until an instance serves the call as leader or the
// context is done. The timeout bounds each attempt once it has a connection.
func callLeader[R interface {
	proto.Message
	GetGuide() *wire.Guide
}](
	ctx context.Context, c *Client, class callClass, timeout time.Duration, f func(context.Context, wire.DRPCFleetClient) (R, error),
) (reply R, err error) {
	var failure error // of the last attempt
	for {
		to, err := c.awaitLeader(ctx)
		if err != nil {
			var zero R
			return zero, unavailable(failure, err)
		}
		attempt, release := c.finder.whileLeader(ctx, to)
		reply, err = call(attempt, c.connections, to, class, timeout, f)
		ended := attempt.Err() != nil
		release()
		failure = err
		switch {
		case err == nil && reply.GetGuide().GetServed():
			c.finder.markCallServed(to)
			return reply, nil
		case ended:
			// The caller has left, or another leader has answered.
			if ctx.Err() == nil {
				continue
			}
		case err != nil:
			c.finder.markCallFailed(to)
		default:
			c.finder.redirect(to, reply.GetGuide())
			failure = errors.Newf("%s %s", string(to), describeRedirect(reply.GetGuide()))
		}
		if timer.Sleep(ctx, c.options.Timer, maxRetryDelay) != nil {
			var zero R
			return zero, unavailable(failure, nil)
		}
	}
}

// unavailable returns ErrUnavailable with the causes that are not nil: the failure of the last
// attempt, and why no leader was called after it.
func unavailable(attempt, search error) error {
	err := ErrUnavailable
	for _, cause := range []error{attempt, search} {
		if cause != nil {
			err = errors.Wrap(err, cause.Error())
		}
	}
	return err
}
