package weights

import (
	"slices"
	"sync"
)

// Budget grants loads of versions as it is told to, in place of a rate.
type Budget struct {
	mu       sync.Mutex
	left     int
	admitted []string
}

// Grant allows further loads.
func (b *Budget) Grant(loads int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += loads
}

// Admit tells whether a load may begin now.
func (b *Budget) Admit(model, version string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	b.admitted = append(b.admitted, model+"@"+version)
	return true
}

// Admitted lists the loads that were allowed.
func (b *Budget) Admitted() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.admitted)
}
