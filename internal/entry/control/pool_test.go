package control

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/tcp"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against calls over idle connections that may have gone silent.
func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual()
	dials := 0
	p := newPool(m, func(context.Context, string) (net.Conn, error) {
		dials++
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		return near, nil
	})
	defer p.close()
	use := func() {
		c, err := p.get(t.Context(), "a")
		is.NoErr(err)
		p.put("a", c, false)
	}
	use()
	m.Advance(tcp.MaxIdle)
	use()
	is.Equal(dials, 1)
	m.Advance(tcp.MaxIdle + 1)
	use()
	is.Equal(dials, 2)
}
