package modelselect

import (
	"strconv"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// BenchmarkChoice measures what the choice adds to a request that escalates once, with as many accounts
// as are told apart.
func BenchmarkChoice(b *testing.B) {
	clock := timer.NewManual()
	s, r, c := New(clock), sample(short), Conditions{Utilization: 0.8}
	for i := 0; b.Loop(); i++ {
		r.Account, r.Part = layout.Account(strconv.Itoa(i%maxAccounts)), uint64(i+1)
		clock.Advance(time.Millisecond)
		s.Initial(r, c)
		s.RecordFirst(r, 0, 50*time.Millisecond, false)
		s.RecordConfidence(r, 0, 20, nil)
		s.Escalate(r, 0, 20, c)
		s.RecordFirst(r, 2, 300*time.Millisecond, false)
		s.RecordConfidence(r, 2, 95, &Run{0, 20})
		s.RecordEnd(r, 2, time.Second)
	}
}
