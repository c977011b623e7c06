package view

import (
	"slices"
	"strings"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// ConnectionLimit is the limit of the connections to an upstream and those that share it.
type ConnectionLimit struct {
	// Connections is the number that the upstream accepts from all callers, 0 without a limit.
	Connections int
	// Instance is the rank of this instance among all Instances, and Upstream that of the upstream in its service.
	Instance, Instances, Upstream int
	Slots                         int // of the upstream
}

// ConnectionLimit returns the limit of the connections to an upstream.
func (v *View) ConnectionLimit(id string) (c ConnectionLimit) {
	l, r := v.Layout(), v.rank.Load()
	if l == nil || r == nil {
		return c
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	u := v.upstreams[id]
	p := l.Pool(layout.Service(u.GetService()))
	if p == nil || p.MaxConnections <= 0 {
		return c
	}
	// The rank of an upstream that is not ready is that of the place where it would be.
	index, _ := slices.BinarySearchFunc(v.Table().Services[p.Name], id, func(u *wire.Upstream, id string) int { return strings.Compare(u.GetId(), id) })
	return ConnectionLimit{Connections: p.MaxConnections, Instance: r.index, Instances: r.count, Upstream: index, Slots: int(u.GetSlots())}
}
