package state

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// maxRecentCharges bounds the charges whose details are kept for the ledger.
const maxRecentCharges = 1000

// Data is the state machine of a data group. It holds claims on idempotency keys,
// the model versions that sessions are pinned to, and charges to client accounts.
// Apply, Snapshot and Restore must be called from one goroutine; the other methods
// may be called concurrently.
type Data struct {
	// now gives the age of claims, which is not part of the replicated state.
	now func() timer.Instant

	mu sync.RWMutex
	// instant is the highest instant of any applied command, in milliseconds since 1970.
	instant int64
	claims  map[claimKey]*claim
	pins    map[pinKey]*pin
	// charges holds the receipts: the keys of the charges that were added to the totals.
	charges map[chargeKey]struct{}
	totals  map[totalKey]*wire.Total
	// recentCharges holds the latest charges, oldest first. It may be longer than
	// maxRecentCharges; readers ignore the excess.
	recentCharges []*wire.ChargeRequest

	claimExpiry  expiryQueue[claimKey]
	pinExpiry    expiryQueue[pinKey]
	chargeExpiry expiryQueue[chargeKey]

	// claimEnded is closed and replaced when a claim is finished or aborted.
	claimEnded chan struct{}
}

// NewData returns an empty state machine for a data group. now reads the local
// monotonic clock and is used only for the age of claims.
func NewData(now func() timer.Instant) *Data {
	d := &Data{now: now, claimEnded: make(chan struct{})}
	d.reset()
	return d
}

func (d *Data) reset() {
	d.instant = 0
	d.claims = map[claimKey]*claim{}
	d.pins = map[pinKey]*pin{}
	d.charges = map[chargeKey]struct{}{}
	d.totals = map[totalKey]*wire.Total{}
	d.recentCharges = nil
	d.claimExpiry, d.pinExpiry, d.chargeExpiry = expiryQueue[claimKey]{}, expiryQueue[pinKey]{}, expiryQueue[chargeKey]{}
}

// Apply executes one command and returns the marshaled reply.
func (d *Data) Apply(_ replica.Index, command []byte) []byte {
	var m wire.Command
	if err := proto.Unmarshal(command, &m); err != nil {
		return invalidCommand("command cannot be decoded")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instant = max(d.instant, m.Instant)
	d.expire()
	switch b := m.Body.(type) {
	case *wire.Command_Claim:
		return encodeReply(d.moveClaim(b.Claim))
	case *wire.Command_Pin:
		return encodeReply(d.setPin(b.Pin))
	case *wire.Command_Charge:
		return encodeReply(d.addCharge(b.Charge))
	}
	return invalidCommand("command is not for a data group")
}

// expire removes claims, pins and charge receipts past their retention.
func (d *Data) expire() {
	cutoff := retentionCutoff(d.instant)
	d.claimExpiry.dropBefore(cutoff, func(k claimKey) {
		if c, ok := d.claims[k]; ok && c.instant < cutoff {
			delete(d.claims, k)
		}
	})
	d.pinExpiry.dropBefore(cutoff, func(k pinKey) {
		if p, ok := d.pins[k]; ok && p.instant < cutoff {
			delete(d.pins, k)
		}
	})
	d.chargeExpiry.dropBefore(cutoff, func(k chargeKey) { delete(d.charges, k) })
}
