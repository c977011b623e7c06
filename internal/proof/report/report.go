// Package report runs the proofs of guarantees under faults and prints a result line for each.
package report

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Environment variables.
const (
	// proofsVariable selects all seeds of each proof if set to "full".
	proofsVariable = "WISTERIAKEEL_PROOFS"
	// seedVariable selects a single seed.
	seedVariable = "WISTERIAKEEL_SEED"
)

// shortSetSeeds is the number of seeds per proof in the short set, which CI runs.
const shortSetSeeds = 2

// AllSeeds reports whether all seeds of each proof are to be run.
func AllSeeds() bool { return os.Getenv(proofsVariable) == "full" }

// Run runs the proof of a guarantee under a fault. It calls f with the seeds 1 to runs, with
// fewer in the short set, or with a single selected one, each in a subtest named after the
// seed, and prints the result as
//
//	proof GUARANTEE FAULT passed|failed runs N
func Run(t *testing.T, guarantee, fault string, runs int, f func(t *testing.T, seed uint64)) {
	t.Helper()
	first, last := uint64(1), uint64(runs)
	if !AllSeeds() {
		last = uint64(min(runs, shortSetSeeds))
	}
	if text := os.Getenv(seedVariable); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", seedVariable, err)
		}
		first, last = seed, seed
	}
	result := "passed"
	for seed := first; seed <= last; seed++ {
		if !t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { f(t, seed) }) {
			result = "failed"
		}
	}
	fmt.Printf("proof %s %s %s runs %d\n", guarantee, fault, result, last-first+1)
}
