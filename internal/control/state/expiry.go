package state

// expiryQueue lists keys in the order in which their records expire. Callers add keys
// with the highest instant of any applied command, so instants never decrease.
type expiryQueue[K comparable] struct {
	items []expiryItem[K]
}

type expiryItem[K comparable] struct {
	key     K
	instant int64 // when the record was written, in milliseconds since 1970
}

func (e *expiryQueue[K]) add(key K, instant int64) {
	e.items = append(e.items, expiryItem[K]{key: key, instant: instant})
}

// dropBefore calls remove for each key that was added before the cutoff. A key whose
// record was written again is queued again, so remove must check the record's own instant.
func (e *expiryQueue[K]) dropBefore(cutoff int64, remove func(key K)) {
	n := 0
	for n < len(e.items) && e.items[n].instant < cutoff {
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
