// Package state implements the replicated state machine of a deployment. It holds the
// layout, the roll-outs, the upstreams that leave, the quarantined requests, the
// quarantined parts of prompts and the evacuations of availability zones.
package state

import (
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/fleet/registry"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// maxQuarantined is the number of quarantined requests, and that of quarantined parts, above
// which the oldest is dropped.
const maxQuarantined = 1024

// maxLeaves is the number of upstreams that drain or have left above which the first is
// dropped. It is as large as the number of records that an instance keeps.
const maxLeaves = 4096

// maxRejected is the number of versions of a service that were rolled back, above which the oldest is
// dropped. Its upstreams have ended long before.
const maxRejected = 16

// Results of Apply for commands that were not carried out. An empty result acknowledges
// the command.
const (
	// ConflictRolloutInProgress means that another roll-out of the service is running.
	ConflictRolloutInProgress = "another roll-out of the service is in progress"
	// ConflictUndecodable means that the command could not be decoded. An earlier program that leads
	// returns it for commands that it does not know, although later ones carry them out.
	ConflictUndecodable = "command cannot be read"
	// ConflictSuperseded means that a contrary order for the zone was committed after the one that the
	// proposer knew.
	ConflictSuperseded = "a later order for the availability zone is in force"
	// ConflictUnknownZone means that no instance or upstream names the zone. The leader returns it
	// without a commit.
	ConflictUnknownZone = "no instance or upstream is in this availability zone"
	// ConflictTooManyEvacuations means that too many zones are evacuated.
	ConflictTooManyEvacuations = "too many availability zones are evacuated"
)

// State is the replicated state. It implements replica.StateMachine and may be read while the
// replica applies commands.
type State struct {
	// OnChange, if set, is called after each command that changed the state and after
	// Restore.
	OnChange func()

	mu          sync.Mutex
	layout      *wire.Layout
	rollouts    map[string]*wire.Rollout // the most recent one of each service
	quarantined []uint64                 // fingerprints of requests, oldest first
	parts       []string                 // quarantined parts of prompts, oldest first
	leaves      []*wire.Upstream         // upstreams that drain or have left, oldest first
	evacuations evacuations
}

// New returns an empty state.
func New() *State {
	return &State{rollouts: map[string]*wire.Rollout{}, evacuations: decodeEvacuations(nil)}
}

var _ replica.StateMachine = (*State)(nil)

// Empty reports whether no command has ever had an effect.
func (s *State) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.layout == nil && len(s.rollouts)+len(s.quarantined)+len(s.parts)+len(s.leaves)+len(s.evacuations.zones) == 0
}

// Apply carries out one command. The result is empty, or says why the command was not
// carried out.
func (s *State) Apply(index replica.Index, command []byte) []byte {
	var c wire.Command
	if err := proto.Unmarshal(command, &c); err != nil {
		return []byte(ConflictUndecodable)
	}
	s.mu.Lock()
	changed, conflict := s.apply(index, &c)
	s.mu.Unlock()
	if changed && s.OnChange != nil {
		s.OnChange()
	}
	return []byte(conflict)
}

// apply carries out a command at an index of the log. It acknowledges one without effect, for example for an older
// layout or a roll-out that has ended. s.mu must be held.
func (s *State) apply(index replica.Index, c *wire.Command) (changed bool, conflict string) {
	switch b := c.Body.(type) {
	case *wire.Command_Layout:
		if s.layout != nil && b.Layout.GetVersion() <= s.layout.GetVersion() {
			return false, ""
		}
		s.layout = b.Layout
		return true, ""
	case *wire.Command_Begin:
		return s.beginRollout(b.Begin)
	case *wire.Command_End:
		r := s.rollouts[b.End.GetService()]
		if r == nil || r.GetTarget() != b.End.GetTarget() || r.GetPhase() != wire.Phase_PHASE_RUNNING {
			return false, ""
		}
		r = proto.Clone(r).(*wire.Rollout)
		r.Phase = b.End.GetPhase()
		s.rollouts[r.GetService()] = r
		return true, ""
	case *wire.Command_Quarantine:
		return addQuarantined(&s.quarantined, b.Quarantine), ""
	case *wire.Command_QuarantinePart:
		return addQuarantined(&s.parts, b.QuarantinePart), ""
	case *wire.Command_Leaves:
		for _, u := range b.Leaves.GetUpstreams() {
			changed = s.addLeave(u) || changed
		}
		return changed, ""
	case *wire.Command_Evacuation:
		return s.evacuations.apply(index, b.Evacuation)
	}
	return false, ConflictUndecodable
}

