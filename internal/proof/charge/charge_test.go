package charge

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/bench/rating"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/proof/report"
	"wisteriakeel.example/wisteriakeel/internal/proof/system"
)

// faults of the charge: what happens when the first charge of a request passes
// the hook, before it is sent or after it is committed.
var faults = []struct {
	fault  string
	strike func(h *history, p system.HookPoint, r *rand.Rand)
}{
	{"entry-killed-before-charge", func(h *history, p system.HookPoint, _ *rand.Rand) {
		if !p.Completed {
			h.EntryByName(p.Instance).Kill()
		}
	}},
	{"entry-killed-after-charge", func(h *history, p system.HookPoint, _ *rand.Rand) {
		if p.Completed {
			h.EntryByName(p.Instance).Kill()
		}
	}},
	{"entry-frozen-at-charge", func(h *history, p system.HookPoint, _ *rand.Rand) {
		if e := h.EntryByName(p.Instance); !p.Completed {
			e.Freeze()
			h.later(2200*time.Millisecond, e.Thaw) // longer than the lease
		}
	}},
	{"leader-lost-during-charge", func(h *history, p system.HookPoint, r *rand.Rand) {
		if !p.Completed {
			// The kill comes before, while or after the leader commits.
			h.later(time.Duration(r.IntN(3000))*time.Microsecond, h.leader.Kill)
		}
	}},
	{"leader-cut-off-during-charge", func(h *history, p system.HookPoint, r *rand.Rand) {
		if !p.Completed {
			h.later(time.Duration(r.IntN(3000))*time.Microsecond, func() { h.leader.Partition(h.peers()...) })
		}
	}},
	{"connections-silent-at-charge", func(h *history, p system.HookPoint, _ *rand.Rand) {
		if e := h.EntryByName(p.Instance); !p.Completed {
			e.BlackholeConnections(h.leader.Address)
		}
	}},
}

// Guards against an answer without a charge, a second charge for a request that
// its caller sent again, and a charge that is lost with its leader.
func TestProofCharge(t *testing.T) {
	t.Parallel()
	for _, k := range faults {
		t.Run(k.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G4", k.fault, 8, func(t *testing.T, seed uint64) {
				h := begin(t, system.Options{Seed: seed, Entries: 3})
				r := rand.New(rand.NewPCG(seed, 2))
				for i, c := range chats(seed, "charge", "draft", 2) {
					h.leader = h.Leader(1)
					var before, after sync.Once
					h.Set(func(p system.HookPoint) {
						once := &before
						if p.Completed {
							once = &after
						}
						if p.Step == system.StepCharge {
							once.Do(func() { k.strike(h, p, r) })
						}
					}, nil)
					h.insist(h.Entries[i%2], c)
					h.Set(nil, nil)
					h.mend()
				}
				h.check()
			})
		})
	}
}

// Guards against two charges for a request that reaches two entries at once or
// one after the other, and against one charge for two requests that share an identity.
func TestProofResend(t *testing.T) {
	t.Parallel()
	report.Run(t, "G4", "request-resent", 8, func(t *testing.T, seed uint64) {
		is := is.New(t)
		h := begin(t, system.Options{Seed: seed})
		for _, c := range chats(seed, "resend", "draft", 8) {
			done := make(chan system.Completion, 3)
			for i := range 3 {
				go func() { done <- h.send(h.Entries[i%2], c) }()
			}
			for range 3 {
				is.True((<-done).Complete)
			}
			c.Prompt += " other"
			h.insist(h.Entries[0], c)
		}
		h.check()
		is.Equal(len(h.Ledger().Charges), 16)
	})
}

// Guards against a step or attempt that is billed as a request of its own, and
// one whose cost is left out.
func TestProofSteps(t *testing.T) {
	t.Parallel()
	report.Run(t, "G4", "retries-and-cascade-steps", 8, func(t *testing.T, seed uint64) {
		is := is.New(t)
		r := rating.New(timer.NewSystem())
		mux := http.NewServeMux()
		r.Register(mux)
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		h := begin(t, system.Options{Seed: seed, RatingAddress: server.URL})
		for i, rate := range []float64{0.1, 0.9} {
			r.SetBehavior(rating.Behavior{FixedRatings: map[string]float64{"draft": rate}})
			for j, c := range chats(seed, []string{"bad", "good"}[i], "auto", 4) {
				// The first run of each request breaks off, so that each has a retry.
				h.Set(nil, func(_ http.ResponseWriter, r *http.Request, next http.Handler) {
					record(r, next)
					panic(http.ErrAbortHandler)
				})
				got := h.insist(h.Entries[j%2], c)
				is.Equal(got.Model, []string{"large", "draft"}[i])
			}
		}
		h.check()
		for _, c := range h.Ledger().Charges {
			is.True(len(c.Costs) >= 2) // the retry and the steps are costs of the one charge
		}
	})
}
