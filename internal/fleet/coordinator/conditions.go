package coordinator

import (
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/fleet/slot"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// condition is what instances have heard of an upstream that is or was brittle.
type condition struct {
	record   *wire.Condition
	revision uint64
}

// recordConditions adds the conditions that an instance reports. Refusals are passed on at once.
// c.mu must be held.
func (c *Coordinator) recordConditions(conditions []*wire.Condition) {
	for _, o := range conditions {
		n := proto.Clone(o).(*wire.Condition)
		old := c.conditions[o.GetId()]
		if old != nil {
			n.Refusals += old.record.GetRefusals()
			if proto.Equal(n, old.record) {
				continue
			}
		}
		if old == nil || old.record.GetBrittle() != n.GetBrittle() {
			c.options.Log.Info("condition of an upstream", zap.String("upstream", n.GetId()), zap.Bool("brittle", n.GetBrittle()), zap.Uint32("tolerated", n.GetTolerated()))
		}
		if u := c.records[o.GetId()]; u != nil && o.GetRefusals() > 0 {
			c.slots.Pause(slot.Upstream{ID: u.GetId(), Born: u.GetBorn()}, c.options.Timer.Now())
		}
		c.conditions[o.GetId()] = &condition{record: n, revision: c.nextRevision()}
	}
}

// dropConditions forgets upstreams that have left. c.mu must be held.
func (c *Coordinator) dropConditions() {
	for id := range c.conditions {
		if u := c.records[id]; u != nil && u.GetStage() == wire.Stage_STAGE_LEFT {
			delete(c.conditions, id)
		}
	}
}
