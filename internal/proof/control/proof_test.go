package control

import (
	"testing"
	"testing/synctest"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/proof/report"
)

// faults lists the faults with what happens under each. A small compaction makes
// snapshots frequent.
var faults = []struct {
	name       string
	compaction replica.Compaction
	under      func(w *world)
}{
	{"kill", replica.Compaction{}, kill},
	{"lost-disk", replica.Compaction{}, lostDisk},
	{"second-loss-after-repair", replica.Compaction{MaxEntries: 20, TrailingEntries: 5}, secondLoss},
	{"torn-files", replica.Compaction{}, torn},
	{"damaged-files", replica.Compaction{}, damaged},
	{"full-disk", replica.Compaction{}, full},
	{"cut", replica.Compaction{}, cut},
	{"one-way-cut", replica.Compaction{}, oneWay},
	{"freeze-leader", replica.Compaction{}, freezeLeader},
	{"freeze-follower", replica.Compaction{}, freezeFollower},
	{"freeze-entry", replica.Compaction{}, freezeEntry},
	{"long-partition", replica.Compaction{}, longPartition},
	{"racing-operators", replica.Compaction{}, racing},
	{"resends", replica.Compaction{MaxEntries: 20, TrailingEntries: 5}, resends},
	{"many-changes-and-kills", replica.Compaction{MaxEntries: 200, TrailingEntries: 20}, manyChanges},
}

// Guards against an accepted configuration that is lost, changed or taken back, that an
// entry with a lease does not follow, or that is not in force within 3 s.
func TestProofConfigurationStays(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G10", f.name, 20, func(t *testing.T, seed uint64) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, seed)
					w.compaction = f.compaction
					w.begin()
					f.under(w)
					w.finish()
				})
			})
		})
	}
}
