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

// Client talks to the control instances on behalf of one entry.
type Client struct {
	options  Options
	leaders  leaders
	polls    *pool
	calls    *pool
	config   atomic.Pointer[Config]
	expires  atomic.Int64
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
// read. Read it after Held: a configuration read before may be older than the
// one that the lease is held on.
func (c *Client) Config() *Config { return c.config.Load() }

// Held tells whether the configuration lease is valid at this moment.
func (c *Client) Held() bool {
	return c.config.Load() != nil && c.options.Timer.Now().Before(timer.Instant(c.expires.Load()))
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

// Heard reports an upstream with the next renewal.
func (c *Client) Heard(h *wire.Heard) {
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

// SetTallies sets the function that returns this entry's counters for a renewal.
func (c *Client) SetTallies(f func() []*wire.Tally) {
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
