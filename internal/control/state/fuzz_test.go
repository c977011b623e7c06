package state

import (
	"testing"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Guards against a panic on a damaged snapshot or command: a replica that crashes while
// it applies a command would crash again at every start.
func FuzzRestore(f *testing.F) {
	for _, m := range machines() {
		b, err := m.Snapshot()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{0x0a, 0x02, 0x0a, 0x00})
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, m := range machines() {
			if m.Restore(b) == nil {
				if _, err := m.Snapshot(); err != nil {
					t.Fatalf("snapshot of a restored state: %v", err)
				}
			}
			if len(m.Apply(1, b)) == 0 && len(b) > 0 {
				continue // some commands have an empty reply
			}
		}
	})
}

func machines() []replica.StateMachine {
	return []replica.StateMachine{NewConfig(), NewData(timer.NewManual().Now)}
}
