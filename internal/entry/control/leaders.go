package control

import (
	"slices"
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// failureCooldown is how long an address that failed is skipped. A follower redirects to a
// failed leader until it detects the failure, and each attempt at a silent instance takes
// the whole timeout.
const failureCooldown = time.Second

// leaders keeps the last known leader of each group.
type leaders struct {
	addresses []string
	timer     timer.Service

	mu       sync.Mutex
	known    map[uint32]string        // address of the last known leader by group
	failedAt map[string]timer.Instant // time of the last failure by address
	next     int                      // counts the addresses tried in turn
}

func newLeaders(o Options) leaders {
	return leaders{
		addresses: slices.Clone(o.Addresses), timer: o.Timer, known: map[uint32]string{},
		failedAt: map[string]timer.Instant{}, next: o.Random.IntN(len(o.Addresses)),
	}
}

// pick returns the address to try for a group: the known leader, else the addresses in
// turn, without those that failed recently if possible.
func (l *leaders) pick(group uint32) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.known[group]; ok {
		return a
	}
	for range l.addresses {
		l.next++
		if a := l.addresses[l.next%len(l.addresses)]; !l.failedRecently(a) {
			return a
		}
	}
	l.next++
	return l.addresses[l.next%len(l.addresses)]
}

// failedRecently reports whether the address failed within failureCooldown. The caller
// holds the lock.
func (l *leaders) failedRecently(address string) bool {
	at, ok := l.failedAt[address]
	return ok && l.timer.Now().Sub(at) < failureCooldown
}

// markFailed records that an address did not answer.
func (l *leaders) markFailed(group uint32, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedAt[address] = l.timer.Now()
	if l.known[group] == address {
		delete(l.known, group)
	}
}

// followRedirect makes the address of a redirect the known leader of the group. It returns
// false if the address failed recently or is not a configured control instance, to which
// the peer token must not be sent.
func (l *leaders) followRedirect(group uint32, address string) bool {
	if !slices.Contains(l.addresses, address) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failedRecently(address) {
		return false
	}
	l.known[group] = address
	return true
}

// confirm records that an address answered as the leader of a group.
func (l *leaders) confirm(group uint32, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known[group] = address
	delete(l.failedAt, address)
}

// forget removes the address as the known leader, unless another one is known by now.
func (l *leaders) forget(group uint32, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[group] == address {
		delete(l.known, group)
	}
}
