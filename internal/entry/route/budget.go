package route

import "sync"

// Retries are limited to a tenth of the requests, so that they don't multiply the
// load of a failing service. The initial budget lets an entry with little traffic retry.
const (
	retriesPerRequest = 0.1
	initialRetries    = 10
	maxRetries        = 100
)

// RetryBudget limits retries to a share of the requests' first attempts.
type RetryBudget struct {
	mu        sync.Mutex
	available float64
}

// NewRetryBudget returns a budget that allows the initial retries.
func NewRetryBudget() *RetryBudget { return &RetryBudget{available: initialRetries} }

// CountRequest counts the first attempt of a request.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+retriesPerRequest, maxRetries)
}

// AllowRetry takes one retry from the budget and reports whether it was available.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
