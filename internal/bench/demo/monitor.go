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

// monitor asks one instance for its status again and again and keeps the first
// sign of an older configuration.
type monitor struct {
	demo     *demo
	instance *cluster.Instance

	mu      sync.Mutex
	polls   int
	highest uint64
	bad     error
}

// run polls until the context is done.
func (m *monitor) run(ctx context.Context) error {
	for timer.Sleep(ctx, m.demo.options.Timer, 100*time.Millisecond) == nil {
		// Read before the question, since a change may come in force while it is on its way.
		least := m.demo.inforce()
		s, err := m.demo.cluster.InstanceStatus(ctx, m.instance)
		if err != nil || s.GetFault().GetCode() != wire.Code_CODE_OK {
			continue
		}
		m.check(s, least)
	}
	return nil
}

func (m *monitor) check(s *wire.StatusReply, least uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.polls++
	least = max(least, m.highest)
	if m.bad == nil && s.Revision < least {
		m.bad = errors.Newf("revision %d after %d", s.Revision, least)
	}
	for _, l := range s.Leases {
		if m.bad == nil && l.Left > 0 && l.Applied < m.demo.floor(least) {
			m.bad = errors.Newf("lease of %s with revision %d while %d is in force", l.GetInstance().GetName(), l.Applied, least)
		}
	}
	m.highest = max(m.highest, s.Revision)
}

// result returns the number of polls and the first fault.
func (m *monitor) result() (polls int, bad error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.bad == nil && m.polls == 0 {
		return 0, errors.New("never answered")
	}
	return m.polls, m.bad
}

// inforce returns the revision that was last reported as in force everywhere.
func (d *demo) inforce() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.applied
}

// floor bounds the revision that a lease must have by what was reported as in
// force; a revision that was only seen may still be on its way to other entries.
func (d *demo) floor(least uint64) uint64 { return min(least, d.inforce()) }
