package memory

import (
	"fmt"
	"net/netip"
	"testing"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Weighs 1,000 holders, as each eviction does, from one address and from addresses apart.
func BenchmarkHeaviest(b *testing.B) {
	for _, apart := range []bool{false, true} {
		b.Run(fmt.Sprint(apart), func(b *testing.B) {
			g := New(Options{Limit: 64 << 20, Timer: timer.NewSystem(), Log: zap.NewNop()})
			for n := range 1000 {
				a := netip.MustParseAddr("10.0.0.1")
				if apart {
					a = netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)})
				}
				c, _ := g.Open(a, func() {})
				c.SetAccount("a")
				_ = c.Reserve(Header, 20<<10)
			}
			c, _ := g.Open(netip.MustParseAddr("10.0.0.2"), func() {})
			b.ResetTimer()
			for range b.N {
				g.mu.Lock()
				g.heaviest(c, 1)
				g.mu.Unlock()
			}
		})
	}
}
