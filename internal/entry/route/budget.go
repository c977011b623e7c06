package route

import "sync"

// Retries are kept to a tenth of the traffic; the reserve lets an entry with
// little traffic retry at all.
const (
	budgetShare   = 0.1
	budgetReserve = 10
	budgetMost    = 100
)

// RetryBudget bounds retries to a share of the first attempts.
type RetryBudget struct {
	mu   sync.Mutex
	left float64
}

// NewRetryBudget returns a budget that holds its reserve.
func NewRetryBudget() *RetryBudget { return &RetryBudget{left: budgetReserve} }

// CountRequest counts a first attempt.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+budgetShare, budgetMost)
}

// AllowRetry takes one retry out of the budget if it holds one.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
