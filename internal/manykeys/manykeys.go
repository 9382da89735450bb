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
	Keys  int // of a request, those that stand twice included
	Bytes int // of the values of its reply
	Out   int // keys that are out at once: so many misses of one request are at the origin at the most
	Part  int // keys at one cache at a time
}

// Mark is what became of a key.
type Mark uint8

// The marks.
const (
	Waiting Mark = iota
	Served
	Refused // asking again is harmless
	Late    // it could not be had in time
	Failed  // nothing is promised
	Denied  // the caller has no right to it
	Large   // the reply would have been too long with it
)

var markText = [...]string{"waiting", "served", "refused", "late", "failed", "denied", "large"}

func (m Mark) String() string { return markText[min(int(m), len(markText)-1)] }

// ErrNoKeys and ErrTooMany find fault with a request as a whole; nothing of it is asked for.
var (
	ErrNoKeys  = errors.New("no key")
	ErrTooMany = errors.New("too many keys")
)

// Gather is one request. Keys that stand twice are asked for once.
type Gather struct {
	limits Limits
	keys   []string         // each once, in the order in which they came
	at     []int            // by place in the request: which of keys
	home   []uint64         // of each of keys, when its part was made
	marks  []Mark           // of each of keys
	lines  map[uint64]*line // by cache
	order  []*line          // in the order of their first keys
	turn   int
	out    int
	left   int
	bytes  int
}

// line is the keys that one cache has and that were not asked for yet.
type line struct {
	waiting []int
	out     int // of its part
}

// New begins a request. Home names the cache that has a key.
func New(l Limits, keys []string, home func(key string) uint64) (*Gather, error) {
	switch {
	case len(keys) == 0:
		return nil, ErrNoKeys
	case len(keys) > l.Keys:
		return nil, fmt.Errorf("%w: %d, and %d are allowed", ErrTooMany, len(keys), l.Keys)
	}
	g := &Gather{limits: l, at: make([]int, len(keys)), lines: map[uint64]*line{}}
	seen := make(map[string]int, len(keys))
	for i, key := range keys {
		k, twice := seen[key]
		if !twice {
			k = len(g.keys)
			seen[key] = k
			g.keys = append(g.keys, key)
			at := home(key)
			g.home = append(g.home, at)
			ln := g.lines[at]
			if ln == nil {
				ln = &line{}
				g.lines[at] = ln
				g.order = append(g.order, ln)
			}
			ln.waiting = append(ln.waiting, k)
		}
		g.at[i] = k
	}
	g.marks = make([]Mark, len(g.keys))
	g.left = len(g.keys)
	return g, nil
}

// Next names the keys to ask for now. Caches have their turns, so that one with a long line does not take all that may be out.
func (g *Gather) Next() (now []int) {
	for range g.order {
		ln := g.order[g.turn]
		g.turn = (g.turn + 1) % len(g.order)
		if ln.out > 0 { // its part is not through
			continue
		}
		n := min(len(ln.waiting), g.limits.Part, g.limits.Out-g.out)
		if n <= 0 {
			continue
		}
		now = append(now, ln.waiting[:n]...)
		ln.waiting = ln.waiting[n:]
		ln.out += n
		g.out += n
	}
	return now
}

// Done notes what became of a key that was asked for, with the size of its value. The mark that counts is told: a value that the reply has
// no room for is marked as large.
func (g *Gather) Done(k int, m Mark, size int) Mark {
	if g.marks[k] != Waiting || m == Waiting {
		return g.marks[k]
	}
	if m == Served {
		if g.bytes+size > g.limits.Bytes {
			m = Large
		} else {
			g.bytes += size
		}
	}
	g.marks[k] = m
	g.out--
	g.left--
	g.lines[g.home[k]].out--
	return m
}

// Over tells whether every key has its mark.
func (g *Gather) Over() bool { return g.left == 0 }

// Out is how many keys are out.
func (g *Gather) Out() int { return g.out }

// Key is the k-th of the keys, and Mark what became of it.
func (g *Gather) Key(k int) string { return g.keys[k] }

// Mark is what became of the k-th of the keys.
func (g *Gather) Mark(k int) Mark { return g.marks[k] }

// Len counts the keys, each once.
func (g *Gather) Len() int { return len(g.keys) }

// Places are, for each place in the request, which of the keys stands there.
func (g *Gather) Places() []int { return g.at }
