// Package random creates pseudo-random number generators.
package random

import "math/rand/v2"

// New returns a generator with a random seed. It is not safe for concurrent use.
func New() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
