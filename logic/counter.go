package logic

import (
	"cmp"
	"container/heap"
	"slices"
)

// counter is the Space-Saving top-K counter: a min-heap of counts; a new key takes the least one over.
type counter struct {
	at    map[uint64]int
	items []counted
	size  int
	total float64
}

type counted struct {
	key        uint64
	count, err float64
}

func (c *counter) Len() int           { return len(c.items) }
func (c *counter) Less(i, j int) bool { return c.items[i].count < c.items[j].count }
func (c *counter) Push(x any)         { c.items = append(c.items, x.(counted)) }
func (c *counter) Pop() any           { panic("counter: keys only leave by replacement") }
func (c *counter) Swap(i, j int) {
	c.items[i], c.items[j] = c.items[j], c.items[i]
	c.at[c.items[i].key], c.at[c.items[j].key] = i, j
}

func (c *counter) add(key uint64) {
	c.total++
	i, ok := c.at[key]
	switch {
	case ok:
		c.items[i].count++
	case len(c.items) < c.size:
		c.put(counted{key: key, count: 1})
		return
	default:
		least := c.items[0]
		delete(c.at, least.key)
		i = 0
		c.at[key] = 0
		c.items[0] = counted{key: key, count: least.count + 1, err: least.count}
	}
	heap.Fix(c, i)
}

// put takes a key's count over from elsewhere, while there is room.
func (c *counter) put(it counted) {
	if len(c.items) < c.size {
		c.at[it.key] = len(c.items)
		heap.Push(c, it)
	}
}

// age keeps the given share of every count, so that popularity that moved on fades.
func (c *counter) age(keep float64) {
	c.total *= keep
	for i := range c.items {
		c.items[i].count *= keep
		c.items[i].err *= keep
	}
}

// hottest lists up to most keys surely counted at least so often, in falling count.
func (c *counter) hottest(least float64, most int) []counted {
	var top []counted
	for _, it := range c.items {
		if it.count-it.err >= least {
			top = append(top, it)
		}
	}
	slices.SortFunc(top, func(a, b counted) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.key, b.key))
	})
	return top[:min(len(top), most)]
}

// sure is the count that a key has for certain.
func (c *counter) sure(key uint64) float64 {
	i, ok := c.at[key]
	if !ok {
		return 0
	}
	return c.items[i].count - c.items[i].err
}
