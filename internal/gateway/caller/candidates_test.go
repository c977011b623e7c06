package caller

import (
	"testing"

	"github.com/matryer/is"

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
