// Package charge proves that each request is billed once (G4) and that a caller
// gets the complete answer to its own request (G5).
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

// history is what callers sent and got.
type history struct {
	*system.System
	test *testing.T
	// leader leads the group of the charges.
	leader *system.Control

	system.Interceptor
	mu   sync.Mutex
	sent []sent
	// pending are the faults that are still to strike.
	pending sync.WaitGroup
}

type sent struct {
	chat system.Chat
	got  system.Completion
}

// begin starts a system with two engines per model.
func begin(t *testing.T, o system.Options) *history {
	h := &history{test: t}
	o.Engines = 4
	h.System = system.Start(t, h.AddTo(o))
	return h
}

// send sends a chat and notes what came of it.
func (h *history) send(e *system.Entry, chat system.Chat) system.Completion {
	c := h.SendChat(e, chat)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = append(h.sent, sent{chat, c})
	return c
}

// insist sends a chat until it is answered, to the entries in turn.
func (h *history) insist(first *system.Entry, chat system.Chat) (c system.Completion) {
	h.test.Helper()
	for i, end := 0, time.Now().Add(20*time.Second); time.Now().Before(end); i++ {
		if i > 0 {
			first = h.Entries[i%len(h.Entries)]
			time.Sleep(50 * time.Millisecond)
		}
		if c = h.send(first, chat); c.Complete {
			return c
		}
	}
	h.test.Errorf("%s is not answered: %d %v %s", chat.RequestID, c.Status, c.Err, c.Body)
	return c
}

// later calls a fault after a while.
func (h *history) later(d time.Duration, f func()) {
	h.pending.Add(1)
	time.AfterFunc(d, func() {
		defer h.pending.Done()
		f()
	})
}

// peers lists the addresses of the control instances.
func (h *history) peers() (list []string) {
	for _, c := range h.Controls {
		list = append(list, c.Address)
	}
	return list
}

// mend brings the control instances back once all faults have struck.
func (h *history) mend() {
	h.test.Helper()
	h.pending.Wait()
	for _, c := range h.Controls {
		c.Heal(h.peers()...)
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

// check compares the ledger with the history.
func (h *history) check() {
	h.test.Helper()
	is := is.New(h.test)
	type key struct{ account, request, digest string }
	charges := map[key][]uint64{}
	amount, cost := uint64(0), uint64(0)
	ledger := h.Ledger()
	for _, c := range ledger.Charges {
		k := key{c.Account, c.Request, c.Digest}
		charges[k] = append(charges[k], c.Amount)
		amount += c.Amount
		for _, d := range c.Costs {
			cost += d.Amount
		}
		is.True(len(charges[k]) == 1) // no request has two charges
	}
	for _, t := range ledger.Totals {
		amount -= t.Amount
		cost -= t.Cost
	}
	is.Equal([]uint64{amount, cost}, []uint64{0, 0}) // totals match the charges
	known := map[key]bool{}
	for _, s := range h.sent {
		sum := sha256.Sum256([]byte(s.chat.Request().Body))
		k := key{"hill", s.chat.RequestID, hex.EncodeToString(sum[:])}
		known[k] = true
		if !s.got.Complete {
			continue
		}
		if !s.got.Matches(s.chat) {
			h.test.Errorf("%s: complete, but not its answer: %q", s.chat.RequestID, s.got.Text)
		}
		if got := fmt.Sprint(charges[k]); got != fmt.Sprint([]uint64{s.chat.ExpectedPrice(s.got.Model)}) {
			h.test.Errorf("%s: answered by %s with charges %s", s.chat.RequestID, s.got.Model, got)
		}
	}
	for k := range charges {
		is.True(known[k]) // each charge belongs to a request that was sent
	}
}

// chats returns chats with texts of their own, half of them streamed.
func chats(seed uint64, prefix, model string, n int) (list []system.Chat) {
	r := rand.New(rand.NewPCG(seed, 1))
	for i := range n {
		list = append(list, system.Chat{
			Model: model, RequestID: fmt.Sprint(prefix, "-", i), Stream: i%2 == 0,
			Prompt: fmt.Sprint(prefix, " ", i, " ", r.Uint64()), MaxTokens: 2 + r.IntN(6),
		})
	}
	return list
}
