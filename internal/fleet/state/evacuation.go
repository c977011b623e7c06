package state

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// maxEvacuations is the number of zones with a record, above which that of the evacuation that ended first
// is dropped. A deployment has tens of zones at most.
const maxEvacuations = 256

// evacuations holds the last order for each availability zone.
type evacuations struct {
	revision uint64                      // index of the last order in the log
	zones    map[string]*wire.Evacuation // by zone
}

// apply carries out an order at an index of the log. An order that changes nothing sets the record all the
// same: a replica whose earlier program skipped a former order then has the same record as the others.
func (e *evacuations) apply(index replica.Index, order *wire.Evacuation) (changed bool, conflict string) {
	last := e.zones[order.GetZone()]
	switch {
	case last.GetRevision() > order.GetRevision() && last.GetActive() != order.GetActive():
		return false, ConflictSuperseded
	case last == nil && len(e.zones) >= maxEvacuations && !e.dropEnded():
		return false, ConflictTooManyEvacuations
	}
	e.revision = uint64(index)
	e.zones[order.GetZone()] = &wire.Evacuation{Zone: order.GetZone(), Active: order.GetActive(), Revision: e.revision}
	return true, ""
}

// dropEnded drops the record of the evacuation that ended first. It returns false if none has ended.
func (e *evacuations) dropEnded() (ok bool) {
	var first *wire.Evacuation
	for _, z := range e.zones {
		if !z.GetActive() && (first == nil || z.GetRevision() < first.GetRevision()) {
			first = z
		}
	}
	if first == nil {
		return false
	}
	delete(e.zones, first.GetZone())
	return true
}

// encode returns the records, sorted by zone.
func (e *evacuations) encode() *wire.Evacuations {
	out := &wire.Evacuations{Revision: e.revision}
	for _, z := range e.zones {
		out.Zones = append(out.Zones, z)
	}
	slices.SortFunc(out.Zones, func(a, b *wire.Evacuation) int {
		return strings.Compare(a.GetZone(), b.GetZone())
	})
	return out
}

// decodeEvacuations returns the records of a snapshot, which has none if an earlier program wrote it.
func decodeEvacuations(d *wire.Evacuations) evacuations {
	e := evacuations{revision: d.GetRevision(), zones: map[string]*wire.Evacuation{}}
	for _, z := range d.GetZones() {
		e.zones[z.GetZone()] = z
	}
	return e
}

// Evacuations returns the last order for each zone, sorted by zone. The caller may change the list.
func (s *State) Evacuations() *wire.Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return proto.Clone(s.evacuations.encode()).(*wire.Evacuations)
}

// EvacuationRevision returns the index in the log of the last order, or 0 before the first.
func (s *State) EvacuationRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.revision
}
