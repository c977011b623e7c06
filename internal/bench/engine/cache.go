package engine

import "container/list"

// blockTokens is the number of tokens per prefix cache block.
const blockTokens = 16

// cache is an LRU cache of prompt block hashes. Only the batch loop accesses it.
type cache struct {
	maxBlocks int
	recency   *list.List               // block hashes, the most recently used first
	elements  map[uint64]*list.Element // element of recency by block hash
}

func newCache(maxBlocks int) *cache {
	return &cache{maxBlocks: maxBlocks, recency: list.New(), elements: map[uint64]*list.Element{}}
}

// lookupAndStore returns the number of leading blocks that are cached, then caches all
// blocks and evicts the least recently used ones.
func (c *cache) lookupAndStore(blocks []uint64) (hits int) {
	for hits < len(blocks) && c.elements[blocks[hits]] != nil {
		hits++
	}
	// Last block first, so that a prefix is evicted after the blocks that extend it.
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.elements[blocks[i]]; e != nil {
			c.recency.MoveToFront(e)
			continue
		}
		c.elements[blocks[i]] = c.recency.PushFront(blocks[i])
	}
	for c.recency.Len() > c.maxBlocks {
		e := c.recency.Back()
		delete(c.elements, c.recency.Remove(e).(uint64))
	}
	return hits
}
