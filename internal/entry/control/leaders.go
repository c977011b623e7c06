package control

import (
	"slices"
	"sync"
)

// leaders remembers where the leader of each group was found last.
type leaders struct {
	addresses []string

	mu    sync.Mutex
	known map[uint32]string
	next  int
}

// pick returns the address to try for a group: the known leader, else the
// addresses in turn.
func (l *leaders) pick(group uint32) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.known[group]; ok {
		return a
	}
	l.next++
	return l.addresses[l.next%len(l.addresses)]
}

// learn remembers a leader. An address that is not a configured control instance
// is not followed, since the peer token would be sent there.
func (l *leaders) learn(group uint32, address string) bool {
	if !slices.Contains(l.addresses, address) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known[group] = address
	return true
}

// forget drops the address unless another leader was learned meanwhile.
func (l *leaders) forget(group uint32, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[group] == address {
		delete(l.known, group)
	}
}
