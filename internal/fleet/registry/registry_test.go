package registry

import (
	"testing"

	"github.com/matryer/is"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Guards against an outdated record of an upstream that replaces a newer one when
// announcements arrive out of order.
func TestNewer(t *testing.T) {
	u := func(born int64, sequence uint64, s wire.Stage) *wire.Upstream {
		return &wire.Upstream{Id: "x", Born: born, Sequence: sequence, Stage: s}
	}
	const ready, draining, left, silent = wire.Stage_STAGE_READY, wire.Stage_STAGE_DRAINING, wire.Stage_STAGE_LEFT, wire.Stage_STAGE_SILENT
	for _, c := range []struct {
		name string
		a, b *wire.Upstream
		want bool
	}{
		{"first", u(1, 1, ready), nil, true},
		{"next heartbeat", u(1, 2, ready), u(1, 1, ready), true},
		{"late heartbeat", u(1, 1, ready), u(1, 2, draining), false},
		{"heartbeat after leaving", u(1, 9, ready), u(1, 2, left), false},
		{"leave without a sequence number", u(1, 0, left), u(1, 8, ready), true},
		{"later incarnation", u(2, 1, ready), u(1, 9, left), true},
		{"earlier incarnation", u(1, 9, ready), u(2, 1, ready), false},
		{"silence", u(1, 3, silent), u(1, 3, ready), true},
		{"heartbeat after silence", u(1, 4, ready), u(1, 3, silent), true},
		{"same heartbeat after silence", u(1, 3, ready), u(1, 3, silent), false},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(Newer(c.a, c.b), c.want) })
	}
}
