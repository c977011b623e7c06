package view

import wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"

// minLocalInstances is the number of instances below which the search widens from the
// availability zone to the region and then to the whole deployment. A caller needs a
// second address for when its instance fails.
const minLocalInstances = 2

// NearestInstances returns the addresses of at most limit ready instances for a caller. It
// selects instances of the caller's availability zone, of its region if the zone has too
// few, or of the whole deployment if the region has too few.
func (v *View) NearestInstances(zone, region string, limit int) (out []string) {
	all := v.Instances()
	for _, matches := range []func(*wire.Instance) bool{
		func(i *wire.Instance) bool { return i.GetZone() == zone },
		func(i *wire.Instance) bool { return i.GetRegion() == region },
		func(*wire.Instance) bool { return true },
	} {
		out = out[:0]
		for _, i := range all {
			if i.GetReady() && i.GetCaller() != "" && matches(i) && len(out) < limit {
				out = append(out, i.GetCaller())
			}
		}
		if len(out) >= minLocalInstances {
			return out
		}
	}
	return out
}
