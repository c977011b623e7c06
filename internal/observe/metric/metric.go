// Package metric names the counters that expvar publishes.
package metric

import (
	"expvar"
	"sync"
)

var mu sync.Mutex

// Int returns the published integer of that name and creates it on first use.
func Int(name string) *expvar.Int {
	mu.Lock()
	defer mu.Unlock()
	if v, ok := expvar.Get(name).(*expvar.Int); ok {
		return v
	}
	return expvar.NewInt(name)
}

// Func publishes a value that is computed on demand, unless the name is taken.
func Func(name string, f func() any) {
	mu.Lock()
	defer mu.Unlock()
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(f))
	}
}
