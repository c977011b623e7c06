package state

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Snapshot returns the whole state; equal states give equal bytes.
func (c *Config) Snapshot() (snapshot []byte, err error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	s := &wire.ConfigSnapshot{
		Revision: c.revision, Instant: c.instant, Groups: c.groups, Documents: c.sortedDocuments(),
		Token: c.token, Orders: c.orders,
	}
	for _, i := range c.receipts.items {
		s.Receipts = append(s.Receipts, i.key)
	}
	for _, r := range c.registry {
		s.Registrations = append(s.Registrations, r)
	}
	slices.SortFunc(s.Registrations, func(a, b *wire.Registration) int { return cmp.Compare(a.Upstream.Name, b.Upstream.Name) })
	for n := range c.drains {
		s.Drains = append(s.Drains, n)
	}
	slices.Sort(s.Drains)
	s.Suspicions = c.sortedSuspicions()
	snapshot, err = proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return snapshot, errors.Wrap(err, "config snapshot")
}

// Restore replaces the whole state.
func (c *Config) Restore(snapshot []byte) (err error) {
	var s wire.ConfigSnapshot
	if err := proto.Unmarshal(snapshot, &s); err != nil {
		return errors.Wrap(err, "config snapshot")
	}
	if err := complete(&s); err != nil {
		return errors.Wrap(err, "config snapshot")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset()
	c.revision, c.instant, c.groups = s.Revision, s.Instant, s.Groups
	c.token, c.orders = s.Token, s.Orders
	for _, d := range s.Documents {
		c.history[d.Service] = append(c.history[d.Service], d)
	}
	for _, k := range s.Receipts {
		c.index(k)
	}
	for _, r := range s.Registrations {
		c.registry[r.Upstream.Name] = r
	}
	for _, n := range s.Drains {
		c.drains[n] = true
	}
	for _, p := range s.Suspicions {
		c.suspects[p.Fingerprint] = p
	}
	// The list of changes is not kept in snapshots; entries that are behind get the full state.
	c.floor = c.revision
	c.drained++
	c.wake()
	return nil
}

// complete checks that records have the parts that the state relies on.
func complete(s *wire.ConfigSnapshot) error {
	for _, r := range s.Registrations {
		if r.Upstream == nil {
			return errors.New("registration without an upstream")
		}
	}
	for _, k := range s.Receipts {
		if k.Reply == nil {
			return errors.New("receipt without a reply")
		}
	}
	return nil
}
