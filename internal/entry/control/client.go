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

// granted is a configuration and the end of the lease on it. It is replaced as a
// whole, so that a lease never passes for one on another configuration.
type granted struct {
	config  *Config
	expires timer.Instant
}

// Client talks to the control instances on behalf of one entry.
type Client struct {
	options  Options
	leaders  leaders
	polls    *pool
	calls    *pool
	granted  atomic.Pointer[granted]
	randomMu sync.Mutex

	mu       sync.Mutex
	updated  chan struct{}
	term     uint64
	soft     uint64
	entries  []*wire.Instance
	loads    map[string]*wire.Heard
	sums     []*wire.Tally
	heard    map[string]*wire.Heard
	tallies  func() []*wire.Tally
	draining bool
}

// New returns a client; Run keeps its lease.
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
		polls:   newPool(o.Dial),
		calls:   newPool(o.Dial),
		updated: make(chan struct{}),
		loads:   map[string]*wire.Heard{},
		heard:   map[string]*wire.Heard{},
	}, nil
}

// Run renews the lease until the context is done.
func (c *Client) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("renewals", c.run)
	err := g.Wait()
	c.polls.close()
	c.calls.close()
	return err
}

// Config returns the configuration in force; nil until the first quorum-confirmed
// read. It says nothing about the lease; see Leased.
func (c *Client) Config() *Config {
	if g := c.granted.Load(); g != nil {
		return g.config
	}
	return nil
}

// HoldsLease tells whether the configuration lease is valid at this moment.
func (c *Client) HoldsLease() bool { return c.LeasedConfig() != nil }

// LeasedConfig returns the configuration if the lease on it is valid at this moment, else
// nil. Calls of Config and then Held may see an older configuration and the lease
// on a newer one, for example when the process was paused in between.
func (c *Client) LeasedConfig() *Config {
	for {
		g := c.granted.Load()
		if g == nil || !c.options.Timer.Now().Before(g.expires) {
			return nil
		}
		if n := c.granted.Load(); n.config == g.config {
			return g.config
		}
	}
}

// Updated returns a channel that is closed at the next change of Config.
func (c *Client) Updated() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.updated
}

// Entries returns the entries that the leader knows. The caller must not change them.
func (c *Client) Entries() []*wire.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries
}

// Loads returns the load of each upstream by name. The caller must not change it.
func (c *Client) Loads() map[string]*wire.Heard {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loads
}

// Tallies returns the counters summed over all entries. The caller must not change them.
func (c *Client) Tallies() []*wire.Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sums
}

// ReportUpstream reports an upstream with the next renewal.
func (c *Client) ReportUpstream(h *wire.Heard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(h)
}

// note keeps the latest report of an upstream. The caller holds the lock.
func (c *Client) note(h *wire.Heard) {
	o := c.heard[h.Name]
	if o != nil && (o.Incarnation > h.Incarnation || o.Incarnation == h.Incarnation && o.Load.GetSequence() > h.Load.GetSequence()) {
		return
	}
	c.heard[h.Name] = h
}

// SetTallySource sets the function that returns this entry's counters for a renewal.
func (c *Client) SetTallySource(f func() []*wire.Tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tallies = f
}

// SetDraining tells the others with the next renewal whether this entry drains.
func (c *Client) SetDraining(draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = draining
}
