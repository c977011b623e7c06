package control

import (
	"testing"
	"testing/synctest"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/proof/report"
)

// faults lists the faults and the function that injects each. Low compaction limits make
// snapshots frequent.
var faults = []struct {
	name       string
	compaction replica.Compaction
	inject     func(tc *testCluster)
}{
	{"kill", replica.Compaction{}, killInstances},
	{"lost-disk", replica.Compaction{}, lostDisk},
	{"second-loss-after-repair", replica.Compaction{MaxEntries: 20, TrailingEntries: 5}, lossAfterRepair},
	{"torn-files", replica.Compaction{}, tornFiles},
	{"damaged-files", replica.Compaction{}, damagedFiles},
	{"full-disk", replica.Compaction{}, fullDisk},
	{"cut", replica.Compaction{}, partition},
	{"one-way-cut", replica.Compaction{}, oneWayPartition},
	{"freeze-leader", replica.Compaction{}, freezeLeader},
	{"freeze-follower", replica.Compaction{}, freezeFollower},
	{"freeze-entry", replica.Compaction{}, freezeEntry},
	{"long-partition", replica.Compaction{}, longPartition},
	{"racing-operators", replica.Compaction{}, racingOperators},
	{"resends", replica.Compaction{MaxEntries: 20, TrailingEntries: 5}, resends},
	{"many-changes-and-kills", replica.Compaction{MaxEntries: 200, TrailingEntries: 20}, manyChanges},
}

// Guards against an accepted change that is lost, altered, applied twice or reverted, that
// is not in force within 3 s, or that an entry ignores although it holds a lease.
func TestProofConfigurationStays(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G10", f.name, 20, func(t *testing.T, seed uint64) {
				synctest.Test(t, func(t *testing.T) {
					tc := newTestCluster(t, seed)
					tc.compaction = f.compaction
					tc.startAll()
					f.inject(tc)
					tc.healAndCheck()
				})
			})
		})
	}
}
