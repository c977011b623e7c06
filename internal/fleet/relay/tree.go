package relay

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// treeWidth is the number of instances that fetch from one instance. Three transfers of a
// piece occupy a link of 10 Mbit/s for 40 ms, and 200 instances of one zone are five levels deep.
const treeWidth = 3

// Sources returns the peer addresses from which an instance fetches a layout, in the order in
// which it tries them. The instances of a zone form a tree whose roots hold replicas of the
// control state. An instance first asks its parent, then the other ancestors, then the
// remaining replicas, those of its zone first, so that a parent that is lost, slow or
// unreachable costs one wait. The leader comes last, since everyone else depends on it.
func Sources(self *wire.Instance, instances []*wire.Instance, leader string) (out []string) {
	zone, replicas := treeOf(self, instances)
	add := func(i *wire.Instance) {
		if a := i.GetPeer(); a != self.GetPeer() && a != leader && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	roots := slices.IndexFunc(zone, func(i *wire.Instance) bool { return i.GetIdentity() == "" })
	if roots < 0 {
		roots = len(zone)
	}
	n := slices.IndexFunc(zone, func(i *wire.Instance) bool { return i.GetPeer() == self.GetPeer() })
	// A zone without a replica has a single root, which asks the replicas of other zones.
	for n >= max(roots, 1) {
		n = (n - max(roots, 1)) / treeWidth
		add(zone[n])
	}
	for _, i := range zone[:roots] {
		add(i)
	}
	for _, i := range replicas {
		add(i)
	}
	if leader != "" && leader != self.GetPeer() {
		out = append(out, leader)
	}
	return out
}

// treeOf returns the instances of the zone of self in the order of their places in the tree,
// and the replicas of all zones in an order that differs between instances.
func treeOf(self *wire.Instance, instances []*wire.Instance) (zone, replicas []*wire.Instance) {
	known := false
	for _, i := range instances {
		known = known || i.GetPeer() == self.GetPeer()
		if i.GetZone() == self.GetZone() {
			zone = append(zone, i)
		}
		if i.GetIdentity() != "" {
			replicas = append(replicas, i)
		}
	}
	if !known {
		zone = append(zone, self)
	}
	slices.SortFunc(zone, func(a, b *wire.Instance) int {
		if replicaA, replicaB := a.GetIdentity() != "", b.GetIdentity() != ""; replicaA != replicaB {
			if replicaA {
				return -1
			}
			return 1
		}
		return strings.Compare(a.GetName(), b.GetName())
	})
	rank := func(i *wire.Instance) uint64 { return xxhash.Sum64String(self.GetName() + "\x00" + i.GetName()) }
	slices.SortFunc(replicas, func(a, b *wire.Instance) int { return cmp.Compare(rank(a), rank(b)) })
	return zone, replicas
}
