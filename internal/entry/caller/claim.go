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

// Bounds of claims.
const (
	// readWait is the longest time that one read waits for the end of a claim.
	readWait = time.Second
	// readPause keeps reads that return at once from following each other without a pause.
	readPause = 20 * time.Millisecond
	// closing is the time for ending a claim after the caller's deadline.
	closing = 5 * time.Second
)

// claim is the right to send one call that may not be repeated.
type claim struct {
	*plainCall
	key    string
	digest string
	// owner is unique per request: two requests of one entry must not pass for each other.
	owner string
	epoch uint64
}

// once serves a call that may not be repeated.
func (p *plainCall) once(ctx context.Context) error {
	if p.message.IdempotencyKey == "" {
		return invalid("idempotency_key", "this call needs the header %s", upstream.HeaderIdempotencyKey)
	}
	if len(p.message.IdempotencyKey) > textLimit {
		return invalid("idempotency_key", "%s is longer than %d bytes", upstream.HeaderIdempotencyKey, textLimit)
	}
	o := p.handler.options
	c := &claim{
		plainCall: p, key: p.message.IdempotencyKey, digest: p.callDigest(),
		owner: o.Self.GetName() + ":" + strconv.FormatUint(o.Epoch, 36) + ":" + p.handler.identity(),
	}
	// The call goes on without its caller, so that a resend finds its answer.
	ctx, cancel := p.handler.within(context.WithoutCancel(ctx), p.left())
	defer cancel()
	for {
		stored, err := c.open(ctx)
		if err != nil {
			return err
		}
		if stored != nil {
			return c.resent(ctx, stored)
		}
		stored, err = c.execute(ctx)
		if errors.Is(err, errTaken) {
			continue
		}
		if err != nil {
			return err
		}
		return c.hand(ctx, stored)
	}
}

// errTaken means that another request took the claim over before the dispatch.
var errTaken = errors.New("the claim was taken over")

// callDigest covers everything that makes two calls the same.
func (p *plainCall) callDigest() string {
	s := sha256.New()
	for _, t := range []string{string(p.service), p.message.Method, p.message.Path} {
		s.Write([]byte(t))
		s.Write([]byte{0})
	}
	s.Write(p.body)
	return hex.EncodeToString(s.Sum(nil))
}

// move sends one step of the claim.
func (c *claim) move(ctx context.Context, r *wire.ClaimRequest) (reply *wire.ClaimReply, err error) {
	ctx, span := c.handler.options.Tracer.Start(ctx, "control claim")
	defer func() { end(span, err) }()
	r.Account, r.Key, r.Digest, r.Owner = string(c.account), c.key, c.digest, c.owner
	reply, err = c.handler.control.Claim(ctx, r)
	if !errors.Is(err, control.ErrConflict) || r.Step == wire.Step_STEP_READ {
		return reply, err
	}
	if reply != nil {
		return reply, nil // the reply tells who was first
	}
	return c.move(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_READ})
}

// open gets the claim (nil answer) or waits for the stored answer of another.
func (c *claim) open(ctx context.Context) (*wire.Answer, error) {
	reply, err := c.move(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_OPEN})
	for {
		if err != nil {
			return nil, c.unopened(ctx, err)
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
			if err = timer.Sleep(ctx, c.handler.timer, readPause); err == nil {
				reply, err = c.move(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_OPEN})
			}
		case reply.Phase == wire.Phase_PHASE_OPEN && age > c.handler.options.ClaimTakeoverAge:
			metric.Int("claim.takeovers").Add(1)
			reply, err = c.move(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_OPEN, Takeover: true, Epoch: reply.Epoch})
		case reply.Phase == wire.Phase_PHASE_DISPATCHING && age > c.longest():
			return nil, unknown("claim", "the call was sent before and its outcome could not be learned")
		default:
			reply, err = c.wait(ctx, reply)
		}
	}
}

// longest is the age at which a call that is still on its way will not end any more.
func (c *claim) longest() time.Duration {
	d := c.handler.options.MaxTimeout
	if c.message.Timeout > 0 {
		d = min(d, c.message.Timeout)
	}
	return d + closing
}

// wait reads the claim until it has moved.
func (c *claim) wait(ctx context.Context, last *wire.ClaimReply) (*wire.ClaimReply, error) {
	wait := min(readWait, c.left())
	if last.Phase == wire.Phase_PHASE_OPEN {
		left := c.handler.options.ClaimTakeoverAge - time.Duration(last.Age)*time.Millisecond
		wait = min(wait, left+time.Millisecond)
	}
	if err := timer.Sleep(ctx, c.handler.timer, readPause); err != nil {
		return last, c.overdue()
	}
	reply, err := c.move(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_READ, Wait: uint32(max(wait.Milliseconds(), 1))})
	if ctx.Err() != nil {
		return last, c.overdue()
	}
	return reply, err
}

// overdue is the answer to a resend whose deadline passed while it waited. An
// open claim may also be sent at any moment, by the request that owns it.
func (c *claim) overdue() error {
	r := unknown("claim", "the call is still in progress; resend it with the same key for its answer")
	r.status = http.StatusGatewayTimeout
	return r
}

// unopened is the answer if the claim could not be opened or read. This
// request sent nothing, but one before it with the same key may have.
func (c *claim) unopened(ctx context.Context, err error) error {
	if own := (*refusal)(nil); errors.As(err, &own) {
		return own
	}
	r := unknown("claim", "the claim could not be confirmed; resend the call with the same key")
	r.kind, r.status, r.retry = kindControl, http.StatusServiceUnavailable, c.handler.pause()
	if ctx.Err() != nil {
		r.status = http.StatusGatewayTimeout
	}
	return errors.CombineErrors(r, err)
}

// execute sends the call to one upstream, at most once, and stores the answer.
func (c *claim) execute(ctx context.Context) (a *wire.Answer, err error) {
	sent := false
	defer func() {
		if !sent && err != nil && !errors.Is(err, errTaken) {
			c.after = append(c.after, c.abort)
		}
	}()
	t, err := c.enter(ctx, placeKey{service: c.service}, c.grant, 1)
	if err != nil {
		return nil, err
	}
	defer t.Release(1)
	k, conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer k.Done(false)
	run, err := c.venture(ctx, k.Upstream)
	if errors.Is(err, errOccupied) {
		err = c.handler.busy(kindUpstream, "suspected", "an upstream crashed while it ran this call, and another attempt is in progress")
	}
	if err != nil {
		return nil, err
	}
	defer func() {
		if !sent {
			_ = run.End(context.WithoutCancel(ctx))
		}
	}()
	if err = c.clear(k.Upstream, run.IsTrial()); err != nil {
		return nil, err
	}
	reply, err := c.move(ctx, &wire.ClaimRequest{Step: wire.Step_STEP_DISPATCH, Epoch: c.epoch})
	if err != nil {
		return nil, c.handler.busy(kindControl, "claim", "the claim could not be confirmed; resend the call with the same key")
	}
	if !reply.Won || reply.Phase != wire.Phase_PHASE_DISPATCHING {
		return nil, errTaken
	}
	sent, c.single = true, true
	answer, err := c.attempt(ctx, k, run, func(ctx context.Context) (upstream.Response, error) {
		m := c.message
		// The claim may have taken long, so everything is checked once more.
		m.PreSendCheck = sending(run, func() error { return c.clear(k.Upstream, run.IsTrial()) })
		return c.handler.dispatcher.SendPlainOnce(ctx, k.Upstream, m, conn)
	})
	return c.store(ctx, c.answer(answer, err)), nil
}
