package weights

import (
	"slices"
	"sync"
)

// Budget limits the number of loads to those granted explicitly; tests use it in place
// of a rate limit.
type Budget struct {
	mu        sync.Mutex
	remaining int
	admitted  []string
}

// Grant adds loads to the budget.
func (b *Budget) Grant(loads int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining += loads
}

// Admit reports whether a load may start now, and deducts it from the budget.
func (b *Budget) Admit(model, version string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	b.admitted = append(b.admitted, model+"@"+version)
	return true
}

// Admitted returns the admitted loads as model@version, in order.
func (b *Budget) Admitted() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.admitted)
}
