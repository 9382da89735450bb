package retune

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"linenloom/logic"
)

func currentConfig(t testing.TB) []byte {
	t.Helper()
	text, err := os.ReadFile("../../cmd/linenloom/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A file truncated at any byte is rejected, and so is one that lacks any of its keys.
func TestCheckWhole(t *testing.T) {
	whole := currentConfig(t)
	if err := Check(whole, whole); err != nil {
		t.Fatal(err)
	}
	text := strings.TrimSpace(string(whole))
	for cut := range text {
		if Check(whole, []byte(text[:cut])) == nil {
			t.Fatalf("cut after %d bytes: taken", cut)
		}
	}
	if err := Check(whole, []byte(text+"{}")); err == nil {
		t.Error("taken with something behind it")
	}
	var c any
	if err := json.Unmarshal(whole, &c); err != nil {
		t.Fatal(err)
	}
	n := 0
	withoutEachKey(c, func(key string) {
		cut, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if err := Check(whole, cut); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("without %s: %v", key, err)
		}
		n++
	})
	if n < 80 {
		t.Errorf("only %d keys tried", n)
	}
}

// withoutEachKey removes each key in turn, then sets it to null, and restores it.
func withoutEachKey(v any, try func(key string)) {
	switch v := v.(type) {
	case map[string]any:
		for k, was := range v {
			delete(v, k)
			try(k)
			v[k] = nil
			try(k)
			v[k] = was
			withoutEachKey(was, try)
		}
	case []any:
		for _, e := range v {
			withoutEachKey(e, try)
		}
	}
}

func TestCheckMessages(t *testing.T) {
	was := []byte(`{"a":{"b":[{"n":1,"x":2},{"n":3}],"c":[]},"d":"e"}`)
	for next, want := range map[string]string{
		``:          "empty",
		"  \n":      "empty",
		`{"a":`:     "truncated after 5 bytes",
		`[]`:        "the configuration is not an object",
		`{"a":1}`:   "a is not an object; d is missing",
		`{"d":"e"}`: "a is missing",
		`{"a":{"b":[{"n":1},{"x":2}],"c":[]},"d":"e"}`: "a.b[1].n is missing",
		`{"a":{"b":{},"c":[]},"d":"e"}`:                "a.b is not a list",
		`{"a":{"b":[],"c":[1]},"d":"e","f":1}`:         "",
		`{"a":{"b":[{"n":5}],"c":[]},"d":"e"}`:         "",
		`{"a":{"b":[],"c":[]},"d":null}`:               "d is null",
		`{"a":{"b":[],"c":[]},"d":1}x`:                 "unexpected data after the configuration",
	} {
		err := Check(was, []byte(next))
		switch {
		case want == "" && err != nil:
			t.Errorf("%s: %v", next, err)
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%s: %v, want %q", next, err, want)
		}
	}
}

// The rules in force during a transition never allow more than either of the two configurations.
func TestTransition(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	random := func() (cs []logic.Class) {
		for _, n := range []string{"a", "b", "c"} {
			if rng.IntN(3) > 0 {
				cs = append(cs, logic.Class{Name: n, Effect: logic.Effect(rng.IntN(3)), Scope: logic.Scope(rng.IntN(3)),
					SoftDeadline: time.Duration(1 + rng.IntN(9)), Deadline: time.Duration(1 + rng.IntN(9)), DedupWindow: time.Duration(1 + rng.IntN(9))})
			}
		}
		return cs
	}
	for range 3000 {
		was, now := random(), random()
		both, tries := Transition(was, now, 1+rng.IntN(4), 3)
		if tries > 3 {
			t.Fatal("more attempts than either allows")
		}
		for _, set := range [][]logic.Class{was, now} {
			for _, c := range set {
				i := slices.IndexFunc(both, func(b logic.Class) bool { return b.Name == c.Name })
				if i < 0 {
					t.Fatalf("%s is lost", c.Name)
				}
				b := both[i]
				if b.Effect < c.Effect || b.Scope < c.Scope || b.SoftDeadline > c.SoftDeadline || b.Deadline > c.Deadline ||
					b.Effect == logic.DeduplicatedByKey && c.Effect == logic.DeduplicatedByKey && b.DedupWindow > c.DedupWindow {
					t.Fatalf("%+v allows more than %+v", b, c)
				}
			}
		}
		for i, c := range now { // classes keep the positions of the new file
			if both[i].Name != c.Name {
				t.Fatalf("%v after %v", both, now)
			}
		}
	}
}

func FuzzCheck(f *testing.F) {
	whole := currentConfig(f)
	f.Add(whole)
	f.Add([]byte(`{"a":{}}`))
	f.Add([]byte(`[1,{"a":null}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if Check(whole, text) != nil {
			return
		}
		var was, now map[string]any
		if json.Unmarshal(whole, &was) != nil || json.Unmarshal(text, &now) != nil {
			t.Fatal("passed, and is no object")
		}
		for k := range was {
			if now[k] == nil {
				t.Fatalf("passed without %s", k)
			}
		}
	})
}
