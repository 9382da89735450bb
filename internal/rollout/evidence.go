// Package rollout decides whether a new version of a program or of its settings does worse than the old
// one running beside it, while a change is rolled out in stages. It does no I/O, reads no clock, starts
// no goroutine and carries nothing out. Without enough evidence its decision is undecided: little
// traffic never counts as a good result.
package rollout

import (
	"errors"
	"fmt"
	"math"
)

// Counts are one side's requests within a block, and how many of them had a good result.
type Counts struct{ Requests, Good int }

// Block holds the counts of both sides for one zone and one period in which both served. Within a block
// both sides meet the same conditions: time of day, cache nodes, faults. From block to block the share
// of good results may change in any way.
type Block struct{ Old, New Counts }

// oddsFactors are the regressions that a SequentialTest looks for, as factors on the odds of a good
// result: from a third of the good results lost down to a few in a hundred.
var oddsFactors = [...]float64{0.97, 0.9, 0.75, 0.5, 0.25, 0.1, 0.03}

// SequentialTest tests, as data arrives, whether the new side is worse. It is an e-process: however
// often and whenever it is evaluated, and whatever the traffic, it reaches 1/alpha with a probability of
// at most alpha if the new side is as good as the old one or better.
//
// The factor of a block is a likelihood ratio. The numerator takes a share a of good results on the old
// side and b < a on the new one. The denominator takes the same share for both sides, the mean of a and
// b weighted by the requests of each side (Turner, Ly and Gruenwald, "Generic E-variables for exact
// sequential k-sample tests that allow for optional stopping", 2024, theorem 1). Its expectation is at
// most one if both sides are equal. It is no higher if the new side is better, since the factor of an
// old result rises with the old side's share and that of a new result falls with the new side's share.
// The value of a depends on earlier blocks only, so the product over blocks is a nonnegative
// supermartingale, and Ville's inequality gives the bound. The test is exact for any number of requests
// and needs no variance. The mean over several regressions is an e-process too.
type SequentialTest struct {
	logEvidence  [len(oddsFactors)]float64 // of the product, by regression
	peakEvidence float64                   // highest mean so far
	oldGood      float64                   // old side, earlier blocks; starts with half a request of each result
	oldRequests  float64
	Total        Block
}

// NewSequentialTest returns a SequentialTest without data.
func NewSequentialTest() *SequentialTest { return &SequentialTest{oldGood: 0.5, oldRequests: 1} }

// ErrInvalidCounts is returned for counts that are impossible.
var ErrInvalidCounts = errors.New("rollout: good results must be between 0 and the number of requests")

// Add adds a block. A block in which one side has no requests adds no evidence.
func (t *SequentialTest) Add(b Block) error {
	for _, c := range []Counts{b.Old, b.New} {
		if c.Good < 0 || c.Good > c.Requests {
			return fmt.Errorf("%w: %d of %d", ErrInvalidCounts, c.Good, c.Requests)
		}
	}
	if b.Old.Requests > 0 && b.New.Requests > 0 {
		a := t.oldGood / t.oldRequests
		for i, f := range oddsFactors {
			t.logEvidence[i] += logLikelihoodRatio(b, a, scaleOdds(a, f))
		}
		t.peakEvidence = max(t.peakEvidence, t.Evidence())
	}
	t.oldGood, t.oldRequests = t.oldGood+float64(b.Old.Good), t.oldRequests+float64(b.Old.Requests)
	t.Total.Old.Requests, t.Total.Old.Good = t.Total.Old.Requests+b.Old.Requests, t.Total.Old.Good+b.Old.Good
	t.Total.New.Requests, t.Total.New.Good = t.Total.New.Requests+b.New.Requests, t.Total.New.Good+b.New.Good
	return nil
}

// scaleOdds returns the share whose odds are those of share a times the factor.
func scaleOdds(a, factor float64) float64 { return a * factor / (a*factor + 1 - a) }

// logLikelihoodRatio returns the logarithm of a block's factor.
func logLikelihoodRatio(b Block, old, new float64) float64 {
	na, nb := float64(b.Old.Requests), float64(b.New.Requests)
	mean := (na*old + nb*new) / (na + nb)
	side := func(c Counts, p float64) float64 {
		return float64(c.Good)*math.Log(p/mean) + float64(c.Requests-c.Good)*math.Log((1-p)/(1-mean))
	}
	return side(b.Old, old) + side(b.New, new)
}

// Evidence returns the evidence that the new side is worse: the growth of a bet at fair odds against the
// new side being as good.
func (t *SequentialTest) Evidence() float64 {
	sum := 0.0
	for _, l := range t.logEvidence {
		sum += math.Exp(min(l, 700)) / float64(len(oddsFactors))
	}
	return sum
}

// Worse reports whether the new side is worse, with a probability of at most alpha that this is wrong.
func (t *SequentialTest) Worse(alpha float64) bool { return t.peakEvidence >= 1/alpha }

// normalQuantile90 is the quantile of the standard normal distribution at 0.9.
const normalQuantile90 = 1.2815515655446004

// HasPower reports whether there was enough traffic to detect a regression of this size (a share of the
// results, such as 0.03) by now with a probability of nine in ten. The growth of the evidence under the
// regression is a sum over requests. Its mean and spread are computed for the old side's observed share
// and the factor that fits the regression best.
func (t *SequentialTest) HasPower(harm, alpha float64) bool {
	na, nb := float64(t.Total.Old.Requests), float64(t.Total.New.Requests)
	if na == 0 || nb == 0 || !(harm > 0) {
		return false
	}
	a := t.oldGood / t.oldRequests
	b := max(1e-6, a-harm)
	for _, f := range oddsFactors {
		c := scaleOdds(a, f)
		mean := (na*a + nb*c) / (na + nb)
		grow, spread := 0.0, 0.0
		for _, s := range []struct{ n, truth, p float64 }{{na, a, a}, {nb, b, c}} {
			hit, miss := math.Log(s.p/mean), math.Log((1-s.p)/(1-mean))
			grow += s.n * (s.truth*hit + (1-s.truth)*miss)
			spread += s.n * s.truth * (1 - s.truth) * (hit - miss) * (hit - miss)
		}
		if grow-normalQuantile90*math.Sqrt(spread) >= math.Log(float64(len(oddsFactors))/alpha) {
			return true
		}
	}
	return false
}
