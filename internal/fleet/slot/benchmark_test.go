package slot

import (
	"fmt"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// BenchmarkLender measures a lease and its return while many others are in use.
func BenchmarkLender(b *testing.B) {
	for _, c := range []struct{ upstreams, slots int }{{6, 6}, {93, 64}} {
		b.Run(fmt.Sprint(c.upstreams, " upstreams of ", c.slots, " slots"), func(b *testing.B) {
			id := uint64(0)
			l := NewLender(Options{
				Upstream: func(Upstream) (Info, bool) { return Info{c.slots, 3}, true },
				NewID:    func() uint64 { id++; return id },
			})
			now, number := timer.Instant(time.Hour), uint64(0)
			ask := func() []Answer {
				number++
				w := &Want{Holder: Holder{Instance: "n"}, Number: number, Until: now.Add(time.Hour), Patience: time.Second}
				for i := range min(c.upstreams, 8) {
					w.Upstreams = append(w.Upstreams, Upstream{ID: fmt.Sprint("u", (int(number)+i)%c.upstreams), Born: 1})
				}
				return l.Ask(w, now)
			}
			for range c.upstreams * c.slots * 9 / 10 {
				ask()
			}
			b.ResetTimer()
			for range b.N {
				now = now.Add(100 * time.Microsecond)
				l.Return(ask()[0].Lease, Ended, now)
			}
		})
	}
}
