package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	// maxReadWait limits how long the control group lets one read wait for a change of
	// the claim.
	maxReadWait = time.Second
	// minReadInterval limits the rate of reads when they return at once.
	minReadInterval = 20 * time.Millisecond
	// claimEndTimeout is the time allowed for ending a claim after the caller's
	// deadline.
	claimEndTimeout = 5 * time.Second
)

// claim is the exclusive right to dispatch one call that must run at most once. The
// control group stores claims by client account and idempotency key.
type claim struct {
	*plainCall
	key    string
	digest string
	// owner is unique per request, so that one request of an entry can't act on the
	// claim of another.
	owner string
	// epoch counts the claim's owners; a step with an older epoch fails.
	epoch uint64
}

// serveOnce serves a call that must run at most once, however often the caller sends it
// with the same idempotency key.
func (p *plainCall) serveOnce(ctx context.Context) error {
	if p.upstreamRequest.IdempotencyKey == "" {
		return invalidRequest("idempotency_key", "this call needs the header %s", upstream.HeaderIdempotencyKey)
	}
	if err := checkIdentifier("idempotency_key", upstream.HeaderIdempotencyKey, p.upstreamRequest.IdempotencyKey); err != nil {
		return err
	}
	o := p.handler.options
	c := &claim{
		plainCall: p, key: p.upstreamRequest.IdempotencyKey, digest: p.callDigest(),
		owner: o.Self.GetName() + ":" + strconv.FormatUint(o.Epoch, 36) + ":" + p.handler.newRequestID(),
	}
	// The call continues when its caller disconnects, so that a resend finds its answer.
	ctx, cancel := p.handler.withTimeout(context.WithoutCancel(ctx), p.remaining())
	defer cancel()
	for {
		stored, err := c.acquire(ctx)
		if err != nil {
			return err
		}
		if stored != nil {
			return c.replay(ctx, stored)
		}
		stored, err = c.execute(ctx)
		if errors.Is(err, errTakenOver) {
			continue
		}
		if err != nil {
			return err
		}
		return c.deliverStored(ctx, stored)
	}
}

// errTakenOver means that another request took over the claim before the dispatch.
var errTakenOver = errors.New("the claim was taken over")

// callDigest returns a digest of the service, method, path and body. Two calls with the
// same key must have the same digest.
func (p *plainCall) callDigest() string {
	s := sha256.New()
	for _, t := range []string{string(p.service), p.upstreamRequest.Method, p.upstreamRequest.Path} {
		s.Write([]byte(t))
		s.Write([]byte{0})
	}
	s.Write(p.body)
	return hex.EncodeToString(s.Sum(nil))
}

// sendStep sends one step of the claim to the control group. On a conflict the reply
// tells the state of the claim.
func (c *claim) sendStep(ctx context.Context, r *wire.ClaimRequest) (reply *wire.ClaimReply, err error) {
	ctx, span := c.handler.options.Tracer.Start(ctx, "control claim")
	defer func() { endSpan(span, err) }()
	r.Account, r.Key, r.Digest, r.Owner = string(c.account), c.key, c.digest, c.owner
	reply, err = c.handler.control.Claim(ctx, r)
	if !errors.Is(err, control.ErrConflict) || r.Step == wire.Step_STEP_READ {
		return reply, err
	}
	if reply != nil {
		return reply, nil // the reply names the owner
	}
	return c.sendStep(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_READ})
}

// acquire obtains the claim and returns nil, or waits for and returns the answer that
// another request with the same key has stored.
func (c *claim) acquire(ctx context.Context) (*wire.Answer, error) {
	reply, err := c.sendStep(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_OPEN})
	for {
		if err != nil {
			return nil, c.unconfirmed(ctx, err)
		}
		if reply.Phase != wire.Phase_PHASE_NONE && reply.Digest != c.digest {
			return nil, &refusal{
				status: http.StatusUnprocessableEntity, kind: kindRequest, code: "idempotency_key",
				message: "the key was used for another call", outcome: upstream.NotRun,
			}
		}
		if reply.Won && reply.Phase == wire.Phase_PHASE_OPEN {
			c.epoch = reply.Epoch
			return nil, nil
		}
		age := time.Duration(reply.Age) * time.Millisecond
		switch {
		case reply.Phase == wire.Phase_PHASE_DONE && reply.Answer != nil:
			metric.Int("claim.repeated").Add(1)
			return reply.Answer, nil
		case reply.Phase == wire.Phase_PHASE_NONE:
			if err = timer.Sleep(ctx, c.handler.timer, minReadInterval); err == nil {
				reply, err = c.sendStep(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_OPEN})
			}
		case reply.Phase == wire.Phase_PHASE_OPEN && age > c.handler.options.ClaimTakeoverAge:
			metric.Int("claim.takeovers").Add(1)
			reply, err = c.sendStep(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_OPEN, Takeover: true, Epoch: reply.Epoch})
		case reply.Phase == wire.Phase_PHASE_DISPATCHING && age > c.maxCallAge():
			return nil, unknownOutcome("claim", "the call was sent before and its outcome could not be learned")
		default:
			reply, err = c.awaitChange(ctx, reply)
		}
	}
}

