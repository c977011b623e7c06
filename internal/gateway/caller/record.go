package caller

import (
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/slot"
	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/gateway/canary"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// recordOutcome closes the response and reports the outcome of the exchange. discarded tells
// whether the response was dropped before its end.
func (e *exchange) recordOutcome(discarded bool) {
	if e.response != nil {
		e.response.Close()
	}
	e.endReading()
	e.Balancer.RequestDone(e.target.ID, e.outcome, e.headerReceived)
	e.View.ReturnSlot(e.lease, e.slotUse(discarded))
	if e.hasSession && e.headerReceived {
		e.Sessions.RecordEnd(e.service, e.sessionHash, e.target.Version)
		e.View.RecordSessionEnd(e.service, e.sessionHash)
	}
	if e.survivedStart() && !discarded {
		e.View.RecordResponse(e.sharedParts)
	}
	e.recordModelEnd(discarded)
	o := &wire.Outcome{Service: string(e.service), Version: e.target.Version, Route: e.route.Name}
	switch e.outcome {
	case balancer.Succeeded:
		o.Good = 1
	case balancer.Failed, balancer.Interrupted:
		o.Bad = 1
	default:
		return
	}
	e.View.RecordOutcome(o)
}

// slotUse tells how the request ended at the upstream. One whose response was dropped, or has no end, may
// still run.
func (e *exchange) slotUse(discarded bool) slot.Use {
	switch {
	case e.notSent:
		return slot.Unused
	case e.outcome == balancer.Refused:
		return slot.Refused
	case e.outcome == balancer.Unreachable: // another upstream responded
		return slot.Unused
	case !discarded && (e.outcome == balancer.Succeeded || e.outcome == balancer.Failed):
		return slot.Ended
	}
	return slot.Abandoned
}

// logAnswered records and logs the completion of a request that an upstream answered.
func (e *exchange) logAnswered(dispatched int) {
	e.metrics.TimeToLastByte.record(e.Timer.Now().Sub(e.arrived))
	fields := []zap.Field{
		zap.String("upstream", e.target.ID), zap.String("version", e.target.Version), zap.Int("status", e.response.Status),
		zap.Int("tries", dispatched+1), zap.Duration("first", e.timeToFirstByte), zap.Bool("complete", e.outcome != balancer.Inconclusive),
		zap.String("framing", string(e.response.Framing)), zap.Int64("position", e.lastEventID),
		zap.Array("parts", partList(e.sharedParts)),
	}
	fields = append(append(fields, e.placementFields()...), e.modelFields()...)
	if limit := e.response.Header.Get(e.Protocol.RateLimit); limit != "" {
		fields = append(fields, zap.String("limit", limit))
	}
	e.log("answered", fields...)
}

// recordFirstByte records the time to first byte for the version that responds. It does not
// wait for the end of the response, which a slow version reaches long after a fast one.
func (e *exchange) recordFirstByte() { e.recordLatency(false, e.headerAt.Sub(e.sentAt)) }

// eventGapSample is the number of events over which the gap between events is averaged. The
// gap shows a version whose streams start as fast as another's and continue slowly.
const eventGapSample = 4

// recordEventGap records the mean gap between some events of a stream.
func (e *exchange) recordEventGap(events int64, since timer.Instant) {
	e.recordLatency(true, e.Timer.Now().Sub(since)/time.Duration(events))
}

// recordLatency records a latency while a roll-out of the service compares its versions.
func (e *exchange) recordLatency(gap bool, d time.Duration) {
	if r := e.View.Rollout(e.service); r == nil || r.GetPhase() != wire.Phase_PHASE_RUNNING {
		return
	}
	s := canary.Observation(d)
	o := &wire.Outcome{
		Service: string(e.service), Version: e.target.Version, Route: e.route.Name, Gap: gap, Load: uint32(e.load),
		Times: 1, Logs: s.LogSum, Squares: s.LogSquareSum, Ranges: make([]uint32, len(s.Histogram)),
	}
	if e.gatewaySelectsModel() {
		o.Model = string(e.route.Models[e.modelIndex])
	} else if e.route.SessionAffinity {
		o.Model = reportedText(string(e.model))
	}
	for i, n := range s.Histogram {
		o.Ranges[i] = uint32(n)
	}
	e.View.RecordOutcome(o)
}

// crash returns the report that the upstream crashed during this exchange.
func (e *exchange) crash() *wire.Crash {
	k := &wire.Crash{Fingerprint: e.fingerprint, Upstream: e.target.ID, Born: e.target.Born, Service: string(e.service)}
	if e.survivedStart() {
		return k
	}
	for _, p := range e.sharedParts[max(len(e.sharedParts)-maxReportedParts, 0):] {
		k.Parts = append(k.Parts, string(p))
	}
	return k
}

// survivedStart reports whether the upstream has responded for so long that the request is not
// what crashes it.
func (e *exchange) survivedStart() bool {
	return e.outcome == balancer.Succeeded || e.streamedFor() >= startDuration
}

// streamedFor returns how long ago the header of the response arrived, or 0 before it.
func (e *exchange) streamedFor() time.Duration {
	if !e.headerReceived {
		return 0
	}
	return e.Timer.Now().Sub(e.headerAt)
}
