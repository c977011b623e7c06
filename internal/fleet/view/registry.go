// Package view holds what one instance knows of its deployment: the layout in
// force and the lease on it, upstreams, other instances and roll-outs.
package view

import (
	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Newer tells whether record a replaces record b of the same upstream. A former
// incarnation never replaces a later one, and one that left does not come back.
func Newer(a, b *wire.Upstream) bool {
	switch {
	case b == nil:
		return true
	case a.GetBorn() != b.GetBorn():
		return a.GetBorn() > b.GetBorn()
	case b.GetStage() == wire.Stage_STAGE_LEFT:
		return false
	case a.GetStage() == wire.Stage_STAGE_LEFT:
		return true
	case a.GetSequence() == b.GetSequence():
		return a.GetStage() == wire.Stage_STAGE_SILENT && b.GetStage() != wire.Stage_STAGE_SILENT
	}
	return a.GetSequence() > b.GetSequence()
}

// Equivalent tells whether two records of one upstream say the same to others.
func Equivalent(a, b *wire.Upstream) bool {
	return a != nil && b != nil && a.GetBorn() == b.GetBorn() && a.GetStage() == b.GetStage() &&
		a.GetAddress() == b.GetAddress() && a.GetService() == b.GetService() &&
		a.GetVersion() == b.GetVersion() && a.GetZone() == b.GetZone() &&
		a.GetSlots() == b.GetSlots() && (a.GetCold() > 0) == (b.GetCold() > 0)
}

// RetireReplaced ends the records of former incarnations at the address of a record that was
// just added, which may be that record itself: an address is held by the upstream that
// started last. It returns the ids of the records that it ended.
func RetireReplaced(all map[string]*wire.Upstream, u *wire.Upstream) (ended []string) {
	last := int64(0)
	for _, o := range all {
		if o.GetAddress() == u.GetAddress() {
			last = max(last, o.GetBorn())
		}
	}
	for id, o := range all {
		if o.GetAddress() != u.GetAddress() || o.GetBorn() >= last || o.GetStage() == wire.Stage_STAGE_LEFT {
			continue
		}
		n := proto.Clone(o).(*wire.Upstream)
		n.Stage = wire.Stage_STAGE_LEFT
		all[id] = n
		ended = append(ended, id)
	}
	return ended
}
