package view

import (
	"context"
	"slices"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/slot"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// RecordCondition reports whether an upstream is brittle, and how many requests of this instance
// it has refused.
func (v *View) RecordCondition(id string, brittle bool, tolerated, refusals int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := &wire.Condition{Id: id, Brittle: brittle, Tolerated: uint32(tolerated), Refusals: uint32(refusals)}
	if n := v.pending.conditions[id]; n != nil {
		c.Refusals += n.GetRefusals()
	}
	v.pending.conditions[id] = c
	v.signalUrgent()
}

// applyConditions stores what other instances have heard. v.mu must be held.
func (v *View) applyConditions(conditions []*wire.Condition) {
	for _, c := range conditions {
		old := v.conditions[c.GetId()]
		v.conditions[c.GetId()] = c
		if v.options.OnCondition != nil {
			v.options.OnCondition(c.GetId(), c.GetBrittle(), old != nil && c.GetRefusals() > old.GetRefusals())
		}
	}
}

// queueConditions queues what is known of brittle upstreams, which a new leader needs. v.mu must
// be held.
func (v *View) queueConditions() {
	for id, c := range v.conditions {
		u := v.upstreams[id]
		if !c.GetBrittle() || u == nil || u.GetStage() == wire.Stage_STAGE_LEFT {
			delete(v.conditions, id)
			continue
		}
		// The new leader counts refusals from zero.
		c.Refusals = 0
		if v.pending.conditions[id] == nil {
			v.pending.conditions[id] = &wire.Condition{Id: id, Brittle: true, Tolerated: c.GetTolerated()}
		}
	}
}

// rank is the place of this instance among all that are believed to run.
type rank struct{ index, count int }

// updateRank determines the place again. v.mu must be held.
func (v *View) updateRank() {
	var names []string
	for i := range v.running() {
		names = append(names, i.GetName())
	}
	slices.Sort(names)
	index, found := slices.BinarySearch(names, v.options.Name)
	if !found {
		names = slices.Insert(names, index, v.options.Name)
	}
	v.rank.Store(&rank{index, len(names)})
}

// Slots returns the leases of slots of brittle upstreams.
func (v *View) Slots() *slot.Stock { return v.slots }

// LeasesSlots reports whether the leader leases the slots of brittle upstreams. One of an earlier program does
// not; then each instance uses its share.
func (v *View) LeasesSlots() bool { return v.leasesSlots.Load() }

// AcquireSlot waits for a lease of a slot of one of the upstreams, and ReturnSlot ends it; see slot.Stock.
func (v *View) AcquireSlot(ctx context.Context, upstreams []slot.Upstream, remaining, patience time.Duration) (l slot.Lease, wait time.Duration, ok bool) {
	return v.slots.Acquire(ctx, upstreams, remaining, patience)
}

// ReturnSlot ends a lease.
func (v *View) ReturnSlot(l slot.Lease, use slot.Use) { v.slots.Return(l, use) }

// SlotShare returns how many of the slots of an upstream this instance may use if the leader does not
// lease them.
func (v *View) SlotShare(upstream string, slots int) int {
	r := v.rank.Load()
	if r == nil {
		return slots
	}
	return slot.Share(upstream, slots, r.index, r.count)
}
