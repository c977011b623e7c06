package route

import "sync"

// Retries are kept to a tenth of the traffic; the reserve lets an entry with
// little traffic retry at all.
const (
	budgetShare   = 0.1
	budgetReserve = 10
	budgetMost    = 100
)

// Budget bounds retries to a share of the first attempts.
type Budget struct {
	mu   sync.Mutex
	left float64
}

// NewBudget returns a budget that holds its reserve.
func NewBudget() *Budget { return &Budget{left: budgetReserve} }

// First counts a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+budgetShare, budgetMost)
}

// Retry takes one retry out of the budget if it holds one.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
