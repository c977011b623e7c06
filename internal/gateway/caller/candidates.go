package caller

import (
	"slices"

	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// allTraffic is the traffic share of a version that gets all requests, in thousandths.
// A share applies to the sessions whose hash modulo allTraffic is below it.
const allTraffic = 1000

// candidates returns the upstreams that may serve the request. Those of evacuated zones still count for the
// versions that a roll-out allows: an evacuation must not move sessions to another version. isCanary is true if they run
// the target version of a roll-out that does not get all requests yet. Such upstreams are
// filled one at a time. Sessions that moved to the target are spread instead: its prompt cache lacks their
// prompts, and an upstream that reads many of them at once seems slow.
func (q *request) candidates() (out []balancer.Candidate, isCanary bool) {
	all := q.View.Table().Services[q.service]
	q.cold = q.View.ColdUpstreams(q.service)
	allowed := q.versionFilter(all)
	if r := q.View.Rollout(q.service); r != nil && r.GetPhase() == wire.Phase_PHASE_RUNNING {
		moved := r.HeldSessions[q.sessionHash] || q.sessionHash%allTraffic >= uint64(r.GetBucket())
		isCanary = r.GetShare() < allTraffic && allowed(r.GetTarget()) && !moved
	}
	out = make([]balancer.Candidate, 0, len(all))
	evacuated := 0
	for _, u := range all {
		if !allowed(u.GetVersion()) {
			continue
		}
		if q.View.Evacuated(u.GetZone()) {
			evacuated++
			continue
		}
		out = append(out, balancer.Candidate{
			ID: u.GetId(), Born: u.GetBorn(), Address: u.GetAddress(), Zone: u.GetZone(), Version: u.GetVersion(), Slots: int(u.GetSlots()),
			HeartbeatsMissed: u.GetStage() == wire.Stage_STAGE_SILENT, Cold: u.GetCold() > 0 || q.cold[u.GetId()],
		})
	}
	q.onlyEvacuated = len(out) == 0 && evacuated > 0
	return out, isCanary
}

// versionFilter returns a predicate for the versions that may serve the request. Sessions
// are assigned by their hash, so that a session that has moved to the target version of a
// roll-out does not move back while the share of that version grows.
func (q *request) versionFilter(all []*wire.Upstream) func(version string) bool {
	r := q.View.Rollout(q.service)
	if r == nil {
		current := currentVersion(all)
		return func(v string) bool { return v == current }
	}
	if r.GetPhase() == wire.Phase_PHASE_RUNNING && r.GetShare() == 0 && q.sessionHash%allTraffic < uint64(r.GetBucket()) {
		q.View.HoldSessions(q.service, q.sessionHash)
	}
	target := r.GetTarget()
	isTarget := func(v string) bool { return v == target }
	// The upstreams of a version that was rolled back before may still drain, and those of the next one may be
	// there before its order.
	others := slices.DeleteFunc(slices.Clone(all), func(u *wire.Upstream) bool {
		return isTarget(u.GetVersion()) || slices.Contains(r.GetRejected(), u.GetVersion())
	})
	hasTarget := slices.ContainsFunc(all, func(u *wire.Upstream) bool { return isTarget(u.GetVersion()) })
	hasFormer, former := len(others) > 0, currentVersion(others)
	isFormer := func(v string) bool { return hasFormer && v == former }
	switch {
	case r.GetPhase() == wire.Phase_PHASE_BACK:
		return isFormer
	case r.GetPhase() == wire.Phase_PHASE_DONE && hasTarget:
		return isTarget
	case r.GetPhase() == wire.Phase_PHASE_DONE:
		return isFormer
	case !hasFormer:
		return isTarget
	case r.HeldSessions[q.sessionHash] && r.GetShare() <= r.GetBucket():
		return isFormer
	case hasTarget && q.sessionHash%allTraffic < uint64(r.GetShare()):
		return isTarget
	}
	return isFormer
}

// currentVersion returns the version of the upstream that started first. Until a roll-out
// is ordered, upstreams of any other version must not get requests. Upstreams that do not state
// their start count last.
func currentVersion(all []*wire.Upstream) string {
	version, earliest := "", int64(0)
	for i, u := range all {
		if i == 0 || u.GetBorn() > 0 && (earliest == 0 || u.GetBorn() < earliest) {
			version, earliest = u.GetVersion(), u.GetBorn()
		}
	}
	return version
}
