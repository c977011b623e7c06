// Package registry orders the records of upstreams: which of two records counts, and which
// upstreams are gone because another one has their address.
package registry

import (
	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Newer reports whether record a of an upstream supersedes record b. An earlier
// incarnation never supersedes a later one, and an incarnation that has left does not
// return.
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
	case a.GetLeaving() && !b.GetLeaving():
		return true
	case a.GetSequence() == b.GetSequence():
		return a.GetStage() == wire.Stage_STAGE_SILENT && b.GetStage() != wire.Stage_STAGE_SILENT
	}
	return a.GetSequence() > b.GetSequence()
}

// KeepLeaving returns record a of an upstream as it counts after record b: an incarnation that has
// stated that it leaves drains, whatever it announces later.
func KeepLeaving(a, b *wire.Upstream) *wire.Upstream {
	if b == nil || a.GetBorn() != b.GetBorn() || !(a.GetLeaving() || b.GetLeaving()) {
		return a
	}
	n := proto.Clone(a).(*wire.Upstream)
	n.Leaving, n.Sequence = true, max(a.GetSequence(), b.GetSequence())
	if n.GetStage() != wire.Stage_STAGE_LEFT {
		n.Stage = wire.Stage_STAGE_DRAINING
	}
	return n
}

// Leaves reports whether an upstream must get no more requests for good: it drains or has
// left. One that is only silent may return.
func Leaves(u *wire.Upstream) bool {
	return u.GetLeaving() || u.GetStage() == wire.Stage_STAGE_DRAINING || u.GetStage() == wire.Stage_STAGE_LEFT
}

// Equivalent reports whether two records of one upstream differ only in fields that
// other instances do not need, such as the sequence number.
func Equivalent(a, b *wire.Upstream) bool {
	return a != nil && b != nil && a.GetBorn() == b.GetBorn() && a.GetStage() == b.GetStage() && a.GetLeaving() == b.GetLeaving() &&
		a.GetAddress() == b.GetAddress() && a.GetService() == b.GetService() &&
		a.GetVersion() == b.GetVersion() && a.GetZone() == b.GetZone() &&
		a.GetSlots() == b.GetSlots() && Suspected(a) == Suspected(b) && (a.GetCold() > 0) == (b.GetCold() > 0)
}

// RetireReplaced marks records as left that share the address of u with an upstream
// that started later. all holds the records by id, including u, which may itself be marked.
// It returns the ids of the records that it marked. A record without an address replaces none.
func RetireReplaced(all map[string]*wire.Upstream, u *wire.Upstream) (retired []string) {
	if u.GetAddress() == "" {
		return nil
	}
	latest := int64(0)
	for _, o := range all {
		if o.GetAddress() == u.GetAddress() {
			latest = max(latest, o.GetBorn())
		}
	}
	for id, o := range all {
		if o.GetAddress() != u.GetAddress() || o.GetBorn() >= latest || o.GetStage() == wire.Stage_STAGE_LEFT {
			continue
		}
		n := proto.Clone(o).(*wire.Upstream)
		n.Stage = wire.Stage_STAGE_LEFT
		all[id] = n
		retired = append(retired, id)
	}
	return retired
}
