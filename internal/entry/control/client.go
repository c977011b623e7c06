package control

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// leasedConfig is a configuration and the end of the lease on it. Both are replaced
// together, so that a lease is never applied to another configuration.
type leasedConfig struct {
	config  *Config
	expires timer.Instant
	// period is the number of the period in which the lease has been held without a break.
	period uint64
}

// Client calls the control instances on behalf of one entry. It is safe for concurrent use.
type Client struct {
	options Options
	leaders leaders
	// polls holds the connections of long polls, calls those of short calls. Each has its
	// own limit on concurrent calls.
	polls  *pool
	calls  *pool
	leased atomic.Pointer[leasedConfig]
	// randomMu guards Options.Random.
	randomMu sync.Mutex

	// mu guards the fields below and all changes of leased.
	mu sync.Mutex
	// updated is closed and replaced when the configuration changes.
	updated chan struct{}
	// term is the term of the leader whose reply was applied last.
	term uint64
	// softVersion is the leader's version of entries, loads and totals.
	softVersion uint64
	entries     []*wire.Instance
	loads       map[string]*wire.Heard // by upstream
	totals      []*wire.Tally          // counters of all entries by account
	// reports holds the signs of life that the next renewal reports, by upstream.
	reports map[string]*wire.Heard
	// tallySource returns this entry's own counters; it may be nil.
	tallySource func() []*wire.Tally
	draining    bool
}

// New returns a client. Run keeps its lease renewed.
func New(o Options) (c *Client, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "control client")
		}
	}()
	if err := o.complete(); err != nil {
		return nil, err
	}
	return &Client{
		options: o,
		leaders: newLeaders(o),
		polls:   newPool(o.Timer, o.Dial),
		calls:   newPool(o.Timer, o.Dial),
		updated: make(chan struct{}),
		loads:   map[string]*wire.Heard{},
		reports: map[string]*wire.Heard{},
	}, nil
}

// Run renews the lease until the context is done.
func (c *Client) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("renewals", c.renewLoop)
	err := g.Wait()
	c.polls.close()
	c.calls.close()
	return err
}

// Config returns the latest configuration, nil until the first renewal succeeds. A majority
// has confirmed the state in the reply to that one. Config does not check the lease; see
// LeasedConfig.
func (c *Client) Config() *Config {
	if l := c.leased.Load(); l != nil {
		return l.config
	}
	return nil
}

// HoldsLease reports whether the configuration lease is valid now.
func (c *Client) HoldsLease() bool { return c.LeasedConfig() != nil }

// LeasedConfig returns the configuration if the lease on it is valid now, else nil. Calling
// Config and then HoldsLease may combine an older configuration with the lease on a newer
// one, for example if the process is paused in between.
func (c *Client) LeasedConfig() *Config {
	for {
		l := c.leased.Load()
		if l == nil || !c.options.Timer.Now().Before(l.expires) {
			return nil
		}
		if n := c.leased.Load(); n.config == l.config {
			return l.config
		}
	}
}

// LeasePeriod returns the number of the current or last period in which the lease was held
// without a break. A renewal after the lease has expired begins the next one: in between, the
// control group and other entries may have acted without this entry, for example ended its
// trials. LeasePeriod does not check the lease.
func (c *Client) LeasePeriod() uint64 {
	if l := c.leased.Load(); l != nil {
		return l.period
	}
	return 0
}

// Updated returns a channel that is closed when Config changes next.
func (c *Client) Updated() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.updated
}

// Entries returns the entries known to the leader. The caller must not modify them.
func (c *Client) Entries() []*wire.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries
}

// Loads returns the last reported load of each upstream by name. The caller must not modify
// the map.
func (c *Client) Loads() map[string]*wire.Heard {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loads
}

// Tallies returns the counters of each account, summed over all entries. The caller must not
// modify them.
func (c *Client) Tallies() []*wire.Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totals
}

// ReportUpstream queues a sign of life of an upstream for the next renewal.
func (c *Client) ReportUpstream(h *wire.Heard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepLatest(h)
}

// keepLatest queues a report unless a later one of the same upstream is queued. The caller
// holds the lock.
func (c *Client) keepLatest(h *wire.Heard) {
	o := c.reports[h.Name]
	if o != nil && (o.Incarnation > h.Incarnation || o.Incarnation == h.Incarnation && o.Load.GetSequence() > h.Load.GetSequence()) {
		return
	}
	c.reports[h.Name] = h
}

// SetTallySource sets the function that returns this entry's counters. It is called for
// each renewal.
func (c *Client) SetTallySource(f func() []*wire.Tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tallySource = f
}

// SetDraining sets whether this entry drains. The next renewal reports it.
func (c *Client) SetDraining(draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = draining
}
