package coordinator

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/gateway/canary"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// rollout is a roll-out under way as this instance follows it.
type rollout struct {
	record *wire.Rollout
	start  timer.Instant
	stage  *canary.Rollout
	share  canary.Share
	held   map[uint64]bool
	ending bool
}

// follow starts and ends the stages of roll-outs. It also runs on instances that do
// not lead, so that a new leader knows when a roll-out began.
func (h *Coordinator) follow() {
	for _, r := range h.options.State.Rollouts() {
		have := h.stages[r.GetService()]
		if r.GetPhase() != wire.Phase_PHASE_RUNNING {
			delete(h.stages, r.GetService())
			continue
		}
		if have == nil || have.record.GetTarget() != r.GetTarget() {
			h.stages[r.GetService()] = &rollout{
				record: r, start: h.options.Timer.Now(), held: map[uint64]bool{},
				stage: canary.New(time.Duration(r.GetDuration())*time.Millisecond, h.options.Exposure),
			}
		}
	}
}

// rollouts returns the roll-outs with the shares of those under way.
func (h *Coordinator) rollouts() (out []*wire.Rollout) {
	for _, r := range h.options.State.Rollouts() {
		if s := h.stages[r.GetService()]; s != nil {
			r = proto.Clone(r).(*wire.Rollout)
			r.Share, r.Bucket = uint32(s.share), uint32(s.stage.CanaryShare())
			for session := range s.held {
				r.Held = append(r.Held, session)
			}
		}
		out = append(out, r)
	}
	return out
}

// count adds answers to the roll-out of their service.
func (h *Coordinator) count(o *wire.Outcome) {
	r := h.stages[o.GetService()]
	if r == nil {
		return
	}
	r.stage.Observe(o.GetRoute(), o.GetVersion() == r.record.GetTarget(), canary.Stats{
		Successes: float64(o.GetGood()), Failures: float64(o.GetBad()), Latencies: float64(o.GetTimes()), LogSum: o.GetLogs(), LogSquareSum: o.GetSquares(),
	})
}

// hold notes sessions that stay on the former version.
func (h *Coordinator) hold(o *wire.Holding) {
	r := h.stages[o.GetService()]
	if r == nil {
		return
	}
	before := len(r.held)
	for _, session := range o.GetSessions() {
		if len(r.held) < maxHeld {
			r.held[session] = true
		}
	}
	if len(r.held) > before && r.share > 0 {
		h.durable = h.bump()
	}
}

// decide takes the roll-outs on and returns those that end.
func (h *Coordinator) decide(now timer.Instant) (ends []*wire.Rollout) {
	for service, r := range h.stages {
		share, end, reason := r.stage.Decide(now.Sub(r.start))
		if share != r.share {
			h.options.Log.Info("stage of a roll-out", zap.String("service", service),
				zap.String("target", r.record.GetTarget()), zap.Uint32("share", uint32(share)), zap.Duration("after", now.Sub(r.start)))
			r.share = share
			h.durable = h.bump()
		}
		if end == canary.Pending {
			continue
		}
		n := proto.Clone(r.record).(*wire.Rollout)
		n.Phase = wire.Phase_PHASE_DONE
		if end == canary.RollBack {
			n.Phase = wire.Phase_PHASE_BACK
		}
		if !r.ending {
			h.options.Log.Info("roll-out ends", zap.String("service", service), zap.String("target", r.record.GetTarget()),
				zap.Stringer("phase", n.GetPhase()), zap.String("reason", reason))
		}
		r.ending = true
		ends = append(ends, n)
	}
	return ends
}
