package disk_test

import (
	"fmt"
	"testing"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
)

type lossTest struct {
	name string
	run  func(c *lossCheck)
	// checked is true if the operations of fill are checked too, orders how many orders of parallel
	// calls are tried from order on, 0 for one.
	checked       bool
	order, orders int
}

// Guards against a data directory that is taken for damaged, changes its identity, or lacks an
// acknowledged entry, term or vote, after a loss of power that kept some of the names and
// writes that were not synced and lost others.
func TestLossOfPower(t *testing.T) {
	fill := func(c *lossCheck) {
		c.saveHardState(replica.HardState{Term: 3, Vote: "x"})
		for i := replica.Index(1); i <= 9; i += 2 {
			c.append(i, i+1, 3)
		}
		c.unchecked = false
	}
	tests := []lossTest{
		{name: "founding and appends", run: fill, checked: true, orders: orders},
		{name: "new terms and votes", run: func(c *lossCheck) {
			fill(c)
			c.saveHardState(replica.HardState{Term: 4})
			c.saveHardState(replica.HardState{Term: 4, Vote: "y"})
		}},
		{name: "truncation", run: func(c *lossCheck) {
			fill(c)
			c.truncate(6)
			c.saveHardState(replica.HardState{Term: 4})
			c.append(6, 7, 4)
			c.truncate(2)
			c.append(2, 9, 4)
		}},
		{name: "restarts", orders: orders, run: func(c *lossCheck) {
			fill(c)
			c.open()
			c.append(11, 12, 3)
			c.open()
			c.open()
			c.append(13, 14, 3)
		}},
		{name: "compaction", run: func(c *lossCheck) {
			fill(c)
			c.saveSnapshot(9, 3)
			c.compact(8)
			c.append(11, 12, 3)
			c.open()
			c.saveSnapshot(12, 3)
			c.compact(12)
			c.append(13, 14, 3)
		}},
		{name: "compaction after a truncation", run: func(c *lossCheck) {
			fill(c)
			c.saveHardState(replica.HardState{Term: 4})
			c.truncate(5)
			c.append(5, 6, 4)
			c.append(7, 8, 4)
			c.saveSnapshot(7, 4)
			c.compact(6)
			c.append(9, 12, 4)
			c.saveSnapshot(11, 4)
			c.compact(10)
		}},
		{name: "installed snapshot", run: func(c *lossCheck) {
			fill(c)
			c.saveHardState(replica.HardState{Term: 5})
			c.saveSnapshot(20, 4)
			c.reset(20)
			c.append(21, 22, 5)
			c.open()
			c.append(23, 24, 5)
		}},
		{name: "installed snapshot that conflicts with the log", run: func(c *lossCheck) {
			fill(c)
			c.saveHardState(replica.HardState{Term: 5})
			c.saveSnapshot(5, 4)
			c.reset(5)
			c.append(6, 7, 5)
			c.append(8, 9, 5)
			c.saveSnapshot(8, 5)
			c.compact(7)
		}},
		{name: "snapshot after the end of the log", run: func(c *lossCheck) {
			fill(c)
			c.saveSnapshot(14, 3)
			c.append(11, 16, 3)
			c.compact(12)
		}},
		{name: "snapshot of a term that is not stored yet", run: func(c *lossCheck) {
			fill(c)
			c.saveSnapshot(14, 4)
			c.saveHardState(replica.HardState{Term: 4, Vote: "y"})
		}},
		{name: "snapshot of a term that was not stored before a restart", run: func(c *lossCheck) {
			fill(c)
			c.saveSnapshot(14, 4)
			c.open()
			c.append(15, 16, 4)
			c.open()
			c.saveHardState(replica.HardState{Term: 5, Vote: "y"})
		}},
		{name: "installed snapshot after the whole log was compacted", run: func(c *lossCheck) {
			fill(c)
			c.append(11, 20, 3)
			c.saveHardState(replica.HardState{Term: 4})
			c.truncate(7)
			c.append(7, 8, 4)
			c.saveSnapshot(8, 4)
			c.compact(8)
			c.saveSnapshot(15, 4)
			c.reset(15)
			c.append(16, 17, 4)
			c.open()
		}},
	}
	for after := range 6 {
		tests = append(tests, lossTest{name: fmt.Sprint("snapshot saved during a reset, after change ", after), run: func(c *lossCheck) {
			fill(c)
			c.saveHardState(replica.HardState{Term: 5})
			c.saveSnapshot(20, 4)
			c.interleaved, c.after = func() { c.saveSnapshot(25, 5) }, after
			c.reset(20)
			c.append(21, 26, 5)
		}}, lossTest{name: fmt.Sprint("appends while a snapshot is saved, after change ", after), run: func(c *lossCheck) {
			fill(c)
			c.interleaved, c.after = func() {
				c.saveHardState(replica.HardState{Term: 4})
				c.truncate(10)
				c.append(10, 12, 4)
			}, after
			c.saveSnapshot(9, 3)
			c.compact(9)
		}})
	}
	// A restart makes seven changes from the recovery on, eight with a truncation.
	for after := range 7 {
		tests = append(tests, lossTest{name: fmt.Sprint("term saved during a restart, after change ", after), order: after % orders, run: func(c *lossCheck) {
			fill(c)
			c.reopen(func() { c.saveHardState(replica.HardState{Term: 4, Vote: "y"}) }, after)
			c.append(11, 12, 4)
		}}, lossTest{name: fmt.Sprint("snapshot saved during a restart, after change ", after), order: after % orders, run: func(c *lossCheck) {
			fill(c)
			c.reopen(func() { c.saveSnapshot(20, 3) }, after)
			c.reset(20)
			c.append(21, 22, 3)
		}}, lossTest{name: fmt.Sprint("snapshot saved while a recovery truncates the log, after change ", after), order: after % orders, run: func(c *lossCheck) {
			fill(c)
			c.unchecked = after > 0 // the first of these rows checks it
			c.saveSnapshot(20, 3)
			c.unchecked = false
			c.reopen(func() { c.saveSnapshot(25, 3) }, after)
			c.append(26, 27, 3)
		}})
	}
	for _, tt := range tests {
		for order := tt.order; order < tt.order+max(1, tt.orders); order++ {
			t.Run(fmt.Sprintf("%s, order %d", tt.name, order), func(t *testing.T) {
				t.Parallel()
				c := newLossCheck(t, order, !tt.checked)
				tt.run(c)
				if c.interleaved != nil {
					t.Error("the interleaved operation was not run")
				}
				t.Logf("%d states", c.checked)
			})
		}
	}
}
