// Package charge proves that each request is charged once (G4) and that a caller gets the
// complete answer to its own request (G5).
package charge

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/proof/system"
)

// history records the requests of the callers and the answers to them.
type history struct {
	*system.System
	t *testing.T
	// chargeLeader is the instance that led the group of the charges before the fault.
	chargeLeader *system.Control

	system.Interceptor
	mu        sync.Mutex
	exchanges []exchange
	// pendingFaults counts the scheduled faults that were not injected yet.
	pendingFaults sync.WaitGroup
}

// exchange is a request and its answer.
type exchange struct {
	request system.Chat
	answer  system.Completion
}

// newHistory starts a system with two engines per model and an empty history.
func newHistory(t *testing.T, o system.Options) *history {
	h := &history{t: t}
	o.Engines = 4
	h.System = system.Start(t, h.AddTo(o))
	return h
}

// send sends a chat and adds it to the history.
func (h *history) send(e *system.Entry, chat system.Chat) system.Completion {
	c := h.SendChat(e, chat)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exchanges = append(h.exchanges, exchange{chat, c})
	return c
}

// sendUntilComplete sends a chat until it has a complete answer, starting with the
// given entry and then trying all entries in turn.
func (h *history) sendUntilComplete(entry *system.Entry, chat system.Chat) (c system.Completion) {
	h.t.Helper()
	for i, deadline := 0, time.Now().Add(20*time.Second); time.Now().Before(deadline); i++ {
		if i > 0 {
			entry = h.Entries[i%len(h.Entries)]
			time.Sleep(50 * time.Millisecond)
		}
		if c = h.send(entry, chat); c.Complete {
			return c
		}
	}
	h.t.Errorf("%s: no complete answer: status %d, error %v: %s", chat.RequestID, c.Status, c.Err, c.Body)
	return c
}

// injectAfter injects a fault after the duration.
func (h *history) injectAfter(d time.Duration, inject func()) {
	h.pendingFaults.Add(1)
	time.AfterFunc(d, func() {
		defer h.pendingFaults.Done()
		inject()
	})
}

// controlAddresses lists the addresses of the control instances.
func (h *history) controlAddresses() (list []string) {
	for _, c := range h.Controls {
		list = append(list, c.Address)
	}
	return list
}

// recoverControls waits for the pending faults, restores all control instances and waits
// for a leader and the leases of the entries.
func (h *history) recoverControls() {
	h.t.Helper()
	h.pendingFaults.Wait()
	for _, c := range h.Controls {
		c.Heal(h.controlAddresses()...)
		if c.Killed() {
			c.Restart()
		}
	}
	h.WaitFor("leader and leases", func() bool {
		for _, e := range h.Entries {
			if !e.Killed() && !e.Client.HoldsLease() {
				return false
			}
		}
		return h.Leader(1) != nil
	})
}

// checkLedger checks that the ledger and the history agree: one charge of the right amount
// per answered request and no charge for a request that was not sent.
func (h *history) checkLedger() {
	h.t.Helper()
	is := is.New(h.t)
	type key struct{ account, request, digest string }
	charges := map[key][]uint64{}
	amountDiff, costDiff := uint64(0), uint64(0)
	ledger := h.Ledger()
	for _, c := range ledger.Charges {
		k := key{c.Account, c.Request, c.Digest}
		charges[k] = append(charges[k], c.Amount)
		amountDiff += c.Amount
		for _, d := range c.Costs {
			costDiff += d.Amount
		}
		is.True(len(charges[k]) == 1) // no request has a second charge
	}
	for _, t := range ledger.Totals {
		amountDiff -= t.Amount
		costDiff -= t.Cost
	}
	is.Equal([]uint64{amountDiff, costDiff}, []uint64{0, 0}) // the totals equal the sums of the charges and costs
	sent := map[key]bool{}
	for _, e := range h.exchanges {
		sum := sha256.Sum256([]byte(e.request.Request().Body))
		k := key{"hill", e.request.RequestID, hex.EncodeToString(sum[:])}
		sent[k] = true
		if !e.answer.Complete {
			continue
		}
		if !e.answer.Matches(e.request) {
			h.t.Errorf("%s: complete answer that belongs to another request: %q", e.request.RequestID, e.answer.Text)
		}
		if got := fmt.Sprint(charges[k]); got != fmt.Sprint([]uint64{e.request.ExpectedPrice(e.answer.Model)}) {
			h.t.Errorf("%s: answered by model %s, but its charges are %s", e.request.RequestID, e.answer.Model, got)
		}
	}
	for k := range charges {
		is.True(sent[k]) // each charge belongs to a request that was sent
	}
}

// newChats returns n chats with distinct texts, every second one streamed.
func newChats(seed uint64, prefix, model string, n int) (list []system.Chat) {
	r := rand.New(rand.NewPCG(seed, 1))
	for i := range n {
		list = append(list, system.Chat{
			Model: model, RequestID: fmt.Sprint(prefix, "-", i), Stream: i%2 == 0,
			Prompt: fmt.Sprint(prefix, " ", i, " ", r.Uint64()), MaxTokens: 2 + r.IntN(6),
		})
	}
	return list
}
