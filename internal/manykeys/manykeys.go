// Package manykeys schedules requests for many keys: it decides which keys are requested now, and records
// the outcome of each. A request is split into parts, each of keys that one cache holds. At most one part
// of a request is at a cache at a time, and the total number of outstanding keys is bounded.
//
// It uses no I/O, clock or goroutines. It never sends, and has no knowledge of limits, time or members:
// each key is an ordinary read of its host, which is handled like any other.
package manykeys

import (
	"errors"
	"fmt"
)

// Limits bounds a request.
type Limits struct {
	Keys        int // of a request, repeated keys included
	Bytes       int // of the values of its reply
	Outstanding int // outstanding keys: the maximum number of misses of one request at the origin at a time
	PartSize    int // outstanding keys at one cache
}

// Outcome is the outcome of a key.
type Outcome uint8

// Outcomes of a key.
const (
	Pending Outcome = iota
	Served
	Refused // a retry does no harm
	Late    // there was no answer in time
	Failed  // the read failed; nothing is known about a retry
	Denied  // the caller has no access to the key
	Large   // the reply would have exceeded its size limit
)

var outcomeNames = [...]string{"waiting", "served", "refused", "late", "failed", "denied", "large"}

func (m Outcome) String() string { return outcomeNames[min(int(m), len(outcomeNames)-1)] }

// ErrNoKeys and ErrTooMany reject a request as a whole; none of its keys is requested.
var (
	ErrNoKeys  = errors.New("no key")
	ErrTooMany = errors.New("too many keys")
)

// Gather is the state of one request. Keys that occur more than once are requested once.
type Gather struct {
	limits      Limits
	keys        []string               // each once, in order of first occurrence
	keyIndexes  []int                  // by position in the request: index into keys
	caches      []uint64               // cache of each of keys, when the request began
	copies      []int                  // how often each of keys occurs in the request
	outcomes    []Outcome              // outcome of each of keys
	queues      map[uint64]*cacheQueue // by cache
	queueOrder  []*cacheQueue          // queues in the order of their first keys
	nextQueue   int
	outstanding int
	pending     int
	replyBytes  int
}

// cacheQueue holds the keys of one cache that have not been requested yet.
type cacheQueue struct {
	pending     []int
	outstanding int // keys of its current part
}

// New begins a request. home returns the cache that holds a key.
func New(l Limits, keys []string, home func(key string) uint64) (*Gather, error) {
	switch {
	case len(keys) == 0:
		return nil, ErrNoKeys
	case len(keys) > l.Keys:
		return nil, fmt.Errorf("%w: %d, and %d are allowed", ErrTooMany, len(keys), l.Keys)
	}
	g := &Gather{limits: l, keyIndexes: make([]int, len(keys)), queues: map[uint64]*cacheQueue{}}
	seen := make(map[string]int, len(keys))
	for i, key := range keys {
		k, repeated := seen[key]
		if !repeated {
			k = len(g.keys)
			seen[key] = k
			g.keys = append(g.keys, key)
			cache := home(key)
			g.caches = append(g.caches, cache)
			g.copies = append(g.copies, 0)
			queue := g.queues[cache]
			if queue == nil {
				queue = &cacheQueue{}
				g.queues[cache] = queue
				g.queueOrder = append(g.queueOrder, queue)
			}
			queue.pending = append(queue.pending, k)
		}
		g.keyIndexes[i] = k
		g.copies[k]++
	}
	g.outcomes = make([]Outcome, len(g.keys))
	g.pending = len(g.keys)
	return g, nil
}

// Next returns the keys to request now. The caches take turns, so that a cache with a long queue does not
// use up the limit of outstanding keys.
func (g *Gather) Next() (now []int) {
	for range g.queueOrder {
		queue := g.queueOrder[g.nextQueue]
		g.nextQueue = (g.nextQueue + 1) % len(g.queueOrder)
		if queue.outstanding > 0 { // its current part has not been completed
			continue
		}
		n := min(len(queue.pending), g.limits.PartSize, g.limits.Outstanding-g.outstanding)
		if n <= 0 {
			continue
		}
		now = append(now, queue.pending[:n]...)
		queue.pending = queue.pending[n:]
		queue.outstanding += n
		g.outstanding += n
	}
	return now
}

// Complete records the outcome of a requested key and the size of its value. It returns the recorded
// outcome: a value that exceeds the size limit of the reply is recorded as Large.
func (g *Gather) Complete(k int, outcome Outcome, size int) Outcome {
	if g.outcomes[k] != Pending || outcome == Pending {
		return g.outcomes[k]
	}
	if outcome == Served {
		if total := g.replyBytes + size*g.copies[k]; total <= g.limits.Bytes {
			g.replyBytes = total
		} else {
			outcome = Large
		}
	}
	g.outcomes[k] = outcome
	g.outstanding--
	g.pending--
	g.queues[g.caches[k]].outstanding--
	return outcome
}

// Pending returns the number of keys without an outcome.
func (g *Gather) Pending() int { return g.pending }

// Finished reports whether every key has its outcome.
func (g *Gather) Finished() bool { return g.pending == 0 }

// Outstanding returns the number of outstanding keys.
func (g *Gather) Outstanding() int { return g.outstanding }

// Key returns the k-th key.
func (g *Gather) Key(k int) string { return g.keys[k] }

// Outcome returns the outcome of the k-th key.
func (g *Gather) Outcome(k int) Outcome { return g.outcomes[k] }

// Len returns the number of distinct keys.
func (g *Gather) Len() int { return len(g.keys) }

// KeyIndexes returns, for each position in the request, the index of its key.
func (g *Gather) KeyIndexes() []int { return g.keyIndexes }
