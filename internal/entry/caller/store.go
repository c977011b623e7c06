package caller

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/entry/route"
	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// refusalType marks a stored refusal, so that a resend gets it with its outcome.
const refusalType = "application/vnd.wisteriakeel.refusal+json"

// connect chooses an upstream and opens the connection for the call. Nothing
// is sent, so upstreams that cannot be reached are passed over.
func (c *claim) connect(ctx context.Context) (k *route.Selection, conn net.Conn, err error) {
	c.handler.budget.CountRequest()
	var tried []string
	var failure error
	for {
		k, err = c.pick(tried)
		if err != nil {
			return nil, nil, errors.CombineErrors(failure, err)
		}
		conn, failure = c.handler.dispatcher.Dial(ctx, k.Upstream)
		if failure == nil {
			return k, conn, nil
		}
		k.Done(ctx.Err() == nil)
		if ctx.Err() != nil || !c.handler.budget.AllowRetry() {
			return nil, nil, failure
		}
		tried = append(tried, k.Upstream.Name)
	}
}

// abort ends the claim of a call that was not sent, so that a resend can run.
// It follows the refusal, which does not wait for it.
func (c *claim) abort() {
	ctx, cancel := c.handler.within(context.WithoutCancel(c.http.Context()), closing)
	defer cancel()
	reply, err := c.move(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_ABORT, Epoch: c.epoch})
	if err != nil || reply.Phase != wire.Phase_PHASE_DISPATCHING || reply.Owner != c.owner {
		return
	}
	// The claim moved on although the move's answer was lost.
	c.finish(ctx, c.answer(upstream.Response{}, c.handler.busy(kindControl, "claim", "the call was not sent")))
}

// answer is what is stored for the outcome of the call.
func (c *claim) answer(a upstream.Response, err error) *wire.Answer {
	if err == nil {
		kind := a.ContentType
		if kind == refusalType {
			kind = "application/json"
		}
		return &wire.Answer{Status: uint32(a.Status), Type: kind, Body: a.Body}
	}
	r := c.outcome(err)
	if r.code == codeLease {
		// Another entry may hand this out, and it holds a lease of its own.
		r.kind, r.code, r.message = kindControl, "claim", "the call was not sent: the entry lost its lease"
	}
	if r.outcome == upstream.NotRun {
		// There is no second dispatch with the key, so a resend gets this refusal again.
		r.message += "; send it with a new key"
	}
	return &wire.Answer{
		Status: uint32(r.status), Type: refusalType, Body: r.body(),
		Unknown: r.outcome == upstream.Unknown,
	}
}

// store ends the claim with the answer. A complete answer is stored before the
// caller gets it, as far as the deadline allows; one without an answer is told at once.
func (c *claim) store(ctx context.Context, a *wire.Answer) *wire.Answer {
	if a.Type != refusalType && c.finish(ctx, a) {
		return a
	}
	c.after = append(c.after, func() {
		ctx, cancel := c.handler.within(context.WithoutCancel(ctx), closing)
		defer cancel()
		if !c.finish(ctx, a) {
			// A resend is told that the outcome is unknown.
			metric.Int("claim.unstored").Add(1)
		}
	})
	return a
}

// storeLimit bounds a stored answer, since it is replicated and kept for a day.
const storeLimit = 256 << 10

// finish stores the answer and tells whether that is confirmed.
func (c *claim) finish(ctx context.Context, a *wire.Answer) bool {
	if len(a.Body) > storeLimit {
		a = &wire.Answer{Unknown: true}
	}
	_, err := c.move(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_FINISH, Epoch: c.epoch, Answer: a})
	return err == nil
}

// resent hands a stored answer to a later request with the same key.
func (c *claim) resent(ctx context.Context, a *wire.Answer) error {
	if _, err := c.handler.config(); err != nil {
		r := *c.handler.refuse(err)
		r.outcome = upstream.Unknown // the call was sent by an earlier request
		return &r
	}
	return c.hand(ctx, a)
}

// hand gives the caller the stored answer. The charge carries the identity of
// the key, so that all requests with the key make one charge.
func (c *claim) hand(ctx context.Context, a *wire.Answer) error {
	if a.Type != refusalType {
		answer := upstream.Response{Status: int(a.Status), ContentType: a.Type, Body: a.Body}
		if a.Unknown || a.Status == 0 {
			return unknown("claim", "the call was sent and its outcome could not be learned")
		}
		return c.deliver(ctx, answer, "key:"+c.key, c.digest)
	}
	var b errorBody
	if err := json.Unmarshal(a.Body, &b); err != nil || a.Unknown {
		return unknown("claim", "the call was sent and its outcome could not be learned")
	}
	return &refusal{
		status: int(a.Status), kind: b.Error.Type, code: b.Error.Code, message: b.Error.Message,
		outcome: b.Error.Outcome, retry: time.Duration(b.Error.Retry) * time.Millisecond,
	}
}
