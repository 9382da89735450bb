package knownred

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	const good = "./internal/proxy TestA | the clock is read too early | issue 54\n"
	for name, c := range map[string]struct {
		text string
		want int
		err  error
	}{
		"empty":                       {"", 0, nil},
		"blank lines":                 {"\n  \n", 0, nil},
		"one":                         {good, 1, nil},
		"three":                       {good + strings.Replace(good, "TestA", "TestB", 1) + strings.Replace(good, "TestA", "FuzzC", 1), 3, nil},
		"a fourth":                    {good + strings.Replace(good, "TestA", "TestB", 1) + strings.Replace(good, "TestA", "TestC", 1) + strings.Replace(good, "TestA", "TestD", 1), 4, nil},
		"one that fails at times":     {strings.Replace(good, "TestA", "TestA (at times)", 1), 1, nil},
		"a part of a test":            {strings.Replace(good, "TestA", "TestA/some_part,_then_more", 1), 1, nil},
		"a command of ours":           {"go run ./cmd/linenlab restarts -first 7 -count 1 | an answer lost | issue 60", 1, nil},
		"a day of the bench":          {"../given/kit/more/bin/lbreal SITE --rough rate --seed 9 | a second copy | issue 60", 1, nil},
		"a command without its seed":  {"go run ./cmd/linenlab restarts | an answer lost | issue 60", 0, ErrBadEntry},
		"a command without its cause": {"go run ./cmd/linenlab restarts -first 7 | | issue 60", 0, ErrBadEntry},
		"a command without an issue":  {"go run ./cmd/linenlab restarts -first 7 | an answer lost |", 0, ErrBadEntry},
		"a command of something else": {"sleep --seed 9 | an answer lost | issue 60", 0, ErrBadEntry},
		"a command twice":             {strings.Repeat("go run ./cmd/linenlab restarts -first 7 | an answer lost | issue 60\n", 2), 0, ErrDuplicate},
		"twice":                       {good + good, 0, ErrDuplicate},
		"no test":                     {"./internal/proxy | a cause | issue 54", 0, ErrBadEntry},
		"no package":                  {"TestA | a cause | issue 54", 0, ErrBadEntry},
		"no cause":                    {"./internal/proxy TestA | | issue 54", 0, ErrBadEntry},
		"no issue":                    {"./internal/proxy TestA | a cause |", 0, ErrBadEntry},
		"an issue unnamed":            {"./internal/proxy TestA | a cause | later", 0, ErrBadEntry},
		"no separators":               {"./internal/proxy TestA a cause issue 54", 0, ErrBadEntry},
		"a pattern":                   {"./internal/proxy Test.* | a cause | issue 54", 0, ErrBadEntry},
		// no package has this name, so its test is missing
		"all of a package":  {"./... TestA | a cause | issue 54", 1, nil},
		"a flag for a path": {"-run TestA | a cause | issue 54", 0, ErrBadEntry},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Parse(strings.NewReader(c.text))
			if !errors.Is(err, c.err) || len(got) != c.want {
				t.Errorf("%d entries, %v; want %d, %v", len(got), err, c.want, c.err)
			}
		})
	}
}

func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		output string
		want   Verdict
	}{
		"it fails":            {"=== RUN   TestA\n--- FAIL: TestA (0.1s)\nFAIL\n", Failed},
		"it passes":           {"=== RUN   TestA\n--- PASS: TestA (0.1s)\nok\n", Passed},
		"it panics":           {"=== RUN   TestA\npanic: test timed out\n", Failed},
		"a part of it fails":  {"=== RUN   TestA\n--- FAIL: TestA (0.1s)\n    --- PASS: TestA/b (0s)\n", Failed},
		"nothing ran":         {"testing: warning: no tests to run\nok\n", Missing},
		"only a longer name":  {"--- PASS: TestAll (0.1s)\n", Missing},
		"it does not compile": {"x.go:1: undefined: y\nFAIL\n", Missing},
	} {
		if got := Judge("TestA", []byte(c.output)); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	const parts = "--- FAIL: TestA (0.1s)\n    --- PASS: TestA/good (0.1s)\n    --- FAIL: TestA/bad (0.1s)\nFAIL\n"
	for test, want := range map[string]Verdict{"TestA/good": Passed, "TestA/bad": Failed, "TestA/ba": Missing} {
		if got := Judge(test, []byte(parts)); got != want {
			t.Errorf("%s: %v, want %v", test, got, want)
		}
	}
}

// A test that passes stays listed only if it is flaky. A test that doesn't exist never stays listed.
func TestContradicts(t *testing.T) {
	for v, want := range map[Verdict][2]bool{Failed: {false, false}, Passed: {true, false}, Missing: {true, true}} {
		for i, atTimes := range []bool{false, true} {
			if got := (Entry{Flaky: atTimes}).Contradicts(v); got != want[i] {
				t.Errorf("%v, at times %v: wrong %v, want %v", v, atTimes, got, want[i])
			}
		}
	}
}

func TestPlanRun(t *testing.T) {
	plain, skipping := PlanRun([]string{"./a", "./b", "./c"}, []Entry{{Package: "./b", Test: "TestX"}, {Package: "./b", Test: "TestY/part"}, {Package: "./none", Test: "TestZ"}})
	if !slices.Equal(plain, []string{"./a", "./c"}) || !slices.Equal(skipping, []Plan{{"./b", "^TestX$|^TestY$/^part$"}}) {
		t.Errorf("plain %v, skipping %v", plain, skipping)
	}
}
