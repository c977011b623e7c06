package state

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Snapshot encodes the whole state. Equal states give equal bytes.
func (c *Config) Snapshot() (snapshot []byte, err error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	s := &wire.ConfigSnapshot{
		Revision: c.revision, Instant: c.instant, Groups: c.dataGroups, Documents: c.sortedDocuments(),
		Token: c.lastToken, Orders: c.recentOrders,
	}
	for _, i := range c.receiptExpiry.items {
		s.Receipts = append(s.Receipts, i.key)
	}
	for _, r := range c.registry {
		s.Registrations = append(s.Registrations, r)
	}
	slices.SortFunc(s.Registrations, func(a, b *wire.Registration) int { return cmp.Compare(a.Upstream.Name, b.Upstream.Name) })
	for n := range c.draining {
		s.Drains = append(s.Drains, n)
	}
	slices.Sort(s.Drains)
	s.Suspicions = c.cloneSuspicions()
	snapshot, err = proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return snapshot, errors.Wrap(err, "encode snapshot of group 0")
}

// Restore replaces the whole state.
func (c *Config) Restore(snapshot []byte) (err error) {
	var s wire.ConfigSnapshot
	if err := proto.Unmarshal(snapshot, &s); err != nil {
		return errors.Wrap(err, "decode snapshot of group 0")
	}
	if err := validateSnapshot(&s); err != nil {
		return errors.Wrap(err, "validate snapshot of group 0")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset()
	c.revision, c.instant, c.dataGroups = s.Revision, s.Instant, s.Groups
	c.lastToken, c.recentOrders = s.Token, s.Orders
	for _, d := range s.Documents {
		c.history[d.Service] = append(c.history[d.Service], d)
	}
	for _, k := range s.Receipts {
		c.indexReceipt(k)
	}
	for _, r := range s.Registrations {
		c.registry[r.Upstream.Name] = r
	}
	for _, n := range s.Drains {
		c.draining[n] = true
	}
	for _, p := range s.Suspicions {
		c.suspicions[p.Fingerprint] = p
	}
	// Snapshots do not include recentChanges; entry instances that are behind get the full state.
	c.trimmedRevision = c.revision
	c.drainChanges++
	c.notifyWatchers()
	return nil
}

// validateSnapshot checks that records have the submessages that other methods dereference.
func validateSnapshot(s *wire.ConfigSnapshot) error {
	for _, r := range s.Registrations {
		if r.Upstream == nil {
			return errors.New("registration has no upstream")
		}
	}
	for _, k := range s.Receipts {
		if k.Reply == nil {
			return errors.New("receipt has no reply")
		}
	}
	return nil
}
