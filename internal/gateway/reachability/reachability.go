// Package reachability decides whether this instance is partitioned from the upstreams. Failed
// connections alone are no evidence, since upstreams fail too: only connections that another
// instance can open show that the fault is on this side. The package does no I/O.
package reachability

import (
	"sync"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

const (
	// minUpstreams is the number of upstreams that only others reach, without a direct connection
	// in between, from which this instance is partitioned. A single one may be cut off by itself.
	minUpstreams = 2
	// evidenceLifetime is how long such evidence counts.
	evidenceLifetime = 10 * time.Second
	// probeInterval is the interval between direct connections that are tried while the instance is
	// partitioned.
	probeInterval = 300 * time.Millisecond
)

// Tracker collects the evidence. It is safe for concurrent use.
type Tracker struct {
	timer timer.Service

	mu          sync.Mutex
	indirect    map[string]timer.Instant // when an upstream was last reached by another instance only
	partitioned bool
	probedAt    timer.Instant
}

// New returns a tracker of an instance that is not partitioned.
func New(t timer.Service) *Tracker {
	return &Tracker{timer: t, indirect: map[string]timer.Instant{}}
}

// Partitioned reports whether upstreams can be reached only through other instances.
func (t *Tracker) Partitioned() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partitioned
}

// ReachedDirectly records a connection to an upstream. It reports whether that ended a partition.
func (t *Tracker) ReachedDirectly() (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.indirect)
	ended, t.partitioned = t.partitioned, false
	return ended
}

// ReachedIndirectly records that another instance has connected to an upstream to which this one
// could not. It reports whether that began a partition.
func (t *Tracker) ReachedIndirectly(upstream string) (began bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	t.indirect[upstream] = now
	for u, at := range t.indirect {
		if now.Sub(at) > evidenceLifetime {
			delete(t.indirect, u)
		}
	}
	began = !t.partitioned && len(t.indirect) >= minUpstreams
	if began {
		t.partitioned, t.probedAt = true, now
	}
	return began
}

// ShouldProbe reports whether a direct connection should be tried now, to notice the end of a
// partition. It returns true once an interval.
func (t *Tracker) ShouldProbe() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	if !t.partitioned || now.Sub(t.probedAt) < probeInterval {
		return false
	}
	t.probedAt = now
	return true
}
