package state

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// chargeKey is a cryptographic hash of account, request and digest. Receipts are
// by far the most numerous records, and a hash is a fraction of their text.
type chargeKey [16]byte

func newChargeKey(r *wire.ChargeRequest) (k chargeKey) {
	h := sha256.New()
	for _, s := range []string{r.Account, r.Request, r.Digest} {
		h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(s))))
		h.Write([]byte(s))
	}
	copy(k[:], h.Sum(nil))
	return k
}

type totalKey struct {
	account string
	service string
}

// charge adds a request to the totals of its account once; a repeated charge of
// the same request and body adds nothing, whatever else it names.
func (d *Data) charge(r *wire.ChargeRequest) *wire.ChargeReply {
	if r.Account == "" || r.Request == "" {
		return &wire.ChargeReply{Fault: fault(wire.Code_CODE_INVALID, "charge needs account and request")}
	}
	k := newChargeKey(r)
	if _, ok := d.charges[k]; ok {
		return &wire.ChargeReply{Repeated: true}
	}
	d.charges[k] = struct{}{}
	d.oldCharges.add(k, d.instant)
	d.add(r)
	d.recent = append(d.recent, r)
	if len(d.recent) > 2*keptRecent {
		d.recent = slices.Clone(d.recent[len(d.recent)-keptRecent:])
	}
	return &wire.ChargeReply{}
}

func (d *Data) add(r *wire.ChargeRequest) {
	k := totalKey{account: r.Account, service: r.Service}
	t := d.totals[k]
	if t == nil {
		t = &wire.Total{Account: r.Account, Service: r.Service}
		d.totals[k] = t
	}
	t.Requests++
	t.Input += r.Input
	t.Output += r.Output
	t.Amount += r.Amount
	for _, c := range r.Costs {
		t.Cost += c.Amount
	}
}

// Ledger returns the totals and the latest charges of this group, newest first,
// of one account or of all if the account is empty.
func (d *Data) Ledger(r *wire.LedgerRequest) *wire.LedgerReply {
	d.mu.RLock()
	defer d.mu.RUnlock()
	reply := &wire.LedgerReply{}
	for k, t := range d.totals {
		if r.Account == "" || r.Account == k.account {
			reply.Totals = append(reply.Totals, proto.CloneOf(t))
		}
	}
	SortTotals(reply.Totals)
	kept := d.recent[max(len(d.recent)-keptRecent, 0):]
	for _, c := range slices.Backward(kept) {
		if len(reply.Charges) >= int(r.Limit) {
			break
		}
		if r.Account == "" || r.Account == c.Account {
			reply.Charges = append(reply.Charges, c)
		}
	}
	return reply
}

// SortTotals orders totals by account and service.
func SortTotals(totals []*wire.Total) {
	slices.SortFunc(totals, func(a, b *wire.Total) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Service, b.Service))
	})
}
