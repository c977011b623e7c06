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

// run renews the lease again and again. The leader holds an answer back while
// there is nothing to tell, so that no pause is needed after a success.
func (c *Client) run(ctx context.Context) error {
	hops := 0
	for ctx.Err() == nil {
		followed, err := c.renew(ctx)
		switch {
		case err == nil:
			hops = 0
			continue
		case followed && hops < redirectLimit:
			hops++
			continue
		}
		hops = 0
		if ctx.Err() == nil {
			c.options.Log.Debug("lease not renewed", zap.Error(err))
		}
		c.pause(ctx)
	}
	return nil
}

// renew makes one renewal. The result followed is true if the answer was a
// redirect to a leader that can be tried at once.
func (c *Client) renew(ctx context.Context) (followed bool, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "renewal")
		}
	}()
	r := c.request()
	address := c.leaders.pick(0)
	k := call{pool: c.polls, limit: pollLimit}
	sent := c.options.Timer.Now()
	reply, _, err := attempt(ctx, c, k, address, r, wire.DRPCControlClient.Renew)
	if err == nil && reply.Fault == nil {
		err = c.accept(reply, sent)
	}
	if err != nil {
		c.leaders.fail(0, address)
		c.restore(r.Heard)
		return false, err
	}
	if f := reply.Fault; f != nil {
		c.leaders.forget(0, address)
		c.restore(r.Heard)
		followed = f.Code == wire.Code_CODE_REDIRECT && c.leaders.learn(0, f.Leader)
		return followed, errors.Newf("%s refused: %s", address, f.Text)
	}
	c.leaders.answered(0, address)
	return false, nil
}

// request takes what the entry has to report. The counts are read without the
// client's lock: their source asks the client for entries and loads under a lock
// of its own.
func (c *Client) request() *wire.RenewRequest {
	i := proto.CloneOf(c.options.Instance)
	r := &wire.RenewRequest{Instance: i, Epoch: c.options.Epoch, Wait: uint32(pollWait.Milliseconds())}
	c.mu.Lock()
	i.Draining = c.draining
	r.Soft = c.soft
	if o := c.Config(); o != nil {
		r.Applied = uint64(o.Revision)
	}
	for _, h := range c.heard {
		r.Heard = append(r.Heard, h)
	}
	clear(c.heard)
	tallies := c.tallies
	c.mu.Unlock()
	if tallies != nil {
		r.Tallies = tallies()
	}
	return r
}

// restore puts reports back that a failed renewal carried.
func (c *Client) restore(heard []*wire.Heard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range heard {
		if _, ok := c.heard[h.Name]; !ok {
			c.heard[h.Name] = h
		}
	}
}

// accept puts the answer in force: the configuration together with the lease on
// it, which is counted from before the renewal was sent.
func (c *Client) accept(r *wire.RenewReply, sent timer.Instant) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.Config()
	switch {
	case r.Term < c.term:
		return errors.Newf("term %d is older than term %d", r.Term, c.term)
	case old != nil && document.Revision(r.Revision) < old.Revision:
		return errors.Newf("revision %d is older than revision %d in force", r.Revision, old.Revision)
	case old == nil && !r.Full:
		return errors.New("changes without the state that they belong to")
	}
	next := &granted{config: old, expires: sent.Add(time.Duration(r.Lease) * time.Millisecond)}
	if old == nil || document.Revision(r.Revision) != old.Revision {
		config, err := c.merge(old, r)
		if err != nil {
			return err
		}
		next.config = config
	} else {
		next.expires = max(next.expires, c.granted.Load().expires)
	}
	c.granted.Store(next)
	if next.config != old {
		close(c.updated)
		c.updated = make(chan struct{})
	}
	c.term = r.Term
	if r.Soft != c.soft {
		c.soft, c.entries, c.sums = r.Soft, r.Entries, r.Tallies
		c.loads = make(map[string]*wire.Heard, len(r.Loads))
		for _, h := range r.Loads {
			c.loads[h.Name] = h
		}
	}
	return nil
}

// merge returns the configuration after the changes; the old one stays as it is.
func (c *Client) merge(old *Config, r *wire.RenewReply) (*Config, error) {
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
