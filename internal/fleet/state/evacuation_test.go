package state

import (
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// Guards against a late copy of an order that undoes a later one, against a repeated order that is refused,
// and against evacuations that a snapshot loses.
func TestEvacuations(t *testing.T) {
	for _, c := range []struct {
		name string
		// orders are the zone, + for begin or - for finish, and the revision that the proposer knew. They are
		// committed at the indexes 1, 2, 3 and so on. ! marks one that is superseded.
		orders string
		// zones are those with a record: the last order and its index.
		zones string
	}{
		{"none", "", ""},
		{"begin", "a+0", "a+1"},
		{"begin and finish", "a+0 a-1", "a-2"},
		{"begin, finish, begin", "a+0 a-1 a+2", "a+3"},
		{"begin again", "a+0 a+0 a+1", "a+3"},
		{"finish without begin", "a-0 a-0", "a-2"},
		{"late copy of begin after finish", "a+0 a-1 !a+0", "a-2"},
		{"late copy of begin after another begin", "a+0 a-1 a+2 a+0", "a+4"},
		{"late copy of finish after begin", "a+0 a-1 a+2 !a-1", "a+3"},
		{"begin that is not known everywhere", "a+0 !a-0 a-1", "a-3"},
		{"other zones", "a+0 b+0 b-2 a+1", "a+4 b-3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			for i, o := range strings.Fields(c.orders) {
				conflict := ""
				if strings.HasPrefix(o, "!") {
					o, conflict = o[1:], ConflictSuperseded
				}
				base, err := strconv.ParseUint(o[2:], 10, 64)
				is.NoErr(err)
				is.Equal(order(is, s, i+1, &wire.Evacuation{Zone: o[:1], Active: o[1] == '+', Revision: base}), conflict)
			}
			snapshot, err := s.Snapshot()
			is.NoErr(err)
			restored := New()
			is.NoErr(restored.Restore(snapshot))
			for _, s := range []*State{s, restored} {
				var zones []string
				last := uint64(0)
				for _, z := range s.Evacuations().GetZones() {
					sign := map[bool]string{true: "+", false: "-"}[z.GetActive()]
					zones = append(zones, z.GetZone()+sign+strconv.FormatUint(z.GetRevision(), 10))
					last = max(last, z.GetRevision())
				}
				is.Equal(strings.Join(zones, " "), c.zones)
				is.Equal(s.EvacuationRevision(), last)
			}
		})
	}
}

// order applies an order at an index of the log.
func order(is *is.I, s *State, index int, e *wire.Evacuation) (conflict string) {
	data, err := proto.Marshal(&wire.Command{Body: &wire.Command_Evacuation{Evacuation: e}})
	is.NoErr(err)
	return string(s.Apply(replica.Index(index), data))
}

// Guards against records that pile up without a bound, and against an evacuation that is dropped.
func TestEvacuationRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	s := New()
	is.Equal(order(is, s, 1, &wire.Evacuation{Zone: "ended"}), "")
	for i := range maxEvacuations {
		is.Equal(order(is, s, 2+i, &wire.Evacuation{Zone: strconv.Itoa(i), Active: true}), "")
	}
	is.Equal(len(s.Evacuations().GetZones()), maxEvacuations) // the record of the ended one is dropped
	is.Equal(order(is, s, 1000, &wire.Evacuation{Zone: "one more", Active: true}), ConflictTooManyEvacuations)
	is.Equal(s.EvacuationRevision(), uint64(1+maxEvacuations))
}

// Guards against a state machine that stops, or changes its state, at a command of a later program.
func TestUnknownCommand(t *testing.T) {
	is := is.New(t)
	s := New()
	is.Equal(string(s.Apply(1, []byte{0xfa, 0x01, 0x02, 0x0a, 0x00})), ConflictUndecodable) // field 31
	is.Equal(order(is, s, 2, &wire.Evacuation{Zone: "a", Active: true}), "")
}
