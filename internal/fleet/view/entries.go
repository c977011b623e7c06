package view

import wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"

// minLocalEntries is the number of entries below which the search widens from the
// availability zone to the region and then to all entries. A caller needs a second
// address for when its entry fails.
const minLocalEntries = 2

// NearestInstances returns the addresses of at most limit ready entries for a caller. It
// selects entries of the caller's availability zone, of its region if the zone has too
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
		if len(out) >= minLocalEntries {
			return out
		}
	}
	return out
}
