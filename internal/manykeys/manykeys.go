// Package manykeys decides on requests for many keys: which of them are asked for now, and what becomes of each. A request is split into
// parts, each the keys that one cache has; at most one part of it is at a cache at a time, and so many keys are out in all.
//
// It is free of I/O, clock and goroutines. It never sends, and knows nothing of limits, time or members: each key is an ordinary
// read of its host's, which is decided on like any other.
package manykeys

import (
	"errors"
	"fmt"
)

// Limits bound a request.
type Limits struct {
	Keys        int // of a request, those that stand twice included
	Bytes       int // of the values of its reply
	Outstanding int // keys that are out at once: so many misses of one request are at the origin at the most
	PartSize    int // keys at one cache at a time
}

// Outcome is what became of a key.
type Outcome uint8

// The marks.
const (
	Pending Outcome = iota
	Served
	Refused // asking again is harmless
	Late    // it could not be had in time
	Failed  // nothing is promised
	Denied  // the caller has no right to it
	Large   // the reply would have been too long with it
)

var outcomeNames = [...]string{"waiting", "served", "refused", "late", "failed", "denied", "large"}

func (m Outcome) String() string { return outcomeNames[min(int(m), len(outcomeNames)-1)] }

// ErrNoKeys and ErrTooMany find fault with a request as a whole; nothing of it is asked for.
var (
	ErrNoKeys  = errors.New("no key")
	ErrTooMany = errors.New("too many keys")
)

// Gather is one request. Keys that stand twice are asked for once.
type Gather struct {
	limits      Limits
	keys        []string               // each once, in the order in which they came
	places      []int                  // by place in the request: which of keys
	caches      []uint64               // of each of keys, when its part was made
	outcomes    []Outcome              // of each of keys
	queues      map[uint64]*cacheQueue // by cache
	queueOrder  []*cacheQueue          // in the order of their first keys
	nextQueue   int
	outstanding int
	pending     int
	replyBytes  int
}

// cacheQueue is the keys that one cache has and that were not asked for yet.
type cacheQueue struct {
	pending     []int
	outstanding int // of its part
}

// New begins a request. Home names the cache that has a key.
func New(l Limits, keys []string, home func(key string) uint64) (*Gather, error) {
	switch {
	case len(keys) == 0:
		return nil, ErrNoKeys
	case len(keys) > l.Keys:
		return nil, fmt.Errorf("%w: %d, and %d are allowed", ErrTooMany, len(keys), l.Keys)
	}
	g := &Gather{limits: l, places: make([]int, len(keys)), queues: map[uint64]*cacheQueue{}}
	seen := make(map[string]int, len(keys))
	for i, key := range keys {
		k, twice := seen[key]
		if !twice {
			k = len(g.keys)
			seen[key] = k
			g.keys = append(g.keys, key)
			at := home(key)
			g.caches = append(g.caches, at)
			ln := g.queues[at]
			if ln == nil {
				ln = &cacheQueue{}
				g.queues[at] = ln
				g.queueOrder = append(g.queueOrder, ln)
			}
			ln.pending = append(ln.pending, k)
		}
		g.places[i] = k
	}
	g.outcomes = make([]Outcome, len(g.keys))
	g.pending = len(g.keys)
	return g, nil
}

// Next names the keys to ask for now. Caches have their turns, so that one with a long line does not take all that may be out.
func (g *Gather) Next() (now []int) {
	for range g.queueOrder {
		ln := g.queueOrder[g.nextQueue]
		g.nextQueue = (g.nextQueue + 1) % len(g.queueOrder)
		if ln.outstanding > 0 { // its part is not through
			continue
		}
		n := min(len(ln.pending), g.limits.PartSize, g.limits.Outstanding-g.outstanding)
		if n <= 0 {
			continue
		}
		now = append(now, ln.pending[:n]...)
		ln.pending = ln.pending[n:]
		ln.outstanding += n
		g.outstanding += n
	}
	return now
}

// Complete notes what became of a key that was asked for, with the size of its value. The mark that counts is told: a value that the reply has
// no room for is marked as large.
func (g *Gather) Complete(k int, m Outcome, size int) Outcome {
	if g.outcomes[k] != Pending || m == Pending {
		return g.outcomes[k]
	}
	if m == Served {
		if g.replyBytes+size > g.limits.Bytes {
			m = Large
		} else {
			g.replyBytes += size
		}
	}
	g.outcomes[k] = m
	g.outstanding--
	g.pending--
	g.queues[g.caches[k]].outstanding--
	return m
}

// Finished tells whether every key has its mark.
func (g *Gather) Finished() bool { return g.pending == 0 }

// Outstanding is how many keys are out.
func (g *Gather) Outstanding() int { return g.outstanding }

// Key is the k-th of the keys, and Mark what became of it.
func (g *Gather) Key(k int) string { return g.keys[k] }

// Outcome is what became of the k-th of the keys.
func (g *Gather) Outcome(k int) Outcome { return g.outcomes[k] }

// Len counts the keys, each once.
func (g *Gather) Len() int { return len(g.keys) }

// Places are, for each place in the request, which of the keys stands there.
func (g *Gather) Places() []int { return g.places }
