package state

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// chargeKey is a truncated SHA-256 of account, request and body digest. Charge
// receipts are by far the most numerous records, and the hash is much shorter than
// the strings it stands for.
type chargeKey [16]byte

// newChargeKey hashes each string together with its length, so that the boundaries between
// them matter.
func newChargeKey(r *wire.ChargeRequest) (k chargeKey) {
	h := sha256.New()
	for _, s := range []string{r.Account, r.Request, r.Digest} {
		h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(s))))
		h.Write([]byte(s))
	}
	copy(k[:], h.Sum(nil))
	return k
}

// totalKey identifies the running total of an account for one service.
type totalKey struct {
	account string
	service string
}

// addCharge adds a request to the totals of its account. A charge for the same
// account, request and digest as an earlier one adds nothing, even if other fields differ.
func (d *Data) addCharge(r *wire.ChargeRequest) *wire.ChargeReply {
	if r.Account == "" || r.Request == "" {
		return &wire.ChargeReply{Fault: fault(wire.Code_CODE_INVALID, "charge needs account and request")}
	}
	k := newChargeKey(r)
	if _, ok := d.charges[k]; ok {
		return &wire.ChargeReply{Repeated: true}
	}
	d.charges[k] = struct{}{}
	d.chargeExpiry.add(k, d.instant)
	d.addToTotal(r)
	d.recentCharges = append(d.recentCharges, r)
	if len(d.recentCharges) > 2*maxRecentCharges {
		d.recentCharges = slices.Clone(d.recentCharges[len(d.recentCharges)-maxRecentCharges:])
	}
	return &wire.ChargeReply{}
}

func (d *Data) addToTotal(r *wire.ChargeRequest) {
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

// Ledger returns the totals and, newest first, the most recent charges recorded in
// this group, for one account or for all accounts if the account is empty.
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
	charges := d.recentCharges[max(len(d.recentCharges)-maxRecentCharges, 0):]
	for _, c := range slices.Backward(charges) {
		if len(reply.Charges) >= int(r.Limit) {
			break
		}
		if r.Account == "" || r.Account == c.Account {
			reply.Charges = append(reply.Charges, c)
		}
	}
	return reply
}

// SortTotals sorts totals by account, then by service.
func SortTotals(totals []*wire.Total) {
	slices.SortFunc(totals, func(a, b *wire.Total) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Service, b.Service))
	})
}
