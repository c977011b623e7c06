package state

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// keptRecent bounds the charges that are kept in full for the ledger.
const keptRecent = 1000

// Data is the state machine of a data group: claims, pins and charges. Apply,
// Snapshot and Restore are called from one goroutine; the other methods may be
// called from any.
type Data struct {
	// now is used for the age of claims only, which is no part of the state.
	now func() timer.Instant

	mu      sync.RWMutex
	instant int64
	claims  map[claimKey]*claim
	pins    map[pinKey]*pin
	charges map[chargeKey]struct{}
	totals  map[totalKey]*wire.Total
	recent  []*wire.ChargeRequest

	oldClaims  expiry[claimKey]
	oldPins    expiry[pinKey]
	oldCharges expiry[chargeKey]

	// finished is closed and replaced when a claim is done.
	finished chan struct{}
}

// NewData returns an empty data group. The function reads the local monotonic
// clock; it is asked for the age of claims and nothing else.
func NewData(now func() timer.Instant) *Data {
	d := &Data{now: now, finished: make(chan struct{})}
	d.reset()
	return d
}

func (d *Data) reset() {
	d.instant = 0
	d.claims = map[claimKey]*claim{}
	d.pins = map[pinKey]*pin{}
	d.charges = map[chargeKey]struct{}{}
	d.totals = map[totalKey]*wire.Total{}
	d.recent = nil
	d.oldClaims, d.oldPins, d.oldCharges = expiry[claimKey]{}, expiry[pinKey]{}, expiry[chargeKey]{}
}

// Apply carries out one command and returns the marshalled reply.
func (d *Data) Apply(_ replica.Index, command []byte) []byte {
	var m wire.Command
	if err := proto.Unmarshal(command, &m); err != nil {
		return malformed("command cannot be decoded")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instant = max(d.instant, m.Instant)
	d.expire()
	switch b := m.Body.(type) {
	case *wire.Command_Claim:
		return encode(d.claim(b.Claim))
	case *wire.Command_Pin:
		return encode(d.pin(b.Pin))
	case *wire.Command_Charge:
		return encode(d.charge(b.Charge))
	}
	return malformed("command is not for a data group")
}

// expire drops what is past its retention.
func (d *Data) expire() {
	before := horizon(d.instant)
	d.oldClaims.drop(before, func(k claimKey) {
		if c, ok := d.claims[k]; ok && c.instant < before {
			delete(d.claims, k)
		}
	})
	d.oldPins.drop(before, func(k pinKey) {
		if p, ok := d.pins[k]; ok && p.instant < before {
			delete(d.pins, k)
		}
	})
	d.oldCharges.drop(before, func(k chargeKey) { delete(d.charges, k) })
}
