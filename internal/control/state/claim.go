package state

import (
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

type claimKey struct {
	account string
	key     string
}

// claim is the record of a call that may not be repeated. An aborted claim stays
// as phase none, so that the epochs of its key never go back.
type claim struct {
	digest  string
	phase   wire.Phase
	owner   string
	epoch   uint64
	nonce   uint64
	answer  *wire.Answer
	instant int64
	// moved is a local reading and no part of the state.
	moved timer.Instant
}

// claim makes one move. A move that was not made leaves the claim as it is, has
// Won unset and shows the claim as it is now.
func (d *Data) claim(r *wire.ClaimRequest) *wire.ClaimReply {
	if r.Account == "" || r.Key == "" {
		return &wire.ClaimReply{Fault: fault(wire.Code_CODE_INVALID, "claim needs account and key")}
	}
	k := claimKey{account: r.Account, key: r.Key}
	c := d.claims[k]
	if c != nil && c.phase != wire.Phase_PHASE_NONE && r.Digest != "" && c.digest != r.Digest {
		return c.reply(fault(wire.Code_CODE_CONFLICT, "the key was used with another body"), false)
	}
	if c.repeated(r) {
		return c.reply(nil, true)
	}
	switch r.Step {
	case wire.Step_STEP_OPEN:
		return d.open(k, c, r)
	case wire.Step_STEP_DISPATCH:
		if !c.held(r, wire.Phase_PHASE_OPEN) {
			return c.reply(fault(wire.Code_CODE_CONFLICT, "the claim is not open for this owner and epoch"), false)
		}
		c.phase = wire.Phase_PHASE_DISPATCHING
	case wire.Step_STEP_FINISH:
		if !c.held(r, wire.Phase_PHASE_DISPATCHING) {
			return c.reply(fault(wire.Code_CODE_CONFLICT, "the claim is not dispatching for this owner and epoch"), false)
		}
		c.phase, c.answer = wire.Phase_PHASE_DONE, r.Answer
		d.wake()
	case wire.Step_STEP_ABORT:
		if !c.held(r, wire.Phase_PHASE_OPEN) {
			return c.reply(fault(wire.Code_CODE_CONFLICT, "the claim is not open for this owner and epoch"), false)
		}
		c.phase = wire.Phase_PHASE_NONE
		d.wake()
	default:
		return c.reply(fault(wire.Code_CODE_INVALID, "this step is not a move"), false)
	}
	d.moved(k, c, r.Nonce)
	return c.reply(nil, true)
}

// open creates a claim, or takes an open one over if the request names its epoch.
func (d *Data) open(k claimKey, c *claim, r *wire.ClaimRequest) *wire.ClaimReply {
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
	d.moved(k, c, r.Nonce)
	return c.reply(nil, true)
}

func (d *Data) moved(k claimKey, c *claim, nonce uint64) {
	c.nonce, c.instant, c.moved = nonce, d.instant, d.now()
	d.oldClaims.add(k, d.instant)
}

func (d *Data) wake() {
	close(d.finished)
	d.finished = make(chan struct{})
}

// held tells whether the claim is in the phase and belongs to the request's owner and epoch.
func (c *claim) held(r *wire.ClaimRequest, phase wire.Phase) bool {
	return c != nil && c.phase == phase && c.owner == r.Owner && c.epoch == r.Epoch
}

// repeated tells whether the request is another attempt of the move that led to
// the claim as it is now.
func (c *claim) repeated(r *wire.ClaimRequest) bool {
	return c != nil && r.Nonce != 0 && c.nonce == r.Nonce && c.owner == r.Owner && r.Step == c.step() &&
		(r.Step == wire.Step_STEP_OPEN || c.epoch == r.Epoch)
}

// step returns the step that led to the claim's phase.
func (c *claim) step() wire.Step {
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

func (c *claim) reply(f *wire.Fault, won bool) *wire.ClaimReply {
	if c == nil {
		return &wire.ClaimReply{Fault: f, Won: won}
	}
	return &wire.ClaimReply{
		Fault: f, Phase: c.phase, Owner: c.owner, Epoch: c.epoch, Digest: c.digest, Answer: c.answer, Won: won,
	}
}

// Claim returns a claim as it is now, with its age in milliseconds, and a channel
// that is closed when some claim of the group ends.
func (d *Data) Claim(r *wire.ClaimRequest) (*wire.ClaimReply, <-chan struct{}) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	c := d.claims[claimKey{account: r.Account, key: r.Key}]
	if c == nil {
		return c.reply(nil, false), d.finished
	}
	var f *wire.Fault
	if c.phase != wire.Phase_PHASE_NONE && r.Digest != "" && c.digest != r.Digest {
		f = fault(wire.Code_CODE_CONFLICT, "the key was used with another body")
	}
	reply := c.reply(f, false)
	reply.Age = uint64(max(d.now().Sub(c.moved), 0) / time.Millisecond)
	return reply, d.finished
}
