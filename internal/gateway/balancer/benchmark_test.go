package balancer

import (
	"testing"

	"wisteriakeel.example/wisteriakeel/internal/gateway/sizeclass"
)

func BenchmarkPick(b *testing.B) {
	bal, _ := newBalancer(1)
	candidates := newCandidates(116)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := bal.Pick(candidates, Prefix{Key: 7, Tokens: 100}, nil); !ok {
			b.Fatal("no upstream")
		}
	}
}

func BenchmarkPickEngine(b *testing.B) {
	bal, clock := newBalancer(1)
	candidates := newCandidates(116)
	c := sizeclass.New(clock)
	for i := range 1000 {
		c.Record("s", sizeclass.Work(1000+i/990*100_000))
	}
	var all []sizeclass.Upstream
	for _, u := range candidates {
		all = append(all, sizeclass.Upstream{ID: u.ID, Zone: u.Zone})
	}
	plan, _ := c.Update("s", all, 0.3)
	if plan == nil {
		b.Fatal("no parts")
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := bal.PickFor(candidates, Request{Prefix: Prefix{Key: 7, Tokens: 100}, Reading: 4, Parts: plan}, nil); !ok {
			b.Fatal("no upstream")
		}
	}
}
