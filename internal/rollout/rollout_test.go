package rollout

import (
	"errors"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func binomial(n, k int, p float64) float64 {
	c := 1.0
	for i := range k {
		c *= float64(n-i) / float64(i+1)
	}
	return c * math.Pow(p, float64(k)) * math.Pow(1-p, float64(n-k))
}

// If the new side is as good as the old one or better, the expected factor of a block is at most one.
// The expectation is computed exactly over all possible results, not sampled.
func TestExpectedLikelihoodRatioIsAtMostOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.02, 0.98)
		guess, old := share.Draw(t, "guess"), share.Draw(t, "old")
		new := old + (0.999-old)*rapid.Float64Range(0, 1).Draw(t, "better by")
		na, nb := rapid.IntRange(1, 7).Draw(t, "old asked"), rapid.IntRange(1, 7).Draw(t, "new asked")
		f := rapid.SampledFrom(oddsFactors[:]).Draw(t, "harm")
		sum := 0.0
		for ka := range na + 1 {
			for kb := range nb + 1 {
				e := math.Exp(logLikelihoodRatio(Block{Counts{na, ka}, Counts{nb, kb}}, guess, scaleOdds(guess, f)))
				sum += e * binomial(na, ka, old) * binomial(nb, kb, new)
			}
		}
		if sum > 1+1e-9 {
			t.Fatalf("on average %.6f", sum)
		}
	})
}

// randomBlock returns a block with n requests on each side and the given shares of good results.
func randomBlock(rng *rand.Rand, n int, old, new float64) (b Block) {
	b.Old.Requests, b.New.Requests = n, n
	for range n {
		if rng.Float64() < old {
			b.Old.Good++
		}
		if rng.Float64() < new {
			b.New.Good++
		}
	}
	return b
}

// Both sides have the same share, which drifts from block to block, and the test is evaluated after
// every block: false stops are no more frequent than alpha. A regression is detected nine times in ten
// once HasPower says so.
func TestFalseStopsAndPower(t *testing.T) {
	const alpha, runs = 0.05, 1500
	rng := rand.New(rand.NewPCG(1, 2))
	stops := 0
	for range runs {
		test, share := NewSequentialTest(), 0.5+0.49*rng.Float64()
		for range 150 {
			share = min(0.999, max(0.3, share+0.05*(rng.Float64()-0.5)))
			if err := test.Add(randomBlock(rng, 8, share, share)); err != nil {
				t.Fatal(err)
			}
		}
		if test.Worse(alpha) {
			stops++
		}
	}
	if stops > runs*alpha {
		t.Errorf("%d of %d stopped for nothing, stated are %.0f", stops, runs, runs*alpha)
	}
	for _, c := range []struct{ share, harm float64 }{{0.99, 0.03}, {0.95, 0.05}, {0.9, 0.2}} {
		found, most := 0, 0
		for range 200 {
			test, blocks := NewSequentialTest(), 0
			for ; !test.HasPower(c.harm, alpha); blocks++ {
				if err := test.Add(randomBlock(rng, 20, c.share, c.share-c.harm)); err != nil {
					t.Fatal(err)
				}
			}
			if test.Worse(alpha) {
				found++
			}
			most = max(most, blocks)
		}
		if found < 170 {
			t.Errorf("%+v: found in %d of 200 runs of up to %d blocks", c, found, most)
		}
		t.Logf("%+v: found in %d of 200, within %d requests of each side", c, found, 20*most)
	}
}

var plan = Plan{Metrics: []Metric{{"served in time", 0.05}, {"not slow", 0.05}}, Alpha: 0.05, MinDuration: 10 * time.Second, MinRequests: 100}

// Each case is a repeated observation and the decision that it leads to.
func TestDecisions(t *testing.T) {
	block := func(old, new int) Block { return Block{Counts{100, old}, Counts{100, new}} }
	for name, c := range map[string]struct {
		o     Observation
		times int
		want  Decision
		why   string
	}{
		"nothing changes":     {Observation{Duration: time.Second, Metrics: []Block{block(99, 99), block(98, 98)}}, 30, DecisionDone, "no regression found"},
		"a tenth is lost":     {Observation{Duration: time.Second, Metrics: []Block{block(99, 89), block(98, 98)}}, 30, DecisionStopped, "served in time"},
		"a tenth is slow":     {Observation{Duration: time.Second, Metrics: []Block{block(99, 99), block(98, 88)}}, 30, DecisionStopped, "not slow"},
		"better":              {Observation{Duration: time.Second, Metrics: []Block{block(90, 99), block(90, 98)}}, 30, DecisionDone, "no regression found"},
		"too short":           {Observation{Duration: time.Second, Metrics: []Block{block(99, 99), block(98, 98)}}, 9, DecisionUndecided, "9s of 10s"},
		"too few":             {Observation{Duration: time.Second, Metrics: []Block{{Counts{3, 3}, Counts{3, 3}}, {Counts{3, 3}, Counts{3, 3}}}}, 30, DecisionUndecided, "90 of 100"},
		"nobody asks the new": {Observation{Duration: time.Second, Metrics: []Block{{Counts{100, 99}, Counts{}}, {Counts{100, 99}, Counts{}}}}, 60, DecisionUndecided, "0s of 10s"},
		"enough to ask, too few to tell": {Observation{Duration: time.Second, Metrics: []Block{{Counts{5, 4}, Counts{5, 4}}, {Counts{5, 4}, Counts{5, 4}}}}, 24,
			DecisionUndecided, "too few requests to detect"},
		"a zone is out":                     {Observation{Duration: time.Second, Excluded: true, Metrics: []Block{block(99, 10), block(98, 10)}}, 60, DecisionUndecided, "0s of 10s"},
		"a rule broken while a zone is out": {Observation{Excluded: true, Violation: "n3 sent to a draining member"}, 1, DecisionStopped, "n3 sent"},
	} {
		j := NewEvaluator(plan)
		for range c.times {
			if err := j.Observe(c.o); err != nil {
				t.Fatal(err)
			}
		}
		if got, why := j.Decide(); got != c.want || !strings.Contains(why, c.why) {
			t.Errorf("%s: %v, %s", name, got, why)
		}
		if c.want == DecisionDone {
			j.NextStage()
			if got, _ := j.Decide(); got != DecisionUndecided {
				t.Errorf("%s: the next stage begins %v", name, got)
			}
		}
	}
	j := NewEvaluator(plan)
	if err := j.Observe(Observation{Metrics: []Block{{New: Counts{1, 2}}, {}}}); !errors.Is(err, ErrInvalidCounts) || !strings.Contains(err.Error(), "served in time") {
		t.Error(err)
	}
	if err := j.Observe(Observation{Metrics: []Block{{}}}); err == nil {
		t.Error("a claim that nobody counted is taken")
	}
}

func TestPlanCheckRejectsInvalidPlans(t *testing.T) {
	for want, change := range map[string]func(*Plan){
		"without a metric":            func(p *Plan) { p.Metrics = nil },
		"a false stop of 0.9":         func(p *Plan) { p.Alpha = 0.9 },
		"names must be unique":        func(p *Plan) { p.Metrics = []Metric{{"a", 0.1}, {"a", 0.1}} },
		"maximum regression 0 is not": func(p *Plan) { p.Metrics = []Metric{{"a", 0}} },
		"minimum duration, requests":  func(p *Plan) { p.MinRequests = 0 },
	} {
		p := plan
		change(&p)
		if err := p.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if err := plan.Check(); err != nil {
		t.Error(err)
	}
}
