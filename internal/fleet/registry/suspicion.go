package registry

import (
	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Suspected reports whether an upstream may have restarted unheard: a suspicion is not settled.
func Suspected(u *wire.Upstream) bool { return u.GetSuspected() > u.GetSettled() }

// Suspect returns the record of an upstream with one more suspicion.
func Suspect(u *wire.Upstream) *wire.Upstream {
	n := proto.Clone(u).(*wire.Upstream)
	n.Suspected = max(u.GetSuspected(), u.GetSettled()) + 1
	return n
}

// Settle returns the record of an upstream whose suspicions an announcement has ended.
func Settle(u *wire.Upstream) *wire.Upstream {
	n := proto.Clone(u).(*wire.Upstream)
	n.Settled = max(u.GetSettled(), u.GetSuspected())
	return n
}

// Merge returns the record that counts once record a of an upstream has been heard beside record b, or nil if that
// is b. Suspicions of one incarnation are counted whatever the order of the records.
func Merge(a, b *wire.Upstream) *wire.Upstream {
	sameIncarnation := b != nil && a.GetBorn() == b.GetBorn()
	suspected, settled := max(a.GetSuspected(), b.GetSuspected()), max(a.GetSettled(), b.GetSettled())
	n := b
	switch {
	case Newer(a, b):
		n = KeepLeaving(a, b)
		if !sameIncarnation || n.GetSuspected() == suspected && n.GetSettled() == settled {
			return n
		}
	case !sameIncarnation || b.GetSuspected() == suspected && b.GetSettled() == settled:
		return nil
	}
	n = proto.Clone(n).(*wire.Upstream)
	n.Suspected, n.Settled = suspected, settled
	return n
}
