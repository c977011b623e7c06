package system

import (
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against a harness whose instances don't work together, whose faults have no
// effect, or that doesn't stop.
func TestSystem(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var steps []string
	s := Start(t, Options{Seed: 1, Engines: 2, Hook: func(p HookPoint) {
		mu.Lock()
		defer mu.Unlock()
		if p.Key == "first" && p.Step != StepRead || p.Step == StepSend {
			steps = append(steps, string(p.Step))
		}
	}})
	a := s.Send(s.Entries[0], BookingRequest("first", "{}"))
	is.NoErr(a.Err)
	is.Equal(a.Status, 200)
	is.Equal(s.RunCount("first"), 1)
	mu.Lock()
	is.Equal(strings.Join(steps, " "), "open open dispatch dispatch send run run finish finish")
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
