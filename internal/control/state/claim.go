package state

import (
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// claimKey identifies a claim by client account and idempotency key.
type claimKey struct {
	account string
	key     string
}

// claim records a request that must be executed at most once. An aborted claim is
// kept in phase NONE, so that the epoch of its key never decreases.
type claim struct {
	// digest is the hash of the request's body.
	digest string
	phase  wire.Phase
	// owner is the process of an entry instance that holds the claim.
	owner string
	// epoch increases each time the claim is opened again or taken over.
	epoch uint64
	// nonce is that of the call that made the last transition.
	nonce uint64
	// answer is set once the claim is finished.
	answer *wire.Answer
	// instant is that of the last transition, in milliseconds since 1970.
	instant int64
	// movedAt is the local time of the last transition. It is not replicated.
	movedAt timer.Instant
}

// moveClaim applies one phase transition. If the transition is refused, the claim is
// unchanged, Won is false and the reply describes the claim's current state.
func (d *Data) moveClaim(r *wire.ClaimRequest) *wire.ClaimReply {
	if r.Account == "" || r.Key == "" {
		return &wire.ClaimReply{Fault: fault(wire.Code_CODE_INVALID, "claim needs account and key")}
	}
	k := claimKey{account: r.Account, key: r.Key}
	c := d.claims[k]
	if c != nil && c.phase != wire.Phase_PHASE_NONE && r.Digest != "" && c.digest != r.Digest {
		return c.reply(fault(wire.Code_CODE_CONFLICT, "the key was used with another body"), false)
	}
	if c.isRetry(r) {
		return c.reply(nil, true)
	}
	switch r.Step {
	case wire.Step_STEP_OPEN:
		return d.openClaim(k, c, r)
	case wire.Step_STEP_DISPATCH:
		if !c.heldBy(r, wire.Phase_PHASE_OPEN) {
			return c.reply(fault(wire.Code_CODE_CONFLICT, "the claim is not open for this owner and epoch"), false)
		}
		c.phase = wire.Phase_PHASE_DISPATCHING
	case wire.Step_STEP_FINISH:
		if !c.heldBy(r, wire.Phase_PHASE_DISPATCHING) {
			return c.reply(fault(wire.Code_CODE_CONFLICT, "the claim is not dispatching for this owner and epoch"), false)
		}
		c.phase, c.answer = wire.Phase_PHASE_DONE, r.Answer
		d.notifyClaimWaiters()
	case wire.Step_STEP_ABORT:
		if !c.heldBy(r, wire.Phase_PHASE_OPEN) {
			return c.reply(fault(wire.Code_CODE_CONFLICT, "the claim is not open for this owner and epoch"), false)
		}
		c.phase = wire.Phase_PHASE_NONE
		d.notifyClaimWaiters()
	default:
		return c.reply(fault(wire.Code_CODE_INVALID, "this step is not a move"), false)
	}
	d.recordMove(k, c, r.Nonce)
	return c.reply(nil, true)
}

// openClaim creates a claim or reopens an aborted one. It takes over an open claim if
// the request asks for it and names the claim's current epoch.
func (d *Data) openClaim(k claimKey, c *claim, r *wire.ClaimRequest) *wire.ClaimReply {
	switch {
	case c == nil:
		c = &claim{epoch: max(r.Epoch, 1)}
		d.claims[k] = c
	case c.phase == wire.Phase_PHASE_NONE, r.Takeover && c.phase == wire.Phase_PHASE_OPEN && c.epoch == r.Epoch:
		c.epoch++
	default:
		return c.reply(nil, false)
	}
	c.phase, c.owner, c.digest, c.answer = wire.Phase_PHASE_OPEN, r.Owner, r.Digest, nil
	d.recordMove(k, c, r.Nonce)
	return c.reply(nil, true)
}

// recordMove records the nonce and the time of a transition and renews the retention.
func (d *Data) recordMove(k claimKey, c *claim, nonce uint64) {
	c.nonce, c.instant, c.movedAt = nonce, d.instant, d.now()
	d.claimExpiry.add(k, d.instant)
}

func (d *Data) notifyClaimWaiters() {
	close(d.claimEnded)
	d.claimEnded = make(chan struct{})
}

// heldBy reports whether the claim is in the phase and belongs to the request's owner and epoch.
func (c *claim) heldBy(r *wire.ClaimRequest, phase wire.Phase) bool {
	return c != nil && c.phase == phase && c.owner == r.Owner && c.epoch == r.Epoch
}

// isRetry reports whether the request repeats the transition that led to the
// claim's current state.
func (c *claim) isRetry(r *wire.ClaimRequest) bool {
	return c != nil && r.Nonce != 0 && c.nonce == r.Nonce && c.owner == r.Owner && r.Step == c.lastStep() &&
		(r.Step == wire.Step_STEP_OPEN || c.epoch == r.Epoch)
}

// lastStep returns the step that leads to the claim's current phase.
func (c *claim) lastStep() wire.Step {
	switch c.phase {
	case wire.Phase_PHASE_OPEN:
		return wire.Step_STEP_OPEN
	case wire.Phase_PHASE_DISPATCHING:
		return wire.Step_STEP_DISPATCH
	case wire.Phase_PHASE_DONE:
		return wire.Step_STEP_FINISH
	}
	return wire.Step_STEP_ABORT
}

// reply describes the claim, which may be nil.
func (c *claim) reply(f *wire.Fault, won bool) *wire.ClaimReply {
	if c == nil {
		return &wire.ClaimReply{Fault: f, Won: won}
	}
	return &wire.ClaimReply{
		Fault: f, Phase: c.phase, Owner: c.owner, Epoch: c.epoch, Digest: c.digest, Answer: c.answer, Won: won,
	}
}

// Claim returns the current state of a claim, with the time since its last transition
// in milliseconds, and a channel that is closed when any claim of the group is
// finished or aborted.
func (d *Data) Claim(r *wire.ClaimRequest) (*wire.ClaimReply, <-chan struct{}) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	c := d.claims[claimKey{account: r.Account, key: r.Key}]
	if c == nil {
		return c.reply(nil, false), d.claimEnded
	}
	var f *wire.Fault
	if c.phase != wire.Phase_PHASE_NONE && r.Digest != "" && c.digest != r.Digest {
		f = fault(wire.Code_CODE_CONFLICT, "the key was used with another body")
	}
	reply := c.reply(f, false)
	reply.Age = uint64(max(d.now().Sub(c.movedAt), 0) / time.Millisecond)
	return reply, d.claimEnded
}
