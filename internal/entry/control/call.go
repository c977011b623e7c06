package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmetadata"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// redirectLimit bounds the redirects followed without a pause; more of them mean
// that the instances do not agree on the leader yet.
const redirectLimit = 3

// refusedToken is the drpc error code of a refused peer token.
const refusedToken = 16

// call says how one call is made.
type call struct {
	group uint32
	pool  *pool
	// limit bounds one attempt.
	limit time.Duration
	// changes is true if the call may have an effect.
	changes bool
}

// answer is a reply with a fault.
type answer interface {
	GetFault() *wire.Fault
}

// method is one call of the generated client.
type method[Q any, R answer] func(d wire.DRPCControlClient, ctx context.Context, r Q) (R, error)

// invoke makes a call until it has a final answer or the context is done. A
// refusal returns the reply as well as the error.
func invoke[Q any, R answer](ctx context.Context, c *Client, k call, r Q, m method[Q, R]) (reply R, err error) {
	maybe, hops := false, 0
	last := errors.New("not tried")
	refusing := map[string]bool{} // instances that refused the token of this process
	for ctx.Err() == nil {
		address := c.leaders.pick(k.group)
		var sent bool
		reply, sent, err = attempt(ctx, c, k, address, r, m)
		if err != nil {
			refusing[address] = refusing[address] || drpcerr.Code(err) == refusedToken
			// An instance that refused the token before does not read this attempt either,
			// although the caller's time ended before it said so.
			maybe = maybe || sent && k.changes && !refusing[address]
			last = errors.Wrapf(err, "control instance %s", address)
			// A caller that gave up says nothing about the instance.
			if ctx.Err() == nil {
				c.leaders.fail(k.group, address)
			}
			c.pause(ctx)
			continue
		}
		f := reply.GetFault()
		switch f.GetCode() {
		case wire.Code_CODE_REDIRECT:
			last = errors.Newf("control instance %s does not lead", address)
			c.leaders.forget(k.group, address)
			hops++
			if c.leaders.learn(k.group, f.Leader) && hops <= redirectLimit {
				continue
			}
			c.leaders.forget(k.group, f.Leader)
			hops = 0
		case wire.Code_CODE_UNAVAILABLE, wire.Code_CODE_UNKNOWN:
			maybe = maybe || k.changes && f.Code == wire.Code_CODE_UNKNOWN
			last = errors.Newf("control instance %s: %s", address, f.Text)
			c.leaders.forget(k.group, address)
		default:
			c.leaders.answered(k.group, address)
			return reply, failure(f, maybe)
		}
		c.pause(ctx)
	}
	if maybe {
		return reply, errors.Wrap(ErrOutcomeUnknown, last.Error())
	}
	return reply, errors.Wrap(ErrUnavailable, last.Error())
}

// attempt makes a call once. The result sent tells whether it may have arrived.
func attempt[Q any, R answer](ctx context.Context, c *Client, k call, address string, r Q, m method[Q, R]) (reply R, sent bool, err error) {
	once, cancel := timer.WithTimeout(ctx, c.options.Timer, k.limit)
	defer cancel()
	conn, err := k.pool.get(once, address)
	if err != nil {
		return reply, false, err
	}
	reply, err = m(wire.NewDRPCControlClient(conn), drpcmetadata.Add(once, "peer", c.options.PeerToken), r)
	k.pool.put(address, conn, err != nil)
	if err != nil && once.Err() != nil && ctx.Err() == nil {
		k.pool.drop(address)
		err = errors.Newf("no answer within %s", k.limit)
	}
	// A refused token says that the instance has not read the request.
	return reply, drpcerr.Code(err) != refusedToken, err
}

// pause waits a short random time before the next attempt.
func (c *Client) pause(ctx context.Context) {
	d := pauseLeast + time.Duration(c.random(uint64(pauseMost-pauseLeast)))
	_ = timer.Sleep(ctx, c.options.Timer, d)
}

// random returns a number below n; zero stands for the whole range.
func (c *Client) random(n uint64) uint64 {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	if n == 0 {
		return c.options.Random.Uint64()
	}
	return c.options.Random.Uint64N(n)
}

// failure turns the fault of a final answer into an error. A full disk says only
// that the last attempt did nothing.
func failure(f *wire.Fault, maybe bool) error {
	switch f.GetCode() {
	case wire.Code_CODE_OK:
		return nil
	case wire.Code_CODE_CONFLICT:
		return errors.Wrap(ErrConflict, f.Text)
	case wire.Code_CODE_INVALID:
		return errors.Wrap(ErrInvalid, f.Text)
	case wire.Code_CODE_MISSING:
		return errors.Wrap(ErrNotFound, f.Text)
	case wire.Code_CODE_FULL:
		if maybe {
			return errors.Wrap(ErrOutcomeUnknown, f.Text)
		}
		return errors.Wrap(ErrStorageFull, f.Text)
	}
	return errors.Wrap(ErrOutcomeUnknown, f.Text)
}