// addQuarantined adds an entry to a list, oldest first. It returns false if the list has it.
func addQuarantined[T comparable](list *[]T, entry T) (added bool) {
	if slices.Contains(*list, entry) {
		return false
	}
	*list = append(*list, entry)
	if len(*list) > maxQuarantined {
		*list = (*list)[1:]
	}
	return true
}

// addLeave stores the record of an upstream that drains or has left. It returns false if the
// stored one is as new. s.mu must be held.
func (s *State) addLeave(u *wire.Upstream) (added bool) {
	at := slices.IndexFunc(s.leaves, func(o *wire.Upstream) bool { return o.GetId() == u.GetId() })
	if at >= 0 {
		if !registry.Newer(u, s.leaves[at]) {
			return false
		}
		u = registry.KeepLeaving(u, s.leaves[at])
		s.leaves = slices.Delete(s.leaves, at, at+1)
	}
	s.leaves = append(s.leaves, u)
	if len(s.leaves) > maxLeaves {
		s.leaves = s.leaves[1:]
	}
	return true
}

// Leaves returns the upstreams that drain or have left, oldest first.
func (s *State) Leaves() []*wire.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.leaves)
}

// beginRollout starts a roll-out. It acknowledges a repeated command for the same target
// without effect. s.mu must be held.
func (s *State) beginRollout(b *wire.Rollout) (changed bool, conflict string) {
	r := s.rollouts[b.GetService()]
	switch {
	case r != nil && r.GetTarget() == b.GetTarget():
		return false, ""
	case r != nil && r.GetPhase() == wire.Phase_PHASE_RUNNING:
		return false, ConflictRolloutInProgress
	}
	n := proto.Clone(b).(*wire.Rollout)
	n.Phase, n.Rejected = wire.Phase_PHASE_RUNNING, rejectedVersions(r, b.GetTarget())
	s.rollouts[n.GetService()] = n
	return true, ""
}

// rejectedVersions returns the versions that were rolled back since the last completed roll-out when one
// to target begins. former is the roll-out before, or nil.
func rejectedVersions(former *wire.Rollout, target string) (out []string) {
	if former.GetPhase() != wire.Phase_PHASE_BACK {
		return nil
	}
	for _, v := range append(slices.Clone(former.GetRejected()), former.GetTarget()) {
		if v != target {
			out = append(out, v)
		}
	}
	return out[max(len(out)-maxRejected, 0):]
}

// Layout returns the current layout, or nil before the first.
func (s *State) Layout() *wire.Layout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.layout
}

// Rollouts returns the most recent roll-out of each service, sorted by service.
func (s *State) Rollouts() []*wire.Rollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sortedRollouts()
}

// sortedRollouts is Rollouts for callers that hold s.mu.
func (s *State) sortedRollouts() []*wire.Rollout {
	var out []*wire.Rollout
	for _, r := range s.rollouts {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *wire.Rollout) int { return strings.Compare(a.GetService(), b.GetService()) })
	return out
}

// Quarantined returns the fingerprints of quarantined requests, oldest first.
func (s *State) Quarantined() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.quarantined)
}

// RequestQuarantined reports whether the requests with a fingerprint are in quarantine.
func (s *State) RequestQuarantined(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.quarantined, fingerprint)
}

// QuarantinedParts returns the quarantined parts of prompts, oldest first.
func (s *State) QuarantinedParts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.parts)
}

// PartQuarantined reports whether a part of prompts is in quarantine.
func (s *State) PartQuarantined(part string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.parts, part)
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return proto.Marshal(&wire.Snapshot{
		Layout: s.layout, Rollouts: s.sortedRollouts(), Quarantined: s.quarantined, QuarantinedParts: s.parts, Leaves: s.leaves,
		Evacuations: s.evacuations.encode(),
	})
}

// Restore replaces the state with that of a snapshot.
func (s *State) Restore(snapshot []byte) (err error) {
	var d wire.Snapshot
	if err := proto.Unmarshal(snapshot, &d); err != nil {
		return errors.Wrap(err, "decode fleet snapshot")
	}
	s.mu.Lock()
	s.layout, s.quarantined, s.parts, s.leaves = d.GetLayout(), d.GetQuarantined(), d.GetQuarantinedParts(), d.GetLeaves()
	s.evacuations = decodeEvacuations(d.GetEvacuations())
	s.rollouts = map[string]*wire.Rollout{}
	for _, r := range d.GetRollouts() {
		s.rollouts[r.GetService()] = r
	}
	s.mu.Unlock()
	if s.OnChange != nil {
		s.OnChange()
	}
	return nil
}
