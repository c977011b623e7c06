package coordinator

import (
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/fleet/registry"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// applyUpstream stores a record if it is newer than the known one. Any other record only
// counts as a heartbeat, unless the upstream is silent. c.mu must be held.
func (c *Coordinator) applyUpstream(u *wire.Upstream, now timer.Instant) {
	old, known := c.records[u.GetId()], c.upstreams[u.GetId()]
	announced := registry.Newer(u, old)
	if !announced && known != nil && old.GetStage() != wire.Stage_STAGE_SILENT && u.GetSuspected() <= old.GetSuspected() {
		known.lastHeartbeat = now
	}
	if u = registry.Merge(u, old); u == nil {
		return
	}
	same := registry.Equivalent(u, old)
	c.records[u.GetId()] = u
	if known == nil {
		known = &upstream{}
		c.upstreams[u.GetId()] = known
	}
	if announced {
		known.lastHeartbeat = now
		same = !known.recordCold(u, now) && same
	}
	c.recordSuspicion(known, u, old, now)
	if u.GetStage() == wire.Stage_STAGE_DRAINING && (old.GetStage() != wire.Stage_STAGE_DRAINING || old.GetBorn() != u.GetBorn()) {
		known.drainingSince = u.GetSequence()
	}
	if !same {
		known.revision = c.nextRevision()
	}
	for _, id := range registry.RetireReplaced(c.records, u) {
		c.upstreams[id].revision = c.nextRevision()
	}
}

// applyHeartbeat applies a heartbeat of a known upstream. A silent one becomes ready again.
// c.mu must be held.
func (c *Coordinator) applyHeartbeat(b *wire.Beat, now timer.Instant) {
	old := c.records[b.GetId()]
	if old == nil || old.GetBorn() != b.GetBorn() || old.GetSequence() >= b.GetSequence() ||
		old.GetStage() == wire.Stage_STAGE_LEFT {
		return
	}
	u := proto.Clone(old).(*wire.Upstream)
	u.Sequence = b.GetSequence()
	if u.GetStage() == wire.Stage_STAGE_SILENT {
		u.Stage = wire.Stage_STAGE_READY
	}
	known := c.upstreams[b.GetId()]
	if old.GetCold() > 0 {
		// The heartbeat says no more than that the upstream is still cold.
		u.Cold = uint32(max(known.coldEnd.Sub(now).Milliseconds(), 1))
	}
	if registry.Suspected(old) && now.Sub(known.suspectedAt) >= settleDelay {
		u = registry.Settle(u)
	}
	c.applyUpstream(u, now)
}
