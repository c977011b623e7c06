package memory

import (
	"expvar"
	"sync/atomic"
)

// published is the budget that the metric "memory" shows. It is set by the process; tests have several.
var published atomic.Pointer[Budget]

func init() {
	expvar.Publish("memory", expvar.Func(func() any {
		b := published.Load()
		if b == nil {
			return map[string]int64{}
		}
		return b.snapshot()
	}))
}

// Publish makes the metrics of the process show the budget.
func (b *Budget) Publish() { published.Store(b) }

// snapshot returns the bytes held by kind, the open connections, and the counts since the start.
func (b *Budget) snapshot() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int64{
		"limit": int64(b.options.Limit), "used": int64(b.used), "connections": int64(len(b.open)), "clients": int64(len(b.clients)),
		"evictions": b.evictions, "refusals": b.refusals,
	}
	for k, n := range b.byKind {
		out[names[k]] = int64(n)
	}
	return out
}
