package state

import (
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Guards against a version that was rolled back and counts as the former one in the next roll-out.
func TestRejectedVersions(t *testing.T) {
	for _, c := range []struct {
		name     string
		ended    string // targets of ended roll-outs; + for a completed one, - for one rolled back
		target   string
		rejected string
	}{
		{"first roll-out", "", "v2", ""},
		{"after a completed one", "v2+", "v3", ""},
		{"after one rolled back", "v2-", "v3", "v2"},
		{"after two rolled back", "v2- v3-", "v4", "v2 v3"},
		{"the same version again", "v2- v3-", "v2", "v3"},
		{"completed after one rolled back", "v2- v3+", "v4", ""},
		{"rolled back after a completed one", "v2- v3+ v4-", "v5", "v4"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			apply := func(command *wire.Command) {
				data, err := proto.Marshal(command)
				is.NoErr(err)
				is.Equal(string(s.Apply(1, data)), "")
			}
			begin := func(target string) {
				apply(&wire.Command{Body: &wire.Command_Begin{Begin: &wire.Rollout{Service: "s", Target: target}}})
			}
			for _, e := range strings.Fields(c.ended) {
				target, phase := e[:2], wire.Phase_PHASE_DONE
				if strings.HasSuffix(e, "-") {
					phase = wire.Phase_PHASE_BACK
				}
				begin(target)
				apply(&wire.Command{Body: &wire.Command_End{End: &wire.Rollout{Service: "s", Target: target, Phase: phase}}})
			}
			begin(c.target)
			is.Equal(strings.Join(s.Rollouts()[0].GetRejected(), " "), c.rejected)
		})
	}
}

// Guards against leaves that a snapshot loses, that an older record replaces, or that pile up
// without a bound.
func TestLeaves(t *testing.T) {
	is := is.New(t)
	s := New()
	leave := func(id string, born int64, sequence uint64, stage wire.Stage) {
		data, err := proto.Marshal(&wire.Command{Body: &wire.Command_Leaves{Leaves: &wire.Leaves{Upstreams: []*wire.Upstream{
			{Id: id, Born: born, Sequence: sequence, Stage: stage},
		}}}})
		is.NoErr(err)
		is.Equal(string(s.Apply(1, data)), "")
	}
	leave("a", 1, 5, wire.Stage_STAGE_DRAINING)
	leave("a", 1, 4, wire.Stage_STAGE_DRAINING)
	is.Equal(s.Leaves()[0].GetSequence(), uint64(5))
	leave("a", 1, 0, wire.Stage_STAGE_LEFT)
	leave("a", 1, 9, wire.Stage_STAGE_DRAINING)
	is.Equal(s.Leaves()[0].GetStage(), wire.Stage_STAGE_LEFT)
	is.Equal(len(s.Leaves()), 1)
	for i := range maxLeaves {
		leave(strconv.Itoa(i), 1, 1, wire.Stage_STAGE_LEFT)
	}
	is.Equal(len(s.Leaves()), maxLeaves)
	is.Equal(s.Leaves()[0].GetId(), "0")
	snapshot, err := s.Snapshot()
	is.NoErr(err)
	restored := New()
	is.NoErr(restored.Restore(snapshot))
	is.Equal(len(restored.Leaves()), maxLeaves)
}
