package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// members returns instances in a number of zones, the first of which have a replica.
func members(size, zones, replicas int) (out []*wire.Instance) {
	for n := range size {
		i := &wire.Instance{Name: fmt.Sprintf("n%04d", n), Peer: fmt.Sprintf("10.0.%d.%d:1", n/250, n%250), Zone: fmt.Sprint("z", n%zones)}
		if n < replicas {
			i.Identity = i.Name
		}
		out = append(out, i)
	}
	return out
}

// Links and sizes of the simulation, as on the sheets of the deployments.
const (
	linkBytesPerSecond    = 10e6 / 8  // of an instance without a replica
	replicaBytesPerSecond = 100e6 / 8 // of an instance with a replica
	layoutBytes           = 60_000    // of 1,400 routes, compressed
	roundTrip             = 2 * time.Millisecond
	sourceTimeout         = 700 * time.Millisecond // after which a member asks its next source
)

// spread simulates how a layout reaches all members and returns for each address when it has
// arrived and how many bytes it has sent. The replicas hold the layout at the start. Lost
// members never answer. A member asks one source after another, each after a timeout, and a
// source sends to one member after another.
func spread(all []*wire.Instance, leader string, lost map[string]bool, timeout time.Duration) (arrival map[string]time.Duration, sent map[string]int) {
	arrival, sent = map[string]time.Duration{}, map[string]int{}
	free := map[string]time.Duration{} // when the link of a source is free
	rate := map[string]float64{}
	for _, i := range all {
		rate[i.GetPeer()] = linkBytesPerSecond
		if i.GetIdentity() != "" {
			rate[i.GetPeer()] = replicaBytesPerSecond
			arrival[i.GetPeer()] = 0
		}
	}
	var fetch func(i *wire.Instance)
	byPeer := map[string]*wire.Instance{}
	for _, i := range all {
		byPeer[i.GetPeer()] = i
	}
	fetch = func(i *wire.Instance) {
		if _, done := arrival[i.GetPeer()]; done || lost[i.GetPeer()] {
			return
		}
		waited := time.Duration(0)
		for _, source := range Sources(i, all, leader) {
			if lost[source] {
				waited += timeout
				continue
			}
			fetch(byPeer[source])
			start := max(waited, arrival[source], free[source])
			end := start + time.Duration(layoutBytes/rate[source]*float64(time.Second))
			free[source] = end
			arrival[i.GetPeer()] = end + roundTrip
			sent[source] += layoutBytes
			return
		}
	}
	for _, i := range all {
		fetch(i)
	}
	return arrival, sent
}

// Guards against a leader whose bytes for one change grow with the number of instances, an
// instance without a replica that serves many others, and members that get a change late.
func TestSpread(t *testing.T) {
	for _, c := range []struct {
		size, zones, replicas int
		lost                  int // every such member is lost, or 0
		maxTime               time.Duration
	}{
		{200, 5, 5, 0, time.Second},
		{840, 5, 57, 0, time.Second},
		{840, 5, 5, 0, 1500 * time.Millisecond},
		{64, 4, 8, 0, time.Second},
		{10, 4, 4, 0, time.Second},
		{30, 10, 5, 0, time.Second}, // zones without a replica
		{200, 5, 5, 7, 3 * time.Second},
		{840, 5, 5, 11, 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d of %d zones, %d replicas, one of %d lost", c.size, c.zones, c.replicas, c.lost), func(t *testing.T) {
			is := is.New(t)
			all := members(c.size, c.zones, c.replicas)
			leader := all[0].GetPeer()
			lost := map[string]bool{}
			for n := c.lost; c.lost > 0 && n < len(all); n += c.lost {
				lost[all[n].GetPeer()] = true
			}
			arrival, sent := spread(all, leader, lost, sourceTimeout)
			worst := time.Duration(0)
			for _, i := range all {
				at, ok := arrival[i.GetPeer()]
				is.True(ok || lost[i.GetPeer()])
				worst = max(worst, at)
				if c.lost == 0 && i.GetIdentity() == "" {
					is.True(sent[i.GetPeer()] <= treeWidth*layoutBytes)
				}
			}
			is.True(worst <= c.maxTime)
			is.Equal(sent[leader], 0) // others hold the layout
			t.Logf("leader sends %d bytes, slowest member after %v", sent[leader], worst)
		})
	}
}

// Guards against an instance that asks itself, asks an address twice, or asks the leader while
// others may hold the layout.
func TestSources(t *testing.T) {
	is := is.New(t)
	all := members(40, 2, 3)
	for _, i := range all {
		sources := Sources(i, all, all[1].GetPeer())
		seen := map[string]bool{i.GetPeer(): true}
		for _, s := range sources {
			is.True(!seen[s])
			seen[s] = true
		}
		if i != all[1] {
			is.Equal(sources[len(sources)-1], all[1].GetPeer())
		}
	}
	// An instance that the others do not know yet, and one that knows no others.
	fresh := &wire.Instance{Name: "x", Peer: "10.9.0.1:1", Zone: "z0"}
	is.True(len(Sources(fresh, all, "")) >= 3)
	is.Equal(Sources(fresh, nil, ""), nil)
	is.Equal(Sources(fresh, nil, "10.0.0.1:1"), []string{"10.0.0.1:1"})
}
