package server

import (
	"context"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/control/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// dataGroup returns the data group that stores the key.
func (s *Service) dataGroup(account, key string) uint32 {
	return state.GroupOf(account, key, uint32(len(s.data)))
}

// Claim applies one step of a claim, or reads the claim.
func (s *Service) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	group := s.dataGroup(r.Account, r.Key)
	if r.Step == wire.Step_STEP_READ {
		return s.readClaim(ctx, group, r), nil
	}
	reply := &wire.ClaimReply{}
	c := &wire.Command{Body: &wire.Command_Claim{Claim: r}}
	if f := s.propose(ctx, group, c, reply); f != nil {
		return &wire.ClaimReply{Fault: f}, nil
	}
	if !reply.Won && reply.Phase != wire.Phase_PHASE_NONE {
		// The state machine's reply holds no age, since that is not replicated.
		current, _ := s.data[group-1].Claim(r)
		if current.Epoch == reply.Epoch && current.Phase == reply.Phase {
			reply.Age = current.Age
		}
	}
	return reply, nil
}

// readClaim returns a claim once it is finished, aborted or missing, or its current state
// when the wait ends.
func (s *Service) readClaim(ctx context.Context, group uint32, r *wire.ClaimRequest) *wire.ClaimReply {
	if f := s.readBarrier(ctx, group); f != nil {
		return &wire.ClaimReply{Fault: f}
	}
	wait := min(time.Duration(r.Wait)*time.Millisecond, maxWait)
	timeout, cancel := timer.WithTimeout(ctx, s.timer, wait)
	defer cancel()
	for {
		reply, ended := s.data[group-1].Claim(r)
		if reply.Fault != nil || wait <= 0 || reply.Phase == wire.Phase_PHASE_DONE || reply.Phase == wire.Phase_PHASE_NONE {
			return reply
		}
		select {
		case <-ended:
			continue
		case <-timeout.Done():
		}
		// This instance may have lost the leadership while it waited, so the state
		// needs another read barrier.
		if f := s.readBarrier(ctx, group); f != nil {
			return &wire.ClaimReply{Fault: f}
		}
		reply, _ = s.data[group-1].Claim(r)
		return reply
	}
}

// Pin creates or moves the pin of a session. A request without a version reads it.
func (s *Service) Pin(ctx context.Context, r *wire.PinRequest) (*wire.PinReply, error) {
	group := s.dataGroup(r.Account, state.PinKey(r.Service, r.Session))
	if r.Version == "" {
		if f := s.readBarrier(ctx, group); f != nil {
			return &wire.PinReply{Fault: f}, nil
		}
		return s.data[group-1].Pin(r), nil
	}
	reply := &wire.PinReply{}
	c := &wire.Command{Body: &wire.Command_Pin{Pin: r}}
	if f := s.propose(ctx, group, c, reply); f != nil {
		return &wire.PinReply{Fault: f}, nil
	}
	return reply, nil
}

// Charge records the charge of a request. A repeated call does not charge again.
func (s *Service) Charge(ctx context.Context, r *wire.ChargeRequest) (*wire.ChargeReply, error) {
	reply := &wire.ChargeReply{}
	c := &wire.Command{Body: &wire.Command_Charge{Charge: r}}
	if f := s.propose(ctx, s.dataGroup(r.Account, r.Request), c, reply); f != nil {
		return &wire.ChargeReply{Fault: f}, nil
	}
	return reply, nil
}

// Ledger returns the totals and the latest charges of one data group.
func (s *Service) Ledger(ctx context.Context, r *wire.LedgerRequest) (*wire.LedgerReply, error) {
	if r.Group == 0 || int(r.Group) > len(s.data) {
		return &wire.LedgerReply{Fault: &wire.Fault{Code: wire.Code_CODE_INVALID, Text: "no such data group"}}, nil
	}
	if f := s.readBarrier(ctx, r.Group); f != nil {
		return &wire.LedgerReply{Fault: f}, nil
	}
	return s.data[r.Group-1].Ledger(r), nil
}
