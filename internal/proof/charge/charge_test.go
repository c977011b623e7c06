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

// chargeFaults lists the faults that are injected at the first charge of a request: before
// the charge is sent or after it is committed.
var chargeFaults = []struct {
	fault  string
	inject func(h *history, p system.HookPoint, r *rand.Rand)
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
			h.injectAfter(2200*time.Millisecond, e.Thaw) // longer than the lease of 2 s
		}
	}},
	{"leader-lost-during-charge", func(h *history, p system.HookPoint, r *rand.Rand) {
		if !p.Completed {
			// The leader is killed before, during or after its commit.
			h.injectAfter(time.Duration(r.IntN(3000))*time.Microsecond, h.chargeLeader.Kill)
		}
	}},
	{"leader-cut-off-during-charge", func(h *history, p system.HookPoint, r *rand.Rand) {
		if !p.Completed {
			h.injectAfter(time.Duration(r.IntN(3000))*time.Microsecond, func() { h.chargeLeader.Partition(h.controlAddresses()...) })
		}
	}},
	{"connections-silent-at-charge", func(h *history, p system.HookPoint, _ *rand.Rand) {
		if e := h.EntryByName(p.Instance); !p.Completed {
			e.BlackholeConnections(h.chargeLeader.Address)
		}
	}},
}

// Guards against an answered request without a charge, a second charge for a request that
// its caller sent again, and a charge that is lost with the leader that took it.
func TestProofCharge(t *testing.T) {
	t.Parallel()
	for _, k := range chargeFaults {
		t.Run(k.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G4", k.fault, 8, func(t *testing.T, seed uint64) {
				h := newHistory(t, system.Options{Seed: seed, Entries: 3})
				r := rand.New(rand.NewPCG(seed, 2))
				for i, c := range newChats(seed, "charge", "draft", 2) {
					h.chargeLeader = h.Leader(1)
					var beforeOnce, afterOnce sync.Once
					h.Set(func(p system.HookPoint) {
						once := &beforeOnce
						if p.Completed {
							once = &afterOnce
						}
						if p.Step == system.StepCharge {
							once.Do(func() { k.inject(h, p, r) })
						}
					}, nil)
					h.sendUntilComplete(h.Entries[i%2], c)
					h.Set(nil, nil)
					h.recoverControls()
				}
				h.checkLedger()
			})
		})
	}
}

// Guards against two charges for a request that reaches two entries, at once or in turn,
// and against a single charge for two different requests with the same request id.
func TestProofResend(t *testing.T) {
	t.Parallel()
	report.Run(t, "G4", "request-resent", 8, func(t *testing.T, seed uint64) {
		is := is.New(t)
		h := newHistory(t, system.Options{Seed: seed})
		for _, c := range newChats(seed, "resend", "draft", 8) {
			done := make(chan system.Completion, 3)
			for i := range 3 {
				go func() { done <- h.send(h.Entries[i%2], c) }()
			}
			for range 3 {
				is.True((<-done).Complete)
			}
			c.Prompt += " other"
			h.sendUntilComplete(h.Entries[0], c)
		}
		h.checkLedger()
		is.Equal(len(h.Ledger().Charges), 16) // one charge for each of two prompts per request id
	})
}

// Guards against a cascade step or retry that is charged as a request of its own, and
// against one whose cost is missing from the charge.
func TestProofSteps(t *testing.T) {
	t.Parallel()
	report.Run(t, "G4", "retries-and-cascade-steps", 8, func(t *testing.T, seed uint64) {
		is := is.New(t)
		ratings := rating.New(timer.NewSystem())
		mux := http.NewServeMux()
		ratings.Register(mux)
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		h := newHistory(t, system.Options{Seed: seed, RatingAddress: server.URL})
		for i, rate := range []float64{0.1, 0.9} {
			ratings.SetBehavior(rating.Behavior{FixedRatings: map[string]float64{"draft": rate}})
			for j, c := range newChats(seed, []string{"bad", "good"}[i], "auto", 4) {
				// The first run of each request is interrupted, so that each request is retried.
				h.Set(nil, func(_ http.ResponseWriter, r *http.Request, next http.Handler) {
					recordResponse(r, next)
					panic(http.ErrAbortHandler)
				})
				got := h.sendUntilComplete(h.Entries[j%2], c)
				is.Equal(got.Model, []string{"large", "draft"}[i])
			}
		}
		h.checkLedger()
		for _, c := range h.Ledger().Charges {
			is.True(len(c.Costs) >= 2) // the single charge includes the costs of the retry and of the steps
		}
	})
}
