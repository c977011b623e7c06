// Package connlimit decides how many connections an instance opens and keeps to an upstream that limits the
// connections of all instances together. Each instance takes a fixed share, so that nothing has to be agreed.
// The package does no I/O; the time is passed in.
package connlimit

const (
	// usable is the part of an upstream's limit that is shared out. The rest is for instances that others do
	// not hear of, connections that are closed here and not yet there, and counts that differ for a moment.
	usable = 0.75
	// queuePerSlot is the number of waiting requests per slot at which half of the connections are used, since
	// the upstream accepts fewer. By how many is not stated; resets correct the rest.
	queuePerSlot = 4
	// unknownSlots stands for the slots of an upstream that does not state them.
	unknownSlots = 4
)

// Scope is what an instance knows of an upstream and of those that connect to it.
type Scope struct {
	// Limit is the number of connections that the upstream accepts from all instances together. It is 0
	// without a limit, and then the rest is of no use.
	Limit int
	// Instance is the rank of this instance among all Instances, from 0.
	Instance, Instances int
	// Upstream is the rank of the upstream among those of its service, from 0.
	Upstream int
	// Waiting is the number of requests in the upstream's queue, and Slots of those that it runs at once.
	Waiting, Slots int
}

// Base returns the share without the queue and the resets.
func (s Scope) Base() int { return s.share(1) }

// share returns how many connections this instance may have. factor is the part of the usable connections that
// resets leave. The shares of all instances add up to at most the usable connections, also if they
// differ in Waiting and factor, since more connections to share out never make a share smaller.
func (s Scope) share(factor float64) int {
	slots := s.Slots
	if slots <= 0 {
		slots = unknownSlots
	}
	// The least limits leave one, or nobody could connect.
	all := max(1, float64(s.Limit)*usable)
	places := max(1, int(all*factor/(1+float64(max(s.Waiting, 0))/float64(queuePerSlot*slots))))
	n := max(s.Instances, 1)
	// The remainder goes to instances with consecutive ranks. Those of the next upstream follow, so that
	// the places at all upstreams of a service are spread evenly, even if there is less than one for each.
	start := s.Upstream * (int(all) % n) % n
	share := places / n
	if (s.Instance%n-start+n)%n < places%n {
		share++
	}
	return share
}
