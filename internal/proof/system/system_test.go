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
	s := Start(t, Options{Seed: 1, Engines: 2, Hook: func(p HookPoint) {
		mu.Lock()
		defer mu.Unlock()
		if p.Key == "first" && p.Step != StepRead || p.Step == StepSend {
			seen = append(seen, string(p.Step))
		}
	}})
	a := s.Send(s.Entries[0], BookingRequest("first", "{}"))
	is.NoErr(a.Err)
	is.Equal(a.Status, 200)
	is.Equal(s.RunCount("first"), 1)
	mu.Lock()
	is.Equal(strings.Join(seen, " "), "open open dispatch dispatch send run run finish finish")
	mu.Unlock()

	chat := Request{Path: "/v1/chat/completions", Body: `{"model":"draft","messages":[{"role":"user","content":"a b c"}]}`}
	s.Entries[0].Freeze()
	is.Equal(s.Send(s.Entries[1], chat).Status, 200)
	s.Entries[0].Thaw()
	s.WaitFor("leases", func() bool { return s.Entries[0].Client.HoldsLease() })
	s.Entries[1].Partition(s.PlainServices[0].Address)
	is.Equal(s.Send(s.Entries[1], BookingRequest("second", "{}")).Outcome, "not run")
	s.Entries[1].Kill()
	is.True(s.Send(s.Entries[1], chat).Err != nil)

	leader := s.Leader(1)
	leader.Kill()
	is.Equal(s.Send(s.Entries[0], BookingRequest("third", "{}")).Status, 200)
	leader.Restart()
	is.Equal(s.RunCount("first")+s.RunCount("third"), 2)
	is.Equal(s.RunCount("second"), 0)
}
