package caller

import (
	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// trialShare is the share, in thousandths, below which a new version is filled upstream
// by upstream.
const trialShare = 1000

// candidates returns the upstreams that the request may go to. trial is true if they
// are those of a new version with a small share.
func (q *request) candidates() (out []balancer.Candidate, trial bool) {
	all := q.View.Table().Services[q.service]
	allowed := q.allowed(all)
	if r := q.View.Rollout(q.service); r != nil && r.GetPhase() == wire.Phase_PHASE_RUNNING {
		trial = r.GetShare() < trialShare && allowed(r.GetTarget())
	}
	out = make([]balancer.Candidate, 0, len(all))
	for _, u := range all {
		if !allowed(u.GetVersion()) {
			continue
		}
		out = append(out, balancer.Candidate{
			ID: u.GetId(), Address: u.GetAddress(), Zone: u.GetZone(), Version: u.GetVersion(), Slots: int(u.GetSlots()),
			HeartbeatsMissed: u.GetStage() == wire.Stage_STAGE_SILENT, Cold: u.GetCold() > 0,
		})
	}
	return out, trial
}

// allowed returns which versions the request may go to. Sessions are spread by their
// hash, so that one that has moved to the target of a roll-out does not move back
// while its share grows.
func (q *request) allowed(all []*wire.Upstream) func(version string) bool {
	r := q.View.Rollout(q.service)
	if r == nil {
		former := incumbent(all)
		return func(v string) bool { return v == former }
	}
	if r.GetPhase() == wire.Phase_PHASE_RUNNING && r.GetShare() == 0 && q.session%1000 < uint64(r.GetBucket()) {
		q.View.HoldSessions(q.service, q.session)
	}
	target := r.GetTarget()
	isTarget := func(v string) bool { return v == target }
	isFormer := func(v string) bool { return v != target }
	count := 0
	for _, u := range all {
		if u.GetVersion() == target {
			count++
		}
	}
	switch {
	case r.GetPhase() == wire.Phase_PHASE_BACK:
		return isFormer
	case r.GetPhase() == wire.Phase_PHASE_DONE && count > 0:
		return isTarget
	case r.GetPhase() == wire.Phase_PHASE_DONE:
		return func(string) bool { return true }
	case count == len(all):
		return isTarget
	case r.HeldSessions[q.session] && r.GetShare() <= r.GetBucket():
		return isFormer
	case count > 0 && q.session%1000 < uint64(r.GetShare()):
		return isTarget
	}
	return isFormer
}

// incumbent returns the version of the upstream that started first. Before the order
// of a roll-out, upstreams of another version must get nothing.
func incumbent(all []*wire.Upstream) string {
	version, born := "", int64(0)
	for i, u := range all {
		if i == 0 || u.GetBorn() < born {
			version, born = u.GetVersion(), u.GetBorn()
		}
	}
	return version
}
