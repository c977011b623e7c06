package state

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Snapshot returns the whole state; equal states give equal bytes.
func (d *Data) Snapshot() (snapshot []byte, err error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s := &wire.DataSnapshot{
		Instant: d.instant, Claims: d.claimRecords(), Pins: d.pinRecords(), Receipts: d.receipts(),
		Recent: d.recent[max(len(d.recent)-keptRecent, 0):],
	}
	for _, t := range d.totals {
		s.Totals = append(s.Totals, t)
	}
	SortTotals(s.Totals)
	snapshot, err = proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return snapshot, errors.Wrap(err, "data snapshot")
}

// Restore replaces the whole state. The age of all claims begins anew, which can
// only delay a takeover.
func (d *Data) Restore(snapshot []byte) (err error) {
	var s wire.DataSnapshot
	if err := proto.Unmarshal(snapshot, &s); err != nil {
		return errors.Wrap(err, "data snapshot")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reset()
	d.instant, d.recent = s.Instant, s.Recent
	for _, r := range s.Claims {
		k := claimKey{account: r.Account, key: r.Key}
		d.claims[k] = &claim{
			digest: r.Digest, phase: r.Phase, owner: r.Owner, epoch: r.Epoch, nonce: r.Nonce,
			answer: r.Answer, instant: r.Instant, moved: d.now(),
		}
		d.oldClaims.add(k, r.Instant)
	}
	for _, r := range s.Pins {
		k := pinKey{account: r.Account, service: r.Service, session: r.Session, model: r.Model}
		d.pins[k] = &pin{version: r.Version, instant: r.Instant, revision: r.Revision}
		d.oldPins.add(k, r.Instant)
	}
	if err := d.restoreReceipts(s.Receipts); err != nil {
		return errors.Wrap(err, "data snapshot")
	}
	for _, t := range s.Totals {
		d.totals[totalKey{account: t.Account, service: t.Service}] = t
	}
	d.wake()
	return nil
}

// Records are listed by instant, so that a restore rebuilds the order of expiry.

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

const receiptSize = len(chargeKey{}) + 8

// receipts needs no sorting: each charge is listed once, in the order of the log.
func (d *Data) receipts() []byte {
	out := make([]byte, 0, len(d.oldCharges.items)*receiptSize)
	for _, i := range d.oldCharges.items {
		out = append(out, i.key[:]...)
		out = binary.LittleEndian.AppendUint64(out, uint64(i.instant))
	}
	return out
}

func (d *Data) restoreReceipts(packed []byte) error {
	if len(packed)%receiptSize != 0 {
		return errors.Newf("receipts of %d bytes", len(packed))
	}
	for ; len(packed) > 0; packed = packed[receiptSize:] {
		k := chargeKey(packed)
		d.charges[k] = struct{}{}
		d.oldCharges.add(k, int64(binary.LittleEndian.Uint64(packed[len(k):])))
	}
	return nil
}
