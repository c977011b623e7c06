// Package report runs the proofs of what must always hold and prints a line for each.
package report

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Variables of the environment.
const (
	// fullVariable asks for all runs of each proof.
	fullVariable = "WISTERIAKEEL_PROOFS"
	// seedVariable asks for one seed only.
	seedVariable = "WISTERIAKEEL_SEED"
)

// shortRuns is how many seeds a proof has in the short set, which runs in CI.
const shortRuns = 2

// AllSeeds tells whether all runs are asked for.
func AllSeeds() bool { return os.Getenv(fullVariable) == "full" }

// Run proves one guarantee under one fault. It calls f with the seeds 1 to runs,
// with fewer in the short set, and prints the result as
//
//	proof GUARANTEE FAULT passed|failed runs N
//
// A failing seed is named by its subtest.
func Run(t *testing.T, guarantee, fault string, runs int, f func(t *testing.T, seed uint64)) {
	t.Helper()
	first, last := uint64(1), uint64(runs)
	if !AllSeeds() {
		last = uint64(min(runs, shortRuns))
	}
	if text := os.Getenv(seedVariable); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", seedVariable, err)
		}
		first, last = seed, seed
	}
	state := "passed"
	for seed := first; seed <= last; seed++ {
		if !t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { f(t, seed) }) {
			state = "failed"
		}
	}
	fmt.Printf("proof %s %s %s runs %d\n", guarantee, fault, state, last-first+1)
}
