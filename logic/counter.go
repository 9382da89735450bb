package logic

import (
	"cmp"
	"container/heap"
	"slices"
)

// counter implements the Space-Saving top-K algorithm as a min-heap of counts; a new key replaces the one
// with the smallest count.
type counter struct {
	index    map[uint64]int
	items    []keyCount
	capacity int
	total    float64
}

// keyCount is a counted key; its true count is between count-maxError and count.
type keyCount struct {
	key             uint64
	count, maxError float64
}

func (c *counter) Len() int           { return len(c.items) }
func (c *counter) Less(i, j int) bool { return c.items[i].count < c.items[j].count }
func (c *counter) Push(x any)         { c.items = append(c.items, x.(keyCount)) }
func (c *counter) Pop() any           { panic("counter: keys are removed only by replacement") }
func (c *counter) Swap(i, j int) {
	c.items[i], c.items[j] = c.items[j], c.items[i]
	c.index[c.items[i].key], c.index[c.items[j].key] = i, j
}

// add counts one request for a key.
func (c *counter) add(key uint64) {
	c.total++
	i, ok := c.index[key]
	switch {
	case ok:
		c.items[i].count++
	case len(c.items) < c.capacity:
		c.insert(keyCount{key: key, count: 1})
		return
	default:
		smallest := c.items[0]
		delete(c.index, smallest.key)
		i = 0
		c.index[key] = 0
		c.items[0] = keyCount{key: key, count: smallest.count + 1, maxError: smallest.count}
	}
	heap.Fix(c, i)
}

// insert adds a key with an existing count if there is space.
func (c *counter) insert(counted keyCount) {
	if len(c.items) < c.capacity {
		c.index[counted.key] = len(c.items)
		heap.Push(c, counted)
	}
}

// decay multiplies all counts by the given factor, so that keys that are no longer popular lose rank.
func (c *counter) decay(keep float64) {
	c.total *= keep
	for i := range c.items {
		c.items[i].count *= keep
		c.items[i].maxError *= keep
	}
}

// hottest returns up to limit keys whose guaranteed count is at least minCount, by descending count.
func (c *counter) hottest(minCount float64, limit int) []keyCount {
	var top []keyCount
	for _, counted := range c.items {
		if counted.count-counted.maxError >= minCount {
			top = append(top, counted)
		}
	}
	slices.SortFunc(top, func(a, b keyCount) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.key, b.key))
	})
	return top[:min(len(top), limit)]
}

// guaranteedCount returns the lower bound of the count of a key.
func (c *counter) guaranteedCount(key uint64) float64 {
	i, ok := c.index[key]
	if !ok {
		return 0
	}
	return c.items[i].count - c.items[i].maxError
}
