package view

import wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"

// leastLocal is the number of entries in an availability zone below which callers are
// also given those of others: a caller needs another address when its entry fails.
const leastLocal = 2

// NearestEntries returns the addresses of at most most ready entries nearest to a caller:
// those of its availability zone, else of its region, else all.
func (v *View) NearestEntries(zone, region string, most int) (out []string) {
	all := v.Instances()
	for _, fits := range []func(*wire.Instance) bool{
		func(i *wire.Instance) bool { return i.GetZone() == zone },
		func(i *wire.Instance) bool { return i.GetRegion() == region },
		func(*wire.Instance) bool { return true },
	} {
		out = out[:0]
		for _, i := range all {
			if i.GetReady() && i.GetCaller() != "" && fits(i) && len(out) < most {
				out = append(out, i.GetCaller())
			}
		}
		if len(out) >= leastLocal {
			return out
		}
	}
	return out
}
