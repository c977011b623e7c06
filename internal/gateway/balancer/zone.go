package balancer

// A request to an engine leaves the availability zone of the instance if the expected time to its first event here
// exceeds that in the other zones by more than leaving costs. All times are in units of RunningDelay.
const (
	// zoneRoundTrip is the way to another zone and back: 3 ms.
	zoneRoundTrip = 0.15
	// bytesPerDelay is the size of a request with its response that is moved only to save a RunningDelay
	// more. Traffic between zones has a price.
	bytesPerDelay = 20_000
	// leaveMargin and leaveFactor keep the differences between zones that follow from chance, and from reports
	// of different age, from moving anything.
	leaveMargin = 2.0
	leaveFactor = 0.25
	// maxLeaveShare bounds the part of the requests that leaves: instances with the same old reports would all
	// send theirs to the same upstreams.
	maxLeaveShare = 0.75
)

// leaveCost returns by how much the expected time in other zones has to be lower for the request to leave.
func (r *Request) leaveCost(there float64) float64 {
	return zoneRoundTrip + r.Bytes/bytesPerDelay + leaveMargin + leaveFactor*there
}

// leaveShare returns the part of such requests that leaves the zone, which grows with the difference of the expected
// times. Each that leaves lowers the difference, so that the share settles.
func (r *Request) leaveShare(here, there float64) float64 {
	if here <= 0 {
		return 0
	}
	return min(max((here-there-r.leaveCost(there))/here, 0), maxLeaveShare)
}

// pickEngine selects one of the engines of the request's part.
func (b *Balancer) pickEngine(usable []Candidate, r Request) Candidate {
	local, remote := b.splitByZone(usable)
	if len(local) == 0 || len(remote) == 0 {
		return b.pickNear(usable, usable, r)
	}
	there := meanScore(remote)
	if share := r.leaveShare(meanScore(local), there); share > 0 && b.random.Float64() < share {
		return b.pickNear(remote, remote, r)
	}
	near := local
	if r.PrefixReading > r.leaveCost(there) {
		near = usable // to read the prefix again costs more than to leave the zone
	}
	return b.pickNear(near, local, r)
}

// pickNear selects an upstream that has the prefix cached among some of the candidates, or else one of the
// others by its load.
func (b *Balancer) pickNear(cached, others []Candidate, r Request) Candidate {
	if r.Prefix.Key != 0 {
		if c, ok := b.pickByAffinity(cached, r); ok {
			return c
		}
	}
	return b.pickByLoad(others)
}

// splitByZone reorders the candidates and returns those of the instance's zone and the others.
func (b *Balancer) splitByZone(usable []Candidate) (local, remote []Candidate) {
	n := 0
	for i := range usable {
		if usable[i].Zone == b.Zone {
			usable[n], usable[i] = usable[i], usable[n]
			n++
		}
	}
	return usable[:n], usable[n:]
}
