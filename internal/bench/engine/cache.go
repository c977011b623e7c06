package engine

import "container/list"

// blockSize is the number of tokens per block of the prefix cache.
const blockSize = 16

// cache remembers the prompt blocks used last; it is owned by the batch loop.
type cache struct {
	limit int
	order *list.List
	named map[uint64]*list.Element
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), named: map[uint64]*list.Element{}}
}

// use returns how many leading blocks are held, and then holds all of them.
func (c *cache) use(blocks []uint64) (hit int) {
	for hit < len(blocks) && c.named[blocks[hit]] != nil {
		hit++
	}
	// From the last to the first, so that a prefix is dropped after what extends it.
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.named[blocks[i]]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.named[blocks[i]] = c.order.PushFront(blocks[i])
	}
	for c.order.Len() > c.limit {
		e := c.order.Back()
		delete(c.named, c.order.Remove(e).(uint64))
	}
	return hit
}
