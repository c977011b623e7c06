package caller

import (
	"strconv"
	"testing"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Guards against one upstream of the new version that gets all sessions that move to it as the share
// grows: it reads all their prompts and seems slow, which rolled back good versions.
func TestMovedSessionsAreSpread(t *testing.T) {
	for _, c := range []struct {
		name   string
		bucket uint32
		served int // upstreams of the new version
	}{
		{"sessions that began there", 500, 1},
		{"moved sessions", 0, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var desk []*upstreamtest.Server
			for _, name := range []string{"former", "a", "b"} {
				desk = append(desk, startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, name) }))
			}
			f := newFixture(t, desk[:1], nil)
			r := &wire.SyncReply{Term: 1, Cursor: 2, Rollouts: []*wire.Rollout{{Service: "desk", Target: "v2", Share: 500, Bucket: c.bucket}}}
			for i, u := range desk[1:] {
				r.Upstreams = append(r.Upstreams, &wire.Upstream{
					Id: strconv.Itoa(i), Born: 9, Sequence: 1, Address: u.Address(), Service: "desk", Version: "v2", Slots: 4,
				})
			}
			f.view.ApplySync(r, f.clock.Now())
			served := map[string]bool{}
			for i := range 60 {
				served[f.do("GET", "/look/1", "", "Request-Id", "r"+strconv.Itoa(i)).body] = true
			}
			delete(served, "former")
			f.Equal(len(served), c.served)
		})
	}
}
