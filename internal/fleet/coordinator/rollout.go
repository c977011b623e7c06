package coordinator

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/gateway/canary"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// rollout tracks a running roll-out.
type rollout struct {
	record    *wire.Rollout
	start     timer.Instant // when this instance first saw the roll-out
	canary    *canary.Rollout
	share     canary.Share
	held      map[uint64]bool          // sessions that stay on the former version
	displaced map[uint64]timer.Instant // until when they count as going on
	endLogged bool
}

// trackRollouts starts to track roll-outs that run and stops for those that ended. It also
// runs on instances that do not lead, so that a new leader knows when a roll-out began.
// c.mu must be held.
func (c *Coordinator) trackRollouts() {
	for _, r := range c.options.State.Rollouts() {
		known := c.active[r.GetService()]
		if r.GetPhase() != wire.Phase_PHASE_RUNNING {
			delete(c.active, r.GetService())
			continue
		}
		if known == nil || known.record.GetTarget() != r.GetTarget() {
			c.active[r.GetService()] = &rollout{
				record: r, start: c.options.Timer.Now(), held: map[uint64]bool{}, displaced: map[uint64]timer.Instant{},
				canary: canary.New(time.Duration(r.GetDuration())*time.Millisecond, c.options.Exposure),
			}
		}
	}
}

// rollouts returns all roll-outs; running ones include their current share and held sessions.
// c.mu must be held.
func (c *Coordinator) rollouts() (out []*wire.Rollout) {
	for _, r := range c.options.State.Rollouts() {
		if s := c.active[r.GetService()]; s != nil {
			r = proto.Clone(r).(*wire.Rollout)
			r.Share, r.Bucket = uint32(s.share), uint32(s.canary.CanaryShare())
			for session := range s.held {
				r.Held = append(r.Held, session)
			}
			now := c.options.Timer.Now()
			for session, until := range s.displaced {
				if left := until.Sub(now).Milliseconds(); left > 0 {
					r.Displaced = append(r.Displaced, &wire.DisplacedSession{Session: session, Remaining: uint32(left)})
				}
			}
		}
		out = append(out, r)
	}
	return out
}

// recordOutcome adds the outcomes of responses to the running roll-out of their service.
// c.mu must be held.
func (c *Coordinator) recordOutcome(o *wire.Outcome) {
	r := c.active[o.GetService()]
	if r == nil || slices.Contains(r.record.GetRejected(), o.GetVersion()) {
		return
	}
	s := canary.Stats{
		Successes: float64(o.GetGood()), Failures: float64(o.GetBad()), Latencies: float64(o.GetTimes()), LogSum: o.GetLogs(), LogSquareSum: o.GetSquares(),
	}
	for i, n := range o.GetRanges() {
		if i < len(s.Histogram) {
			s.Histogram[i] = float64(n)
		}
	}
	k := canary.Key{Route: o.GetRoute(), Gap: o.GetGap(), Model: o.GetModel(), Load: canary.LoadClass(o.GetLoad())}
	r.canary.Observe(k, o.GetVersion() == r.record.GetTarget(), s)
}

// holdSessions adds sessions that must stay on the former version, and those whose version serves
// no more. c.mu must be held.
func (c *Coordinator) holdSessions(o *wire.Holding) {
	r := c.active[o.GetService()]
	if r == nil {
		return
	}
	before, displaced, now := len(r.held), false, c.options.Timer.Now()
	for _, session := range o.GetSessions() {
		if len(r.held) < maxHeldSessions {
			r.held[session] = true
		}
	}
	for _, d := range o.GetDisplaced() {
		until := now.Add(time.Duration(d.GetRemaining()) * time.Millisecond)
		if known, ok := r.displaced[d.GetSession()]; until > known && (ok || len(r.displaced) < maxHeldSessions) {
			r.displaced[d.GetSession()], displaced = until, true
		}
	}
	if len(r.held) > before && r.share > 0 || displaced {
		c.stateRevision = c.nextRevision()
	}
}

// advanceRollouts updates the share of each running roll-out and returns the roll-outs that
// end. c.mu must be held.
func (c *Coordinator) advanceRollouts(now timer.Instant) (ends []*wire.Rollout) {
	for service, r := range c.active {
		share, verdict, reason := r.canary.Decide(now.Sub(r.start))
		if share != r.share {
			c.options.Log.Info("stage of a roll-out", append(evidenceFields(r.canary.Evidence()), zap.String("service", service),
				zap.String("target", r.record.GetTarget()), zap.Uint32("share", uint32(share)), zap.Duration("after", now.Sub(r.start)))...)
			r.share = share
			c.stateRevision = c.nextRevision()
		}
		if verdict == canary.Pending {
			continue
		}
		n := proto.Clone(r.record).(*wire.Rollout)
		n.Phase = wire.Phase_PHASE_DONE
		if verdict == canary.RollBack {
			n.Phase = wire.Phase_PHASE_BACK
		}
		if !r.endLogged {
			c.options.Log.Info("roll-out ends", append(evidenceFields(r.canary.Evidence()), zap.String("service", service),
				zap.String("target", r.record.GetTarget()), zap.Stringer("phase", n.GetPhase()), zap.String("reason", reason))...)
		}
		r.endLogged = true
		ends = append(ends, n)
	}
	return ends
}

// awaitStage waits for the next stage of a roll-out if that is due before the next check, and reports whether
// it is. The reserve before the end of a roll-out of 10 s is 458 ms, which must not be spent on waiting for a check.
func (c *Coordinator) awaitStage(ctx context.Context) bool {
	wait := c.untilStage()
	return wait < checkInterval && timer.Sleep(ctx, c.options.Timer, wait) == nil
}

// untilStage returns the time until the next stage of a roll-out, at most checkInterval.
func (c *Coordinator) untilStage() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait, now := checkInterval, c.options.Timer.Now()
	for _, r := range c.active {
		elapsed := now.Sub(r.start)
		if at, ok := r.canary.NextStage(elapsed); ok {
			wait = min(wait, at-elapsed)
		}
	}
	return wait
}

// evidenceFields returns the log fields of what a verdict is based on.
func evidenceFields(e canary.Evidence) []zap.Field {
	return []zap.Field{
		zap.Float64("former_responses", e.Former.Successes+e.Former.Failures), zap.Float64("former_failures", e.Former.Failures),
		zap.Float64("responses", e.Target.Successes+e.Target.Failures), zap.Float64("failures", e.Target.Failures),
		zap.Float64("first_bytes", e.FirstByte.Samples), zap.Float64("first_byte_ratio", e.FirstByte.Ratio()),
		zap.Float64("gaps", e.EventGap.Samples), zap.Float64("gap_ratio", e.EventGap.Ratio()),
		zap.Float64("same_load", e.SameLoad.Samples), zap.Float64("same_load_ratio", e.SameLoad.Ratio()), zap.Float64("slow", e.SameLoad.Outliers()),
		zap.Float64("lower_load", e.LowerLoad.Samples), zap.Float64("lower_load_ratio", e.LowerLoad.Ratio()),
	}
}
