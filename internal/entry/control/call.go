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

// maxRedirects bounds the redirects followed without a pause. More of them mean that the
// control instances do not agree on the leader yet.
const maxRedirects = 3

// codeWrongToken is the drpc error code of a call with a wrong peer token. The server has
// the same constant.
const codeWrongToken = 16

// call holds the parameters of one call.
type call struct {
	group uint32
	// pool provides the connections.
	pool *pool
	// timeout bounds each attempt.
	timeout time.Duration
	// mutates is true if the call may change state.
	mutates bool
}

// faultReply is a reply that can hold a fault.
type faultReply interface {
	GetFault() *wire.Fault
}

// rpcMethod is a method of the generated client.
type rpcMethod[Q any, R faultReply] func(d wire.DRPCControlClient, ctx context.Context, r Q) (R, error)

// invoke repeats a call until it has a final reply or the context is done. If the reply
// holds a fault, it is returned together with the error.
func invoke[Q any, R faultReply](ctx context.Context, c *Client, k call, r Q, m rpcMethod[Q, R]) (reply R, err error) {
	maybeApplied, redirects := false, 0
	lastErr := errors.New("not tried")
	rejected := map[string]bool{} // instances that rejected the peer token
	for ctx.Err() == nil {
		address := c.leaders.pick(k.group)
		var sent bool
		reply, sent, err = attempt(ctx, c, k, address, r, m)
		if err != nil {
			rejected[address] = rejected[address] || drpcerr.Code(err) == codeWrongToken
			// An instance that rejected the token before does not read this attempt either,
			// even if the context ended before it could reject it.
			maybeApplied = maybeApplied || sent && k.mutates && !rejected[address]
			lastErr = errors.Wrapf(err, "control instance %s", address)
			// A call that was cancelled by its caller does not mean that the instance failed.
			if ctx.Err() == nil {
				c.leaders.markFailed(k.group, address)
			}
			c.backOff(ctx)
			continue
		}
		f := reply.GetFault()
		switch f.GetCode() {
		case wire.Code_CODE_REDIRECT:
			lastErr = errors.Newf("control instance %s does not lead", address)
			c.leaders.forget(k.group, address)
			redirects++
			if c.leaders.followRedirect(k.group, f.Leader) && redirects <= maxRedirects {
				continue
			}
			c.leaders.forget(k.group, f.Leader)
			redirects = 0
		case wire.Code_CODE_UNAVAILABLE, wire.Code_CODE_UNKNOWN:
			maybeApplied = maybeApplied || k.mutates && f.Code == wire.Code_CODE_UNKNOWN
			lastErr = errors.Newf("control instance %s: %s", address, f.Text)
			c.leaders.forget(k.group, address)
		default:
			c.leaders.confirm(k.group, address)
			return reply, errorOf(f, maybeApplied)
		}
		c.backOff(ctx)
	}
	if maybeApplied {
		return reply, errors.Wrap(ErrOutcomeUnknown, lastErr.Error())
	}
	return reply, errors.Wrap(ErrUnavailable, lastErr.Error())
}

// attempt makes a call once. The result sent is true if the instance may have read the request.
func attempt[Q any, R faultReply](ctx context.Context, c *Client, k call, address string, r Q, m rpcMethod[Q, R]) (reply R, sent bool, err error) {
	callCtx, cancel := timer.WithTimeout(ctx, c.options.Timer, k.timeout)
	defer cancel()
	conn, err := k.pool.get(callCtx, address)
	if err != nil {
		return reply, false, err
	}
	reply, err = m(wire.NewDRPCControlClient(conn), drpcmetadata.Add(callCtx, "peer", c.options.PeerToken), r)
	k.pool.put(address, conn, err != nil)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		k.pool.closeIdle(address)
		err = errors.Newf("no answer within %s", k.timeout)
	}
	// An instance that rejects the token has not read the request.
	return reply, drpcerr.Code(err) != codeWrongToken, err
}

// backOff waits a random time between minBackoff and maxBackoff.
func (c *Client) backOff(ctx context.Context) {
	d := minBackoff + time.Duration(c.random(uint64(maxBackoff-minBackoff)))
	_ = timer.Sleep(ctx, c.options.Timer, d)
}

// random returns a number below n, or any number if n is zero.
func (c *Client) random(n uint64) uint64 {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	if n == 0 {
		return c.options.Random.Uint64()
	}
	return c.options.Random.Uint64N(n)
}

// errorOf returns the error for the fault of a final reply. A full disk only means that the
// last attempt had no effect, so the outcome is unknown if an earlier one may have had one.
func errorOf(f *wire.Fault, maybeApplied bool) error {
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
		if maybeApplied {
			return errors.Wrap(ErrOutcomeUnknown, f.Text)
		}
		return errors.Wrap(ErrStorageFull, f.Text)
	}
	return errors.Wrap(ErrOutcomeUnknown, f.Text)
}
