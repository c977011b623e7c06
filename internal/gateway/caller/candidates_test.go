package caller

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Guards against an entry without a start, which another writer left, that decides which version serves.
func TestCurrentVersion(t *testing.T) {
	for _, c := range []struct {
		name  string
		borns []int64 // of upstreams with the versions v0, v1 and so on
		want  string
	}{
		{"none", nil, ""},
		{"first", []int64{5, 7, 9}, "v0"},
		{"last", []int64{9, 7, 5}, "v2"},
		{"first entry has no start", []int64{0, 7, 9}, "v1"},
		{"last entry has no start", []int64{9, 7, 0}, "v1"},
		{"no starts", []int64{0, 0}, "v0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var all []*wire.Upstream
			for i, b := range c.borns {
				all = append(all, &wire.Upstream{Version: "v" + string(rune('0'+i)), Born: b})
			}
			is.New(t).Equal(currentVersion(all), c.want)
		})
	}
}

// Guards against requests during a roll-out, or after it, to a version that was rolled back just before and whose
// upstreams still drain, and to one that no order names yet.
func TestVersionsBesideRollout(t *testing.T) {
	phases := []struct {
		name      string
		phase     wire.Phase
		share     uint32
		old, next bool // whether the former version and the target are served
	}{
		{"begins", wire.Phase_PHASE_RUNNING, 0, true, false},
		{"gets a share", wire.Phase_PHASE_RUNNING, 500, true, true},
		{"is rolled back", wire.Phase_PHASE_BACK, 0, true, false},
		{"is completed", wire.Phase_PHASE_DONE, 0, false, true},
	}
	for _, c := range []struct {
		name     string
		versions []string // of the upstreams, by the time of their start
		target   string
		rejected []string
	}{
		{"rolled back before", []string{"v1", "v2", "v3"}, "v3", []string{"v2"}},
		{"not ordered yet", []string{"v1", "v2", "v3", "v3"}, "v2", nil},
	} {
		for _, p := range phases {
			t.Run(c.name+"/"+p.name, func(t *testing.T) {
				var desk []*upstreamtest.Server
				for _, v := range c.versions {
					desk = append(desk, startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, v) }))
				}
				f := newFixture(t, desk[:1], nil)
				r := &wire.SyncReply{Term: 1, Cursor: 2, Rollouts: []*wire.Rollout{{
					Service: "desk", Target: c.target, Phase: p.phase, Share: p.share, Bucket: 500, Rejected: c.rejected,
				}}}
				for i, v := range c.versions[1:] {
					r.Upstreams = append(r.Upstreams, &wire.Upstream{
						Id: "new" + strconv.Itoa(i), Born: int64(5 + i), Sequence: 1, Address: desk[1+i].Address(), Service: "desk", Version: v, Slots: 4,
					})
				}
				f.view.ApplySync(r, f.clock.Now())
				served := map[string]bool{}
				for i := range 60 {
					served[f.do("GET", "/look/1", "", "Request-Id", "r"+strconv.Itoa(i)).body] = true
				}
				expected := map[string]bool{}
				if p.old {
					expected["v1"] = true
				}
				if p.next {
					expected[c.target] = true
				}
				f.Equal(served, expected)
			})
		}
	}
}
