package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

func mustEnter(t *testing.T, s Set, id string, now int64) Set {
	t.Helper()
	n, err := s.Enter(id, now)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestRepeatedEnterNeedsOneExit(t *testing.T) {
	var s Set
	s = mustEnter(t, mustEnter(t, s, "a", 10), "a", 20)
	if !s.IsOut("a") || s.IsOut("b") || s.CountOut() != 1 {
		t.Fatalf("%+v", s)
	}
	if s = s.Exit("a", 30); s.IsOut("a") {
		t.Error("still out")
	}
	if n := s.Exit("a", 40); !reflect.DeepEqual(n, s) {
		t.Error("a second call back changes something")
	}
}

// The list reports a restart that operators made during maintenance late.
func TestUpSince(t *testing.T) {
	s := mustEnter(t, Set{}, "a", 1000)
	back := s.Exit("a", 5000)
	for _, c := range []struct {
		s            Set
		listed, want float64
	}{
		{Set{}, 700, 700},
		{s, 0, 1000},
		{back, 0, 5000},      // not restarted, or not reported yet
		{back, 700, 5000},    // the same
		{back, 3000, 3000},   // the list reports the restart
		{back, 60000, 60000}, // of a later one
		{back, 1000, 1000},   // at the same time: reported
		{back, 999.5, 5000},  // just before it was taken out
		{s, 2000, 2000},      // restarted, still out
	} {
		if got := c.s.UpSince("a", c.listed); got != c.want {
			t.Errorf("listed %v: %v, want %v", c.listed, got, c.want)
		}
	}
}

// Whatever the order in which two processes exchange their sets, both end with the same members as a
// process that received all calls.
func TestMergeConverges(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var all Set
		sets := [2]Set{}
		for now := range int64(40) {
			id, at := string(rune('a'+rng.IntN(4))), rng.IntN(2)
			// A process reloads the record before each change (handover.Dir.Update), and at intervals.
			sets[at] = sets[at].Merge(sets[1-at])
			if rng.IntN(2) == 0 {
				all, sets[at] = mustEnter(t, all, id, now), mustEnter(t, sets[at], id, now)
			} else {
				all, sets[at] = all.Exit(id, now), sets[at].Exit(id, now)
			}
		}
		for _, got := range []Set{sets[0].Merge(sets[1]), sets[1].Merge(sets[0])} {
			if !reflect.DeepEqual(got, all.clone()) {
				t.Fatalf("seed %d: %+v, want %+v", seed, got, all)
			}
		}
	}
}

func TestMergePrefersOutOnTie(t *testing.T) {
	out := Set{map[string]entry{"a": {Out: true, Sequence: 3}}}
	in := Set{map[string]entry{"a": {Sequence: 3}}}
	if !out.Merge(in).IsOut("a") || !in.Merge(out).IsOut("a") {
		t.Error("a member came back on a record that knows no more")
	}
}

func TestBounds(t *testing.T) {
	var s Set
	for i := range maxEntries {
		s.entries = s.clone().entries
		s.entries[fmt.Sprint("m", i)] = entry{Out: true, Sequence: 1}
	}
	if _, err := s.Enter("more", 1); !errors.Is(err, ErrFull) {
		t.Errorf("%v, want ErrFull", err)
	}
	s = s.Exit("m7", 5)
	if n := mustEnter(t, s, "more", 6); !n.IsOut("more") || len(n.entries) != maxEntries || !n.IsOut("m8") {
		t.Error("the member that is back did not give up its place")
	}
	for _, id := range []string{"", "a b", "a\n", "\x7f", string(make([]byte, 300))} {
		if _, err := (Set{}).Enter(id, 1); !errors.Is(err, ErrBadID) {
			t.Errorf("%q: %v, want ErrBadID", id, err)
		}
	}
}

func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte(`{"s-1":{"out":true,"entered_ms":12,"turn":1}}`))
	f.Add([]byte(`{"s 1":{}}`))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"a":{"out":true`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var s Set
		if json.Unmarshal(text, &s) != nil {
			if len(s.entries) > 0 {
				t.Fatal("a faulty record was read in part")
			}
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var back Set
		if err := json.Unmarshal(again, &back); err != nil || !reflect.DeepEqual(s.clone(), back.clone()) {
			t.Fatalf("%s came back as %s: %v", text, again, err)
		}
	})
}
