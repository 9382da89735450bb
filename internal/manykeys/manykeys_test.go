package manykeys

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

var testLimits = Limits{Keys: 64, Bytes: 1000, Outstanding: 8, PartSize: 4}

func TestFaultyRequests(t *testing.T) {
	home := func(string) uint64 { return 1 }
	if _, err := New(testLimits, nil, home); !errors.Is(err, ErrNoKeys) {
		t.Error(err)
	}
	if _, err := New(testLimits, make([]string, 65), home); !errors.Is(err, ErrTooMany) {
		t.Error(err)
	}
}

// For any order of answers: each key is requested once, with one part at a cache at a time and at most
// the permitted number outstanding; every key gets an outcome, and repeated keys the same one; the reply
// stays within its size limit.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		l := Limits{Keys: 200, Bytes: rng.IntN(3000), Outstanding: 1 + rng.IntN(20), PartSize: 1 + rng.IntN(8)}
		keys := make([]string, 1+rng.IntN(150))
		for i := range keys {
			keys[i] = fmt.Sprint("k", rng.IntN(120))
		}
		caches := uint64(1 + rng.IntN(9))
		home := func(key string) uint64 {
			var n uint64
			fmt.Sscanf(key, "k%d", &n)
			return n % caches
		}
		g, err := New(l, keys, home)
		if err != nil {
			t.Fatal(err)
		}
		requested := map[string]bool{}
		var outstanding []int
		parts := map[uint64]map[int]bool{} // current part by cache
		bytes := 0
		for steps := 0; !g.Finished(); steps++ {
			if steps > 10_000 {
				t.Fatalf("seed %d: it never ends", seed)
			}
			newParts := map[uint64][]int{}
			for _, k := range g.Next() {
				if requested[g.Key(k)] {
					t.Fatalf("seed %d: %s is asked for twice", seed, g.Key(k))
				}
				requested[g.Key(k)] = true
				at := home(g.Key(k))
				newParts[at] = append(newParts[at], k)
				outstanding = append(outstanding, k)
			}
			for at, ks := range newParts {
				if len(parts[at]) > 0 || len(ks) > l.PartSize {
					t.Fatalf("seed %d: %d keys go to cache %d, where %d are out", seed, len(ks), at, len(parts[at]))
				}
				parts[at] = map[int]bool{}
				for _, k := range ks {
					parts[at][k] = true
				}
			}
			if len(outstanding) > l.Outstanding || len(outstanding) != g.Outstanding() || len(outstanding) == 0 {
				t.Fatalf("seed %d: %d are out, %d counted, %d allowed", seed, len(outstanding), g.Outstanding(), l.Outstanding)
			}
			i := rng.IntN(len(outstanding))
			k := outstanding[i]
			outstanding = append(outstanding[:i], outstanding[i+1:]...)
			delete(parts[home(g.Key(k))], k)
			m, size, copies := Outcome(1+rng.IntN(5)), rng.IntN(60), 0
			for _, key := range keys {
				if key == g.Key(k) {
					copies++
				}
			}
			switch got := g.Complete(k, m, size); {
			case got == Served:
				bytes += size * copies
			case got == Large && m == Served && bytes+size*copies > l.Bytes:
			case got != m:
				t.Fatalf("seed %d: marked %v, not %v", seed, got, m)
			}
			if again := g.Complete(k, Failed, 0); again != g.Outcome(k) {
				t.Fatalf("seed %d: a key is marked twice", seed)
			}
		}
		if bytes > l.Bytes || len(g.Next()) > 0 || len(outstanding) > 0 {
			t.Fatalf("seed %d: %d bytes of %d, %d out", seed, bytes, l.Bytes, len(outstanding))
		}
		for i, k := range g.KeyIndexes() {
			if g.Key(k) != keys[i] || g.Outcome(k) == Pending || !requested[keys[i]] {
				t.Fatalf("seed %d: place %d: %s, %v", seed, i, g.Key(k), g.Outcome(k))
			}
		}
	}
}

// Guards against replies beyond their size limit, and a proxy killed for its memory: a value stands in the reply
// as often as its key was asked for.
func TestRepeatedKeysCountEachTime(t *testing.T) {
	home := func(string) uint64 { return 1 }
	size := testLimits.Bytes / 4
	g, err := New(testLimits, []string{"a", "b", "a", "a", "b"}, home)
	if err != nil {
		t.Fatal(err)
	}
	g.Next()
	if got := g.Complete(0, Served, size); got != Served {
		t.Errorf("three copies that fit are %v", got)
	}
	if got := g.Complete(1, Served, size); got != Large {
		t.Errorf("two more copies than fit are %v", got)
	}
}

// A cache with a long queue does not delay the others.
func TestCachesHaveTurns(t *testing.T) {
	keys := make([]string, 64)
	for i := range keys {
		keys[i] = fmt.Sprint(i)
	}
	g, err := New(testLimits, keys, func(key string) uint64 {
		if len(key) == 1 {
			return 1 // ten keys
		}
		return 2
	})
	if err != nil {
		t.Fatal(err)
	}
	if first := g.Next(); len(first) != 8 {
		t.Fatalf("%d are asked for", len(first))
	}
	for k := range 4 { // the part of the short queue is completed, that of the other is not
		g.Complete(k, Served, 1)
	}
	if next := g.Next(); len(next) != 4 || next[0] != 4 {
		t.Errorf("next: %v", next)
	}
}
