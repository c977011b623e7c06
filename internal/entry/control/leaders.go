package control

import (
	"slices"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// avoidance is how long an address that failed is passed over. A follower names a
// leader that is gone until it notices, and each attempt at a silent one costs
// the whole deadline.
const avoidance = time.Second

// leaders remembers where the leader of each group was found last.
type leaders struct {
	addresses []string
	timer     timer.Service

	mu     sync.Mutex
	known  map[uint32]string
	failed map[string]timer.Instant
	next   int
}

func newLeaders(o Options) leaders {
	return leaders{
		addresses: slices.Clone(o.Addresses), timer: o.Timer, known: map[uint32]string{},
		failed: map[string]timer.Instant{}, next: o.Random.IntN(len(o.Addresses)),
	}
}

// pick returns the address to try for a group: the known leader, else the
// addresses in turn.
func (l *leaders) pick(group uint32) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.known[group]; ok {
		return a
	}
	for range l.addresses {
		l.next++
		if a := l.addresses[l.next%len(l.addresses)]; !l.avoided(a) {
			return a
		}
	}
	l.next++
	return l.addresses[l.next%len(l.addresses)]
}

// avoided tells whether the address failed a short time ago. The caller holds the lock.
func (l *leaders) avoided(address string) bool {
	at, ok := l.failed[address]
	return ok && l.timer.Now().Sub(at) < avoidance
}

// fail notes that an address did not answer.
func (l *leaders) fail(group uint32, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed[address] = l.timer.Now()
	if l.known[group] == address {
		delete(l.known, group)
	}
}

// learn remembers a leader that another instance named. An address that is not a configured control instance
// is not followed, since the peer token would be sent there.
func (l *leaders) learn(group uint32, address string) bool {
	if !slices.Contains(l.addresses, address) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.avoided(address) {
		return false
	}
	l.known[group] = address
	return true
}

// answered notes that an address serves as the leader of a group.
func (l *leaders) answered(group uint32, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known[group] = address
	delete(l.failed, address)
}

// forget drops the address unless another leader was learned meanwhile.
func (l *leaders) forget(group uint32, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[group] == address {
		delete(l.known, group)
	}
}
