package disk

// mutex is a lock that is held during syncs. Unlike that of package sync it lets simulated time pass
// while a goroutine waits for it.
type mutex chan struct{}

func newMutex() mutex { return make(mutex, 1) }

// Lock waits for the lock.
func (m mutex) Lock() { m <- struct{}{} }

// TryLock takes the lock if it is free.
func (m mutex) TryLock() bool {
	select {
	case m <- struct{}{}:
		return true
	default:
		return false
	}
}

// Unlock gives the lock back.
func (m mutex) Unlock() { <-m }
