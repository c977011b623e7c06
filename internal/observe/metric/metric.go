// Package metric publishes counters and computed values through expvar.
package metric

import (
	"expvar"
	"sync"
)

// mu makes the check for a name and its publication atomic, since expvar panics when a
// name is published twice.
var mu sync.Mutex

// Int returns the integer published under the name; the first call publishes it.
func Int(name string) *expvar.Int {
	mu.Lock()
	defer mu.Unlock()
	if v, ok := expvar.Get(name).(*expvar.Int); ok {
		return v
	}
	return expvar.NewInt(name)
}

// Func publishes a value that is computed each time it is read. It does nothing if the
// name is already published.
func Func(name string, f func() any) {
	mu.Lock()
	defer mu.Unlock()
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(f))
	}
}
