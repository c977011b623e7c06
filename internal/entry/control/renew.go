package control

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// renewLoop renews the lease until the context is done. Since the leader holds back its
// reply while nothing has changed, no pause is needed after a success.
func (c *Client) renewLoop(ctx context.Context) error {
	redirects := 0
	for ctx.Err() == nil {
		followed, err := c.renew(ctx)
		switch {
		case err == nil:
			redirects = 0
			continue
		case followed && redirects < maxRedirects:
			redirects++
			continue
		}
		redirects = 0
		if ctx.Err() == nil {
			c.options.Log.Debug("lease renewal failed", zap.Error(err))
		}
		c.backOff(ctx)
	}
	return nil
}

// renew makes one attempt to renew the lease. The result followed is true if the reply
// redirects to a leader that can be tried at once.
func (c *Client) renew(ctx context.Context) (followed bool, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "renew the configuration lease")
		}
	}()
	r := c.renewRequest()
	address := c.leaders.pick(0)
	k := call{pool: c.polls, timeout: renewTimeout}
	sent := c.options.Timer.Now()
	reply, _, err := attempt(ctx, c, k, address, r, wire.DRPCControlClient.Renew)
	if err == nil && reply.Fault == nil {
		err = c.applyReply(reply, sent)
	}
	if err != nil {
		c.leaders.markFailed(0, address)
		c.requeueReports(r.Heard)
		return false, err
	}
	if f := reply.Fault; f != nil {
		c.leaders.forget(0, address)
		c.requeueReports(r.Heard)
		followed = f.Code == wire.Code_CODE_REDIRECT && c.leaders.followRedirect(0, f.Leader)
		return followed, errors.Newf("control instance %s refused: %s", address, f.Text)
	}
	c.leaders.confirm(0, address)
	return false, nil
}

// renewRequest builds a renewal and takes the queued reports into it. The tally source is
// called without the client's lock: it holds a lock of its own while it asks the client
// for entries and loads, so that the two locks could deadlock.
func (c *Client) renewRequest() *wire.RenewRequest {
	i := proto.CloneOf(c.options.Instance)
	r := &wire.RenewRequest{Instance: i, Epoch: c.options.Epoch, Wait: uint32(maxPollWait.Milliseconds())}
	c.mu.Lock()
	i.Draining = c.draining
	r.Soft = c.softVersion
	if o := c.Config(); o != nil {
		r.Applied = uint64(o.Revision)
	}
	for _, h := range c.reports {
		r.Heard = append(r.Heard, h)
	}
	clear(c.reports)
	tallies := c.tallySource
	c.mu.Unlock()
	if tallies != nil {
		r.Tallies = tallies()
	}
	return r
}

// requeueReports queues the reports of a failed renewal again, except those of upstreams
// with a later report.
func (c *Client) requeueReports(heard []*wire.Heard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range heard {
		if _, ok := c.reports[h.Name]; !ok {
			c.reports[h.Name] = h
		}
	}
}

// applyReply takes over the reply to a renewal: the configuration together with the lease
// on it, which starts when the renewal was sent.
func (c *Client) applyReply(r *wire.RenewReply, sent timer.Instant) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.Config()
	switch {
	case r.Term < c.term:
		return errors.Newf("term %d is older than term %d", r.Term, c.term)
	case old != nil && document.Revision(r.Revision) < old.Revision:
		return errors.Newf("revision %d is older than revision %d in force", r.Revision, old.Revision)
	case old == nil && !r.Full:
		return errors.New("reply holds only changes, but there is no configuration yet")
	}
	next := &leasedConfig{config: old, expires: sent.Add(time.Duration(r.Lease) * time.Millisecond)}
	if old == nil || document.Revision(r.Revision) != old.Revision {
		config, err := c.mergeConfig(old, r)
		if err != nil {
			return err
		}
		next.config = config
	} else {
		next.expires = max(next.expires, c.leased.Load().expires)
	}
	next.period = c.nextPeriod()
	c.leased.Store(next)
	if next.config != old {
		close(c.updated)
		c.updated = make(chan struct{})
	}
	c.term = r.Term
	if r.Soft != c.softVersion {
		c.softVersion, c.entries, c.totals = r.Soft, r.Entries, r.Tallies
		c.loads = make(map[string]*wire.Heard, len(r.Loads))
		for _, h := range r.Loads {
			c.loads[h.Name] = h
		}
	}
	return nil
}

// nextPeriod returns the period of a lease that comes into force now. A renewal that was sent before the last lease expired and answered after that
// begins a new period too: the leader may have received it only after it saw the lease end.
// The caller holds the lock.
func (c *Client) nextPeriod() uint64 {
	last := c.leased.Load()
	switch {
	case last == nil:
		return 1
	case c.options.Timer.Now().Before(last.expires):
		return last.period
	}
	return last.period + 1
}

// mergeConfig returns a configuration with the changes of the reply. The old one is not modified.
func (c *Client) mergeConfig(old *Config, r *wire.RenewReply) (*Config, error) {
	next := &Config{
		Revision:   document.Revision(r.Revision),
		Documents:  map[document.Service]*document.Document{},
		Upstreams:  map[string]*wire.Upstream{},
		Suspicions: map[string]*wire.Suspicion{},
	}
	if !r.Full {
		maps.Copy(next.Documents, old.Documents)
		maps.Copy(next.Upstreams, old.Upstreams)
		maps.Copy(next.Suspicions, old.Suspicions)
	}
	for _, d := range r.Documents {
		p, err := c.options.Parse(d.Text)
		if err != nil {
			return nil, errors.Wrapf(err, "document of %s at revision %d", d.Service, d.Revision)
		}
		next.Documents[document.Service(d.Service)] = p
	}
	for _, u := range r.Upstreams {
		if u.Left {
			delete(next.Upstreams, u.Name)
			continue
		}
		next.Upstreams[u.Name] = u
	}
	for _, s := range r.Suspicions {
		if s.Removed {
			delete(next.Suspicions, s.Fingerprint)
			continue
		}
		next.Suspicions[s.Fingerprint] = s
	}
	return next, nil
}
