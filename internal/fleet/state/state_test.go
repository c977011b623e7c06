package state

import (
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
