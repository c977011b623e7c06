// Package state is the replicated state machine of a deployment: its layout,
// roll-outs and quarantined requests.
package state

import (
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// maxQuarantined bounds the list of quarantined requests; the oldest are dropped.
const maxQuarantined = 1024

// Results of Apply beside an empty one, which is an acknowledgement.
const (
	// ConflictRolloutInProgress says that another roll-out of the service is under way.
	ConflictRolloutInProgress = "another roll-out of the service is in progress"
	// ConflictUndecodable says that the command could not be decoded.
	ConflictUndecodable = "command cannot be read"
)

// State implements replica.Machine. Others read it while the replica applies.
type State struct {
	// OnChange, if set, is called after each command that changed something.
	OnChange func()

	mu          sync.Mutex
	layout      *wire.Layout
	rollouts    map[string]*wire.Rollout
	quarantined []uint64
}

// New returns an empty state.
func New() *State { return &State{rollouts: map[string]*wire.Rollout{}} }

var _ replica.Machine = (*State)(nil)

// Apply carries out one command. The result is empty or says why nothing was done.
func (s *State) Apply(_ replica.Index, command []byte) []byte {
	var c wire.Command
	if err := proto.Unmarshal(command, &c); err != nil {
		return []byte(ConflictUndecodable)
	}
	s.mu.Lock()
	changed, conflict := s.apply(&c)
	s.mu.Unlock()
	if changed && s.OnChange != nil {
		s.OnChange()
	}
	return []byte(conflict)
}

func (s *State) apply(c *wire.Command) (changed bool, conflict string) {
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
		if slices.Contains(s.quarantined, b.Quarantine) {
			return false, ""
		}
		s.quarantined = append(s.quarantined, b.Quarantine)
		if len(s.quarantined) > maxQuarantined {
			s.quarantined = s.quarantined[1:]
		}
		return true, ""
	}
	return false, ConflictUndecodable
}

// beginRollout starts a roll-out. An order that is sent again is acknowledged again.
func (s *State) beginRollout(b *wire.Rollout) (changed bool, conflict string) {
	r := s.rollouts[b.GetService()]
	switch {
	case r != nil && r.GetTarget() == b.GetTarget():
		return false, ""
	case r != nil && r.GetPhase() == wire.Phase_PHASE_RUNNING:
		return false, ConflictRolloutInProgress
	}
	r = proto.Clone(b).(*wire.Rollout)
	r.Phase = wire.Phase_PHASE_RUNNING
	s.rollouts[r.GetService()] = r
	return true, ""
}

// Layout returns the newest layout, or nil.
func (s *State) Layout() *wire.Layout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.layout
}

// Rollouts returns the last roll-out of each service, by service.
func (s *State) Rollouts() []*wire.Rollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sortedRollouts()
}

func (s *State) sortedRollouts() []*wire.Rollout {
	var out []*wire.Rollout
	for _, r := range s.rollouts {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *wire.Rollout) int { return strings.Compare(a.GetService(), b.GetService()) })
	return out
}

// Quarantined returns the fingerprints of the quarantined requests.
func (s *State) Quarantined() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.quarantined)
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return proto.Marshal(&wire.Snapshot{Layout: s.layout, Rollouts: s.sortedRollouts(), Quarantined: s.quarantined})
}

// Restore replaces the state by a snapshot.
func (s *State) Restore(snapshot []byte) (err error) {
	var d wire.Snapshot
	if err := proto.Unmarshal(snapshot, &d); err != nil {
		return errors.Wrap(err, "fleet snapshot")
	}
	s.mu.Lock()
	s.layout, s.quarantined = d.GetLayout(), d.GetQuarantined()
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