// maxCallAge is the age above which a dispatched call without a stored answer must have
// ended or lost its owner.
func (c *claim) maxCallAge() time.Duration {
	d := c.handler.options.MaxRequestTimeout
	if c.upstreamRequest.Timeout > 0 {
		d = min(d, c.upstreamRequest.Timeout)
	}
	return d + claimEndTimeout
}

// awaitChange reads the claim; the read waits for a change for up to maxReadWait. A read
// of an open claim ends when the claim is old enough to be taken over.
func (c *claim) awaitChange(ctx context.Context, last *wire.ClaimReply) (*wire.ClaimReply, error) {
	wait := min(maxReadWait, c.remaining())
	if last.Phase == wire.Phase_PHASE_OPEN {
		untilTakeover := c.handler.options.ClaimTakeoverAge - time.Duration(last.Age)*time.Millisecond
		wait = min(wait, untilTakeover+time.Millisecond)
	}
	if err := timer.Sleep(ctx, c.handler.timer, minReadInterval); err != nil {
		return last, c.stillInProgress()
	}
	reply, err := c.sendStep(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_READ, Wait: uint32(max(wait.Milliseconds(), 1))})
	if ctx.Err() != nil {
		return last, c.stillInProgress()
	}
	return reply, err
}

// stillInProgress returns the refusal of a resend whose deadline passed while it waited.
// The outcome is unknown even if the claim is only open, since its owner may dispatch
// the call at any moment.
func (c *claim) stillInProgress() error {
	r := unknownOutcome("claim", "the call is still in progress; resend it with the same key for its answer")
	r.status = http.StatusGatewayTimeout
	return r
}

// unconfirmed returns the refusal if the claim could not be opened or read. The outcome
// is unknown: this request sent nothing, but an earlier one with the same key may have.
func (c *claim) unconfirmed(ctx context.Context, err error) error {
	if known := (*refusal)(nil); errors.As(err, &known) {
		return known
	}
	r := unknownOutcome("claim", "the claim could not be confirmed; resend the call with the same key")
	r.kind, r.status, r.retryAfter = kindControl, http.StatusServiceUnavailable, c.handler.retryDelay()
	if ctx.Err() != nil {
		r.status = http.StatusGatewayTimeout
	}
	return errors.CombineErrors(r, err)
}

// execute sends the call to one upstream, at most once, and stores the answer. It
// returns errTakenOver if it lost the claim before the dispatch.
func (c *claim) execute(ctx context.Context) (a *wire.Answer, err error) {
	sent := false
	defer func() {
		if !sent && err != nil && !errors.Is(err, errTakenOver) {
			c.afterResponse = append(c.afterResponse, c.abort)
		}
	}()
	slot, err := c.acquireSlot(ctx, queueKey{service: c.service}, c.grant, 1)
	if err != nil {
		return nil, err
	}
	defer slot.Release(1)
	period := c.handler.control.LeasePeriod()
	k, conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer k.Done(false)
	run, err := c.beginRun(ctx, k.Upstream)
	if errors.Is(err, errTrialPending) {
		err = c.handler.unavailable(kindUpstream, "suspected", "an upstream crashed while it ran this call, and another attempt is in progress")
	}
	if err != nil {
		return nil, err
	}
	defer func() {
		if !sent {
			_ = run.End(context.WithoutCancel(ctx))
		}
	}()
	if err = c.checkDispatch(k.Upstream, run.IsTrial(), period); err != nil {
		return nil, err
	}
	reply, err := c.sendStep(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_DISPATCH, Epoch: c.epoch})
	if err != nil {
		return nil, c.handler.unavailable(kindControl, "claim", "the claim could not be confirmed; resend the call with the same key")
	}
	if !reply.Won || reply.Phase != wire.Phase_PHASE_DISPATCHING {
		return nil, errTakenOver
	}
	sent, c.nonIdempotent = true, true
	answer, err := c.attempt(ctx, k, run, func(ctx context.Context) (upstream.Response, error) {
		m := c.upstreamRequest
		// The step to the dispatch phase may have taken long, so check everything again.
		m.PreSendCheck = c.checkAndMarkSent(run, func() error { return c.checkDispatch(k.Upstream, run.IsTrial(), period) })
		return c.handler.upstreamClient.SendPlainOnce(ctx, k.Upstream, m, conn)
	})
	return c.storeAnswer(ctx, c.storedAnswer(answer, err)), nil
}
