package sizeclass

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Plan is a decision to separate the heavy requests of a service. It does not change.
type Plan struct {
	// Boundary is the work from which a request is heavy, and Share the part of the upstreams for
	// these requests.
	Boundary Work
	Share    float64
	bucket   int
	// zones holds, by availability zone, the hash below which an upstream belongs to the heavy part.
	zones []zoneLimit
}

// zoneLimit is the hash below which upstreams of a zone belong to the heavy part.
type zoneLimit struct {
	zone  string
	limit uint64
}

// IsHeavy reports whether a request with this work is heavy.
func (p *Plan) IsHeavy(w Work) bool { return p != nil && w >= p.Boundary }

// Heavy reports whether an upstream belongs to the heavy part.
func (p *Plan) Heavy(id, zone string) bool {
	for i := range p.zones {
		if p.zones[i].zone == zone {
			return xxhash.Sum64String(id) < p.zones[i].limit
		}
	}
	return false
}

// assign divides the upstreams of each zone by the rank of their hash, so that instances with the same table
// have the same parts, and a change of the share or of the table moves only upstreams at the edge. It
// returns false if there are too few upstreams.
func (p *Plan) assign(upstreams []Upstream) (ok bool) {
	if len(upstreams) < minUpstreams {
		return false
	}
	hashes := map[string][]uint64{}
	for _, u := range upstreams {
		hashes[u.Zone] = append(hashes[u.Zone], xxhash.Sum64String(u.ID))
	}
	zones := make([]string, 0, len(hashes))
	for z := range hashes {
		zones = append(zones, z)
	}
	slices.SortFunc(zones, strings.Compare)
	p.zones = make([]zoneLimit, 0, len(zones))
	before, heavy := 0, 0
	for _, z := range zones {
		list := hashes[z]
		slices.Sort(list)
		before += len(list)
		// The remainder of a zone goes to the next one.
		n := min(max(int(math.Round(p.Share*float64(before)))-heavy, 0), len(list))
		heavy += n
		limit := uint64(math.MaxUint64)
		if n < len(list) {
			limit = list[n]
		}
		p.zones = append(p.zones, zoneLimit{z, limit})
	}
	return true
}
