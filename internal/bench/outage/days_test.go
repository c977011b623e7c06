package outage_test

import "testing"

// Guards against a process that goes on without its replica after its disk has refused a write, so that
// it is not started again and the second such disk ends the control group.
func TestFailedDisks(t *testing.T) {
	t.Parallel()
	play(t, 48221, "failed-disks", len(seeds)+1)
}
