package lab

import (
	"slices"
	"testing"
)

// With the same requests, seed and outcomes, the balancer chooses the same members in the same order through
// either front end, and also when both are used at once.
func TestFrontsGetTheSameChoices(t *testing.T) {
	const requests = 400
	runChoices := func(t *testing.T, mode string, byRedis func(int) bool) Choices {
		t.Helper()
		choices, err := RunChoices(mode, false, requests, byRedis)
		if err != nil {
			t.Fatal(err)
		}
		return choices
	}
	want := runChoices(t, "answer", func(int) bool { return true })
	refused := 0
	for _, outcome := range want.Outcomes {
		if outcome == "refused" {
			refused++
		}
	}
	if len(want.Members) < requests+20 || refused > requests/10 {
		t.Fatalf("%d choices and %d refusals for %d requests: too little was tried", len(want.Members), refused, requests)
	}
	for _, s := range []string{"s-cold", "o-1", "s-2", "s-3", "s-4"} {
		if !slices.Contains(want.Members, s) {
			t.Fatalf("%s was never chosen", s)
		}
	}
	for name, testCase := range map[string]struct {
		mode    string
		byRedis func(int) bool
	}{
		"answer":           {"answer", func(int) bool { return false }},
		"route":            {"route", func(int) bool { return false }},
		"redis and answer": {"answer", func(i int) bool { return i%2 == 0 }},
		"redis and route":  {"route", func(i int) bool { return i%3 == 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := runChoices(t, testCase.mode, testCase.byRedis)
			if !slices.Equal(got.Outcomes, want.Outcomes) {
				t.Error("what was served and what was refused differs")
			}
			if !slices.Equal(got.Members, want.Members) {
				i := 0
				for i < min(len(got.Members), len(want.Members)) && got.Members[i] == want.Members[i] {
					i++
				}
				t.Errorf("choices differ from the %dth on: %v, want %v", i, got.Members[i:min(i+8, len(got.Members))],
					want.Members[i:min(i+8, len(want.Members))])
			}
		})
	}
}
