package state

// expiry lists keys in the order in which they may be dropped. Instants are the
// highest seen in the log, so that they never decrease from one add to the next.
type expiry[K comparable] struct {
	items []expiring[K]
}

type expiring[K comparable] struct {
	key     K
	instant int64
}

func (e *expiry[K]) add(key K, instant int64) {
	e.items = append(e.items, expiring[K]{key: key, instant: instant})
}

// drop calls remove for each key listed before the horizon. A key whose record
// was written again is listed again, so remove must check the record's own instant.
func (e *expiry[K]) drop(before int64, remove func(key K)) {
	n := 0
	for n < len(e.items) && e.items[n].instant < before {
		remove(e.items[n].key)
		n++
	}
	if n == 0 {
		return
	}
	e.items = e.items[n:]
	if len(e.items) == 0 {
		e.items = nil
	}
}
