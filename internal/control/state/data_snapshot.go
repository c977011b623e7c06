package state

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Snapshot encodes the whole state. Equal states give equal bytes.
func (d *Data) Snapshot() (snapshot []byte, err error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s := &wire.DataSnapshot{
		Instant: d.instant, Claims: d.claimRecords(), Pins: d.pinRecords(), Receipts: d.packReceipts(),
		Recent: d.recentCharges[max(len(d.recentCharges)-maxRecentCharges, 0):],
	}
	for _, t := range d.totals {
		s.Totals = append(s.Totals, t)
	}
	SortTotals(s.Totals)
	snapshot, err = proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return snapshot, errors.Wrap(err, "encode snapshot of a data group")
}

// Restore replaces the whole state. The age of every claim restarts at zero, which
// can only delay a takeover.
func (d *Data) Restore(snapshot []byte) (err error) {
	var s wire.DataSnapshot
	if err := proto.Unmarshal(snapshot, &s); err != nil {
		return errors.Wrap(err, "decode snapshot of a data group")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reset()
	d.instant, d.recentCharges = s.Instant, s.Recent
	for _, r := range s.Claims {
		k := claimKey{account: r.Account, key: r.Key}
		d.claims[k] = &claim{
			digest: r.Digest, phase: r.Phase, owner: r.Owner, epoch: r.Epoch, nonce: r.Nonce,
			answer: r.Answer, instant: r.Instant, movedAt: d.now(),
		}
		d.claimExpiry.add(k, r.Instant)
	}
	for _, r := range s.Pins {
		k := pinKey{account: r.Account, service: r.Service, session: r.Session, model: r.Model}
		d.pins[k] = &pin{version: r.Version, instant: r.Instant, revision: r.Revision}
		d.pinExpiry.add(k, r.Instant)
	}
	if err := d.restoreReceipts(s.Receipts); err != nil {
		return errors.Wrap(err, "restore snapshot of a data group")
	}
	for _, t := range s.Totals {
		d.totals[totalKey{account: t.Account, service: t.Service}] = t
	}
	d.notifyClaimWaiters()
	return nil
}

// claimRecords lists the claims by instant, so that Restore rebuilds the expiry queue in order.
func (d *Data) claimRecords() []*wire.ClaimRecord {
	out := make([]*wire.ClaimRecord, 0, len(d.claims))
	for k, c := range d.claims {
		out = append(out, &wire.ClaimRecord{
			Account: k.account, Key: k.key, Digest: c.digest, Phase: c.phase, Owner: c.owner,
			Epoch: c.epoch, Nonce: c.nonce, Answer: c.answer, Instant: c.instant,
		})
	}
	slices.SortFunc(out, func(a, b *wire.ClaimRecord) int {
		return cmp.Or(cmp.Compare(a.Instant, b.Instant), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// pinRecords lists the pins by instant, so that Restore rebuilds the expiry queue in order.
func (d *Data) pinRecords() []*wire.PinRecord {
	out := make([]*wire.PinRecord, 0, len(d.pins))
	for k, p := range d.pins {
		out = append(out, &wire.PinRecord{
			Account: k.account, Service: k.service, Session: k.session, Model: k.model,
			Version: p.version, Instant: p.instant, Revision: p.revision,
		})
	}
	slices.SortFunc(out, func(a, b *wire.PinRecord) int {
		return cmp.Or(cmp.Compare(a.Instant, b.Instant), cmp.Compare(a.Account, b.Account),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Session, b.Session), cmp.Compare(a.Model, b.Model))
	})
	return out
}

// packedReceiptBytes is the size of a charge receipt in a snapshot: key and instant, which
// has 8 bytes.
const packedReceiptBytes = len(chargeKey{}) + 8

// packReceipts encodes the charge receipts. They need no sorting, since each is queued
// once, in log order.
func (d *Data) packReceipts() []byte {
	out := make([]byte, 0, len(d.chargeExpiry.items)*packedReceiptBytes)
	for _, i := range d.chargeExpiry.items {
		out = append(out, i.key[:]...)
		out = binary.LittleEndian.AppendUint64(out, uint64(i.instant))
	}
	return out
}

func (d *Data) restoreReceipts(packed []byte) error {
	if len(packed)%packedReceiptBytes != 0 {
		return errors.Newf("charge receipts of %d bytes end within a record", len(packed))
	}
	for ; len(packed) > 0; packed = packed[packedReceiptBytes:] {
		k := chargeKey(packed)
		d.charges[k] = struct{}{}
		d.chargeExpiry.add(k, int64(binary.LittleEndian.Uint64(packed[len(k):])))
	}
	return nil
}
