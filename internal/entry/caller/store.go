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

// refusalContentType marks a stored answer as a refusal, so that a resend gets the
// refusal with its outcome.
const refusalContentType = "application/vnd.wisteriakeel.refusal+json"

// connect picks an upstream and opens the connection for the call. Nothing is sent
// yet, so it skips upstreams that cannot be reached.
func (c *claim) connect(ctx context.Context) (k *route.Selection, conn net.Conn, err error) {
	c.handler.retryBudget.CountRequest()
	var tried []string
	var failure error
	for {
		k, err = c.pick(tried)
		if err != nil {
			return nil, nil, errors.CombineErrors(failure, err)
		}
		conn, failure = c.handler.upstreamClient.Dial(ctx, k.Upstream)
		if failure == nil {
			return k, conn, nil
		}
		k.Done(ctx.Err() == nil)
		if ctx.Err() != nil || !c.handler.retryBudget.AllowRetry() {
			return nil, nil, failure
		}
		tried = append(tried, k.Upstream.Name)
	}
}

// abort ends the claim of a call that was not sent, so that a resend can run. It runs
// after the refusal was sent, so that the caller doesn't wait for it.
func (c *claim) abort() {
	ctx, cancel := c.handler.withTimeout(context.WithoutCancel(c.httpRequest.Context()), claimEndTimeout)
	defer cancel()
	reply, err := c.sendStep(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_ABORT, Epoch: c.epoch})
	if err != nil || reply.Phase != wire.Phase_PHASE_DISPATCHING || reply.Owner != c.owner {
		return
	}
	// The step to the dispatch phase was applied although its reply was lost.
	c.finish(ctx, c.storedAnswer(upstream.Response{}, c.handler.unavailable(kindControl, "claim", "the call was not sent")))
}

// storedAnswer converts the result of the call into the answer to store.
func (c *claim) storedAnswer(a upstream.Response, err error) *wire.Answer {
	if err == nil {
		contentType := a.ContentType
		if contentType == refusalContentType {
			contentType = "application/json"
		}
		return &wire.Answer{Status: uint32(a.Status), Type: contentType, Body: a.Body}
	}
	r := c.combinedRefusal(err)
	if r.code == codeLease {
		// Another entry, which holds a lease, may deliver this answer.
		r.kind, r.code, r.message = kindControl, "claim", "the call was not sent: the entry lost its lease"
	}
	if r.outcome == upstream.NotRun {
		// The key is never dispatched again, so a resend would get this refusal.
		r.message += "; send it with a new key"
	}
	return &wire.Answer{
		Status: uint32(r.status), Type: refusalContentType, Body: r.body(),
		Unknown: r.outcome == upstream.Unknown,
	}
}

// storeAnswer ends the claim with the answer. An upstream's answer is stored before the
// caller gets it, as far as the deadline allows. A refusal is sent to the caller at once
// and stored afterwards.
func (c *claim) storeAnswer(ctx context.Context, a *wire.Answer) *wire.Answer {
	if a.Type != refusalContentType && c.finish(ctx, a) {
		return a
	}
	c.afterResponse = append(c.afterResponse, func() {
		ctx, cancel := c.handler.withTimeout(context.WithoutCancel(ctx), claimEndTimeout)
		defer cancel()
		if !c.finish(ctx, a) {
			// A resend will be answered with an unknown outcome.
			metric.Int("claim.unstored").Add(1)
		}
	})
	return a
}

// maxStoredAnswerBytes limits a stored answer, since it is replicated and kept for a day.
const maxStoredAnswerBytes = 256 << 10

// finish stores the answer and reports whether that was confirmed. An answer that is too
// large is stored as an unknown outcome.
func (c *claim) finish(ctx context.Context, a *wire.Answer) bool {
	if len(a.Body) > maxStoredAnswerBytes {
		a = &wire.Answer{Unknown: true}
	}
	_, err := c.sendStep(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_FINISH, Epoch: c.epoch, Answer: a})
	return err == nil
}

// replay delivers a stored answer to a later request with the same key, if the entry
// holds a lease.
func (c *claim) replay(ctx context.Context, a *wire.Answer) error {
	if _, err := c.handler.leasedConfig(); err != nil {
		r := *c.handler.toRefusal(err)
		r.outcome = upstream.Unknown // the call was sent by an earlier request
		return &r
	}
	return c.deliverStored(ctx, a)
}

// deliverStored sends the stored answer to the caller. The charge's request ID is derived
// from the key, so that all requests with the key are charged once.
func (c *claim) deliverStored(ctx context.Context, a *wire.Answer) error {
	if a.Type != refusalContentType {
		answer := upstream.Response{Status: int(a.Status), ContentType: a.Type, Body: a.Body}
		if a.Unknown || a.Status == 0 {
			return unknownOutcome("claim", "the call was sent and its outcome could not be learned")
		}
		return c.deliver(ctx, answer, "key:"+c.key, c.digest)
	}
	var b errorBody
	if err := json.Unmarshal(a.Body, &b); err != nil || a.Unknown {
		return unknownOutcome("claim", "the call was sent and its outcome could not be learned")
	}
	return &refusal{
		status: int(a.Status), kind: b.Error.Type, code: b.Error.Code, message: b.Error.Message,
		outcome: b.Error.Outcome, retryAfter: time.Duration(b.Error.Retry) * time.Millisecond,
	}
}
