package system

import (
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against a system whose parts do not work together, whose faults do not
// take hold, or that does not end.
func TestSystem(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var seen []string
	s := Start(t, Options{Seed: 1, Engines: 2, Hook: func(p Point) {
		mu.Lock()
		defer mu.Unlock()
		if p.Key == "first" && p.Step != Read || p.Step == Send {
			seen = append(seen, string(p.Step))
		}
	}})
	a := s.Send(s.Entries[0], Booking("first", "{}"))
	is.NoErr(a.Err)
	is.Equal(a.Status, 200)
	is.Equal(s.RunsOf("first"), 1)
	mu.Lock()
	is.Equal(strings.Join(seen, " "), "open open dispatch dispatch send run run finish finish")
	mu.Unlock()

	chat := Call{Path: "/v1/chat/completions", Body: `{"model":"draft","messages":[{"role":"user","content":"a b c"}]}`}
	s.Entries[0].Freeze()
	is.Equal(s.Send(s.Entries[1], chat).Status, 200)
	s.Entries[0].Thaw()
	s.Until("leases", func() bool { return s.Entries[0].Client.HoldsLease() })
	s.Entries[1].Cut(s.Plains[0].Address)
	is.Equal(s.Send(s.Entries[1], Booking("second", "{}")).Outcome, "not run")
	s.Entries[1].Kill()
	is.True(s.Send(s.Entries[1], chat).Err != nil)

	leader := s.Leader(1)
	leader.Kill()
	is.Equal(s.Send(s.Entries[0], Booking("third", "{}")).Status, 200)
	leader.Restart()
	is.Equal(s.RunsOf("first")+s.RunsOf("third"), 2)
	is.Equal(s.RunsOf("second"), 0)
}
