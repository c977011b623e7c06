package disk

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// inParallel makes calls that don't depend on each other at the same time, since each may wait for
// the disk. It returns after all of them.
func inParallel(calls ...func() error) error {
	var c concurrent
	for _, f := range calls {
		c.pending.Add(1)
		go c.run(f)
	}
	c.pending.Wait()
	return c.err
}

// concurrent is a set of calls at the same time.
type concurrent struct {
	pending sync.WaitGroup
	mu      sync.Mutex // guards err
	err     error      // of all calls that failed
}

func (c *concurrent) run(call func() error) {
	defer c.pending.Done()
	if err := call(); err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.err = errors.CombineErrors(c.err, err)
	}
}
