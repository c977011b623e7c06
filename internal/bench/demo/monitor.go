package demo

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// monitor polls the status of one instance and checks that its configuration never goes back to an
// older revision.
type monitor struct {
	demo     *demo
	instance *cluster.Instance

	mu              sync.Mutex
	polls           int
	highestRevision uint64
	violation       error // the first
}

// run polls until the context is done.
func (m *monitor) run(ctx context.Context) error {
	for timer.Sleep(ctx, m.demo.options.Timer, 100*time.Millisecond) == nil {
		// Read before the poll, since a change may come into force during the poll.
		minRevision := m.demo.revisionInForce()
		s, err := m.demo.cluster.InstanceStatus(ctx, m.instance)
		if err != nil || s.GetFault().GetCode() != wire.Code_CODE_OK {
			continue
		}
		m.check(s, minRevision)
	}
	return nil
}

// check compares a status with the least revision that it must have.
func (m *monitor) check(s *wire.StatusReply, minRevision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.polls++
	minRevision = max(minRevision, m.highestRevision)
	if m.violation == nil && s.Revision < minRevision {
		m.violation = errors.Newf("status has revision %d after revision %d", s.Revision, minRevision)
	}
	for _, l := range s.Leases {
		if m.violation == nil && l.Left > 0 && l.Applied < m.demo.minLeaseRevision(minRevision) {
			m.violation = errors.Newf("lease of %s has revision %d while revision %d is in force", l.GetInstance().GetName(), l.Applied, minRevision)
		}
	}
	m.highestRevision = max(m.highestRevision, s.Revision)
}

// result returns the number of polls and the first violation.
func (m *monitor) result() (polls int, violation error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.violation == nil && m.polls == 0 {
		return 0, errors.New("no poll was answered")
	}
	return m.polls, m.violation
}

// revisionInForce returns the highest revision that was reported as in force on all entries.
func (d *demo) revisionInForce() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inForceRevision
}

// minLeaseRevision returns the least revision that a lease must have. It is at most the revision
// reported as in force, since other entries may not have received a newer one yet.
func (d *demo) minLeaseRevision(minRevision uint64) uint64 {
	return min(minRevision, d.revisionInForce())
}
